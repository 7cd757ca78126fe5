package owner

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/machine"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// changingSource is a Source whose quotas can be changed.
type changingSource struct {
	mu        sync.Mutex
	version   uint64
	inventory Inventory
}

func (s *changingSource) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

func (s *changingSource) Load() Inventory {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inventory
}

func (s *changingSource) grantQuota(team state.TeamID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.inventory.ConfigVersion++
	s.inventory.Quotas = []machine.Quota{{Team: team, Weight: 1, MaxQueued: 1, Limit: state.Vector{CPUMilli: 1000, Slots: 1}}}
}

// TestNewContractAppliesImmediately checks that a submission is accepted under a contract
// that was folded since the owner's last tick.
func TestNewContractAppliesImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		up := Upstream{VM: "up", Service: "fitting", Capacity: state.Vector{CPUMilli: 1000, Slots: 1}}
		source := &changingSource{version: 1, inventory: Inventory{Known: true, Upstreams: []Upstream{up}}}
		timing := DefaultTiming()
		timing.Tick = time.Hour
		shard := NewShard(Config{
			Shard: "north/0", Machine: machine.DefaultConfig(), Timing: timing, Source: source, Logger: hclog.NewNullLogger(),
			Dial: func(string) devplatform.Worker { return nil },
		})
		ctx, cancel := context.WithCancel(t.Context())
		go shard.Run(ctx)
		synctest.Wait()
		source.grantQuota("band")
		status, err := shard.Submit(ctx, coordination.Submission{
			ID: "north.01980000-0000-7000-8000-000000000001", Team: "band", Class: state.ClassBatch, Service: "fitting",
			Tasks: 1, Each: state.Vector{CPUMilli: 1, Slots: 1}, Fresh: true,
		})
		is.NoErr(err)
		is.Equal(status.State, state.JobQueued)
		cancel()
		synctest.Wait()
	})
}
