// Package admin is a client for the APIs of a stand-in that are not part of the platform
// protocol: its fault switches, the rows of its VM list, the history of a worker and the
// counters of a log service. It is for tests and for stand-ins that register themselves.
package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/samphirerail/samphirerail/standin/devplatform"
	"github.com/samphirerail/samphirerail/standin/faults"
	"github.com/samphirerail/samphirerail/standin/logservice"
	"github.com/samphirerail/samphirerail/standin/worker"
)

// callTimeout bounds one call.
const callTimeout = 10 * time.Second

// Client calls one stand-in, with a new connection for each call. It is safe for
// concurrent use.
type Client struct {
	address string
	http    *http.Client
}

// New returns a client for the stand-in at an address (IP:port).
func New(address string) *Client {
	transport := &http.Transport{DisableKeepAlives: true}
	return &Client{address: address, http: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// SetFaults replaces the fault switches. The type of switches must match the stand-in:
// logservice.Faults, vmlist.Faults, worker.Faults or standin.Faults.
func (c *Client) SetFaults(ctx context.Context, switches any) error {
	return c.call(ctx, http.MethodPut, faults.AdminPath, switches, nil)
}

// Faults reads the fault switches into a pointer to the Faults type of the stand-in.
func (c *Client) Faults(ctx context.Context, into any) error {
	return c.call(ctx, http.MethodGet, faults.AdminPath, nil, into)
}

// PutVM adds or replaces a row of a VM list.
func (c *Client) PutVM(ctx context.Context, vm devplatform.VM) error {
	return c.call(ctx, http.MethodPut, devplatform.PathVMs, vm, nil)
}

// RemoveVM removes a row of a VM list.
func (c *Client) RemoveVM(ctx context.Context, id string) error {
	return c.call(ctx, http.MethodDelete, devplatform.PathVMs+"/"+url.PathEscape(id), nil, nil)
}

// History reads the history of a worker.
func (c *Client) History(ctx context.Context) (worker.History, error) {
	var history worker.History
	err := c.call(ctx, http.MethodGet, worker.HistoryPath, nil, &history)
	return history, err
}

// LogStats reads the counters of a log service.
func (c *Client) LogStats(ctx context.Context) (logservice.Stats, error) {
	var stats logservice.Stats
	err := c.call(ctx, http.MethodGet, logservice.StatsPath, nil, &stats)
	return stats, err
}

// call makes a request with a JSON body and decodes the reply into a value unless into is
// nil.
func (c *Client) call(ctx context.Context, method, path string, body, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	res, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	reply, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if res.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("admin: %s %s failed with status %d: %s", method, path, res.StatusCode, reply)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(reply, into)
}
