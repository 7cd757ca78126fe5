package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// lateFactor is how many objectives a job may take until its result is worth
// nothing.
const lateFactor = 3

// Plan places what can be placed and returns all orders that are due.
func (s *Scheduler) Plan(now state.Time) Plan {
	var plan Plan
	s.settleExpired(now)
	s.repeatStops(now)
	s.orderBars(now)
	s.evacuate(now)
	s.pace(now, &plan)
	s.pools, s.waits = map[workload.ServiceName]*pool{}, Waiting{}
	for _, st := range s.order(now) {
		s.placeStep(now, st, &plan)
	}
	plan.Stops, s.stops = s.stops, nil
	plan.Ended, s.ended = s.ended, nil
	return plan
}

// rank orders steps; less goes first.
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

// rankOf ranks a step: work within its workspace's share first, then work that
// can still be on time, then by priority and by the end of its objective.
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

// placeStep places the waiting tasks of a step as far as there is room.
func (s *Scheduler) placeStep(now state.Time, st *step, plan *Plan) {
	q := s.config.Queue(st.job.spec.Queue)
	if q == nil || s.jobs[st.job.id] != st.job || st.job.phase.Final() {
		return
	}
	waiting, held := st.waiting()
	s.waits.Held += held
	if st.spec.Gang && held == 0 && s.stopIncomplete(now, st) {
		return
	}
	if len(waiting) == 0 {
		if held == 0 {
			delete(s.ready, st)
		}
		return
	}
	if !s.withinMaximum(st.job.spec.Workspace, st.spec.Each) {
		s.waits.Maximum += len(waiting)
		return
	}
	pl := s.pool(now, q.Service)
	fits := st.spec.Room().Fits(pl.most)
	if q.Advice != nil && (fits || q.Advice.DecisionMS > quickAdviceMS) {
		s.askUnknown(now, st, q, pl, len(waiting), plan)
	}
	if !fits {
		s.waits.Room += len(waiting)
		pl.reserve(st, len(waiting), q.Advice != nil)
		return
	}
	candidates := s.candidates(st, pl, q.Advice != nil)
	if len(candidates) == 0 {
		s.countUnplaced(st, q, len(waiting))
		pl.reserve(st, len(waiting), q.Advice != nil)
		return
	}
	defer pl.measure()
	p := placement{s: s, now: now, step: st, advised: q.Advice != nil, plan: plan}
	if st.spec.Gang {
		if !p.gang(waiting, candidates) {
			s.waits.Room += len(waiting)
			pl.reserve(st, len(waiting), q.Advice != nil)
		}
	} else {
		s.waits.Room += p.single(waiting, candidates)
	}
	p.renew(q)
}

// countUnplaced counts tasks that no candidate has room for.
func (s *Scheduler) countUnplaced(st *step, q *workload.Queue, n int) {
	if q.Advice != nil && len(st.advised) == 0 {
		s.waits.Advice += n
	} else {
		s.waits.Room += n
	}
}

// waiting returns the tasks that have no run and may get one. held counts
// others that may run where nobody could look yet.
func (st *step) waiting() (out []*task, held int) {
	gangRuns := false
	for _, t := range st.tasks {
		if t.done || len(t.runs) > 0 {
			gangRuns = gangRuns || len(t.runs) > 0
			continue
		}
		if t.heldAt != "" {
			held++
			continue
		}
		out = append(out, t)
	}
	if st.spec.Gang && (held > 0 || gangRuns) {
		out = nil
	}
	return out, held
}

