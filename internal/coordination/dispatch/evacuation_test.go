package dispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/samphirerail/samphirerail/internal/coordination/bootclock"
	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/coordination/replica"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
	"github.com/samphirerail/samphirerail/platform"
	"github.com/samphirerail/samphirerail/platform/fakewire"
)

// gate blocks callers while it is closed.
type gate struct {
	mu     sync.Mutex
	closed chan struct{}
	// waiting counts the callers that wait.
	waiting atomic.Int64
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = make(chan struct{})
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.closed)
	g.closed = nil
}

func (g *gate) pass(ctx context.Context) {
	g.mu.Lock()
	closed := g.closed
	g.mu.Unlock()
	if closed == nil {
		return
	}
	g.waiting.Add(1)
	defer g.waiting.Add(-1)
	select {
	case <-closed:
	case <-ctx.Done():
	}
}

// gatedLog holds the responses to reads of the operators' topic and of the registrations, and
// appends of the state of the second job, at gates.
type gatedLog struct {
	port.Log
	operators, states, registrations gate
}

func (l *gatedLog) Read(ctx context.Context, topic port.Topic, from int64, wait time.Duration) (port.Batch, error) {
	batch, err := l.Log.Read(ctx, topic, from, wait)
	switch topic {
	case port.TopicOperators:
		l.operators.pass(ctx)
	case port.TopicUpstreams:
		l.registrations.pass(ctx)
	case port.TopicJobs, port.TopicStatus:
	}
	return batch, err
}

func (l *gatedLog) Append(ctx context.Context, a port.Append) (int64, error) {
	for _, r := range a.Records {
		if r.Key == "s"+string(secondJob) {
			l.states.pass(ctx)
		}
	}
	return l.Log.Append(ctx, a)
}

// evacuationSystem is an entry with a fake platform of one runner of 8 cores in each of two
// zones. Any start in an evacuated zone is a problem of the fleet.
type evacuationSystem struct {
	*is.I
	t       *testing.T
	log     *gatedLog
	fleet   *fakewire.Fleet
	replica *replica.Replica
	manager *Manager
	runners []*fakewire.Runner
	// paused is how long the process was paused.
	paused atomic.Int64
	out    syncBuffer
}

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func newEvacuationSystem(t *testing.T, limit time.Duration) *evacuationSystem {
	return newLimitedSystem(t, limit, 0)
}

