// Package dispatch runs the owner: the one entry that decides which task runs
// where. It wins ownership by a claim in the ledger, drives the scheduler from
// one control loop, carries its orders to the upstreams and records its state.
package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/coordination/replica"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/scheduler"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

const (
	// planGap is the least time between two plans.
	planGap = 3 * time.Millisecond
	// planShare bounds the part of the time that plans take: the next one waits
	// this many times as long as the newest took.
	planShare = 4
	// tick is the longest time between two rounds of the control loop.
	tick = 50 * time.Millisecond
	// contactGrace is how long the owner goes on without hearing from the log.
	// A new owner counts on it.
	contactGrace = 5 * time.Second
	// contactDoubt is how long an owner without an answered append still says
	// that it is alive. The log may be slow.
	contactDoubt = 2500 * time.Millisecond
	// stateLogInterval is the least time between two log lines on the state of
	// the placement.
	stateLogInterval = time.Second
)

// owner is one term of ownership.
type owner struct {
	*parts
	epoch  int64
	claim  ledger.Claim
	base   time.Time
	sched  *scheduler.Scheduler
	links  map[workload.UpstreamID]*link
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu     sync.Mutex
	queue  []func()
	signal chan struct{}

	seq       int64
	flushing  bool
	flushedAt time.Time
	acks      []ack
	drops     []ledger.Record
	planDue   bool
	plannedAt time.Time
	planPause time.Duration
	expiredAt time.Time
	// loggedAt is when the state was logged last.
	loggedAt time.Time
	// yieldCheckedAt is when larger entries were looked for last.
	yieldCheckedAt time.Time
	// contactAt is the newest successful append, in nanoseconds since base.
	contactAt atomic.Int64
	advisors  advisorPool
	linkCount atomic.Int64
	releasing bool
	// releaseBegan is when the owner began to give up ownership.
	releaseBegan time.Time
	// planned holds the starts that wait to be recorded.
	planned []scheduler.Start
	// starting counts the starts that wait for an answer.
	starting int

	// requests are callers' records that wait for the next append.
	requests []request
	// taken holds the jobs that this term took up, so that none is taken up
	// again when the replica reads it or a repeated request is recorded.
	taken map[workload.JobID]struct{}
	// final holds the phases of ended jobs that the replica may not show yet.
	final map[workload.JobID]finalPhase
}

// parts are what every term of ownership uses.
type parts struct {
	log       port.Log
	decoder   port.Decoder
	upstreams port.Upstreams
	replica   *replica.Replica
	peers     Peers
	self      string
	cpuShare  float64
	advisor   port.Advisor
	lease     time.Duration
	retention time.Duration
	logger    hclog.Logger
	metrics   ownerMetrics
}

type ownerMetrics struct {
	starts, ends, appends, appendFails, asks, askFails metrics.Counter
	startLatency, planTime                             metrics.Histogram
	jobs, runs, ready, silent                          metrics.Gauge
}

// Peers calls other entries.
type Peers interface {
	// Advise makes another entry ask the advice service.
	// Owning asks another entry whether it owns the placement.
	Owning(ctx context.Context, address string) (bool, error)
	// Nominate tells another entry to claim the ownership that was released.
	Nominate(ctx context.Context, address string, released ledger.Claim) error
	Advise(ctx context.Context, address string, step workload.StepID, upstreams []workload.UpstreamID) (port.Tickets, error)
}

func (p *parts) newOwner(ctx context.Context, claim ledger.Claim) *owner {
	o := &owner{
		parts: p, epoch: claim.Epoch, claim: claim, base: time.Now(),
		taken: map[workload.JobID]struct{}{}, final: map[workload.JobID]finalPhase{},
		links: map[workload.UpstreamID]*link{}, signal: make(chan struct{}, 1), seq: 1,
	}
	o.ctx, o.cancel = context.WithCancel(ctx)
	o.sched = scheduler.New(p.replica.Config(), scheduler.Options{
		FirstRun:       p.firstRun(claim.Epoch),
		Lookup:         o.lookup,
		UncertainUntil: contactGrace + time.Duration(float64(p.lease)*slowClock) + orderTimeout,
	})
	o.advisors.init(p)
	o.contactAt.Store(int64(o.now()))
	return o
}

