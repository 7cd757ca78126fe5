package owner

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/machine"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// longSyncWorker delays each answer to a Sync for as long as it is allowed to, and
// records the longest delay allowed.
type longSyncWorker struct {
	devplatform.Worker
	vm      string
	mu      sync.Mutex
	maxWait time.Duration
	// usages is the number of usage reports.
	usages int
}

func (w *longSyncWorker) Fence(context.Context, devplatform.FenceRequest) (devplatform.FenceReply, error) {
	return devplatform.FenceReply{VMID: w.vm, Incarnation: "i"}, nil
}

func (w *longSyncWorker) Sync(ctx context.Context, req devplatform.SyncRequest) (devplatform.SyncReply, error) {
	w.mu.Lock()
	w.maxWait = max(w.maxWait, req.Wait)
	reply := devplatform.SyncReply{Incarnation: "i"}
	if !req.SkipUsage {
		w.usages++
		reply.Usage = []devplatform.TaskUsage{{TaskID: "t"}}
	}
	w.mu.Unlock()
	sleep(ctx, req.Wait)
	return reply, ctx.Err()
}

func (w *longSyncWorker) longestWait() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.maxWait
}

type fixedSource struct{ inventory Inventory }

func (s fixedSource) Version() uint64 { return 1 }
func (s fixedSource) Load() Inventory { return s.inventory }

func TestProbedWorkersAreSyncedOften(t *testing.T) {
	upstream := func(n int, address string, gone bool) Upstream {
		return Upstream{VM: state.VMID(fmt.Sprint("u", n)), Address: address, Gone: gone}
	}
	tests := []struct {
		name string
		list []Upstream
		// want is the longest delay of a Sync per worker with an address.
		want map[string]time.Duration
	}{
		{
			name: "the first three are probed",
			list: []Upstream{upstream(1, "a1", false), upstream(2, "a2", false), upstream(3, "a3", false), upstream(4, "a4", false)},
			want: map[string]time.Duration{"a1": probedSyncWait, "a2": probedSyncWait, "a3": probedSyncWait, "a4": 5 * time.Second},
		},
		{
			name: "upstreams that are gone or have no address are not probed",
			list: []Upstream{upstream(1, "", false), upstream(2, "a2", true), upstream(3, "a3", false), upstream(4, "a4", false), upstream(5, "a5", false)},
			want: map[string]time.Duration{"a3": probedSyncWait, "a4": probedSyncWait, "a5": probedSyncWait},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				workers := map[string]*longSyncWorker{}
				for _, u := range tt.list {
					workers[u.Address] = &longSyncWorker{vm: string(u.VM)}
				}
				timing := DefaultTiming()
				end := runShard(t.Context(), timing, tt.list, workers)
				time.Sleep(2 * timing.SyncWait)
				for address, want := range tt.want {
					is.Equal(workers[address].longestWait(), want)
				}
				end()
			})
		})
	}
}

// runShard runs a shard until the returned function is called, which waits for its end.
func runShard(ctx context.Context, timing Timing, list []Upstream, workers map[string]*longSyncWorker) (end func()) {
	shard := NewShard(Config{
		Shard: "a/0", Epoch: devplatform.Epoch{Number: 1, Owner: "e"}, Machine: machine.DefaultConfig(), Timing: timing,
		Source: fixedSource{Inventory{Known: true, Upstreams: list}},
		Dial:   func(address string) devplatform.Worker { return workers[address] },
		Logger: hclog.NewNullLogger(),
	})
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		shard.Run(ctx)
	}()
	return func() {
		cancel()
		<-ended
	}
}

func TestUsageIsRequestedAtInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &longSyncWorker{vm: "u1"}
		end := runShard(t.Context(), DefaultTiming(), []Upstream{{VM: "u1", Address: "a1"}}, map[string]*longSyncWorker{"a1": w})
		time.Sleep(2*usageInterval + usageInterval/2)
		end()
		is.Equal(w.usages, 3)
	})
}
