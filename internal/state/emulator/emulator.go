package emulator

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/machine"
	"github.com/samphirerail/samphirerail/internal/state/trace"
)

// Policy makes the scheduling decisions of one failure domain. *machine.Machine
// implements it.
type Policy interface {
	Step(now state.Time, ev machine.Event) []machine.Action
}

// Options configures a replay.
type Options struct {
	// Name is the name of the policy in the report.
	Name string
	// New returns a new policy for a failure domain.
	New func(state.DomainID) Policy
	// Clock reads a monotonic clock, which measures the time that decisions take. If it
	// is nil, the report omits this time.
	Clock func() time.Duration
	// LostResponses is n if the response to one of n starts is lost; 0 means
	// DefaultLostResponses.
	LostResponses uint64
}

// DefaultLostResponses is the default of Options.LostResponses.
const DefaultLostResponses = 500

// Parameters of the model of the workers and of their owner.
const (
	// messageTime is the latency of a message between owner and worker.
	messageTime = 500 * time.Microsecond
	// startTimeout is how long the owner waits for the response to a start.
	startTimeout = time.Second
	// unreachableTimeout is the time from the failure of a worker until the owner
	// notices that it does not respond.
	unreachableTimeout = time.Second
	// leaseTime is the time from the failure of a worker until its lease expires.
	leaseTime = 10 * time.Second
	// checkpointTime is how long a task takes to write a checkpoint.
	checkpointTime = 200 * time.Millisecond
	// faultyRunTime is how long a task runs on a faulty worker before it fails.
	faultyRunTime = 5 * time.Millisecond
	// usagePeriod is the time between two usage reports. A report includes a task once
	// it has run for usageLag.
	usagePeriod = time.Second
	usageLag    = 2 * time.Second
	// tickPeriod is the time between two ticks of a policy.
	tickPeriod = 10 * time.Millisecond
	// samplePeriod is the time between two samples of the report.
	samplePeriod = 100 * time.Millisecond
	// drainTime is how long after the end of the trace jobs may end by themselves. Then
	// they are cancelled, and the replay goes on for settleTime.
	drainTime  = 10 * time.Minute
	settleTime = 2 * time.Minute
)

// Emulator replays one trace against one policy.
type Emulator struct {
	opts    Options
	trace   *trace.Trace
	queue   queue
	now     state.Time
	domains []*domain
	byID    map[state.DomainID]*domain
	workers map[state.VMID]*worker
	teams   []*trace.Team
	jobs    map[state.JobID]*record
	// jobOrder holds the jobs in the order of their submission.
	jobOrder []*record
	// waitingJobs holds the jobs that may still wait for placement.
	waitingJobs []*record
	openJobs    int
	// crashes counts the upstreams that a task has crashed, crashStarts its starts since the third.
	crashes, crashStarts map[taskKey]int
	running              map[taskKey]state.VMID
	starts               map[taskKey]int
	progress             map[taskKey]time.Duration
	violations           []Violation
	meter                *meter
}

// taskKey identifies a task of a job across all its attempts.
type taskKey struct {
	job   state.JobID
	index int
}

// domain is a failure domain with its policy.
type domain struct {
	id      state.DomainID
	policy  Policy
	workers []*worker
	// total is the capacity of all workers, services that of the workers of each
	// service.
	total    state.Vector
	services []*serviceTotal
	quotas   []machine.Quota
	teams    []*teamUse
	openJobs int
	// busy is the wall time spent in the policy, cancelling the part of it spent on
	// cancels.
	busy       time.Duration
	cancelling time.Duration
}

type serviceTotal struct {
	service  state.Service
	capacity state.Vector
}

// teamUse is what a team uses on the workers of a domain, and its limit there.
type teamUse struct {
	team  *trace.Team
	limit state.Vector
	used  state.Vector
}

// record is the state of a job during the replay.
type record struct {
	spec           *trace.Submit
	domain         *domain
	submitted      state.Time
	placed         state.Time
	answered       state.Time
	taskStarted    []bool
	unstartedTasks int
	answers        int
	answer         machine.Answer
	cancelled      bool
	starts         int
}

// Run replays a trace and returns the report.
func Run(t *trace.Trace, opts Options) *Report {
	if opts.LostResponses == 0 {
		opts.LostResponses = DefaultLostResponses
	}
	e := &Emulator{
		opts:    opts,
		trace:   t,
		byID:    map[state.DomainID]*domain{},
		workers: map[state.VMID]*worker{},
		jobs:    map[state.JobID]*record{},
		running: map[taskKey]state.VMID{},
		starts:  map[taskKey]int{},
		crashes: map[taskKey]int{}, crashStarts: map[taskKey]int{},
		progress: map[taskKey]time.Duration{},
		meter:    newMeter(),
	}
	e.scheduleEvent(0)
	e.schedulePeriodic(tickPeriod, e.tick)
	e.schedulePeriodic(usagePeriod, e.usage)
	e.schedulePeriodic(samplePeriod, e.sample)
	e.runUntil(t.End() + drainTime)
	e.cancelOpen()
	e.runUntil(t.End() + drainTime + settleTime)
	e.checkAnswered()
	return e.report()
}

// scheduleEvent schedules the trace event with the given index, which in turn schedules
// the next one.
func (e *Emulator) scheduleEvent(index int) {
	if index == len(e.trace.Events) {
		return
	}
	ev := &e.trace.Events[index]
	e.at(ev.Time(), func() {
		e.apply(ev)
		e.scheduleEvent(index + 1)
	})
}

