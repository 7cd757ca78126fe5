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

// The shape of the filled configuration.
const (
	joinSize      = 500
	rackSize      = 20
	teamSlots     = 4000
	teamCPUMilli  = 16_000_000
	teamMemoryMB  = 32_000_000
	slotsPerVM    = 8
	cpuMilliPerVM = 32000
	memoryMBPerVM = 65536
	connections   = 64
)

// Size is how much a stand-in platform is filled with.
type Size struct {
	// Domains are named d00, d01 and so on. The first has no upstreams: its
	// own are run as a fleet.
	Domains int
	// Upstreams is their number in each domain but the first.
	Upstreams int
	Teams     int
	// List also puts the upstreams on the VM list.
	List bool
}

func domainID(i int) state.DomainID { return state.DomainID(fmt.Sprintf("d%02d", i)) }

// Fill writes domains, contracts and upstreams to the configuration stream of a
// stand-in platform (IP:port).
func Fill(ctx context.Context, address string, size Size) error {
	log := platformclient.NewLog([]string{address}, platformclient.Options{})
	defer log.Close()
	var first []config.Record
	var domains []config.Domain
	for i := range size.Domains {
		domains = append(domains, config.Domain{ID: domainID(i), Region: fmt.Sprintf("region%d", i%4), Weight: 1})
	}
	first = append(first, record(config.PutDomains{Domains: domains}))
	for i := range size.Teams {
		first = append(first, record(config.PutContract{Contract: contract(i)}))
	}
	if err := appendBatch(ctx, log, first); err != nil {
		return err
	}
	for i := 1; i < size.Domains; i++ {
		if err := fillDomain(ctx, log, address, domainID(i), size); err != nil {
			return err
		}
	}
	return nil
}

func record(body config.Body) config.Record {
	return config.Record{ID: uuid.NewString(), Base: config.AnyVersion, At: time.Now().UnixMilli(), Body: body}
}

func contract(i int) config.Contract {
	return config.Contract{
		Team:     state.TeamID(fmt.Sprintf("team%03d", i)),
		Services: []state.Service{"fitting", "design"},
		Classes:  []state.Class{state.ClassRequest, state.ClassBatch, state.ClassGang, state.ClassStanding},
		Limit:    state.Vector{CPUMilli: teamCPUMilli, MemoryMB: teamMemoryMB, Slots: teamSlots},
		Weight:   1, SubmitRate: 1e6, SubmitBurst: 1e6, MaxQueued: 100_000, PartitionPolicy: config.PartitionServe,
	}
}

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

func fillDomain(ctx context.Context, log devplatform.Log, address string, domain state.DomainID, size Size) error {
	var rows []devplatform.VM
	var joining []config.Upstream
	for i := range size.Upstreams {
		vm := fmt.Sprintf("%s-up%05d", domain, i)
		joining = append(joining, config.Upstream{
			ID: state.VMID(vm), Rack: fmt.Sprintf("r%d", i/rackSize), Service: "fitting",
			Capacity: state.Vector{CPUMilli: cpuMilliPerVM, MemoryMB: memoryMBPerVM, Slots: slotsPerVM},
		})
		rows = append(rows, listedVM(vm, string(domain), i))
		if len(joining) == joinSize || i == size.Upstreams-1 {
			join := config.JoinUpstreams{Domain: domain, Upstreams: joining}
			if err := appendBatch(ctx, log, []config.Record{record(join)}); err != nil {
				return err
			}
			joining = nil
		}
	}
	if !size.List {
		return nil
	}
	return devmode.PutVMs(ctx, address, rows)
}

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
