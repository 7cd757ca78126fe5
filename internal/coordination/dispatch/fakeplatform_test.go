package dispatch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/coordination/replica"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/evacuation"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/scheduler"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// fakePlatform is a log, upstreams and entries in one process. Its upstreams report tasks
// that run twice, or again after they were done.
type fakePlatform struct {
	t       *testing.T
	mu      sync.Mutex
	records map[port.Topic][]ledger.Record
	fence   int64
	seqs    map[int64]int64 // offset by sequence number of the newest epoch
	changed chan struct{}
	silent  bool
	// maxLease is the lease to which upstreams shorten a longer one.
	maxLease time.Duration
	// callTime is how long a start takes one of an upstream's connections; 0 if they don't matter.
	callTime time.Duration
	// idPrefix begins the IDs of upstreams.
	idPrefix  string
	lostShare float64 // of the answers to appends
	// limits are those of appends; larger ones are refused for good and counted.
	limits    ledger.Limits
	refused   int
	rand      *rand.Rand
	config    *workload.Config
	upstreams map[workload.UpstreamID]*fakeUpstream
	entries   map[string]*fakeEntry
	// startDelay is how long the execution of a start is delayed, which then has no response.
	startDelay func(id workload.JobID) time.Duration
	// losePoll says that a poll gets no response; nil for none.
	losePoll   func() bool
	violations []string
	starts     []fakeStart
	jobs       map[workload.JobID]*workload.Job
	// done holds the tasks that ended successfully, acknowledged those of which the upstream
	// was told that the end is recorded.
	done, acknowledged map[workload.TaskID]bool
}

type fakeStart struct {
	run   scheduler.Run
	epoch int64
	at    time.Time
}

type fakeUpstream struct {
	reg      workload.Upstream
	born     time.Time
	fence    int64
	leaseEnd time.Time
	runs     map[workload.TaskID]fakeRun
	revoked  map[workload.TaskID]int64
	ended    []port.RunEnd
	count    int64
	// noted is the number of the newest end that the upstream was told to be recorded: it lists none
	// up to that number.
	noted int64
	// dark says that calls get no response; the polls among them are kept in latePolls.
	dark      bool
	latePolls []func()
	// hiddenFrom holds the entries that cannot reach it, refuses says that nothing listens.
	hiddenFrom map[string]bool
	refuses    bool
	// mute says that polls are carried out without an answer, delay how long their answers take, and
	// drift how much slower its clock runs.
	mute  bool
	delay time.Duration
	drift float64
	// starting holds the starts that have a connection, inFlight counts those that wait for one too.
	starting               chan struct{}
	inFlight, mostInFlight int
}

type fakeRun struct {
	number int64
	ends   time.Time
}

// fakeEntry is an entry process.
type fakeEntry struct {
	name    string
	p       *fakePlatform
	manager *Manager
	cancel  context.CancelFunc
	// cut says that the log turns the entry away.
	cut atomic.Bool
	// former says that the entry records no lease ends, as a former release.
	former bool
	// paused is the time for which its VM was suspended.
	paused atomic.Int64
	ended  chan struct{}
}

// fakeUpstreams is the number of upstreams of a fakePlatform, of 8 cores each.
const fakeUpstreams = 6

func newFakePlatform(t *testing.T) *fakePlatform {
	p := &fakePlatform{
		t: t, records: map[port.Topic][]ledger.Record{}, seqs: map[int64]int64{}, changed: make(chan struct{}), maxLease: 10 * time.Second, rand: rand.New(rand.NewPCG(1, 2)),
		upstreams: map[workload.UpstreamID]*fakeUpstream{}, entries: map[string]*fakeEntry{}, done: map[workload.TaskID]bool{}, acknowledged: map[workload.TaskID]bool{}, jobs: map[workload.JobID]*workload.Job{},
		config: &workload.Config{
			Version: 1, Queues: []workload.Queue{{Name: "q", Service: "s"}},
			Workspaces: []workload.Workspace{{Name: "w"}}, Services: []workload.Service{{Name: "s"}},
		},
	}
	p.records[port.TopicOperators] = []ledger.Record{{Key: "config", Value: []byte("1")}}
	p.addUpstreams(fakeUpstreams)
	return p
}

