package measure

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/samphirerail/samphirerail/internal/coordination/configlog"
	"github.com/samphirerail/samphirerail/internal/devmode"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/config"
	"github.com/samphirerail/samphirerail/internal/transport/platformclient"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// The sizes that Fill writes: upstreams per join record and per rack, the limits of a
// team, and the capacity of an upstream.
const (
	joinBatchSize = 500
	rackSize      = 20
	teamSlots     = 4000
	teamCPUMilli  = 16_000_000
	teamMemoryMB  = 32_000_000
	slotsPerVM    = 8
	cpuMilliPerVM = 32000
	memoryMBPerVM = 65536
	connections   = 64
)

// Size states the amount of data that Fill writes.
type Size struct {
	// Domains is the number of failure domains, named d00, d01 and so on. The first one
	// gets no upstreams, since its upstreams run as a fleet of stand-ins.
	Domains int
	// Upstreams is the number of upstreams in each domain except the first.
	Upstreams int
	// Teams is the number of teams, each with a contract.
	Teams int
	// List adds the upstreams to the VM list as well.
	List bool
}

func domainID(i int) state.DomainID { return state.DomainID(fmt.Sprintf("d%02d", i)) }

// Fill writes domains, contracts and upstreams to the configuration stream of the
// stand-in platform at address (IP:port). On an error, part of the data may have been
// written.
func Fill(ctx context.Context, address string, size Size) error {
	log := platformclient.NewLog([]string{address}, platformclient.Options{})
	defer log.Close()
	var records []config.Record
	var domains []config.Domain
	for i := range size.Domains {
		domains = append(domains, config.Domain{ID: domainID(i), Region: fmt.Sprintf("region%d", i%4), Weight: 1})
	}
	records = append(records, record(config.PutDomains{Domains: domains}))
	for i := range size.Teams {
		records = append(records, record(config.PutContract{Contract: contract(i)}))
	}
	if err := appendBatch(ctx, log, records); err != nil {
		return err
	}
	for i := 1; i < size.Domains; i++ {
		if err := fillDomain(ctx, log, address, domainID(i), size); err != nil {
			return err
		}
	}
	return nil
}

// record returns a configuration record that applies to any version.
func record(body config.Body) config.Record {
	return config.Record{ID: uuid.NewString(), Base: config.AnyVersion, At: time.Now().UnixMilli(), Body: body}
}

// contract returns the contract of the team with index i.
func contract(i int) config.Contract {
	return config.Contract{
		Team:     state.TeamID(fmt.Sprintf("team%03d", i)),
		Services: []state.Service{"fitting", "design"},
		Classes:  []state.Class{state.ClassRequest, state.ClassBatch, state.ClassGang, state.ClassStanding},
		Limit:    state.Vector{CPUMilli: teamCPUMilli, MemoryMB: teamMemoryMB, Slots: teamSlots},
		Weight:   1, SubmitRate: 1e6, SubmitBurst: 1e6, MaxQueued: 100_000, PartitionPolicy: config.PartitionServe,
	}
}

// appendBatch appends configuration records to the log as one log record.
func appendBatch(ctx context.Context, log devplatform.Log, records []config.Record) error {
	data, err := config.Encode(records)
	if err != nil {
		return err
	}
	_, err = log.Append(ctx, devplatform.AppendRequest{
		Stream: configlog.DefaultStream, Record: devplatform.Record{ID: uuid.NewString(), Data: data},
	})
	return err
}

// fillDomain adds the upstreams of a domain to the configuration, in batches of
// joinBatchSize, and to the VM list if size.List is set.
func fillDomain(ctx context.Context, log devplatform.Log, address string, domain state.DomainID, size Size) error {
	var rows []devplatform.VM
	var batch []config.Upstream
	for i := range size.Upstreams {
		vm := fmt.Sprintf("%s-up%05d", domain, i)
		batch = append(batch, config.Upstream{
			ID: state.VMID(vm), Rack: fmt.Sprintf("r%d", i/rackSize), Service: "fitting",
			Capacity: state.Vector{CPUMilli: cpuMilliPerVM, MemoryMB: memoryMBPerVM, Slots: slotsPerVM},
		})
		rows = append(rows, listedVM(vm, string(domain), i))
		if len(batch) == joinBatchSize || i == size.Upstreams-1 {
			join := config.JoinUpstreams{Domain: domain, Upstreams: batch}
			if err := appendBatch(ctx, log, []config.Record{record(join)}); err != nil {
				return err
			}
			batch = nil
		}
	}
	if !size.List {
		return nil
	}
	return devmode.PutVMs(ctx, address, rows)
}

// listedVM returns the VM list row of upstream i. Nothing listens on its address.
func listedVM(vm, domain string, i int) devplatform.VM {
	return devplatform.VM{
		ID: vm, Incarnation: uuid.NewString(), Role: devplatform.RoleUpstream, State: devplatform.VMLive,
		Region: "region", Domain: domain, Rack: fmt.Sprintf("r%d", i/rackSize), Service: "fitting",
		Address: fmt.Sprintf("127.0.%d.%d:9", i/250, 1+i%250),
		Capacity: devplatform.Capacity{
			Resources: devplatform.Resources{CPUMilli: cpuMilliPerVM, MemoryMB: memoryMBPerVM},
			Slots:     slotsPerVM, Connections: connections,
		},
	}
}
