package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// lateFactor is the multiple of its objective after which a job's result has no value
// any more.
const lateFactor = 3

// Plan places the tasks that can be placed and returns all commands that are due.
func (s *Scheduler) Plan(now state.Time) Plan {
	var plan Plan
	s.expireUnconfirmed(now)
	s.repeatStops(now)
	s.issueRevocations(now)
	s.stopOnDraining(now)
	s.pace(now, &plan)
	s.pools, s.waiting = map[workload.ServiceName]*pool{}, Waiting{}
	for _, st := range s.order(now) {
		s.placeStep(now, st, &plan)
	}
	plan.Stops, s.stops = s.stops, nil
	plan.Ended, s.ended = s.ended, nil
	return plan
}

// rank is the sort key of steps; lower ranks are placed first.
type rank struct {
	overShare bool
	lateness  int
	priority  int
	dueBy     state.Time
	id        workload.JobID
	step      int
}

func (a rank) compare(b rank) int {
	if a.overShare != b.overShare {
		if b.overShare {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(a.lateness, b.lateness),
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.dueBy, b.dueBy),
		cmp.Compare(a.id, b.id),
		cmp.Compare(a.step, b.step),
	)
}

// rankOf ranks a step: jobs within their workspace's share first, then those that can
// still complete in time, then by priority and by the end of the objective.
func (s *Scheduler) rankOf(now state.Time, st *step) rank {
	j := st.job
	r := rank{overShare: j.overShare, dueBy: j.dueBy, id: j.id, step: st.index}
	if q := s.config.Queue(j.spec.Queue); q != nil {
		r.priority = q.Priority
	}
	if st.spec.LongRunning {
		r.priority = 0
		return r
	}
	finish := now + st.spec.Estimate()
	switch {
	case finish <= j.dueBy:
	case finish <= j.arrived+lateFactor*(j.dueBy-j.arrived):
		r.lateness = 1
	default:
		r.lateness = 2
	}
	return r
}

func (s *Scheduler) order(now state.Time) []*step {
	type ranked struct {
		rank rank
		step *step
	}
	all := make([]ranked, 0, len(s.ready))
	for st := range s.ready {
		all = append(all, ranked{s.rankOf(now, st), st})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(a.rank.compare(b.rank), cmp.Compare(a.step.occurrence, b.step.occurrence))
	})
	out := make([]*step, len(all))
	for i := range all {
		out[i] = all[i].step
	}
	return out
}

// placeStep places the waiting tasks of a step as far as capacity allows.
func (s *Scheduler) placeStep(now state.Time, st *step, plan *Plan) {
	q := s.config.Queue(st.job.spec.Queue)
	if q == nil || s.jobs[st.job.id] != st.job || st.job.phase.Final() {
		return
	}
	waiting, unconfirmed := st.waiting()
	s.waiting.Unconfirmed += unconfirmed
	if st.spec.Gang && unconfirmed == 0 && s.stopIncompleteGang(now, st) {
		return
	}
	if len(waiting) == 0 {
		if unconfirmed == 0 {
			delete(s.ready, st)
		}
		return
	}
	if !s.withinMaximum(st.job.spec.Workspace, st.spec.Each) {
		s.waiting.Maximum += len(waiting)
		return
	}
	pl := s.pool(now, q.Service)
	fits := st.spec.Demand().Fits(pl.maxFree)
	if q.Advice != nil && (fits || q.Advice.DecisionMS > quickAdviceMS) {
		s.requestAdvice(now, st, q, pl, len(waiting), plan)
	}
	if !fits {
		s.waiting.Capacity += len(waiting)
		pl.reserve(st, len(waiting), q.Advice != nil)
		return
	}
	candidates := s.candidates(st, pl, q.Advice != nil)
	if len(candidates) == 0 {
		s.countUnplaced(st, q, len(waiting))
		pl.reserve(st, len(waiting), q.Advice != nil)
		return
	}
	defer pl.updateMaxFree()
	p := placement{s: s, now: now, step: st, needsAdvice: q.Advice != nil, plan: plan}
	if st.spec.Gang {
		if !p.placeGang(waiting, candidates) {
			s.waiting.Capacity += len(waiting)
			pl.reserve(st, len(waiting), q.Advice != nil)
		}
	} else {
		s.waiting.Capacity += p.placeSingles(waiting, candidates)
	}
	p.requestTickets(q)
}

