package devmode

import (
	"context"
	"errors"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/samphirerail/samphirerail/standin"
	"github.com/samphirerail/samphirerail/standin/devplatform"
	"github.com/samphirerail/samphirerail/standin/worker"
)

// The properties of each worker of a fleet.
const (
	fleetRackSize      = 20
	fleetCPUMilli      = 32000
	fleetMemoryMB      = 65536
	fleetSlots         = 8
	fleetHistoryLimit  = 1
	fleetListenAddress = "127.0.0.1:0"
)

// Fleet is a set of stand-in workers in one process.
type Fleet struct {
	workers []*worker.Worker
	servers []*standin.Server
}

// ServeFleet starts count workers of one failure domain and service on free loopback
// ports and adds them to the VM list of the stand-in platform at platformAddress
// (IP:port).
func ServeFleet(ctx context.Context, platformAddress, domain, service string, count int) (*Fleet, error) {
	f := &Fleet{}
	rows := make([]devplatform.VM, 0, count)
	for i := range count {
		w := worker.New(worker.Config{
			VMID: fmt.Sprintf("%s-up%05d", domain, i), Domain: domain, Service: service,
			Rack: fmt.Sprintf("r%d", i/fleetRackSize),
			Capacity: devplatform.Capacity{
				Resources:   devplatform.Resources{CPUMilli: fleetCPUMilli, MemoryMB: fleetMemoryMB},
				Slots:       fleetSlots,
				Connections: workerConnections,
			},
			HistoryLimit: fleetHistoryLimit,
		})
		server, err := standin.Listen(fleetListenAddress, w)
		if err != nil {
			return nil, errors.Join(eris.Wrap(err, "devmode: can't start a worker of the fleet"), f.Stop(ctx))
		}
		f.workers = append(f.workers, w)
		f.servers = append(f.servers, server)
		rows = append(rows, w.Row(server.Address()))
	}
	if err := PutVMs(ctx, platformAddress, rows); err != nil {
		return nil, errors.Join(err, f.Stop(ctx))
	}
	return f, nil
}

// Address returns the IP:port of the first worker, or "" for an empty fleet.
func (f *Fleet) Address() string {
	if len(f.servers) == 0 {
		return ""
	}
	return f.servers[0].Address()
}

// Stop stops all workers. Calls in flight may finish until ctx ends.
func (f *Fleet) Stop(ctx context.Context) error {
	var err error
	for i := range f.servers {
		err = errors.Join(err, f.servers[i].Stop(ctx))
		f.workers[i].Close()
	}
	return err
}
