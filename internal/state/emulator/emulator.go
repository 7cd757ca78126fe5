package emulator

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/machine"
	"github.com/samphirerail/samphirerail/internal/state/trace"
)

// Policy decides for one failure domain. machine.Machine is one.
type Policy interface {
	Step(now state.Time, ev machine.Event) []machine.Action
}

// Options choose how a trace is replayed.
type Options struct {
	// Name is the name of the policy in the report.
	Name string
	// New returns the policy of a failure domain.
	New func(state.DomainID) Policy
	// Clock reads a monotonic clock, to measure what decisions cost. Nil
	// leaves that out of the report.
	Clock func() time.Duration
	// LostAnswers is one in how many starts has its answer lost; 0 means
	// DefaultLostAnswers.
	LostAnswers uint64
}

// DefaultLostAnswers is one in how many starts has its answer lost.
const DefaultLostAnswers = 500

// The model of workers and of the owner's view of them.
const (
	// messageTime is how long a message between owner and worker takes.
	messageTime = 500 * time.Microsecond
	// startTimeout is how long the owner waits for the answer to a start.
	startTimeout = time.Second
	// silenceTimeout is how long a worker is silent before the owner knows.
	silenceTimeout = time.Second
	// leaseTime is how long after its death a worker's lease has lapsed.
	leaseTime = 10 * time.Second
	// checkpointTime is how long a task takes to save its progress.
	checkpointTime = 200 * time.Millisecond
	// failFast is how long a faulty worker runs a task before it fails.
	failFast = 5 * time.Millisecond
	// usagePeriod is the time between two reports of usage; a task is in
	// them once it has run for usageLag.
	usagePeriod = time.Second
	usageLag    = 2 * time.Second
	// tickPeriod is the time between two ticks of a policy.
	tickPeriod = 10 * time.Millisecond
	// samplePeriod is the time between two samples of the report.
	samplePeriod = 100 * time.Millisecond
	// drainTime is how long after the trace's end jobs may still end by
	// themselves; then they are cancelled, and settleTime is left.
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
	// order is the jobs in the order of their submission.
	order []*record
	// waiters are the jobs that may still wait to be placed.
	waiters  []*record
	open     int
	running  map[taskKey]state.VMID
	starts   map[taskKey]int
	progress map[taskKey]time.Duration
	breaches []Breach
	meter    *meter
}

// taskKey names a task of a job over all its attempts.
type taskKey struct {
	job   state.JobID
	index int
}

// domain is a failure domain with its policy.
type domain struct {
	id      state.DomainID
	policy  Policy
	workers []*worker
	// total is the capacity of all workers, and byService of each service's.
	total    state.Vector
	services []*serviceTotal
	quotas   []machine.Quota
	teams    []*teamUse
	open     int
	// busy is the wall time spent in the policy, cancelling that part of it
	// spent on cancels.
	busy       time.Duration
	cancelling time.Duration
}

type serviceTotal struct {
	service  state.Service
	capacity state.Vector
}

// teamUse is what the workers of a domain run of a team.
type teamUse struct {
	team  *trace.Team
	limit state.Vector
	used  state.Vector
}

// record is what is known of a job.
type record struct {
	spec      *trace.Submit
	domain    *domain
	submitted state.Time
	placed    state.Time
	answered  state.Time
	begun     []bool
	waitsFor  int
	answers   int
	answer    machine.Answer
	cancelled bool
	starts    int
}

// Run replays a trace and returns the report.
func Run(t *trace.Trace, opts Options) *Report {
	if opts.LostAnswers == 0 {
		opts.LostAnswers = DefaultLostAnswers
	}
	e := &Emulator{
		opts:     opts,
		trace:    t,
		byID:     map[state.DomainID]*domain{},
		workers:  map[state.VMID]*worker{},
		jobs:     map[state.JobID]*record{},
		running:  map[taskKey]state.VMID{},
		starts:   map[taskKey]int{},
		progress: map[taskKey]time.Duration{},
		meter:    newMeter(),
	}
	e.feed(0)
	e.schedulePeriodic(tickPeriod, e.tick)
	e.schedulePeriodic(usagePeriod, e.usage)
	e.schedulePeriodic(samplePeriod, e.sample)
	e.runUntil(t.End() + drainTime)
	e.cancelOpen()
	e.runUntil(t.End() + drainTime + settleTime)
	e.checkAnswered()
	return e.report()
}

// feed takes the trace's event with the index at its time, then the next.
func (e *Emulator) feed(index int) {
	if index == len(e.trace.Events) {
		return
	}
	ev := &e.trace.Events[index]
	e.at(ev.Time(), func() {
		e.apply(ev)
		e.feed(index + 1)
	})
}

// schedulePeriodic calls do in each period until all is done.
func (e *Emulator) schedulePeriodic(period time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		if e.now < e.trace.End() || e.open > 0 {
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
		e.lose(e.workers[ev.VM])
	case trace.KindBack:
		e.restart(e.workers[ev.VM])
	case trace.KindFaulty:
		e.workers[ev.VM].faulty = true
	case trace.KindRepaired:
		e.workers[ev.VM].faulty = false
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
	r := &record{spec: spec, domain: d, submitted: e.now, begun: make([]bool, spec.Tasks), waitsFor: spec.Tasks}
	e.jobs[spec.ID] = r
	e.order = append(e.order, r)
	e.waiters = append(e.waiters, r)
	e.open++
	d.open++
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
	for _, r := range e.order {
		e.cancel(r.spec.ID)
	}
}

func (e *Emulator) tick() {
	for _, d := range e.domains {
		if d.open > 0 {
			e.step(d, machine.Tick{})
		}
	}
}

// step hands an event to a domain's policy and carries out what it decides.
func (e *Emulator) step(d *domain, ev machine.Event) {
	actions := e.decide(d, ev)
	for _, action := range actions {
		switch action := action.(type) {
		case machine.Start:
			e.start(action)
		case machine.ResolveStart:
			e.resolve(action)
		case machine.Stop:
			e.stop(action)
		case machine.Answer:
			e.answer(action)
		case machine.Accept:
		}
	}
}

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
		e.breach("answer", "an answer to %s, which nobody submitted", a.Job)
		return
	}
	r.answers++
	if r.answers > 1 {
		e.breach("one answer", "%s was answered %d times", a.Job, r.answers)
		return
	}
	r.answer = a
	r.answered = e.now
	e.open--
	r.domain.open--
	e.checkAnswer(r)
}