// countUnplaced counts tasks for which there is no candidate.
func (s *Scheduler) countUnplaced(st *step, q *workload.Queue, n int) {
	if q.Advice != nil && len(st.tickets) == 0 {
		s.waiting.Advice += n
	} else {
		s.waiting.Capacity += n
	}
}

// waiting returns the tasks that have no run and may get one. unconfirmed counts those
// that may have a run on an upstream that has not been polled yet.
func (st *step) waiting() (out []*task, unconfirmed int) {
	gangRuns := false
	for _, t := range st.tasks {
		if t.done || len(t.runs) > 0 {
			gangRuns = gangRuns || len(t.runs) > 0
			continue
		}
		if t.unconfirmedOn != "" {
			unconfirmed++
			continue
		}
		out = append(out, t)
	}
	if st.spec.Gang && (unconfirmed > 0 || gangRuns) {
		out = nil
	}
	return out, unconfirmed
}

// stopIncompleteGang stops the members of a gang that does not run completely. An owner
// starts all members together, but may fail in between. It reports whether any member
// runs.
func (s *Scheduler) stopIncompleteGang(now state.Time, st *step) bool {
	missing := false
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

// pool holds the usable upstreams of a service during one Plan.
type pool struct {
	members []member
	// maxFree is the largest free amount of each resource, not necessarily on the same
	// upstream.
	maxFree state.Vector
	// reservations counts the gangs that wait for reserved upstreams.
	reservations int
}

// member is a usable upstream with the health part of its cost.
type member struct {
	u    *upstream
	cost float64
	// reserved is set while a gang that ranks before all later steps waits for the
	// upstream to become free.
	reserved bool
}

// pool returns the usable upstreams of a service.
func (s *Scheduler) pool(now state.Time, service workload.ServiceName) *pool {
	if pl := s.pools[service]; pl != nil {
		return pl
	}
	pl := &pool{}
	for _, u := range s.byService[service] {
		if !u.polled || u.unreachable || u.Draining || u.health.recentFaults(now) >= avoidFaults {
			continue
		}
		pl.members = append(pl.members, member{u: u, cost: float64(int(u.health.cost(now)/costStep)) * costStep})
	}
	pl.updateMaxFree()
	s.pools[service] = pl
	return pl
}

// maxReservations bounds the gangs that reserve upstreams at a time, and with them the
// accelerators that stay idle.
const maxReservations = 2

// reserve withholds the upstreams that are closest to having capacity for a gang from
// the lower-ranked steps of this plan. Otherwise single tasks would take each
// accelerator that becomes free, and the gang would never start.
func (p *pool) reserve(st *step, tasks int, needsAdvice bool) {
	if !st.spec.Gang || p.reservations >= maxReservations {
		return
	}
	demand := st.spec.Demand()
	var usable []*member
	for i := range p.members {
		m := &p.members[i]
		if !m.reserved && st.allows(m.u) && demand.Fits(withSlots(m.u.Capacity)) && (!needsAdvice || st.tickets[m.u.ID].allowed) {
			usable = append(usable, m)
		}
	}
	slices.SortFunc(usable, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.u.freeFraction(false)+a.u.freeFraction(true), b.u.freeFraction(false)+b.u.freeFraction(true))*-1, cmp.Compare(a.u.ID, b.u.ID))
	})
	for n, m := range usable {
		if tasks <= 0 {
			usable = usable[:n]
			break
		}
		tasks -= m.capacityFor(st)
	}
	if tasks > 0 {
		return
	}
	p.reservations++
	for _, m := range usable {
		m.reserved = true
	}
	p.updateMaxFree()
}

// capacityFor returns how many tasks of a step fit on the empty upstream.
func (m *member) capacityFor(st *step) int {
	demand, n := st.spec.Demand(), 0
	for free := withSlots(m.u.Capacity); demand.Fits(free); free = free.Sub(demand) {
		if n++; n == st.spec.MaxPerUpstream || n == st.spec.Count {
			break
		}
	}
	return n
}

// updateMaxFree computes maxFree over the upstreams that are not reserved.
func (p *pool) updateMaxFree() {
	p.maxFree = state.Vector{}
	for i := range p.members {
		if !p.members[i].reserved {
			p.maxFree = p.maxFree.Max(p.members[i].u.free())
		}
	}
	p.maxFree.Slots = unboundedSlots
}