// runsPerEpoch is the most runs of a task that one owner numbers. The product
// with an epoch stays within the integers that JSON carries exactly.
const runsPerEpoch = 10_000

// firstRun returns the number of the first run that an owner may use. Former
// owners may have used smaller ones without a record of them.
func (p *parts) firstRun(epoch int64) (first int64) {
	p.replica.View(func(t *ledger.Table, _ int64) {
		if first = epoch * runsPerEpoch; t.FirstClaim() {
			first = 1
		}
	})
	return first
}

// at converts a time to the scheduler's.
func (o *owner) at(t time.Time) state.Time { return t.Sub(o.base) + 1 }

func (o *owner) now() state.Time { return o.at(time.Now()) }

// mayExtend reports whether the owner heard from the log recently enough to act.
func (o *owner) mayExtend() bool {
	contact := max(o.contactAt.Load(), int64(o.now())-int64(o.replica.Health().Age))
	return int64(o.now())-contact < int64(contactGrace)
}

// inContact reports whether an append was answered lately.
func (o *owner) inContact() bool {
	return int64(o.now())-o.contactAt.Load() < int64(contactDoubt)
}

// post queues an event for the control loop. It never blocks.
func (o *owner) post(f func()) {
	o.mu.Lock()
	o.queue = append(o.queue, f)
	o.mu.Unlock()
	select {
	case o.signal <- struct{}{}:
	default:
	}
}

// Folded implements replica.Observer.
func (o *owner) Folded(changes []ledger.Change, _ int64) {
	if len(changes) > 0 {
		o.post(func() { o.fold(changes) })
	}
}

// run serves the term until it ends.
func (o *owner) run() {
	defer o.group.Wait()
	defer o.cancel()
	o.replica.SetPace(replica.Owning)
	defer o.replica.SetPace(replica.Following)
	o.replica.Observe(o, func(t *ledger.Table, _ int64) { o.seed(t) })
	defer o.replica.Observe(nil, nil)
	o.group.Go(func() { o.followUpstreams(o.ctx) })
	timer := time.NewTicker(tick)
	defer timer.Stop()
	for o.ctx.Err() == nil {
		select {
		case <-o.ctx.Done():
			return
		case <-o.signal:
		case <-timer.C:
			o.planDue = true
		}
		o.drain()
		o.round()
	}
}

// seed takes up the jobs that are known at the takeover.
func (o *owner) seed(t *ledger.Table) {
	n := 0
	t.Rows(func(row *ledger.Row) {
		o.take(row.Job, &row.State, row.Cancelled)
		n++
	})
	o.logger.Info("ownership taken", "epoch", o.epoch, "jobs", n)
}

// lookup returns a job that the ledger holds.
func (o *owner) lookup(id workload.JobID) *workload.Job {
	row, _ := o.replica.Row(id)
	return row.Job
}

// take hands a job to the scheduler, once in a term. It reports whether the job
// was new.
func (o *owner) take(job *workload.Job, recorded *ledger.JobState, cancelled bool) bool {
	if _, ok := o.taken[job.ID]; ok {
		return false
	}
	o.taken[job.ID] = struct{}{}
	o.sched.AddJob(o.now(), time.Now().UnixMilli(), job, recorded, cancelled)
	return true
}

// takeNew takes up a job that was accepted during this term.
func (o *owner) takeNew(job *workload.Job, recorded *ledger.JobState, cancelled bool) {
	if !o.take(job, recorded, cancelled) {
		return
	}
	age := time.Now().UnixMilli() - job.SubmittedUnixMS
	o.logger.Info("job taken up", "job", job.ID, "queue", job.Queue, "workspace", job.Workspace, "cancelled", cancelled, "age_ms", age)
}

func (o *owner) drain() {
	o.mu.Lock()
	events := o.queue
	o.queue = nil
	o.mu.Unlock()
	for _, f := range events {
		f()
	}
	if len(events) > 0 {
		o.planDue = true
	}
}

