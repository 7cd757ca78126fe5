package owner

import (
	"context"
	"fmt"
	"math"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/machine"
	"github.com/samphirerail/samphirerail/standin/devplatform"
	"github.com/samphirerail/samphirerail/standin/worker"
)

const contrastTeam = state.TeamID("fitting-north")

// link is an owner's way to a worker. It can hold a start back, so that it
// arrives after its sender gave up, and lose everything.
type link struct {
	devplatform.Worker
	mu   sync.Mutex
	hold bool
	down bool
	late *devplatform.StartRequest
}

func (l *link) set(hold, down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hold, l.down = hold, down
}

// lost reports whether a call is lost; its caller then waits in vain.
func (l *link) lost(ctx context.Context, start *devplatform.StartRequest) bool {
	l.mu.Lock()
	held := l.hold && start != nil
	if held {
		l.hold, l.late = false, start
	}
	lost := held || l.down
	l.mu.Unlock()
	if lost {
		<-ctx.Done()
	}
	return lost
}

// deliver lets the start that was held back arrive.
func (l *link) deliver(t *testing.T) {
	t.Helper()
	l.mu.Lock()
	late := l.late
	l.mu.Unlock()
	if late == nil {
		t.Fatal("no start was held back")
	}
	_, _ = l.Worker.Start(t.Context(), *late)
}

func (l *link) Fence(ctx context.Context, req devplatform.FenceRequest) (devplatform.FenceReply, error) {
	if l.lost(ctx, nil) {
		return devplatform.FenceReply{}, devplatform.ErrUnavailable
	}
	return l.Worker.Fence(ctx, req)
}

func (l *link) Start(ctx context.Context, req devplatform.StartRequest) (devplatform.StartReply, error) {
	if l.lost(ctx, &req) {
		return devplatform.StartReply{}, devplatform.ErrUnavailable
	}
	return l.Worker.Start(ctx, req)
}

func (l *link) Sync(ctx context.Context, req devplatform.SyncRequest) (devplatform.SyncReply, error) {
	if l.lost(ctx, nil) {
		return devplatform.SyncReply{}, devplatform.ErrUnavailable
	}
	return l.Worker.Sync(ctx, req)
}

func (l *link) Control(ctx context.Context, req devplatform.ControlRequest) (devplatform.ControlReply, error) {
	if l.lost(ctx, nil) {
		return devplatform.ControlReply{}, devplatform.ErrUnavailable
	}
	return l.Worker.Control(ctx, req)
}

func (l *link) Inspect(ctx context.Context, req devplatform.InspectRequest) (devplatform.StartReply, error) {
	if l.lost(ctx, nil) {
		return devplatform.StartReply{}, devplatform.ErrUnavailable
	}
	return l.Worker.Inspect(ctx, req)
}

// stage is a set of workers with one slot each, and the owners of them.
type stage struct {
	t       *testing.T
	workers []*worker.Worker
	links   []*link
	// leaving says that every upstream leaves.
	leaving atomic.Bool
	version atomic.Uint64
}

// Version implements Source.
func (s *stage) Version() uint64 { return s.version.Load() }

// leave changes whether every upstream leaves.
func (s *stage) leave(leaving bool) {
	s.leaving.Store(leaving)
	s.version.Add(1)
}

// Load implements Source.
func (s *stage) Load() Inventory {
	inventory := Inventory{Known: true, Quotas: []machine.Quota{{
		Team: contrastTeam, Weight: 1, MaxQueued: 10,
		Limit: state.Vector{CPUMilli: 16000, MemoryMB: 32768, Slots: 8},
	}}}
	for i, w := range s.workers {
		inventory.Upstreams = append(inventory.Upstreams, Upstream{
			VM: state.VMID(w.History().VMID), Address: fmt.Sprint(i), Incarnation: w.History().Incarnation,
			Rack: "r1", Service: "fitting", Capacity: CapacityVector(w.History().Capacity),
			Leaving: s.leaving.Load(),
		})
	}
	return inventory
}

// newStage makes workers that ignore parts of their protocol.
func newStage(t *testing.T, workers int, ignore worker.Ignore) *stage {
	s := &stage{t: t}
	s.version.Store(1)
	for i := range workers {
		w := worker.New(worker.Config{
			VMID: fmt.Sprintf("up%d", i), Domain: "north", Rack: "r1", Service: "fitting",
			Capacity: devplatform.Capacity{Resources: devplatform.Resources{CPUMilli: 4000, MemoryMB: 8192}, Slots: 1, Connections: 64},
		})
		if err := w.SetFaults(worker.Faults{Ignore: ignore}); err != nil {
			t.Fatal(err)
		}
		s.workers = append(s.workers, w)
		s.links = append(s.links, &link{Worker: w})
	}
	return s
}