// candidates returns the upstreams with capacity for a task of the step. If the step
// needs advice, only upstreams that the advice allows are returned.
func (s *Scheduler) candidates(st *step, pl *pool, needsAdvice bool) []candidate {
	demand := st.spec.Demand()
	var out []candidate
	for i := range pl.members {
		m := &pl.members[i]
		free := withSlots(m.u.free())
		if m.reserved || !demand.Fits(free) || !st.allows(m.u) || (needsAdvice && !st.tickets[m.u.ID].allowed) {
			continue
		}
		out = append(out, candidate{u: m.u, free: free, cost: m.cost + st.cost(m.u)})
	}
	return out
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

// candidate is an upstream considered in a placement, with the capacity that is left.
type candidate struct {
	u    *upstream
	free state.Vector
	cost float64
	// trial counts the gang members that are tentatively placed on the upstream.
	trial int
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
	// costStep is the resolution of the health cost; smaller differences are ignored.
	costStep = 0.15
)

// cost returns the placement cost of an upstream for a step, without its health; lower
// is better.
func (st *step) cost(u *upstream) float64 {
	cost := 0.0
	if st.spec.Affinity != "" && !u.HasLabel(st.spec.Affinity) {
		cost += remoteDataCost
	}
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

// freeFraction returns the free fraction of the upstream's accelerators, if it has any
// and they are asked for, or of its processors, 0 to 1.
func (u *upstream) freeFraction(accelerators bool) float64 {
	if accelerators && u.Capacity.Accelerators > 0 {
		return float64(u.Capacity.Accelerators-u.used.Accelerators) / float64(u.Capacity.Accelerators)
	}
	return float64(u.Capacity.CPUMilli-u.used.CPUMilli) / float64(max(1, u.Capacity.CPUMilli))
}

// stopOnDraining stops the long-running and checkpointing runs that would not end
// before their draining upstream shuts down.
func (s *Scheduler) stopOnDraining(now state.Time) {
	for _, u := range s.upstreams {
		if !u.Draining || u.unreachable {
			continue
		}
		for _, r := range u.sortedRuns() {
			spec := r.task.step.spec
			if r.phase != running || s.endsBeforeDrained(now, u, r) {
				continue
			}
			if spec.LongRunning || spec.Checkpoints {
				s.stop(now, r, StopLeaving)
			}
		}
	}
}

// endsBeforeDrained reports whether a run is expected to end before its upstream shuts
// down.
func (s *Scheduler) endsBeforeDrained(now state.Time, u *upstream, r *run) bool {
	spec := r.task.step.spec
	if spec.LongRunning {
		return false
	}
	left := time.Duration(float64(spec.Estimate())*u.health.currentSlowness(now)) - (now - r.startedAt)
	return left < time.Duration(u.RemainingMS)*time.Millisecond
}

const (
	// paceInterval is the shortest time between two pace changes of a run.
	paceInterval = 400 * time.Millisecond
	// Best-effort tasks are throttled while the tail latency of a serving task on the
	// same upstream is above paceDownAt of its target, and sped up below paceUpAt.
	paceDownAt, paceUpAt = 0.85, 0.5
	// paceUpStep is the increase per step when best-effort tasks are sped up, in
	// percent.
	paceUpStep = 10
	// minPace is the pace below which best-effort tasks are paused, in percent.
	minPace = 15
)

// pace throttles best-effort tasks that interfere with serving tasks.
func (s *Scheduler) pace(now state.Time, plan *Plan) {
	for _, u := range s.upstreams {
		if u.serving == 0 || u.bestEffortCPU == 0 || u.unreachable {
			continue
		}
		worst := 0.0
		for _, r := range u.runs {
			if target := r.task.step.spec.TargetMS; target > 0 && r.phase == running {
				worst = max(worst, float64(r.load)/float64(target))
			}
		}
		for _, r := range u.sortedRuns() {
			if r.task.step.spec.Fills && r.phase == running && now-r.pacedAt >= paceInterval {
				s.adjustPace(now, r, worst, plan)
			}
		}
	}
}

func (s *Scheduler) adjustPace(now state.Time, r *run, worst float64, plan *Plan) {
	next := r.pace
	switch {
	case worst > paceDownAt:
		next = r.pace / 2
		if next < minPace {
			next = 0
		}
	case worst < paceUpAt:
		next = min(100, r.pace+paceUpStep)
	}
	if next != r.pace {
		r.pace, r.pacedAt = next, now
		plan.Paces = append(plan.Paces, Pace{r.Run, next})
	}
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