// round plans and flushes what is due.
func (o *owner) round() {
	now := time.Now()
	if o.planDue && now.Sub(o.plannedAt) >= o.planPause && o.mayExtend() && !o.releasing {
		o.planDue = false
		o.plannedAt = now
		o.sched.SetConfig(o.replica.Config())
		o.sched.Tick(now.UnixMilli())
		quick, slow := o.advisors.limits(o.replica)
		o.sched.SetAskLimits(quick, slow)
		o.execute(o.sched.Plan(o.now()))
		o.refreshLinks()
		took := time.Since(now)
		o.metrics.planTime.Update(took.Microseconds())
		o.planPause = max(planGap, planShare*took)
	}
	o.flush(now)
	o.yieldIfSmall(now)
	if o.planDue {
		time.AfterFunc(o.planPause, func() { o.post(func() {}) })
	}
}

// fold takes in changes of the ledger.
func (o *owner) fold(changes []ledger.Change) {
	for _, c := range changes {
		switch {
		case c.NewClaim != nil && c.NewClaim.Epoch > o.epoch:
			o.fenced("claim of " + c.NewClaim.Entry)
		case c.NewJob != nil:
			o.takeNew(c.NewJob.Job, &c.NewJob.State, c.NewJob.Cancelled)
		case c.CancelledJob != "":
			o.sched.Cancel(o.now(), c.CancelledJob)
			o.logger.Info("job cancelled", "job", c.CancelledJob)
		}
	}
}

// fenced ends the term.
func (o *owner) fenced(by string) {
	if o.ctx.Err() == nil {
		o.logger.Warn("ownership lost", "epoch", o.epoch, "to", by)
		o.cancel()
	}
}

// refreshLinks tells the lookers which upstreams have runs.
func (o *owner) refreshLinks() {
	for id, l := range o.links {
		active, closely := o.sched.HasRuns(id)
		l.mu.Lock()
		wake := active && !l.active
		l.active, l.close = active, closely
		l.mu.Unlock()
		if wake {
			l.wake()
		}
	}
	o.linkCount.Store(int64(len(o.links)))
	c := o.sched.Counts(o.now())
	o.metrics.jobs.Update(int64(c.Jobs))
	o.metrics.runs.Update(int64(c.Runs))
	o.metrics.ready.Update(int64(c.Ready))
	o.metrics.silent.Update(int64(c.Silent))
	if now := time.Now(); now.Sub(o.loggedAt) >= stateLogInterval {
		o.loggedAt = now
		w := c.Waiting
		o.logger.Info("placement", "epoch", o.epoch, "jobs", c.Jobs, "ready_steps", c.Ready, "runs", c.Runs, "upstreams", c.Upstreams,
			"silent", c.Silent, "avoided", c.Avoided, "wait_held", w.Held, "wait_maximum", w.Maximum, "wait_room", w.Room,
			"wait_advice", w.Advice, "plan_pause_ms", o.planPause.Milliseconds())
	}
}

// looked takes in what an upstream said.
func (o *owner) looked(id workload.UpstreamID, l *link, look scheduler.Look, life int, newest int64) {
	if o.links[id] != l {
		return
	}
	for _, e := range look.Ended {
		o.logger.Info("run ended", "task", e.Task, "run", e.Run, "upstream", id, "how", e.How)
	}
	o.metrics.ends.Inc(int64(len(look.Ended)))
	o.sched.Looked(o.now(), id, look)
	if newest > 0 {
		o.acks = append(o.acks, ack{l, life, newest})
	}
}

// lost takes in that an upstream did not answer. lapsed says that the leases that
// this owner gave have run out, replaced that another upstream answers at its
// address, which it only gets once the former one has ended.
func (o *owner) lost(id workload.UpstreamID, l *link, lapsed, replaced bool) {
	if o.links[id] != l {
		return
	}
	o.sched.Silent(id)
	any, _ := o.sched.HasRuns(id)
	if replaced || (any && lapsed && o.now() > o.sched.UncertainUntil()) {
		if any {
			o.logger.Warn("runs given up", "upstream", id, "lapsed", lapsed, "replaced", replaced)
		}
		o.sched.Lapsed(o.now(), id)
	}
	o.dropLinkIfGone(id, l)
	o.planDue = true
}

// newLife takes in that an upstream restarted before its registration said so.
func (o *owner) newLife(id workload.UpstreamID, born int64) {
	if reg, ok := o.sched.Registration(id); ok && reg.BornUnixMS != born {
		reg.BornUnixMS = born
		o.sched.SetUpstream(o.now(), reg)
	}
}