// own runs an owner of an epoch; the function returned ends it as a crash does.
func (s *stage) own(number uint64) (*Shard, func()) {
	epoch := devplatform.Epoch{Number: number, Owner: fmt.Sprintf("e%d/1", number)}
	policy := machine.DefaultConfig()
	policy.FirstAttempt = firstAttempt(epoch)
	shard := NewShard(Config{
		Shard: "north/0", Epoch: epoch, Machine: policy, Source: s, Logger: hclog.NewNullLogger(),
		Timing: Timing{Lease: 2 * time.Second, SyncWait: 500 * time.Millisecond, Call: time.Second, MaxRequest: time.Minute, Tick: 100 * time.Millisecond},
		Dial: func(address string) devplatform.Worker {
			var i int
			_, _ = fmt.Sscan(address, &i)
			return s.links[i]
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		shard.Run(ctx)
	}()
	return shard, func() { cancel(); <-ended }
}

// submit hands a job, which runs for a minute and may run again, to an owner.
func (s *stage) submit(shard *Shard) {
	s.t.Helper()
	_, err := shard.Submit(s.t.Context(), coordination.Submission{
		ID: "north.01980000-0000-7000-8000-000000000001", Team: contrastTeam, Class: state.ClassBatch, Service: "fitting",
		Tasks: 1, Each: state.Vector{CPUMilli: 100, MemoryMB: 100, Slots: 1}, Idempotent: true, Fresh: true,
		Payload: []byte(`{"run_ms":60000,"output":"done"}`),
	})
	if err != nil {
		s.t.Fatal(err)
	}
}

// runs returns what all workers ran.
func (s *stage) runs() []worker.Run {
	var runs []worker.Run
	for _, w := range s.workers {
		runs = append(runs, w.History().Runs...)
	}
	return runs
}

// harm reports whether a task ran twice at once or a worker held more than its
// capacity, from the workers' own records.
func (s *stage) harm() bool {
	for _, w := range s.workers {
		if len(w.History().Violations) > 0 {
			return true
		}
	}
	runs := s.runs()
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			if taskIndex(a) == taskIndex(b) && a.StartUnixNano < runEnd(b) && b.StartUnixNano < runEnd(a) {
				return true
			}
		}
	}
	return false
}

func taskIndex(r worker.Run) string { return r.TaskID[:strings.LastIndex(r.TaskID, "/")] }

func runEnd(r worker.Run) int64 {
	if r.EndUnixNano == 0 {
		return math.MaxInt64
	}
	return r.EndUnixNano
}

// TestWorkersMustEnforce plays sequences of events on virtual time that do harm
// exactly when a worker ignores a part of its protocol.
func TestWorkersMustEnforce(t *testing.T) {
	tests := []struct {
		name    string
		workers int
		without worker.Ignore
		play    func(is *is.I, s *stage)
	}{
		{name: "a start of a replaced owner arrives late", workers: 1, without: worker.Ignore{Epochs: true}, play: func(is *is.I, s *stage) {
			old, crash := s.own(1)
			time.Sleep(time.Second)
			s.links[0].set(true, false)
			s.submit(old)
			synctest.Wait()
			crash()
			successor, end := s.own(2)
			defer end()
			time.Sleep(time.Second)
			s.submit(successor)
			time.Sleep(time.Second)
			is.Equal(len(s.runs()), 1)
			s.links[0].deliver(s.t)
		}},
		{name: "a start arrives after its cancel", workers: 1, without: worker.Ignore{EarlyCancels: true}, play: func(is *is.I, s *stage) {
			shard, end := s.own(1)
			defer end()
			time.Sleep(time.Second)
			s.links[0].set(true, false)
			s.submit(shard)
			time.Sleep(5 * time.Second)
			is.Equal(len(s.runs()), 1)
			s.links[0].deliver(s.t)
		}},
		{name: "a worker out of reach is replaced after its lease", workers: 2, without: worker.Ignore{LeaseEnds: true}, play: func(is *is.I, s *stage) {
			shard, end := s.own(1)
			defer end()
			time.Sleep(time.Second)
			s.submit(shard)
			time.Sleep(time.Second)
			is.Equal(len(s.runs()), 1)
			for i, w := range s.workers {
				s.links[i].set(false, len(w.History().Runs) == 1)
			}
			time.Sleep(20 * time.Second)
			is.Equal(len(s.runs()), 2)
		}},
	}
	for _, tt := range tests {
		for _, ignore := range []worker.Ignore{{}, tt.without} {
			t.Run(fmt.Sprintf("%s/ignore %+v", tt.name, ignore), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					s := newStage(t, tt.workers, ignore)
					tt.play(is, s)
					is.Equal(s.harm(), ignore != worker.Ignore{})
				})
			})
		}
	}
}

// TestLeavingUpstreams shows that an owner gives no new work to upstreams that
// leave, also when it took over after they began to, and uses them again when
// they stay.
func TestLeavingUpstreams(t *testing.T) {
	tests := []struct {
		name string
		play func(s *stage)
		runs int
	}{
		{name: "already leaving when the owner took over", play: func(*stage) {}, runs: 0},
		{name: "staying after all", play: func(s *stage) { s.leave(false) }, runs: 1},
		{name: "leaving again", play: func(s *stage) {
			s.leave(false)
			time.Sleep(time.Second)
			s.leave(true)
		}, runs: 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStage(t, 1, worker.Ignore{})
				s.leave(true)
				shard, end := s.own(1)
				defer end()
				time.Sleep(time.Second)
				tt.play(s)
				time.Sleep(time.Second)
				s.submit(shard)
				time.Sleep(5 * time.Second)
				is.New(t).Equal(len(s.runs()), tt.runs)
			})
		})
	}
}