// addUpstreams registers n more upstreams. It must be called before the first entry starts.
func (p *fakePlatform) addUpstreams(n int) {
	for i := len(p.upstreams); n > 0; i, n = i+1, n-1 {
		id := workload.UpstreamID(fmt.Sprintf("%su%02d", p.idPrefix, i))
		p.upstreams[id] = &fakeUpstream{
			reg:  workload.Upstream{ID: id, Service: "s", Address: string(id), StartedUnixMS: 1, Capacity: state.Vector{CPUMilli: 8000, MemoryMB: 64000}},
			born: time.Now().Add(-time.Hour), runs: map[workload.TaskID]fakeRun{}, revoked: map[workload.TaskID]int64{}, hiddenFrom: map[string]bool{},
		}
		p.records[port.TopicUpstreams] = append(p.records[port.TopicUpstreams], ledger.Record{Key: string(id), Value: []byte("1"), Offset: int64(i)})
	}
}

// Config implements port.Decoder.
func (p *fakePlatform) Config(ledger.Record) (*workload.Config, error) {
	config := *p.config
	return &config, nil
}

// Upstream implements port.Decoder.
func (p *fakePlatform) Evacuation(ledger.Record) (request evacuation.Request, ok bool, err error) {
	return evacuation.Request{}, false, nil
}

func (p *fakePlatform) Upstream(r ledger.Record) (workload.Upstream, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.upstreams[workload.UpstreamID(r.Key)].reg, nil
}

// start starts an entry process.
func (p *fakePlatform) start(name string, cpuShare float64, withoutRecord bool) *fakeEntry {
	ctx, cancel := context.WithCancel(p.t.Context())
	e := &fakeEntry{name: name, p: p, cancel: cancel, ended: make(chan struct{})}
	base := time.Now().Add(-time.Hour)
	clock := func() time.Duration { return time.Since(base) + time.Duration(e.paused.Load()) }
	logger := hclog.NewNullLogger()
	r := replica.New(e, p, logger, metrics.NewRegistry())
	r.SetClock(clock)
	e.manager = NewManager(Config{
		Log: e, Decoder: p, Upstreams: e, Replica: r, Peers: e, Name: name, Incarnation: fmt.Sprint(time.Now().UnixNano()), Address: name, CPUShare: cpuShare,
		Lease: 5 * time.Second, MaxLease: p.maxLease, StartsWithoutRecord: withoutRecord, Slow: func() bool { return false }, Retention: time.Hour, Clock: clock,
		Logger: logger, Registry: metrics.NewRegistry(),
	})
	p.mu.Lock()
	p.entries[name] = e
	p.mu.Unlock()
	go r.Run(ctx)
	go e.manager.Run(ctx)
	return e
}

// kill ends the process without a release.
func (e *fakeEntry) kill() {
	e.cancel()
	close(e.ended)
	<-e.manager.done
}

// stop ends all entries and the calls in progress.
func (p *fakePlatform) stop() {
	for _, e := range p.entries {
		e.cancel()
		<-e.manager.done
	}
	time.Sleep(15 * time.Second)
	synctest.Wait()
}

// awaitOwner waits until an entry is the owner and its list has been recorded.
func (p *fakePlatform) awaitOwner(e *fakeEntry) {
	for e.manager.owner() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
}

// submit records a job of sequential steps with a number of tasks each.
func (p *fakePlatform) submit(e *fakeEntry, n, steps, tasks int, ms int64) error {
	return p.submitSpread(e, n, steps, tasks, ms, 0)
}