// stopIncomplete stops the members of a gang of which not all run. An owner
// starts all members at once, but may die in between. It reports whether
// members run at all.
func (s *Scheduler) stopIncomplete(now state.Time, st *step) bool {
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

// pool is the usable part of a service in the course of a plan.
type pool struct {
	members []member
	// most is the largest free amount of each kind, not all on one upstream.
	most state.Vector
	// reservations counts the gangs that wait for reserved upstreams.
	reservations int
}

// member is a usable upstream with the cost that its health adds.
type member struct {
	u    *upstream
	cost float64
	// reserved is set while a gang that goes before all later steps waits for
	// the upstream to become free.
	reserved bool
}

// pool returns the usable upstreams of a service.
func (s *Scheduler) pool(now state.Time, service workload.ServiceName) *pool {
	if pl := s.pools[service]; pl != nil {
		return pl
	}
	pl := &pool{}
	for _, u := range s.byService[service] {
		if !u.known || u.silent || u.Draining || u.health.recentFaults(now) >= avoidFaults {
			continue
		}
		pl.members = append(pl.members, member{u: u, cost: float64(int(u.health.cost(now)/costStep)) * costStep})
	}
	pl.measure()
	s.pools[service] = pl
	return pl
}

// maxReservations bounds the gangs that hold upstreams back at a time, and with
// them the accelerators that stay idle.
const maxReservations = 2

// reserve keeps the upstreams that are nearest to having room for a gang from
// the steps that come after it in this plan. Without it, single tasks would take
// each accelerator that becomes free, and the gang would never start.
func (p *pool) reserve(st *step, tasks int, advised bool) {
	if !st.spec.Gang || p.reservations >= maxReservations {
		return
	}
	room := st.spec.Room()
	var usable []*member
	for i := range p.members {
		m := &p.members[i]
		if !m.reserved && st.allows(m.u) && room.Fits(withSlots(m.u.Capacity)) && (!advised || st.advised[m.u.ID].good) {
			usable = append(usable, m)
		}
	}
	slices.SortFunc(usable, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.u.emptiness(false)+a.u.emptiness(true), b.u.emptiness(false)+b.u.emptiness(true))*-1, cmp.Compare(a.u.ID, b.u.ID))
	})
	for n, m := range usable {
		if tasks <= 0 {
			usable = usable[:n]
			break
		}
		tasks -= m.holds(st)
	}
	if tasks > 0 {
		return
	}
	p.reservations++
	for _, m := range usable {
		m.reserved = true
	}
	p.measure()
}

// holds returns how many tasks of a step the empty upstream has room for.
func (m *member) holds(st *step) int {
	room, n := st.spec.Room(), 0
	for free := withSlots(m.u.Capacity); room.Fits(free); free = free.Sub(room) {
		if n++; n == st.spec.MaxPerUpstream || n == st.spec.Count {
			break
		}
	}
	return n
}

// measure finds the largest free amounts.
func (p *pool) measure() {
	p.most = state.Vector{}
	for i := range p.members {
		if !p.members[i].reserved {
			p.most = p.most.Max(p.members[i].u.free())
		}
	}
	p.most.Slots = unboundedSlots
}

// candidates returns the upstreams that have room for a task of the step. Of an
// advised step only those are returned that the advice allows.
func (s *Scheduler) candidates(st *step, pl *pool, advised bool) []candidate {
	room := st.spec.Room()
	var out []candidate
	for i := range pl.members {
		m := &pl.members[i]
		free := withSlots(m.u.free())
		if m.reserved || !room.Fits(free) || !st.allows(m.u) || (advised && !st.advised[m.u.ID].good) {
			continue
		}
		out = append(out, candidate{u: m.u, free: free, cost: m.cost + st.cost(m.u)})
	}
	return out
}

// allows reports whether the step's label lets it run on an upstream.
func (st *step) allows(u *upstream) bool {
	return st.spec.Constraint == "" || u.HasLabel(st.spec.Constraint)
}

// unboundedSlots stands for the slots of an upstream, which do not bound tasks.
const unboundedSlots = 1 << 30

func withSlots(v state.Vector) state.Vector {
	v.Slots = unboundedSlots
	return v
}

// candidate is an upstream in the course of a placement.
type candidate struct {
	u    *upstream
	free state.Vector
	cost float64
	// trial counts the members of a gang that a trial placement puts there.
	trial int
}

