package scheduler

import (
	"slices"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// Plan places the tasks that can be placed and returns all commands that are due.
func (s *Scheduler) Plan(now state.Time) Plan {
	var plan Plan
	s.refreshUnconfirmed(now)
	s.refreshTrials(now)
	s.repeatStops(now)
	s.issueRevocations(now)
	s.stopOnDraining(now)
	s.pace(now, &plan)
	s.pools, s.waiting = map[workload.ServiceName]*pool{}, Waiting{}
	ranked := s.order(now)
	s.admission.planned(now, ranked)
	for _, next := range ranked {
		s.placeStep(now, next.step, next.rank.background(), &plan)
		s.noteUnplaced(now, next)
	}
	s.moveOut(now, &plan)
	s.preempt(now, &plan)
	s.moveLate(now, &plan)
	for _, pl := range s.pools {
		s.endReservations(pl)
	}
	plan.Stops, s.stops = s.stops, nil
	plan.Ended, s.ended = s.ended, nil
	plan.Losses, s.losses = s.losses, nil
	plan.GivenUp, s.givenUp = s.givenUp, nil
	plan.Settled, s.settledStarts = s.settledStarts, nil
	return plan
}

// placeStep places the waiting tasks of a step as far as capacity allows; those of a
// background step as far as headroom remains for other work.
func (s *Scheduler) placeStep(now state.Time, st *step, background bool, plan *Plan) {
	q := s.config.Queue(st.job.spec.Queue)
	if q == nil || s.jobs[st.job.id] != st.job || st.job.phase.Final() {
		return
	}
	if s.failUsedUp(now, st, q) {
		return
	}
	waiting, unconfirmed := s.countPlaceable(st)
	s.waiting.Unconfirmed += unconfirmed
	if st.spec.Gang && !s.mayRunUnseen(st) && s.stopIncompleteGang(now, st) {
		return
	}
	suspected := !s.heldBack(st) && len(st.suspects()) > 0
	if waiting == 0 && !suspected {
		if unconfirmed == 0 && st.untouched() == 0 {
			delete(s.ready, st)
		}
		return
	}
	if !s.withinMaximum(st.job.spec.Workspace, st.spec.Each) {
		s.waiting.Maximum += waiting
		return
	}
	s.noteWaits(now, st)
	pl := s.pool(now, q.Service)
	st.priority = q.Priority
	p := placement{s: s, now: now, step: st, queue: q, pool: pl, background: background, yields: s.leavesHeadroom(now, st, q, background), plan: plan, speed: s.speedPolicy(now, st, pl)}
	p.chooseHome()
	if waiting += p.placeSuspects(); waiting == 0 {
		p.requestTickets()
		return
	}
	if !p.withinHeadroom(waiting) {
		s.waiting.Capacity += waiting
		return
	}
	placed, exhausted := p.place(waiting)
	if exhausted {
		p.searchUpstreams(waiting - placed)
		s.countUnplaced(st, q, waiting-placed)
		if placed == 0 {
			s.noteBlocked(now, st)
			pl.reserve(st, waiting, q.Advice != nil, s.freedSeq)
		}
	}
	p.requestTickets()
}

// countUnplaced counts tasks for which there is no candidate with capacity.
func (s *Scheduler) countUnplaced(st *step, q *workload.Queue, n int) {
	switch {
	case st.heldBack:
		s.waiting.Speed += n
	case q.Advice != nil && len(st.tickets) == 0:
		s.waiting.Advice += n
	default:
		s.waiting.Capacity += n
	}
}

// countWaiting returns the number of tasks that have no run and may get one. unconfirmed
// counts those that may have a run on an upstream that has not been polled yet.
func (st *step) countWaiting() (waiting, unconfirmed int) {
	gangRuns := false
	waiting = st.untouched()
	for _, t := range st.tasks {
		switch {
		case t.done:
		case len(t.runs) > 0:
			gangRuns = true
		case t.unconfirmedOn != "", t.barred():
			unconfirmed++
		case t.isolated && !st.spec.Gang: // see suspects
		default:
			waiting++
		}
	}
	if st.spec.Gang && (unconfirmed > 0 || gangRuns) {
		waiting = 0
	}
	return waiting, unconfirmed
}

// mayRunUnseen reports whether tasks of the step may have runs on upstreams that have not been polled yet.
func (s *Scheduler) mayRunUnseen(st *step) bool {
	return s.heldBack(st) || slices.ContainsFunc(st.tasks, func(t *task) bool { return t.unconfirmedOn != "" })
}

// stopIncompleteGang stops the members of a gang that does not run completely. An owner
// starts all members together, but may fail in between. It reports whether any member
// runs.
func (s *Scheduler) stopIncompleteGang(now state.Time, st *step) bool {
	missing := st.untouched() > 0
	var runs []*run
	for _, t := range st.tasks {
		missing = missing || (len(t.runs) == 0 && !t.done)
		runs = append(runs, t.runs...)
	}
	if !missing {
		return false
	}
	for _, r := range runs {
		s.stop(now, r, StopGangBroken)
	}
	return len(runs) > 0
}

// allows reports whether the upstream has the label that the step requires.
func (st *step) allows(u *upstream) bool {
	return st.spec.Constraint == "" || u.HasLabel(st.spec.Constraint)
}

// unboundedSlots replaces the slots of an upstream, which do not limit tasks.
const unboundedSlots = 1 << 30

func withSlots(v state.Vector) state.Vector {
	v.Slots = unboundedSlots
	return v
}

const (
	// remoteDataCost is added when the data is on another rack; such tasks take twice
	// as long on the users' platform.
	remoteDataCost = 1.0
	// interferenceCost is added when best-effort and serving tasks would share an
	// upstream.
	interferenceCost = 3.0
	// packCost prefers the fuller of equally fast upstreams.
	packCost = 0.08
	// acceleratorPackCost keeps whole upstreams free for gangs; on a usual day only a
	// fifth of the accelerators is left.
	acceleratorPackCost = 0.4
	// avoidCost is added for the upstream on which the task failed last.
	avoidCost = 2.0
	// lateLeaseCost is added for long-running tasks where leases can't be bounded.
	lateLeaseCost = 4.0
	// costStep is the resolution of the health cost; smaller differences are ignored.
	costStep = 0.15
)

// cost returns the placement cost of an upstream for a step, without its health; lower
// is better.
func (st *step) cost(u *upstream) float64 {
	cost := st.dataCost(u) + st.homeCost(u)
	switch {
	case st.spec.Fills:
		if u.serving > 0 {
			cost += interferenceCost
		}
		cost += float64(u.used.CPUMilli+u.bestEffortCPU) / float64(max(1, u.Capacity.CPUMilli))
	case st.spec.TargetMS > 0:
		if u.bestEffortCPU > 0 {
			cost += interferenceCost
		}
	}
	if st.spec.Each.Accelerators > 0 {
		return cost + acceleratorPackCost*u.freeFraction(true)
	}
	return cost + packCost*u.freeFraction(false)
}

// dataCost returns the part of the placement cost for data on another rack.
func (st *step) dataCost(u *upstream) float64 {
	if st.spec.Affinity != "" && !u.HasLabel(st.spec.Affinity) {
		return remoteDataCost
	}
	return 0
}

// freeFraction returns the free fraction of the upstream's accelerators, if it has any
// and they are asked for, or of its processors, 0 to 1.
func (u *upstream) freeFraction(accelerators bool) float64 {
	if accelerators && u.Capacity.Accelerators > 0 {
		return float64(u.Capacity.Accelerators-u.used.Accelerators) / float64(u.Capacity.Accelerators)
	}
	return float64(u.Capacity.CPUMilli-u.used.CPUMilli) / float64(max(1, u.Capacity.CPUMilli))
}

// Phase returns the phase of a job as shown to callers. A final phase is shown only
// once it is recorded; by then the scheduler no longer holds the job and Phase returns
// false.
func (s *Scheduler) Phase(id workload.JobID) (ledger.Phase, bool) {
	j := s.jobs[id]
	if j == nil {
		return 0, false
	}
	if j.begun {
		return ledger.Running, true
	}
	return ledger.Queued, true
}