func newLimitedSystem(t *testing.T, limit, capacityLimit time.Duration) *evacuationSystem {
	e := &evacuationSystem{I: is.New(t), t: t}
	wire := fakewire.NewLog()
	e.fleet = fakewire.NewFleet(wire, nil)
	address := func(h http.Handler) string {
		server := httptest.NewServer(h)
		t.Cleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		return strings.TrimPrefix(server.URL, "http://")
	}
	for i, zone := range []string{"z1", "z2"} {
		var runner *fakewire.Runner
		serve := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { runner.ServeHTTP(w, r) })
		runner = e.fleet.AddIn(zone, []string{"i-1", "i-2"}[i], "pool", address(serve), 8000, "a", zone)
		e.runners = append(e.runners, runner)
	}
	config, err := json.Marshal(fakewire.Config(1, "h.example", "pool", 0, 0))
	e.NoErr(err)
	wire.Put("keyed.op", "config", config)
	e.log = &gatedLog{Log: platform.NewLog(address(wire), nil)}
	logger := hclog.New(&hclog.LoggerOptions{Output: &e.out, Mutex: &sync.Mutex{}})
	clock := func() time.Duration { return bootclock.Now() + time.Duration(e.paused.Load()) }
	e.replica = replica.New(e.log, platform.Decoder{}, logger, metrics.NewRegistry(), replica.WithClock(clock), replica.WithEvacuationLimit(limit))
	e.manager = NewManager(Config{
		Log: e.log, Decoder: platform.Decoder{}, Upstreams: platform.NewRunners(nil), Replica: e.replica, Name: "self",
		Lease: 5 * time.Second, EvacuationLimit: limit, CapacityLimit: capacityLimit, Retention: time.Minute, Slow: func() bool { return false }, Logger: logger, Registry: metrics.NewRegistry(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { e.replica.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	e.await("the replica is loaded", func() bool { return e.replica.Health().Loaded })
	return e
}

// own makes the entry the owner until the test ends.
func (e *evacuationSystem) own() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		e.manager.Run(ctx)
		close(done)
	}()
	e.t.Cleanup(func() {
		cancel()
		<-done
	})
	e.await("the entry owns the placement", e.manager.Owning)
}

func (e *evacuationSystem) await(what string, condition func() bool) {
	e.t.Helper()
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	e.t.Fatalf("not within 10 s: %s\n%s", what, e.out.String())
}

// job submits a job of tasks of 2 cores that run for 100 ms. A gang's tasks have 4 cores.
func (e *evacuationSystem) job(id workload.JobID, tasks int, gang bool) error {
	cpu := int64(2000)
	spec := fakewire.Spec{RunMS: 100, CPU: cpu}
	if gang {
		cpu = 4000
		spec = fakewire.Spec{RunMS: 100, CPU: cpu, Gang: tasks}
	}
	payload, err := json.Marshal(spec)
	e.NoErr(err)
	record, err := ledger.JobRecord(&workload.Job{
		ID: id, Queue: "queue", Workspace: "team", Payload: string(payload), SubmittedUnixMS: time.Now().UnixMilli(),
		Steps: []workload.Step{{Count: tasks, Each: state.Vector{CPUMilli: cpu, MemoryMB: 64, Slots: 1}, EstimateMS: 100, Gang: gang}},
	})
	e.NoErr(err)
	return e.manager.Record(context.Background(), record)
}

// submit submits a job like job, without waiting for the append that records it. The result
// arrives on the channel.
func (e *evacuationSystem) submit(id workload.JobID, tasks int, gang bool) <-chan error {
	result := make(chan error, 1)
	go func() { result <- e.job(id, tasks, gang) }()
	return result
}

// pause makes the owner appear as paused for a time, with the response to a read of the
// operators' topic in its buffers.
func (e *evacuationSystem) pause(d time.Duration) {
	e.log.operators.close()
	e.await("a response waits", func() bool { return e.log.operators.waiting.Load() > 0 })
	e.paused.Add(int64(d))
}

func (e *evacuationSystem) completed(id workload.JobID) func() bool {
	return func() bool {
		row, ok := e.replica.Row(id)
		return ok && row.State.Phase == ledger.Complete
	}
}

func (e *evacuationSystem) starts(id workload.JobID, tasks int) (n int) {
	for i := range tasks {
		n += e.fleet.Starts(workload.TaskID{Job: id, Index: i}.String())
	}
	return n
}

func (e *evacuationSystem) checkNoProblems() {
	e.t.Helper()
	for _, problem := range e.fleet.Problems() {
		e.t.Error(problem)
	}
}

const (
	firstJob, secondJob workload.JobID = "00000000000000aa", "00000000000000bb"
	evacuationLimit                    = 5 * time.Second
)

// TestPausedOwnerHoldsStarts guards against an owner that starts tasks by an old set of
// evacuated domains: it was paused, and the response in its buffers is as old as the pause.
func TestPausedOwnerHoldsStarts(t *testing.T) {
	e := newEvacuationSystem(t, evacuationLimit)
	e.own()
	e.NoErr(e.job(firstJob, 4, false))
	e.await("the first job is complete", e.completed(firstJob))
	e.pause(20 * time.Second)
	e.fleet.Evacuate("z1")
	e.NoErr(e.job(secondJob, 8, false)) // needs both zones at once
	e.await("starts are held", func() bool { return strings.Contains(e.out.String(), "starts held") })
	time.Sleep(200 * time.Millisecond)
	e.Equal(e.starts(secondJob, 8), 0)
	e.log.operators.open()
	e.await("the second job is complete", e.completed(secondJob))
	e.checkNoProblems()
	e.True(strings.Contains(e.out.String(), "start withdrawn"))
}

// TestNewOwnerWithOldReadHoldsStarts covers an entry that becomes the owner while its newest
// read of the operators' topic is too old.
func TestNewOwnerWithOldReadHoldsStarts(t *testing.T) {
	e := newEvacuationSystem(t, evacuationLimit)
	e.pause(4100 * time.Millisecond) // less than the limit by less than the margin
	e.fleet.Evacuate("z2")
	e.own()
	e.NoErr(e.job(firstJob, 8, false))
	e.await("starts are held", func() bool { return strings.Contains(e.out.String(), "starts held") })
	time.Sleep(200 * time.Millisecond)
	e.Equal(e.starts(firstJob, 8), 0)
	e.log.operators.open()
	e.await("the job is complete", e.completed(firstJob))
	e.checkNoProblems()
}

// TestWithoutLimitAgeIsNotChecked checks that an entry without the setting is not affected by
// the age of the read.
func TestWithoutLimitAgeIsNotChecked(t *testing.T) {
	e := newEvacuationSystem(t, 0)
	e.own()
	e.pause(time.Hour)
	e.NoErr(e.job(firstJob, 8, false))
	e.await("the job is complete", e.completed(firstJob))
	e.log.operators.open()
}

// TestRecordedStartIsWithdrawn evacuates a domain while the append of planned starts is in
// flight. Those in the domain, and a gang with a member there, must not be sent.
func TestRecordedStartIsWithdrawn(t *testing.T) {
	for _, gang := range []bool{false, true} {
		t.Run(map[bool]string{false: "single tasks", true: "gang"}[gang], func(t *testing.T) {
			e := newEvacuationSystem(t, evacuationLimit)
			e.own()
			tasks := 8
			if gang {
				tasks = 4 // two fit each zone
			}
			e.NoErr(e.job(firstJob, tasks, gang))
			e.await("the first job is complete", e.completed(firstJob))
			e.log.states.close()
			submitted := e.submit(secondJob, tasks, gang)
			e.await("the starts wait for their append", func() bool { return e.log.states.waiting.Load() > 0 })
			e.fleet.Evacuate("z1")
			e.await("the request was read", func() bool { set, _ := e.replica.Evacuation(); return set.Len() == 1 })
			e.log.states.open()
			e.NoErr(<-submitted)
			e.await("the starts are withdrawn", func() bool { return strings.Contains(e.out.String(), "start withdrawn") })
			if gang {
				time.Sleep(500 * time.Millisecond)
				e.Equal(e.starts(secondJob, tasks), 0)
				e.fleet.Restore("z1")
			}
			e.await("the second job is complete", e.completed(secondJob))
			e.checkNoProblems()
		})
	}
}

// TestAllDomainsEvacuated checks that jobs are refused at once with a time to return while no
// domain is left, and are served after one was restored.
func TestAllDomainsEvacuated(t *testing.T) {
	e := newEvacuationSystem(t, evacuationLimit)
	e.own()
	e.NoErr(e.job(firstJob, 4, false))
	e.await("the first job is complete", e.completed(firstJob))
	for _, zone := range []string{"z1", "z2", "unknown"} {
		e.fleet.Evacuate(zone)
	}
	e.await("the unknown domain is logged", func() bool {
		return strings.Contains(e.out.String(), "no upstream is registered in an evacuated domain")
	})
	var refused *port.RefusedError
	e.True(errors.As(e.job(secondJob, 4, false), &refused))
	e.True(refused.RetryAfter > time.Second)
	e.fleet.Restore("z2")
	e.await("the job is accepted", func() bool { return e.job(secondJob, 4, false) == nil })
	e.await("the job is complete", e.completed(secondJob))
	e.checkNoProblems()
}

// TestStartLeaseEndsWithTheLimit guards against a start that is delayed on the way and
// executed after an evacuation, which the newest read does not show, has taken effect.
func TestStartLeaseEndsWithTheLimit(t *testing.T) {
	cases := []struct {
		name       string
		limit, age time.Duration
		lease      time.Duration
		may, renew bool
	}{
		{name: "no limit", age: time.Hour, lease: 5 * time.Second, may: true},
		{name: "recent read", limit: 5 * time.Second, age: time.Second, lease: 4 * time.Second, may: true},
		{name: "old read", limit: 5 * time.Second, age: 3900 * time.Millisecond, lease: 1100 * time.Millisecond, may: true, renew: true},
		{name: "too old a read", limit: 5 * time.Second, age: 4 * time.Second, lease: time.Second, renew: true},
		{name: "long limit", limit: time.Minute, age: time.Second, lease: 5 * time.Second, may: true},
		{name: "limit below the margin", limit: 800 * time.Millisecond, age: 300 * time.Millisecond, lease: 500 * time.Millisecond, may: true, renew: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var now time.Duration
			log := &slowLog{}
			r := replica.New(log, stubDecoder{}, hclog.NewNullLogger(), metrics.NewRegistry(), replica.WithClock(func() time.Duration { return now }))
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				r.Run(ctx)
				close(done)
			}()
			for !r.Health().Loaded {
				time.Sleep(time.Millisecond)
			}
			cancel()
			<-done
			now = c.age
			o := &owner{ownerDeps: &ownerDeps{replica: r, lease: 5 * time.Second, evacuationLimit: c.limit}}
			is.Equal(o.mayStart(), c.may)
			lease, renew := o.startLease()
			is.Equal(lease, c.lease)
			is.Equal(renew, c.renew)
		})
	}
}
