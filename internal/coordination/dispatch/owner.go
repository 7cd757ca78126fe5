// Package dispatch implements the owner: the one entry that decides which task runs
// where. An entry acquires ownership by a claim in the ledger. The owner drives the
// scheduler from a single control loop, sends commands to the upstreams and records
// its state in the log.
package dispatch

import (
	"context"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/samphirerail/samphirerail/internal/coordination/bootclock"
	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/coordination/replica"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/reachability"
	"github.com/samphirerail/samphirerail/internal/state/runtimes"
	"github.com/samphirerail/samphirerail/internal/state/scheduler"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

const (
	// planGap is the minimum time between two plans.
	planGap = 3 * time.Millisecond
	// planPauseFactor bounds the share of time spent on planning: the next plan waits
	// this many times as long as the last one took.
	planPauseFactor = 4
	// tickInterval is the maximum time between two cycles of the control loop.
	tickInterval = 50 * time.Millisecond
	// logContactTimeout is how long the owner continues without contact to the log.
	// A new owner relies on this bound.
	logContactTimeout = 5 * time.Second
	// appendContactTimeout is how long an owner without a successful append still
	// reports that it is the owner, since the log may be slow.
	appendContactTimeout = 2500 * time.Millisecond
	// countInterval is the minimum time between two updates of the gauges, for which all
	// upstreams are visited.
	countInterval = 200 * time.Millisecond
	// stateLogInterval is the minimum time between two log lines on the state of the
	// placement.
	stateLogInterval = time.Second
)

// owner is one term of ownership.
type owner struct {
	*ownerDeps
	epoch int64
	claim ledger.Claim
	// base is the origin of scheduler time.
	base   time.Time
	sched  *scheduler.Scheduler
	links  map[workload.UpstreamID]*link
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu     sync.Mutex
	events []func()
	signal chan struct{}

	seq       int64
	flushing  bool
	flushedAt time.Time
	acks      []ack
	// drops holds the records that delete expired jobs, for the next append.
	drops     []ledger.Record
	planDue   bool
	plannedAt time.Time
	planPause time.Duration
	expiredAt time.Time
	// countedAt is when the gauges were last updated.
	countedAt time.Time
	// loggedAt is when the state of the placement was last logged.
	loggedAt time.Time
	// yieldCheckedAt is when the owner last checked for a larger entry.
	yieldCheckedAt time.Time
	// appendedAt is the time of the newest successful append, in nanoseconds since base.
	appendedAt atomic.Int64
	// contactAt is when the newest successful append began; see contact.
	contactAt atomic.Int64
	// advisorAddresses holds the addresses of the other entries that send advice requests.
	advisorAddresses map[string]string
	// advisorDomains holds the failure domains of these entries.
	advisorDomains map[string]state.DomainID
	// adviceMargin estimates how much longer than expected an advice request takes.
	adviceMargin        reachability.Timeout
	advisorsRefreshedAt time.Time
	// activeLinks is the number of upstreams with runs, for the poll loops.
	activeLinks atomic.Int64
	// nextFirstPoll is when the next upstream that becomes known is polled for the first
	// time.
	nextFirstPoll time.Time
	releasing     bool
	// releaseBegan is when the owner began to release ownership.
	releaseBegan time.Time
	// pendingStarts holds the starts that wait to be recorded.
	pendingStarts []scheduler.Start
	// logReturnedAt is when the registrations were read again after an outage of the log, and
	// expired holds the upstreams that are removed unless they register again.
	logReturnedAt time.Time
	expired       map[workload.UpstreamID]struct{}
	// invalid holds the IDs whose newest registration can't be decoded.
	invalid map[workload.UpstreamID]struct{}
	// unknownEnds holds the reported ends of jobs that are not known.
	unknownEnds map[workload.UpstreamID]*unknownEnds
	// unrecorded is the state of the starts that are sent before the log holds them.
	unrecorded unrecordedStarts
	leaseEnds  leaseEnds
	// leastToken is the least fencing token for an upstream that registers: one that was forgotten
	// may have seen it. forgotten holds the upstreams that were forgotten recently, and when.
	leastToken int64
	forgotten  map[workload.UpstreamID]time.Time
	commands   commandQueue
	// startsInFlight counts the start commands that wait for a response.
	startsInFlight int

	// domains knows which failure domains have stopped answering, and losses whether single
	// calls to upstreams are lost.
	domains reachability.Domains
	losses  reachability.Losses
	// lossy is set while calls to upstreams are lost.
	lossy       atomic.Bool
	evacuations evacuationState
	// held holds the starts that wait for newer reads of evacuations or capacities.
	held heldStarts
	// registrationsAt is when the newest complete read of the registrations was sent, by clock.
	registrationsAt time.Duration

	// requests are callers' records that wait for the next append.
	requests []request
	// submitted holds the submitted jobs that the log does not hold yet, as far as this
	// entry knows; the scheduler knows them.
	submitted map[workload.JobID]struct{}
	// unreadLarge holds the submitted large jobs that the replica does not hold yet, with the
	// memory by which they exceed ordinary ones.
	unreadLarge map[workload.JobID]int
	// addedJobs holds the jobs that were added to the scheduler in this term, so that
	// none is added again when the replica reads it or a repeated request is recorded.
	addedJobs map[workload.JobID]struct{}
	// setAside holds the jobs that the owner can't hold or record. Nothing of them is started.
	setAside map[workload.JobID]struct{}
	// runTimes is what this owner has learned, or nil; runTimesAt is when it was last
	// considered for a record.
	runTimes   *runtimes.Model
	runTimesAt time.Time
	// final holds the phases of ended jobs that the replica may not show yet.
	final map[workload.JobID]finalPhase
}

// ownerDeps holds the dependencies that every term of ownership uses.
type ownerDeps struct {
	log       port.Log
	decoder   port.Decoder
	upstreams port.Upstreams
	replica   *replica.Replica
	peers     Peers
	self      string
	cpuShare  float64
	advisor   port.Advisor
	lease     time.Duration
	// maxLease is the longest lease that an upstream grants.
	maxLease  time.Duration
	retention time.Duration
	// limits are those of the log's appends.
	limits ledger.Limits
	// learnRunTimes makes the scheduler use learned run times.
	learnRunTimes bool
	// evacuationLimit is within what time an evacuation takes effect; 0 disables the check.
	evacuationLimit time.Duration
	// capacityLimit is within what time the capacity that an upstream reports takes effect; 0
	// disables the check.
	capacityLimit time.Duration
	logger        hclog.Logger
	metrics       ownerMetrics
	// clock measures the age of the permission to act.
	clock bootclock.Clock
	// startsWithoutRecord allows starts that the log does not hold yet.
	startsWithoutRecord bool
}

// Peers makes calls to other entries.
type Peers interface {
	// Owning asks another entry whether it owns the placement.
	Owning(ctx context.Context, address string) (bool, error)
	// Watch is held open by another entry until its process ends, which is an error, or the
	// context does.
	Watch(ctx context.Context, address string) error
	// Nominate notifies another entry that ownership was released to it.
	Nominate(ctx context.Context, address string, released ledger.Claim) error
	// Advise makes another entry send a request to the advice service.
	Advise(ctx context.Context, address string, step workload.StepID, upstreams []workload.UpstreamID) (port.Tickets, error)
}

func (p *ownerDeps) newOwner(ctx context.Context, claim ledger.Claim) *owner {
	clock := p.clock() // before base, so that a pause in between makes times of base later
	o := &owner{
		ownerDeps: p, epoch: claim.Epoch, claim: claim, base: time.Now(),
		submitted: map[workload.JobID]struct{}{}, unreadLarge: map[workload.JobID]int{}, addedJobs: map[workload.JobID]struct{}{}, setAside: map[workload.JobID]struct{}{}, final: map[workload.JobID]finalPhase{},
		links: map[workload.UpstreamID]*link{}, signal: make(chan struct{}, 1), seq: 1,
		adviceMargin: reachability.Timeout{Min: minAdviceMargin, Max: maxAdviceMargin},
		expired:      map[workload.UpstreamID]struct{}{}, invalid: map[workload.UpstreamID]struct{}{}, unknownEnds: map[workload.UpstreamID]*unknownEnds{},
	}
	o.ctx, o.cancel = context.WithCancel(ctx)
	o.runTimes, o.runTimesAt = p.loadRunTimes(), o.base
	o.sched = scheduler.New(p.replica.Config(), scheduler.Options{
		FirstRun:          p.firstRun(claim.Epoch),
		StartList:         p.startList(claim),
		Advisors:          []string{p.self},
		Lookup:            o.lookup,
		RunTimes:          o.runTimes,
		UnconfirmedUntil:  p.unconfirmedTime(),
		FormerStartsUntil: logContactTimeout + scheduler.MaxStartDelay,
		LeaseEnds:         p.inheritLeaseEnds(claim.Epoch, clock),
		Lease:             p.lease,
	})
	o.appendedAt.Store(int64(o.now()))
	o.contactAt.Store(int64(o.clock()))
	return o
}

// runsPerEpoch is the maximum number of runs of a task in one epoch. Its product with
// an epoch stays within the integers that JSON represents exactly.
const runsPerEpoch = 10_000

// firstRun returns the lowest run number that the owner of an epoch may use. Former
// owners may have used lower ones without recording them.
func (p *ownerDeps) firstRun(epoch int64) (first int64) {
	p.replica.View(func(t *ledger.Table, _ int64) {
		if first = epoch * runsPerEpoch; t.FirstClaim() {
			first = 1
		}
	})
	return first
}

// at converts a time to scheduler time.
func (o *owner) at(t time.Time) state.Time { return t.Sub(o.base) + 1 }

func (o *owner) now() state.Time { return o.at(time.Now()) }

// hasRecentAppend reports whether an append succeeded recently.
func (o *owner) hasRecentAppend() bool {
	return int64(o.now())-o.appendedAt.Load() < int64(appendContactTimeout)
}

// post queues an event for the control loop. It never blocks.
func (o *owner) post(f func()) {
	o.mu.Lock()
	o.events = append(o.events, f)
	o.mu.Unlock()
	select {
	case o.signal <- struct{}{}:
	default:
	}
}

// Folded implements replica.Observer. A newer claim ends the term at once, since its read
// counts as contact to the log before the control loop processes the changes.
func (o *owner) Folded(changes []ledger.Change) {
	for _, c := range changes {
		if c.NewClaim != nil && c.NewClaim.Epoch > o.epoch {
			o.loseOwnership("claim of " + c.NewClaim.Entry)
		}
	}
	if len(changes) > 0 {
		o.post(func() { o.fold(changes) })
	}
}

// run executes the control loop until the term ends.
func (o *owner) run() {
	defer o.group.Wait()
	defer o.cancel()
	defer func() { o.endUnrecordedStarts(time.Now(), "the term ends") }()
	o.replica.SetReadMode(replica.Owning)
	defer o.replica.SetReadMode(replica.Following)
	o.replica.Observe(o, func(t *ledger.Table, _ int64) { o.loadJobs(t) })
	defer o.replica.Observe(nil, nil)
	o.spawn(func() { o.followUpstreams(o.ctx) })
	timer := time.NewTicker(tickInterval)
	defer timer.Stop()
	for o.ctx.Err() == nil {
		select {
		case <-o.ctx.Done():
			return
		case <-o.signal:
		case <-timer.C:
			o.planDue = true
		}
		o.runGuarded(func() {
			o.runEvents()
			o.runCycle()
		})
	}
}

// spawn runs f in a goroutine of the term.
func (o *owner) spawn(f func()) {
	o.group.Go(func() { o.runGuarded(f) })
}

// runGuarded runs f. A panic ends the term instead of the process: the state of the term
// may be inconsistent, and the next owner builds its own from the ledger and the upstreams.
func (o *owner) runGuarded(f func()) {
	defer func() {
		if cause := recover(); cause != nil {
			o.logger.Error("unexpected failure; the term of ownership ends", "epoch", o.epoch, "panic", cause, "stack", string(debug.Stack()))
			o.cancel()
		}
	}()
	f()
}

// loadJobs adds the jobs that are known at the takeover.
func (o *owner) loadJobs(t *ledger.Table) {
	n := 0
	t.Rows(func(row *ledger.Row) {
		o.addJob(row.Job, &row.State, row.Cancelled)
		n++
	})
	o.sched.InheritJobs()
	o.logger.Info("ownership taken", "epoch", o.epoch, "jobs", n)
}

// lookup returns a job that the ledger holds, or nil.
func (o *owner) lookup(id workload.JobID) *workload.Job {
	row, _ := o.replica.Row(id)
	return row.Job
}

// addJob adds a job to the scheduler, once per term. It reports whether the job was new,
// and whether it exceeds its workspace's share.
func (o *owner) addJob(job *workload.Job, recorded *ledger.JobState, cancelled bool) (added, overShare bool) {
	if _, ok := o.addedJobs[job.ID]; ok {
		return false, false
	}
	o.addedJobs[job.ID] = struct{}{}
	if !o.canHold(job, cancelled) {
		return false, false
	}
	return true, o.sched.AddJob(o.now(), time.Now().UnixMilli(), job, recorded, cancelled)
}

// addNewJob adds a job that was accepted during this term.
func (o *owner) addNewJob(job *workload.Job, recorded *ledger.JobState, cancelled bool) {
	added, overShare := o.addJob(job, recorded, cancelled)
	if !added {
		return
	}
	o.applyUnknownEnds(job.ID)
	age := time.Now().UnixMilli() - job.SubmittedUnixMS
	o.logger.Info("job added to the scheduler", "job", job.ID, "queue", job.Queue, "workspace", job.Workspace, "over_share", overShare, "cancelled", cancelled, "age_ms", age)
}

func (o *owner) runEvents() {
	o.mu.Lock()
	events := o.events
	o.events = nil
	o.mu.Unlock()
	for _, f := range events {
		f()
	}
	if len(events) > 0 {
		o.planDue = true
	}
}

// runCycle plans and flushes if they are due.
func (o *owner) runCycle() {
	now := time.Now()
	o.applyEvacuations()
	o.sendHeldStarts()
	if o.planDue && now.Sub(o.plannedAt) >= o.planPause && o.mayAct() && !o.releasing {
		o.planDue = false
		o.plannedAt = now
		o.sched.SetConfig(o.replica.Config())
		o.sched.Tick(now.UnixMilli())
		o.refreshAdvisors(now)
		o.execute(o.sched.Plan(o.now()))
		o.refreshLinks()
		took := time.Since(now)
		o.metrics.planTime.Update(took.Microseconds())
		o.planPause = max(planGap, planPauseFactor*took)
	}
	o.flush(now)
	o.startWithoutRecord(now)
	o.yieldToLarger(now)
	if o.planDue {
		time.AfterFunc(o.planPause, func() { o.post(func() {}) })
	}
}

// fold applies changes of the ledger.
func (o *owner) fold(changes []ledger.Change) {
	for _, c := range changes {
		switch {
		case c.NewJob != nil:
			o.addNewJob(c.NewJob.Job, &c.NewJob.State, c.NewJob.Cancelled)
		case c.CancelledJob != "":
			o.sched.Cancel(o.now(), c.CancelledJob)
			o.endSetAside(c.CancelledJob)
			o.logger.Info("job cancelled", "job", c.CancelledJob)
		}
	}
}

// loseOwnership ends the term because a newer owner has fenced this one. It may be called
// from any goroutine.
func (o *owner) loseOwnership(by string) {
	if o.ctx.Err() == nil {
		o.logger.Warn("ownership lost", "epoch", o.epoch, "to", by)
		o.cancel()
	}
}

// refreshLinks updates the state of the links from the scheduler, wakes the poll loops
// of upstreams that had no runs before, and updates the metrics.
func (o *owner) refreshLinks() {
	activeLinks := int64(0)
	for id, l := range o.links {
		active, shortWait := o.sched.HasRuns(id)
		active = active || o.sched.AwaitsNextIncarnation(id)
		if active {
			activeLinks++
		}
		l.mu.Lock()
		wake := active && !l.active
		l.active, l.close = active, shortWait
		l.mu.Unlock()
		if wake {
			l.wake()
		}
	}
	o.activeLinks.Store(activeLinks)
	now := time.Now()
	if now.Sub(o.countedAt) < countInterval {
		return
	}
	o.countedAt = now
	c := o.sched.Counts(o.now())
	o.metrics.jobs.Update(int64(c.Jobs))
	o.metrics.runs.Update(int64(c.Runs))
	o.metrics.ready.Update(int64(c.Ready))
	o.metrics.unreachable.Update(int64(c.Unreachable))
	o.metrics.commandsWaiting.Update(int64(o.commands.waiting))
	o.metrics.preemption.headroom.Update(c.Headroom.CPUMilli)
	if now.Sub(o.loggedAt) >= stateLogInterval {
		o.loggedAt = now
		if len(o.links) > 0 {
			o.logUnknownEvacuations()
		}
		w := c.Waiting
		o.logger.Info("placement", "epoch", o.epoch, "jobs", c.Jobs, "ready_steps", c.Ready, "runs", c.Runs, "upstreams", c.Upstreams,
			"silent", c.Unreachable, "avoided", c.Avoided, "wait_held", w.Unconfirmed, "wait_maximum", w.Maximum, "wait_room", w.Capacity,
			"wait_advice", w.Advice, "wait_speed", w.Speed, "promoted", c.Promoted, "plan_pause_ms", o.planPause.Milliseconds(), "commands_waiting", o.commands.waiting, "headroom", c.Headroom)
	}
}

// handleReport processes an upstream's run report.
func (o *owner) handleReport(id workload.UpstreamID, l *link, report scheduler.RunReport, incarnation int, newestEnd int64) {
	if o.links[id] != l {
		return
	}
	if o.dropLinkIfUnknown(id, l) {
		return // the scheduler would ignore the ends
	}
	for _, e := range report.Ended {
		o.logger.Info("run ended", "task", e.Task, "run", e.Run, "upstream", id, "how", e.Cause)
	}
	o.metrics.ends.Inc(int64(len(report.Ended)))
	o.noteAnswer(id)
	delete(o.leaseEnds.lost, id)
	o.sched.ApplyReport(o.now(), id, report)
	if newestEnd > 0 {
		o.acks = append(o.acks, ack{l, incarnation, newestEnd})
	}
}

// handleRestart processes a restart of an upstream that its registration does not
// show yet.
func (o *owner) handleRestart(id workload.UpstreamID, startedUnixMS int64) {
	o.sched.Restart(o.now(), id, startedUnixMS)
	if l := o.links[id]; l != nil {
		o.dropLinkIfUnknown(id, l)
	}
}