const (
	// farCost is added when the data is on another rack; such tasks take twice
	// as long on the users' platform.
	farCost = 1.0
	// disturbCost is added when filling and serving tasks would share an upstream.
	disturbCost = 3.0
	// packCost orders upstreams of like speed by the room that they have left.
	packCost = 0.08
	// acceleratorPackCost keeps whole upstreams free for gangs; a fifth of the
	// accelerators is all that is left of them on a usual day.
	acceleratorPackCost = 0.4
	// avoidCost is added for the upstream on which the task failed last.
	avoidCost = 2.0
	// costStep is the resolution of speeds; smaller differences do not count.
	costStep = 0.15
)

// cost orders upstreams of like health for a step; less is better.
func (st *step) cost(u *upstream) float64 {
	cost := 0.0
	if st.spec.Affinity != "" && !u.HasLabel(st.spec.Affinity) {
		cost += farCost
	}
	switch {
	case st.spec.Fills:
		if u.serving > 0 {
			cost += disturbCost
		}
		cost += float64(u.used.CPUMilli+u.fillCPU) / float64(max(1, u.Capacity.CPUMilli))
	case st.spec.TargetMS > 0:
		if u.fillCPU > 0 {
			cost += disturbCost
		}
	}
	if st.spec.Each.Accelerators > 0 {
		return cost + acceleratorPackCost*u.emptiness(true)
	}
	return cost + packCost*u.emptiness(false)
}

// emptiness is the part of the upstream that is free, 0 to 1.
func (u *upstream) emptiness(accelerators bool) float64 {
	if accelerators && u.Capacity.Accelerators > 0 {
		return float64(u.Capacity.Accelerators-u.used.Accelerators) / float64(u.Capacity.Accelerators)
	}
	return float64(u.Capacity.CPUMilli-u.used.CPUMilli) / float64(max(1, u.Capacity.CPUMilli))
}

// evacuate stops what would not end before its draining upstream leaves.
func (s *Scheduler) evacuate(now state.Time) {
	for _, u := range s.upstreams {
		if !u.Draining || u.silent {
			continue
		}
		for _, r := range u.sortedRuns() {
			spec := r.task.step.spec
			if r.phase != running || s.leavesInTime(now, u, r) {
				continue
			}
			if spec.LongRunning || spec.Checkpoints {
				s.stop(now, r, StopLeaving)
			}
		}
	}
}

// leavesInTime reports whether a run is expected to end before its upstream leaves.
func (s *Scheduler) leavesInTime(now state.Time, u *upstream, r *run) bool {
	spec := r.task.step.spec
	if spec.LongRunning {
		return false
	}
	left := time.Duration(float64(spec.Estimate())*u.health.slow(now)) - (now - r.startedAt)
	return left < time.Duration(u.RemainingMS)*time.Millisecond
}

const (
	// paceInterval is the least time between two changes of pace on an upstream.
	paceInterval = 400 * time.Millisecond
	// Filling tasks are slowed while a serving task beside them is above
	// paceDownAt of its target, and sped up below paceUpAt.
	paceDownAt, paceUpAt = 0.85, 0.5
	// paceUpStep is by how many percent filling tasks are sped up at a time.
	paceUpStep = 10
	// pacePause is the share below which filling tasks are paused, in percent.
	pacePause = 15
)

// pace slows filling tasks that disturb serving ones.
func (s *Scheduler) pace(now state.Time, plan *Plan) {
	for _, u := range s.upstreams {
		if u.serving == 0 || u.fillCPU == 0 || u.silent {
			continue
		}
		worst := 0.0
		for _, r := range u.runs {
			if target := r.task.step.spec.TargetMS; target > 0 && r.phase == running {
				worst = max(worst, float64(r.figure)/float64(target))
			}
		}
		for _, r := range u.sortedRuns() {
			if r.task.step.spec.Fills && r.phase == running && now-r.pacedAt >= paceInterval {
				s.setPace(now, r, worst, plan)
			}
		}
	}
}

func (s *Scheduler) setPace(now state.Time, r *run, worst float64, plan *Plan) {
	next := r.pace
	switch {
	case worst > paceDownAt:
		next = r.pace / 2
		if next < pacePause {
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

// Phase returns the phase of a job that callers may be shown. A final phase is
// shown only once it is recorded; the scheduler has forgotten the job by then.
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
