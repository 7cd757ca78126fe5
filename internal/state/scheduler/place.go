package scheduler

import (
	"slices"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// placement places tasks of one step.
type placement struct {
	s          *Scheduler
	now        state.Time
	step       *step
	queue      *workload.Queue
	pool       *pool // nil if no task is assigned to an upstream
	background bool
	// yields says that the step leaves the headroom of urgent work free.
	yields bool
	plan   *Plan
	speed  speedPolicy
	// unticketed holds the upstreams for which a ticket must be requested.
	unticketed []workload.UpstreamID
}

func (p *placement) needsAdvice() bool { return p.queue.Advice != nil }

// place places the waiting tasks. It returns how many it placed. exhausted says that no
// upstream which is known to be allowed has the capacity for another task, or for all
// tasks of a gang.
func (p *placement) place(waiting int) (placed int, exhausted bool) {
	if !p.step.spec.Demand().Fits(p.pool.maxFree) {
		p.step.scannedTo = max(p.step.scannedTo, p.pool.maxFreeSeq)
		return 0, true
	}
	scannedTo := p.s.freedSeq
	candidates := p.gangCandidates(p.s.candidates(p.step, p.pool, p.needsAdvice(), p.speed))
	switch {
	case len(candidates) == 0:
		exhausted = true
	case !p.step.spec.Gang:
		placed, exhausted = p.placeSingles(waiting, candidates)
	case !p.s.withinMaximum(p.step.job.spec.Workspace, p.step.spec.Each.Scale(int64(waiting))):
		p.s.waiting.Maximum += waiting
	case p.placeGang(waiting, candidates):
		placed = waiting
	default:
		exhausted = true
	}
	if exhausted {
		p.step.scannedTo = scannedTo
	} else if placed == waiting {
		p.step.scannedTo = 0
	}
	return placed, exhausted
}

// placeSingles places independent tasks, each on the upstream with the lowest cost, until
// none is left or the quota, the headroom or the candidates are exhausted.
func (p *placement) placeSingles(waiting int, candidates []candidate) (placed int, exhausted bool) {
	placedBefore := p.step.waitingTasks(false)
	for i := range waiting {
		if !p.s.withinMaximum(p.step.job.spec.Workspace, p.step.spec.Each) {
			p.s.waiting.Maximum += waiting - i
			return i, false
		}
		if !p.withinHeadroom(1) {
			p.s.waiting.Capacity += waiting - i
			return i, false
		}
		var t *task
		if i < len(placedBefore) {
			t = placedBefore[i]
		}
		best := p.best(t, candidates)
		if best == nil {
			return i, true
		}
		if t == nil {
			if t = p.step.nextUntouched(); t == nil {
				return i, false
			}
		}
		best.free = best.free.Sub(p.step.spec.Demand())
		p.assign(t, best.u, p.s.nextRun(t.lastRun))
	}
	return waiting, false
}

// best returns the candidate with capacity that has the lowest cost, or nil. The task
// may be nil.
func (p *placement) best(t *task, candidates []candidate) *candidate {
	demand := p.step.spec.Demand()
	var best *candidate
	bestCost := 0.0
	for i := range candidates {
		c := &candidates[i]
		if !demand.Fits(c.free) || !p.withinMaxPerUpstream(c) {
			continue
		}
		if t != nil && t.moves.tooSlow(p.now, c.u.member) {
			p.step.heldBack = true
			continue
		}
		cost := c.cost
		if t != nil && t.avoid == c.u.ID {
			cost += avoidCost
		}
		if t != nil && !t.crashes.Empty() {
			cost += c.u.companyCost(p.step.job)
		}
		if best == nil || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	return best
}

// withinMaxPerUpstream reports whether another task of the step may be placed on a candidate.
func (p *placement) withinMaxPerUpstream(c *candidate) bool {
	if p.s.coldLimited(p.now, c.u, c.trial) {
		return false
	}
	limit := p.step.spec.MaxPerUpstream
	return limit == 0 || p.step.perUpstream[c.u.ID]+c.trial < limit
}

// placeGang places all tasks of a gang, or returns false if the candidates lack the
// capacity for one of them.
func (p *placement) placeGang(members int, candidates []candidate) bool {
	var chosen []*upstream
	if p.step.spec.SameRack {
		chosen = p.chooseOneRack(members, candidates)
	}
	if chosen == nil {
		chosen = p.chooseSimilar(members, candidates)
	}
	if chosen == nil {
		return false
	}
	number := int64(0)
	waiting := p.step.waitingTasks(true)
	for _, t := range waiting {
		number = max(number, t.lastRun)
	}
	number = p.s.nextRun(number)
	checkpoint := waiting[0].newestCheckpoint()
	for i, t := range waiting {
		t.checkpoint = checkpoint
		p.assign(t, chosen[i], number)
	}
	p.tryGang()
	p.startGangIfTicketed()
	return true
}

// newestCheckpoint returns the checkpoint from which all members of a gang resume.
func (t *task) newestCheckpoint() string {
	newest := ""
	for _, member := range t.step.tasks {
		newest = max(newest, member.checkpoint)
	}
	return newest
}

// chooseOneRack returns an upstream for each task, all on one rack, or nil.
func (p *placement) chooseOneRack(members int, candidates []candidate) []*upstream {
	racks := map[string][]candidate{}
	for _, c := range candidates {
		racks[c.u.Rack()] = append(racks[c.u.Rack()], c)
	}
	names := make([]string, 0, len(racks))
	for name := range racks {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if chosen := p.chooseUpstreams(members, racks[name]); chosen != nil {
			return chosen
		}
	}
	return nil
}

// chooseUpstreams returns an upstream for each task, or nil if one can't be placed.
func (p *placement) chooseUpstreams(members int, candidates []candidate) []*upstream {
	trial := slices.Clone(candidates)
	chosen := make([]*upstream, 0, members)
	for range members {
		best := p.best(nil, trial)
		if best == nil {
			return nil
		}
		best.free = best.free.Sub(p.step.spec.Demand())
		best.trial++
		chosen = append(chosen, best.u)
	}
	return chosen
}

// assign reserves capacity for a task and plans the start of the run if it needs no
// ticket or has one. A gang is started once every member has a ticket.
func (p *placement) assign(t *task, u *upstream, number int64) {
	r := &run{Run: Run{t.id(), number, u.ID}, task: t, phase: awaitingTicket, since: p.now, pace: 100}
	p.s.reserve(u, r)
	p.s.noteColdStart(p.now, u)
	p.pool.notePlaced(u, p.step.spec.Demand(), p.s.freedSeq)
	if p.step.spec.Gang {
		return
	}
	p.startIfTicketed(r)
}

func (p *placement) startIfTicketed(r *run) {
	if !p.needsAdvice() {
		p.start(r, ticket{})
		return
	}
	if tk := p.step.tickets[r.Upstream]; tk.validUntil > p.now+ticketMargin {
		p.start(r, tk)
		return
	}
	if !slices.Contains(p.unticketed, r.Upstream) {
		p.unticketed = append(p.unticketed, r.Upstream)
	}
}

func (p *placement) startGangIfTicketed() {
	var runs []*run
	for _, t := range p.step.tasks {
		runs = append(runs, t.runs...)
	}
	if p.needsAdvice() {
		for _, r := range runs {
			if p.step.tickets[r.Upstream].validUntil <= p.now+ticketMargin && !slices.Contains(p.unticketed, r.Upstream) {
				p.unticketed = append(p.unticketed, r.Upstream)
			}
		}
		if len(p.unticketed) > 0 {
			return
		}
	}
	for _, r := range runs {
		p.start(r, p.step.tickets[r.Upstream])
	}
}

func (p *placement) start(r *run, tk ticket) {
	r.phase, r.since, r.ticketUntil = planned, p.now, tk.validUntil
	r.task.lastRun = max(r.task.lastRun, r.Number)
	p.step.started = true
	p.s.noteStarted(p.now, p.step)
	p.s.markDirty(p.step.job)
	p.plan.Starts = append(p.plan.Starts, Start{
		Run: r.Run, Payload: p.step.job.spec.Payload, Checkpoint: r.task.checkpoint, Ticket: tk.token,
		Priority: p.step.priority, Gang: p.step.spec.Gang,
	})
}

// freePlaces returns how many more tasks of the step fit on an upstream now, at most
// the given number.
func (st *step) freePlaces(u *upstream, limit int) (n int) {
	if per := st.spec.MaxPerUpstream; per > 0 {
		limit = min(limit, per-st.perUpstream[u.ID])
	}
	demand := st.spec.Demand()
	for free := withSlots(u.free()); n < limit && demand.Fits(free); n++ {
		free = free.Sub(demand)
	}
	return n
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
