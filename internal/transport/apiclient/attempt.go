package apiclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
)

// maxReplyBytes is the largest body of a reply.
const maxReplyBytes = 256 << 20

// call is one call of the interface.
type call struct {
	method string
	path   string
	query  url.Values
	body   any
	// write is the write ID of an operator's change.
	write string
	// job is the job that is cancelled.
	job state.JobID
	// wait is how long the entry may hold the call beyond CallTimeout.
	wait time.Duration
}

func (c *call) name() string { return c.method + " " + c.path }

// reads reports whether the call changes nothing.
func (c *call) reads() bool { return c.method == http.MethodGet || c.path == pathIDs }

func (c *call) url(entry string) string {
	address := schemeAndSlash + entry + c.path
	if len(c.query) > 0 {
		address += "?" + c.query.Encode()
	}
	return address
}

// exchange sends a call to the first entry that can be dialled. It fails with a
// *v1.Refusal, a *lostError, or a *UnreachableError when no entry was dialled.
func (c *Client) exchange(ctx context.Context, do *call, reply any) error {
	count := int64(len(c.cfg.Entries))
	first := c.preferred.Load()
	var failure error
	for i := range count {
		at := (first + i) % count
		err := c.send(ctx, c.cfg.Entries[at], do, reply)
		var notSent *notSentError
		if errors.As(err, &notSent) {
			failure = err
			continue
		}
		var lost *lostError
		if errors.As(err, &lost) {
			at = (at + 1) % count
		}
		c.preferred.Store(at)
		return err
	}
	return &UnreachableError{Entries: c.cfg.Entries, Err: failure}
}

// send makes one attempt at one entry.
func (c *Client) send(ctx context.Context, entry string, do *call, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout+do.wait)
	defer cancel()
	ctx, span := c.tracer.Start(ctx, do.name(), trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	err := c.roundTrip(ctx, entry, do, reply)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	return err
}

func (c *Client) roundTrip(ctx context.Context, entry string, do *call, reply any) error {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := c.request(ctx, entry, do)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil && !connected.Load() {
		return &notSentError{err: err}
	}
	if err != nil {
		return &lostError{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readBody(response)
	if err != nil {
		return &lostError{err: err}
	}
	if response.StatusCode/100 != 2 {
		return refusalOf(response, body)
	}
	if err := json.Unmarshal(body, reply); err != nil {
		return &lostError{err: eris.Wrap(err, "the reply is not a message of /v1")}
	}
	return nil
}

func (c *Client) request(ctx context.Context, entry string, do *call) (*http.Request, error) {
	var body io.Reader
	if do.body != nil {
		encoded, err := json.Marshal(do.body)
		if err != nil {
			return nil, eris.Wrap(err, "apiclient: the message can't be encoded; correct its values")
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, do.method, do.url(entry), body)
	if err != nil {
		return nil, eris.Wrap(err, "apiclient: the call has no valid address; correct the entry or the name")
	}
	if do.body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if c.cfg.Key != "" {
		request.Header.Set("Authorization", "Bearer "+c.cfg.Key)
	}
	c.propagator.Inject(ctx, propagation.HeaderCarrier(request.Header))
	return request, nil
}

func readBody(response *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "the reply was cut short")
	}
	if len(body) > maxReplyBytes {
		return nil, eris.Errorf("the reply exceeds %d bytes", maxReplyBytes)
	}
	return body, nil
}

// refusalOf reads the refusal of a reply that is not 2xx. A reply without one
// came from something between the client and the entry, and says nothing about
// the outcome.
func refusalOf(response *http.Response, body []byte) error {
	refusal := &v1.Refusal{}
	err := json.Unmarshal(body, refusal)
	if err != nil || refusal.Reason == "" || refusal.NotRun == "" {
		return &lostError{err: eris.Errorf("status %d without a refusal", response.StatusCode)}
	}
	if refusal.RetryAfterMS == 0 {
		refusal.RetryAfterMS = retryAfterHeader(response).Milliseconds()
	}
	return refusal
}

func retryAfterHeader(response *http.Response) time.Duration {
	seconds, err := strconv.ParseInt(response.Header.Get("Retry-After"), 10, 32)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
