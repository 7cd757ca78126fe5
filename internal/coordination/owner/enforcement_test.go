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

const enforcementTeam = state.TeamID("fitting-north")

// faultyWorker is an owner's connection to a worker. It can delay a start until after
// the sender's timeout, and lose all calls.
type faultyWorker struct {
	devplatform.Worker
	mu           sync.Mutex
	holdStart    bool
	disconnected bool
	heldStart    *devplatform.StartRequest
}

func (l *faultyWorker) setFaults(holdStart, disconnected bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holdStart, l.disconnected = holdStart, disconnected
}

// loseCall reports whether a call is lost. It then blocks until the caller's timeout.
func (l *faultyWorker) loseCall(ctx context.Context, start *devplatform.StartRequest) bool {
	l.mu.Lock()
	held := l.holdStart && start != nil
	if held {
		l.holdStart, l.heldStart = false, start
	}
	lost := held || l.disconnected
	l.mu.Unlock()
	if lost {
		<-ctx.Done()
	}
	return lost
}

// deliverHeldStart delivers the delayed start to the worker.
func (l *faultyWorker) deliverHeldStart(t *testing.T) {
	t.Helper()
	l.mu.Lock()
	heldStart := l.heldStart
	l.mu.Unlock()
	if heldStart == nil {
		t.Fatal("no start was delayed")
	}
	_, _ = l.Worker.Start(t.Context(), *heldStart)
}

func (l *faultyWorker) Fence(ctx context.Context, req devplatform.FenceRequest) (devplatform.FenceReply, error) {
	if l.loseCall(ctx, nil) {
		return devplatform.FenceReply{}, devplatform.ErrUnavailable
	}
	return l.Worker.Fence(ctx, req)
}

func (l *faultyWorker) Start(ctx context.Context, req devplatform.StartRequest) (devplatform.StartReply, error) {
	if l.loseCall(ctx, &req) {
		return devplatform.StartReply{}, devplatform.ErrUnavailable
	}
	return l.Worker.Start(ctx, req)
}

func (l *faultyWorker) Sync(ctx context.Context, req devplatform.SyncRequest) (devplatform.SyncReply, error) {
	if l.loseCall(ctx, nil) {
		return devplatform.SyncReply{}, devplatform.ErrUnavailable
	}
	return l.Worker.Sync(ctx, req)
}

func (l *faultyWorker) Control(ctx context.Context, req devplatform.ControlRequest) (devplatform.ControlReply, error) {
	if l.loseCall(ctx, nil) {
		return devplatform.ControlReply{}, devplatform.ErrUnavailable
	}
	return l.Worker.Control(ctx, req)
}

func (l *faultyWorker) Inspect(ctx context.Context, req devplatform.InspectRequest) (devplatform.StartReply, error) {
	if l.loseCall(ctx, nil) {
		return devplatform.StartReply{}, devplatform.ErrUnavailable
	}
	return l.Worker.Inspect(ctx, req)
}

// ownerFixture is a set of workers with one slot each, and the source for their owners.
type ownerFixture struct {
	t           *testing.T
	workers     []*worker.Worker
	connections []*faultyWorker
	// leaving says that every upstream is leaving.
	leaving atomic.Bool
	version atomic.Uint64
}

// Version implements Source.
func (s *ownerFixture) Version() uint64 { return s.version.Load() }

// setLeaving sets whether every upstream is leaving.
func (s *ownerFixture) setLeaving(leaving bool) {
	s.leaving.Store(leaving)
	s.version.Add(1)
}

