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

// heldWorker holds each Sync for as long as it may, and notes the longest.
type heldWorker struct {
	devplatform.Worker
	vm   string
	mu   sync.Mutex
	held time.Duration
	// usages counts the reports of usage.
	usages int
}

func (w *heldWorker) Fence(context.Context, devplatform.FenceRequest) (devplatform.FenceReply, error) {
	return devplatform.FenceReply{VMID: w.vm, Incarnation: "i"}, nil
}

func (w *heldWorker) Sync(ctx context.Context, req devplatform.SyncRequest) (devplatform.SyncReply, error) {
	w.mu.Lock()
	w.held = max(w.held, req.Wait)
	reply := devplatform.SyncReply{Incarnation: "i"}
	if !req.SkipUsage {
		w.usages++
		reply.Usage = []devplatform.TaskUsage{{TaskID: "t"}}
	}
	w.mu.Unlock()
	sleep(ctx, req.Wait)
	return reply, ctx.Err()
}

func (w *heldWorker) longest() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.held
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
		// want is how long each worker with an address may hold a Sync.
		want map[string]time.Duration
	}{
		{
			name: "the first three",
			list: []Upstream{upstream(1, "a1", false), upstream(2, "a2", false), upstream(3, "a3", false), upstream(4, "a4", false)},
			want: map[string]time.Duration{"a1": probedSyncWait, "a2": probedSyncWait, "a3": probedSyncWait, "a4": 5 * time.Second},
		},
		{
			name: "one without an address and one that is gone do not count",
			list: []Upstream{upstream(1, "", false), upstream(2, "a2", true), upstream(3, "a3", false), upstream(4, "a4", false), upstream(5, "a5", false)},
			want: map[string]time.Duration{"a3": probedSyncWait, "a4": probedSyncWait, "a5": probedSyncWait},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				workers := map[string]*heldWorker{}
				for _, u := range tt.list {
					workers[u.Address] = &heldWorker{vm: string(u.VM)}
				}
				timing := DefaultTiming()
				end := runShard(t.Context(), timing, tt.list, workers)
				time.Sleep(2 * timing.SyncWait)
				for address, want := range tt.want {
					is.Equal(workers[address].longest(), want)
				}
				end()
			})
		})
	}
}

// runShard runs a shard until the returned function is called.
func runShard(ctx context.Context, timing Timing, list []Upstream, workers map[string]*heldWorker) (end func()) {
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

func TestUsageIsAskedForAtAnInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &heldWorker{vm: "u1"}
		end := runShard(t.Context(), DefaultTiming(), []Upstream{{VM: "u1", Address: "a1"}}, map[string]*heldWorker{"a1": w})
		time.Sleep(2*usageInterval + usageInterval/2)
		end()
		is.Equal(w.usages, 3)
	})
}
