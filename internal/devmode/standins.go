// Package devmode runs stand-ins for the platform, and a small complete system in one
// process for development.
package devmode

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/samphirerail/samphirerail/standin"
	"github.com/samphirerail/samphirerail/standin/devplatform"
	"github.com/samphirerail/samphirerail/standin/logservice"
	"github.com/samphirerail/samphirerail/standin/vmlist"
	"github.com/samphirerail/samphirerail/standin/worker"
)

// workerConnections is the number of connections a stand-in worker accepts.
const workerConnections = 64

// Server is a running stand-in.
type Server interface {
	// Address returns the IP:port of its listener.
	Address() string
	// Stop shuts the stand-in down. Calls in flight may finish until ctx ends.
	Stop(ctx context.Context) error
}

// ServePlatform starts a stand-in log service and VM list on an address (IP:port).
// retain is the number of records kept per stream, and rate the maximum number of
// appends per second; 0 means no limit.
func ServePlatform(address string, retain, rate int) (Server, error) {
	log := logservice.New(logservice.Config{RetainRecords: retain, AppendsPerSecond: rate})
	server, err := standin.Listen(address, standin.NewPlatform(log, vmlist.New()))
	if err != nil {
		return nil, eris.Wrap(err, "devmode: can't start the stand-in platform")
	}
	return server, nil
}

// Upstream describes a stand-in worker.
type Upstream struct {
	// Listen is the address to listen on, IP:port.
	Listen string
	// Platform is the address of the stand-in platform to whose VM list the worker is
	// added. If empty, the worker is not added to a list.
	Platform     string
	VM           string
	Domain       string
	Rack         string
	Service      string
	CPUMilli     int64
	MemoryMB     int64
	Accelerators int64
	Slots        int64
}

// ServeUpstream starts a stand-in worker and adds it to the VM list of u.Platform.
func ServeUpstream(ctx context.Context, u Upstream) (Server, error) {
	w := newWorker(u)
	server, err := standin.Listen(u.Listen, w)
	if err != nil {
		return nil, eris.Wrap(err, "devmode: can't start the stand-in worker")
	}
	if u.Platform == "" {
		return server, nil
	}
	if err := putVM(ctx, u.Platform, w.Row(server.Address())); err != nil {
		return nil, err
	}
	return server, nil
}

func newWorker(u Upstream) *worker.Worker {
	return worker.New(worker.Config{
		VMID: u.VM, Domain: u.Domain, Rack: u.Rack, Service: u.Service,
		Capacity: devplatform.Capacity{
			Resources:   devplatform.Resources{CPUMilli: u.CPUMilli, MemoryMB: u.MemoryMB, Accelerators: u.Accelerators},
			Slots:       u.Slots,
			Connections: workerConnections,
		},
	})
}

// putVM adds or replaces a VM on the list of a stand-in platform.
func putVM(ctx context.Context, address string, vm devplatform.VM) error {
	return sendVMs(ctx, http.MethodPut, address, vm)
}

// PutVMs adds or replaces VMs on the list of the stand-in platform at address (IP:port),
// in one change.
func PutVMs(ctx context.Context, address string, vms []devplatform.VM) error {
	return sendVMs(ctx, http.MethodPost, address, vms)
}

func sendVMs(ctx context.Context, method, address string, rows any) error {
	body, err := json.Marshal(rows)
	if err != nil {
		return eris.Wrap(err, "devmode: can't encode the VMs")
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+devplatform.PathVMs, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "devmode: the stand-in platform's address must be IP:port")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "devmode: can't reach the stand-in platform; start it first")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("devmode: the VM list replied with status %s; correct the flags of the worker", resp.Status)
	}
	return nil
}