// Load implements Source.
func (s *ownerFixture) Load() Inventory {
	inventory := Inventory{Known: true, Quotas: []machine.Quota{{
		Team: enforcementTeam, Weight: 1, MaxQueued: 10,
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

// newOwnerFixture creates workers that ignore the given parts of their protocol.
func newOwnerFixture(t *testing.T, workers int, ignore worker.ProtocolViolations) *ownerFixture {
	s := &ownerFixture{t: t}
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
		s.connections = append(s.connections, &faultyWorker{Worker: w})
	}
	return s
}

// startOwner runs an owner of the given epoch. The returned function stops it abruptly,
// as a crash does.
func (s *ownerFixture) startOwner(number uint64) (*Shard, func()) {
	epoch := devplatform.Epoch{Number: number, Owner: fmt.Sprintf("e%d/1", number)}
	policy := machine.DefaultConfig()
	policy.FirstAttempt = firstAttempt(epoch)
	shard := NewShard(Config{
		Shard: "north/0", Epoch: epoch, Machine: policy, Source: s, Logger: hclog.NewNullLogger(),
		Timing: Timing{Lease: 2 * time.Second, SyncWait: 500 * time.Millisecond, Call: time.Second, MaxRequest: time.Minute, Tick: 100 * time.Millisecond},
		Dial: func(address string) devplatform.Worker {
			var i int
			_, _ = fmt.Sscan(address, &i)
			return s.connections[i]
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

// submit submits an idempotent job with a run time of one minute to an owner.
func (s *ownerFixture) submit(shard *Shard) {
	s.t.Helper()
	_, err := shard.Submit(s.t.Context(), coordination.Submission{
		ID: "north.01980000-0000-7000-8000-000000000001", Team: enforcementTeam, Class: state.ClassBatch, Service: "fitting",
		Tasks: 1, Each: state.Vector{CPUMilli: 100, MemoryMB: 100, Slots: 1}, Idempotent: true, Fresh: true,
		Payload: []byte(`{"run_ms":60000,"output":"done"}`),
	})
	if err != nil {
		s.t.Fatal(err)
	}
}

// runs returns the recorded runs of all workers.
func (s *ownerFixture) runs() []worker.Run {
	var runs []worker.Run
	for _, w := range s.workers {
		runs = append(runs, w.History().Runs...)
	}
	return runs
}

// violated reports, from the workers' own records, whether a task ran twice at the same
// time or a worker exceeded its capacity.
func (s *ownerFixture) violated() bool {
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

// TestWorkersMustEnforce checks that the owner needs workers to enforce their protocol.
// Each sequence of events, on virtual time, leads to a violation when the workers ignore
// one rule (epochs, cancels that arrive before the start, the end of the lease), and to
// none when they enforce all of them.
func TestWorkersMustEnforce(t *testing.T) {
	tests := []struct {
		name     string
		workers  int
		ignored  worker.ProtocolViolations
		scenario func(is *is.I, s *ownerFixture)
	}{
		{name: "delayed start command of a replaced owner", workers: 1, ignored: worker.ProtocolViolations{Epochs: true}, scenario: func(is *is.I, s *ownerFixture) {
			old, crash := s.startOwner(1)
			time.Sleep(time.Second)
			s.connections[0].setFaults(true, false)
			s.submit(old)
			synctest.Wait()
			crash()
			successor, end := s.startOwner(2)
			defer end()
			time.Sleep(time.Second)
			s.submit(successor)
			time.Sleep(time.Second)
			is.Equal(len(s.runs()), 1)
			s.connections[0].deliverHeldStart(s.t)
		}},
		{name: "start command arrives after its cancel", workers: 1, ignored: worker.ProtocolViolations{Revocations: true}, scenario: func(is *is.I, s *ownerFixture) {
			shard, end := s.startOwner(1)
			defer end()
			time.Sleep(time.Second)
			s.connections[0].setFaults(true, false)
			s.submit(shard)
			time.Sleep(5 * time.Second)
			is.Equal(len(s.runs()), 1)
			s.connections[0].deliverHeldStart(s.t)
		}},
		{name: "unreachable worker is replaced after its lease expired", workers: 2, ignored: worker.ProtocolViolations{LeaseEnds: true}, scenario: func(is *is.I, s *ownerFixture) {
			shard, end := s.startOwner(1)
			defer end()
			time.Sleep(time.Second)
			s.submit(shard)
			time.Sleep(time.Second)
			is.Equal(len(s.runs()), 1)
			for i, w := range s.workers {
				s.connections[i].setFaults(false, len(w.History().Runs) == 1)
			}
			time.Sleep(20 * time.Second)
			is.Equal(len(s.runs()), 2)
		}},
	}
	for _, tt := range tests {
		for _, ignore := range []worker.ProtocolViolations{{}, tt.ignored} {
			t.Run(fmt.Sprintf("%s/ignore %+v", tt.name, ignore), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					s := newOwnerFixture(t, tt.workers, ignore)
					tt.scenario(is, s)
					is.Equal(s.violated(), ignore != worker.ProtocolViolations{})
				})
			})
		}
	}
}

// TestLeavingUpstreams checks that an owner places no new work on leaving upstreams, also
// when they were leaving before it took over, and uses them again once they are no longer
// leaving.
func TestLeavingUpstreams(t *testing.T) {
	tests := []struct {
		name     string
		scenario func(s *ownerFixture)
		runs     int
	}{
		{name: "already leaving at takeover", scenario: func(*ownerFixture) {}, runs: 0},
		{name: "no longer leaving", scenario: func(s *ownerFixture) { s.setLeaving(false) }, runs: 1},
		{name: "leaving again", scenario: func(s *ownerFixture) {
			s.setLeaving(false)
			time.Sleep(time.Second)
			s.setLeaving(true)
		}, runs: 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newOwnerFixture(t, 1, worker.ProtocolViolations{})
				s.setLeaving(true)
				shard, end := s.startOwner(1)
				defer end()
				time.Sleep(time.Second)
				tt.scenario(s)
				time.Sleep(time.Second)
				s.submit(shard)
				time.Sleep(5 * time.Second)
				is.New(t).Equal(len(s.runs()), tt.runs)
			})
		})
	}
}