// schedulePeriodic calls do once per period until the trace has ended and no job is
// open.
func (e *Emulator) schedulePeriodic(period time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		if e.now < e.trace.End() || e.openJobs > 0 {
			e.after(period, again)
		}
	}
	e.after(period, again)
}

func (e *Emulator) at(at state.Time, do func()) { e.queue.add(max(at, e.now), do) }

func (e *Emulator) after(wait time.Duration, do func()) { e.queue.add(e.now+wait, do) }

func (e *Emulator) runUntil(end state.Time) {
	for it := e.queue.next(end); it != nil; it = e.queue.next(end) {
		e.now = it.at
		it.do()
	}
}

func (e *Emulator) apply(ev *trace.Event) {
	switch ev.Kind {
	case trace.KindUpstream:
		e.addWorker(ev.Upstream)
	case trace.KindTeam:
		e.addTeam(ev.Team)
	case trace.KindSubmit:
		e.submit(ev.Submit)
	case trace.KindCancel:
		e.cancel(ev.Job)
	case trace.KindLost:
		e.crash(e.workers[ev.VM])
	case trace.KindBack:
		e.restart(e.workers[ev.VM])
	case trace.KindFaulty:
		e.workers[ev.VM].faulty = true
	case trace.KindRepaired:
		e.workers[ev.VM].faulty = false
	case trace.KindResized:
		e.resize(e.workers[ev.VM], ev.Capacity.Vector())
	}
}

func (e *Emulator) domain(id state.DomainID) *domain {
	d, ok := e.byID[id]
	if !ok {
		d = &domain{id: id, policy: e.opts.New(id)}
		e.byID[id] = d
		e.domains = append(e.domains, d)
		for _, t := range e.teams {
			d.addTeam(t)
		}
	}
	return d
}

func (e *Emulator) addTeam(t *trace.Team) {
	e.teams = append(e.teams, t)
	for _, d := range e.domains {
		d.addTeam(t)
		e.step(d, machine.QuotasChanged{Quotas: d.quotas})
	}
}

func (d *domain) addTeam(t *trace.Team) {
	limit := t.Limit.Vector()
	d.teams = append(d.teams, &teamUse{team: t, limit: limit})
	quotas := append([]machine.Quota(nil), d.quotas...)
	d.quotas = append(quotas, machine.Quota{Team: t.ID, Limit: limit, Weight: t.Weight, MaxQueued: t.MaxQueued})
}

func (d *domain) team(id state.TeamID) *teamUse {
	for _, t := range d.teams {
		if t.team.ID == id {
			return t
		}
	}
	return &teamUse{team: &trace.Team{ID: id}}
}

func (e *Emulator) submit(spec *trace.Submit) {
	d := e.domain(spec.Domain)
	r := &record{spec: spec, domain: d, submitted: e.now, taskStarted: make([]bool, spec.Tasks), unstartedTasks: spec.Tasks}
	e.jobs[spec.ID] = r
	e.jobOrder = append(e.jobOrder, r)
	e.waitingJobs = append(e.waitingJobs, r)
	e.openJobs++
	d.openJobs++
	e.step(d, machine.Submit{Job: spec.Spec(e.now)})
}

func (e *Emulator) cancel(id state.JobID) {
	r, ok := e.jobs[id]
	if !ok || r.answers > 0 {
		return
	}
	r.cancelled = true
	e.step(r.domain, machine.CancelJob{Job: id, Team: r.spec.Team})
}

func (e *Emulator) cancelOpen() {
	for _, r := range e.jobOrder {
		e.cancel(r.spec.ID)
	}
}

func (e *Emulator) tick() {
	for _, d := range e.domains {
		if d.openJobs > 0 {
			e.step(d, machine.Tick{})
		}
	}
}

// step passes an event to the policy of a domain and carries out the returned actions.
func (e *Emulator) step(d *domain, ev machine.Event) {
	actions := e.decide(d, ev)
	for _, action := range actions {
		switch action := action.(type) {
		case machine.Start:
			e.start(action)
		case machine.ResolveStart:
			e.resolveStart(action)
		case machine.Stop:
			e.stop(action)
		case machine.Answer:
			e.answer(action)
		case machine.Accept:
		}
	}
}

// decide calls the policy and measures the time that it takes if there is a clock.
func (e *Emulator) decide(d *domain, ev machine.Event) []machine.Action {
	if e.opts.Clock == nil {
		return d.policy.Step(e.now, ev)
	}
	begin := e.opts.Clock()
	actions := d.policy.Step(e.now, ev)
	spent := e.opts.Clock() - begin
	d.busy += spent
	if _, cancels := ev.(machine.CancelJob); cancels {
		d.cancelling += spent
	}
	return actions
}

func (e *Emulator) answer(a machine.Answer) {
	r, ok := e.jobs[a.Job]
	if !ok {
		e.violation("answer", "answer to job %s, which was never submitted", a.Job)
		return
	}
	r.answers++
	if r.answers > 1 {
		e.violation("one answer", "job %s was answered %d times", a.Job, r.answers)
		return
	}
	r.answer = a
	r.answered = e.now
	e.openJobs--
	r.domain.openJobs--
	e.checkAnswer(r)
}
