package scheduler

import (
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

const (
	// returnStep is the resolution in which callers are told a time.
	returnStep = time.Second
	// A caller returns on time up to returnEarly before the time it was told, which
	// covers clocks that differ, and up to returnLate after it. Then its promise lapses.
	returnEarly, returnLate = 300 * time.Millisecond, 2 * time.Second
	// keepAdded is how long an accepted job is kept after it was added: until no outlook is
	// in use that was made before.
	keepAdded = 4 * outlookAge
	// maxPromises bounds the memory for promises.
	maxPromises = 4096
)

// admission is the state for the decisions about submitted jobs.
type admission struct {
	last Admission
	// ranked holds the steps in the order of the latest plan, at plannedAt.
	ranked    []rankedStep
	plannedAt state.Time
	outlooks  map[workload.ServiceName]*outlook
	// inflows holds the accepted work by service and rank, in the order of the first job.
	inflows []*inflow
	// accepted holds the accepted jobs that an outlook may not contain yet.
	accepted ordered[*acceptedJob]
	// promises holds the refused callers that were told when to return.
	promises ordered[promise]
	// outcomes holds the jobs that have ended and whose outcome was not taken.
	outcomes map[workload.JobID]JobOutcome
	// kinds holds the kinds of upstreams that were registered in this term.
	kinds map[upstreamKind]struct{}
}

// acceptedJob is a job that was accepted and is about to be recorded.
type acceptedJob struct {
	work     newWork
	service  workload.ServiceName
	decision Admission
	// addedAt is when the job was added to the scheduler; 0 before.
	addedAt state.Time
}

// promise is the capacity that is kept for a refused caller.
type promise struct {
	due     state.Time
	service workload.ServiceName
	// rank has the priority, and how far the workspace exceeded its part of the service.
	rank    rank
	amount  state.Vector
	runTime time.Duration
}

func newAdmission() admission {
	return admission{
		outlooks: map[workload.ServiceName]*outlook{},
		accepted: newOrdered[*acceptedJob](), promises: newOrdered[promise](), kinds: map[upstreamKind]struct{}{},
		outcomes: map[workload.JobID]JobOutcome{},
	}
}

// ordered holds a value for each of some jobs, in the order in which they were set. The
// order makes decisions repeatable.
type ordered[T any] struct {
	values map[workload.JobID]T
	ids    []workload.JobID
}

func newOrdered[T any]() ordered[T] { return ordered[T]{values: map[workload.JobID]T{}} }

func (o *ordered[T]) get(id workload.JobID) (value T, ok bool) {
	value, ok = o.values[id]
	return value, ok
}

func (o *ordered[T]) set(id workload.JobID, value T) {
	if _, known := o.values[id]; !known {
		o.ids = append(o.ids, id)
	}
	o.values[id] = value
}

// deleteFunc deletes the jobs for which del returns true.
func (o *ordered[T]) deleteFunc(del func(workload.JobID, T) bool) {
	o.ids = slices.DeleteFunc(o.ids, func(id workload.JobID) bool {
		drop := del(id, o.values[id])
		if drop {
			delete(o.values, id)
		}
		return drop
	})
}

// remove deletes one job.
func (o *ordered[T]) remove(id workload.JobID) {
	if _, ok := o.values[id]; ok {
		o.deleteFunc(func(other workload.JobID, _ T) bool { return other == id })
	}
}

// all yields the values in order.
func (o *ordered[T]) all(yield func(T) bool) {
	for _, id := range o.ids {
		if !yield(o.values[id]) {
			return
		}
	}
}

// planned keeps the order of a plan for forecasts, and drops the accepted jobs that every
// outlook contains by now.
func (a *admission) planned(now state.Time, ranked []rankedStep) {
	a.ranked, a.plannedAt = ranked, now
	if len(a.accepted.ids) > 0 {
		a.accepted.deleteFunc(func(_ workload.JobID, p *acceptedJob) bool { return p.addedAt > 0 && now-p.addedAt > keepAdded })
	}
}

// noteAccepted counts an accepted job as waiting until a plan has seen it.
func (s *Scheduler) noteAccepted(now state.Time, spec *workload.Job) {
	a, q := &s.admission, s.config.Queue(spec.Queue)
	a.promises.remove(spec.ID)
	if _, known := a.accepted.get(spec.ID); q == nil || known {
		return
	}
	n := s.newWork(now, spec, q)
	a.accepted.set(spec.ID, &acceptedJob{work: n, service: q.Service, decision: a.last})
	if spec.LongRunning() {
		return
	}
	r := n.class()
	i := slices.IndexFunc(a.inflows, func(f *inflow) bool { return f.service == q.Service && f.rank == r })
	if i < 0 {
		i = len(a.inflows)
		a.inflows = append(a.inflows, &inflow{service: q.Service, rank: r, at: now})
	}
	a.inflows[i].add(now, &n)
}

// added records that a job was added to the scheduler. It returns the decision that accepted
// the job, or nil.
func (a *admission) added(now state.Time, id workload.JobID) *Admission {
	a.promises.remove(id)
	p, ok := a.accepted.get(id)
	if !ok {
		return nil
	}
	p.addedAt = now
	return &p.decision
}

// promise records when a refused caller was told to return.
func (a *admission) promise(now state.Time, id workload.JobID, p promise) {
	if len(a.promises.ids) >= maxPromises {
		a.dropLapsed(now)
	}
	if len(a.promises.ids) < maxPromises {
		a.promises.set(id, p)
	}
}

// returned reports whether a job returns at the time that it was told.
func (a *admission) returned(now state.Time, id workload.JobID) bool {
	p, ok := a.promises.get(id)
	return ok && now >= p.due-returnEarly && now <= p.due+returnLate
}

// dropLapsed drops the promises to callers that did not return.
func (a *admission) dropLapsed(now state.Time) {
	a.promises.deleteFunc(func(_ workload.JobID, p promise) bool { return now > p.due+returnLate })
}
