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

// The workers of a fleet.
const (
	fleetRackSize  = 20
	fleetCPUMilli  = 32000
	fleetMemoryMB  = 65536
	fleetSlots     = 8
	fleetHistory   = 1
	fleetAddresses = "127.0.0.1:0"
)

// Fleet is many stand-in workers in one process.
type Fleet struct {
	workers []*worker.Worker
	servers []*standin.Server
}

// ServeFleet serves workers of one domain and service and puts them on the VM
// list of a stand-in platform.
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
			HistoryLimit: fleetHistory,
		})
		server, err := standin.Listen(fleetAddresses, w)
		if err != nil {
			return nil, errors.Join(eris.Wrap(err, "devmode: can't serve a worker"), f.Stop(ctx))
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

// Address returns the IP:port of the first worker.
func (f *Fleet) Address() string {
	if len(f.servers) == 0 {
		return ""
	}
	return f.servers[0].Address()
}

// Stop stops all workers.
func (f *Fleet) Stop(ctx context.Context) error {
	var err error
	for i := range f.servers {
		err = errors.Join(err, f.servers[i].Stop(ctx))
		f.workers[i].Close()
	}
	return err
}