// submitSpread is submit with a maximum number of tasks of a step on one upstream.
func (p *fakePlatform) submitSpread(e *fakeEntry, n, steps, tasks int, ms int64, maxPerUpstream int) error {
	job := &workload.Job{ID: workload.JobID(fmt.Sprintf("%016x", n)), Queue: "q", Workspace: "w", SubmittedUnixMS: time.Now().UnixMilli()}
	for i := range steps {
		st := workload.Step{Count: tasks, Each: state.Vector{CPUMilli: 1000, MemoryMB: 1}, EstimateMS: ms, MaxPerUpstream: maxPerUpstream}
		if i > 0 {
			st.After = []int{i - 1}
		}
		job.Steps = append(job.Steps, st)
	}
	record, err := ledger.JobRecord(job)
	if err != nil {
		p.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(p.t.Context(), 20*time.Second)
	defer cancel()
	return e.manager.Record(ctx, record)
}

// Append implements port.Log.
func (e *fakeEntry) Append(ctx context.Context, a port.Append) (int64, error) {
	p := e.p
	ctx, cancel := context.WithTimeout(ctx, 900*time.Millisecond) // as package relay bounds an attempt
	defer cancel()
	time.Sleep(5 * time.Millisecond)
	if err := e.reachLog(ctx); err != nil {
		return 0, err
	}
	if e.former {
		a.Records = slices.DeleteFunc(slices.Clone(a.Records), ledger.IsLeaseEnds)
	}
	p.mu.Lock()
	offset, err := p.append(a)
	lost := err == nil && p.rand.Float64() < p.lostShare
	p.mu.Unlock()
	if lost {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return offset, err
}

// reachLog returns an error if the log turns the entry away or stays silent.
func (e *fakeEntry) reachLog(ctx context.Context) error {
	if e.cut.Load() {
		return errors.New("turned away")
	}
	e.p.mu.Lock()
	silent := e.p.silent
	e.p.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// append applies an append. The lock is held.
func (p *fakePlatform) append(a port.Append) (int64, error) {
	if f := a.Fence; f != nil {
		if f.Epoch < p.fence {
			return 0, port.ErrFenced
		}
		if offset, ok := p.seqs[f.Seq]; ok && f.Epoch == p.fence {
			return offset, nil
		}
	}
	if limits := p.limits.WithDefaults(); limits.Fit(a.Records) < len(a.Records) {
		p.refused++
		return 0, &port.RejectedError{Reason: "too large"}
	}
	end := int64(len(p.records[a.Topic]))
	if a.At != port.AnyOffset && a.At != end {
		return 0, &port.ConflictError{End: end}
	}
	if f := a.Fence; f != nil {
		if f.Epoch > p.fence {
			p.fence, p.seqs = f.Epoch, map[int64]int64{}
		}
		p.seqs[f.Seq] = end
	}
	for i, r := range a.Records {
		r.Offset = end + int64(i)
		if job, err := ledger.JobOf(r); err == nil && job != nil && a.Topic == port.TopicJobs {
			p.jobs[job.ID] = job
		}
		p.records[a.Topic] = append(p.records[a.Topic], r)
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return end, nil
}

// Read implements port.Log.
func (e *fakeEntry) Read(ctx context.Context, topic port.Topic, from int64, wait time.Duration) (port.Batch, error) {
	p := e.p
	time.Sleep(2 * time.Millisecond)
	ctx, cancel := context.WithTimeout(ctx, wait+700*time.Millisecond)
	defer cancel()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := false; ; {
		if err := e.reachLog(ctx); err != nil {
			return port.Batch{}, err
		}
		p.mu.Lock()
		records, changed := slices.Clone(p.records[topic]), p.changed
		p.mu.Unlock()
		end := int64(len(records))
		if from < end || expired {
			return port.Batch{Records: records[min(from, end):], Next: end, End: end}, nil
		}
		select {
		case <-ctx.Done():
			return port.Batch{}, ctx.Err()
		case <-timer.C:
			expired = true
		case <-changed:
		}
	}
}

// NewestPage implements port.Log.
func (e *fakeEntry) NewestPage(ctx context.Context, topic port.Topic, _ string) (port.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	if err := e.reachLog(ctx); err != nil {
		return port.Batch{}, err
	}
	e.p.mu.Lock()
	defer e.p.mu.Unlock()
	all := e.p.records[topic]
	newest := map[string]ledger.Record{}
	for _, r := range all {
		newest[r.Key] = r
	}
	batch := port.Batch{Next: int64(len(all)), End: int64(len(all))}
	for _, r := range newest {
		batch.Records = append(batch.Records, r)
	}
	return batch, nil
}

func (e *fakeEntry) peer(address string) *fakeEntry {
	e.p.mu.Lock()
	defer e.p.mu.Unlock()
	return e.p.entries[address]
}

// Owning implements Peers.
func (e *fakeEntry) Owning(_ context.Context, address string) (bool, error) {
	other := e.peer(address)
	select {
	case <-other.ended:
		return false, syscall.ECONNREFUSED
	default:
		return other.manager.Owning(), nil
	}
}

// Watch implements Peers.
func (e *fakeEntry) Watch(ctx context.Context, address string) error {
	select {
	case <-e.peer(address).ended:
		return errors.New("connection reset")
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Nominate implements Peers.
func (e *fakeEntry) Nominate(_ context.Context, address string, released ledger.Claim) error {
	e.peer(address).manager.Nominate(released)
	return nil
}

// Advise implements Peers.
func (e *fakeEntry) Advise(context.Context, string, workload.StepID, []workload.UpstreamID) (port.Tickets, error) {
	return port.Tickets{}, errors.New("no advice")
}

// setSilent makes the log silent, or ends the silence.
func (p *fakePlatform) setSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = silent
}

// startsBetween returns the number of starts within a period.
func (p *fakePlatform) startsBetween(from, to time.Time) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.starts {
		if !s.at.Before(from) && s.at.Before(to) {
			n++
		}
	}
	return n
}
