package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

const (
	// ticketMargin is how long a ticket must still hold when a start is ordered.
	ticketMargin = 100 * time.Millisecond
	// maxAsked is the most upstreams that one call for advice may name.
	maxAsked = 100
	// The first call for a step names askedBase upstreams and askedPerTask more
	// for each waiting task; less than half of those named may run the step.
	askedBase, askedPerTask = 24, 2
	// knownRetry is the pause between two searches for upstreams that a step
	// was not advised about, once it was advised about as many as there are.
	knownRetry = 300 * time.Millisecond
	// askRetry is the pause after a failed call for advice.
	askRetry = 100 * time.Millisecond
)

// placement places tasks of one step.
type placement struct {
	s       *Scheduler
	now     state.Time
	step    *step
	advised bool
	plan    *Plan
	// unticketed are the upstreams for which a ticket must be asked.
	unticketed []workload.UpstreamID
}

// single places independent tasks, each where it costs least. It returns how
// many found no room.
func (p *placement) single(waiting []*task, candidates []candidate) (left int) {
	each := p.step.spec.Each
	for i, t := range waiting {
		if !p.s.withinMaximum(p.step.job.spec.Workspace, each) {
			p.s.waits.Maximum += len(waiting) - i
			return 0
		}
		best := p.best(t, candidates)
		if best == nil {
			return len(waiting) - i
		}
		best.free = best.free.Sub(p.step.spec.Room())
		p.assign(t, best.u, p.s.nextRun(t.lastRun))
	}
	return 0
}

// best returns the cheapest candidate with room, or nil.
func (p *placement) best(t *task, candidates []candidate) *candidate {
	room := p.step.spec.Room()
	var best *candidate
	bestCost := 0.0
	for i := range candidates {
		c := &candidates[i]
		if !room.Fits(c.free) || !p.spread(c) {
			continue
		}
		cost := c.cost
		if t != nil && t.avoid == c.u.ID {
			cost += avoidCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	return best
}

// spread reports whether another task of the step may run on a candidate.
func (p *placement) spread(c *candidate) bool {
	most := p.step.spec.MaxPerUpstream
	return most == 0 || p.step.perUpstream[c.u.ID]+c.trial < most
}

// gang places all tasks of a gang at once or none. It reports false if only
// room is wanting.
func (p *placement) gang(waiting []*task, candidates []candidate) bool {
	n := int64(len(waiting))
	if !p.s.withinMaximum(p.step.job.spec.Workspace, p.step.spec.Each.Scale(n)) {
		return true
	}
	var chosen []*upstream
	if p.step.spec.SameRack {
		chosen = p.onOneRack(waiting, candidates)
	}
	if chosen == nil {
		chosen = p.spreadGang(waiting, candidates)
	}
	if chosen == nil {
		return false
	}
	number := int64(0)
	for _, t := range waiting {
		number = max(number, t.lastRun)
	}
	number = p.s.nextRun(number)
	checkpoint := waiting[0].newestCheckpoint()
	for i, t := range waiting {
		t.checkpoint = checkpoint
		p.assign(t, chosen[i], number)
	}
	p.startGangIfTicketed()
	return true
}

// newestCheckpoint returns one checkpoint for all members of a gang.
func (t *task) newestCheckpoint() string {
	newest := ""
	for _, member := range t.step.tasks {
		newest = max(newest, member.checkpoint)
	}
	return newest
}

// onOneRack returns an upstream of one rack for each task, or nil.
func (p *placement) onOneRack(waiting []*task, candidates []candidate) []*upstream {
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
		if chosen := p.spreadGang(waiting, racks[name]); chosen != nil {
			return chosen
		}
	}
	return nil
}

// spreadGang returns an upstream for each task, or nil if one finds no room.
func (p *placement) spreadGang(waiting []*task, candidates []candidate) []*upstream {
	trial := slices.Clone(candidates)
	chosen := make([]*upstream, 0, len(waiting))
	for range waiting {
		best := p.best(nil, trial)
		if best == nil {
			return nil
		}
		best.free = best.free.Sub(p.step.spec.Room())
		best.trial++
		chosen = append(chosen, best.u)
	}
	return chosen
}

// assign reserves an upstream for a task and starts the run if it needs no
// ticket or has one. Gangs are started once every member has its ticket.
func (p *placement) assign(t *task, u *upstream, number int64) {
	r := &run{Run: Run{t.id(), number, u.ID}, task: t, phase: awaiting, since: p.now, pace: 100}
	p.s.take(u, r)
	if p.step.spec.Gang {
		return
	}
	p.startIfTicketed(r)
}

func (p *placement) startIfTicketed(r *run) {
	if !p.advised {
		p.start(r, ticket{})
		return
	}
	if tk := p.step.advised[r.Upstream]; tk.until > p.now+ticketMargin {
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
	if p.advised {
		for _, r := range runs {
			if p.step.advised[r.Upstream].until <= p.now+ticketMargin && !slices.Contains(p.unticketed, r.Upstream) {
				p.unticketed = append(p.unticketed, r.Upstream)
			}
		}
		if len(p.unticketed) > 0 {
			return
		}
	}
	for _, r := range runs {
		p.start(r, p.step.advised[r.Upstream])
	}
}

func (p *placement) start(r *run, tk ticket) {
	r.phase, r.since, r.ticketUntil = planned, p.now, tk.until
	r.task.lastRun = max(r.task.lastRun, r.Number)
	p.step.started = true
	p.s.touch(p.step.job)
	p.plan.Starts = append(p.plan.Starts, Start{
		Run: r.Run, Payload: p.step.job.spec.Payload, Checkpoint: r.task.checkpoint, Ticket: tk.token,
	})
}

// renew asks for the tickets that runs wait for, or gives up the reservations
// if no call can be made now.
func (p *placement) renew(q *workload.Queue) {
	if len(p.unticketed) == 0 {
		return
	}
	ask := Ask{Step: p.step.id(), Upstreams: p.unticketed[:min(len(p.unticketed), maxAsked)], Advice: *q.Advice}
	if p.now < p.step.failedUntil || !p.s.admitAsk(&ask) {
		p.s.releaseAwaiting(p.now, p.step)
		return
	}
	p.step.asking++
	p.plan.Asks = append(p.plan.Asks, ask)
}

func (s *Scheduler) releaseAwaiting(now state.Time, st *step) {
	for _, t := range st.tasks {
		for _, r := range append([]*run(nil), t.runs...) {
			if r.phase == awaiting {
				s.release(now, r, false)
			}
		}
	}
}

// askBudget returns the count of the calls of a kind in flight and its limit.
func (s *Scheduler) askBudget(slow bool) (inFlight *int, limit int) {
	if slow {
		return &s.slowAsks, s.opts.SlowAsks
	}
	return &s.quickAsks, s.opts.QuickAsks
}

// mayAsk reports whether another call of the queue's kind may be in flight.
func (s *Scheduler) mayAsk(advice *workload.Advice) bool {
	inFlight, limit := s.askBudget(advice.DecisionMS > quickAdviceMS)
	return *inFlight < limit
}

// admitAsk counts a call for advice if its kind has room in flight.
func (s *Scheduler) admitAsk(a *Ask) bool {
	inFlight, limit := s.askBudget(a.Slow())
	if *inFlight >= limit {
		return false
	}
	*inFlight++
	return true
}

// askUnknown asks which upstreams may run a step, if those that are known have
// no room for one task, or for all of a gang.
func (s *Scheduler) askUnknown(now state.Time, st *step, q *workload.Queue, pl *pool, waiting int, plan *Plan) {
	if st.asking > 0 || now < st.askAfter || !s.mayAsk(q.Advice) {
		return
	}
	if len(st.advised) >= len(pl.members) {
		// Most likely all are known; look through them only now and then.
		st.askAfter = now + knownRetry
	}
	room, places := st.spec.Room(), 1
	if st.spec.Gang {
		places = waiting
	}
	var unknown []candidate
	for i := range pl.members {
		u := pl.members[i].u
		if !st.allows(u) || !room.Fits(withSlots(u.Capacity)) {
			continue
		}
		free := withSlots(u.free())
		if tk, ok := st.advised[u.ID]; !ok {
			unknown = append(unknown, candidate{u: u, free: free, cost: pl.members[i].cost})
		} else if tk.good {
			places -= st.places(u, places)
		}
	}
	if places <= 0 || len(unknown) == 0 {
		return
	}
	slices.SortFunc(unknown, func(a, b candidate) int {
		return cmp.Or(-cmp.Compare(boolInt(room.Fits(a.free)), boolInt(room.Fits(b.free))), cmp.Compare(a.cost, b.cost), cmp.Compare(a.u.ID, b.u.ID))
	})
	n := min(len(unknown), maxAsked, askedBase+askedPerTask*waiting)
	ask := Ask{Step: st.id(), Advice: *q.Advice}
	for _, c := range unknown[:n] {
		ask.Upstreams = append(ask.Upstreams, c.u.ID)
	}
	if s.admitAsk(&ask) {
		st.asking++
		plan.Asks = append(plan.Asks, ask)
	}
}

// places returns how many more tasks of the step an upstream has room for now, up
// to a number.
func (st *step) places(u *upstream, most int) (n int) {
	if per := st.spec.MaxPerUpstream; per > 0 {
		most = min(most, per-st.perUpstream[u.ID])
	}
	room := st.spec.Room()
	for free := withSlots(u.free()); n < most && room.Fits(free); n++ {
		free = free.Sub(room)
	}
	return n
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Advised takes in the answer to a call for advice. tickets holds the token for
// each upstream that may run the step; until is how long the tokens hold.
func (s *Scheduler) Advised(now state.Time, ask *Ask, tickets map[workload.UpstreamID]string, until state.Time, failed bool) []Start {
	inFlight, _ := s.askBudget(ask.Slow())
	*inFlight--
	j := s.jobs[ask.Step.Job]
	if j == nil || ask.Step.Occurrence >= len(j.steps) {
		return nil
	}
	st := j.steps[ask.Step.Occurrence][ask.Step.Step]
	st.asking--
	if failed {
		st.askAfter, st.failedUntil = now+askRetry, now+askRetry
		s.releaseAwaiting(now, st)
		return nil
	}
	if st.advised == nil {
		st.advised = map[workload.UpstreamID]ticket{}
	}
	for _, id := range ask.Upstreams {
		token, good := tickets[id]
		st.advised[id] = ticket{token: token, until: until, good: good}
	}
	if j.phase.Final() {
		return nil
	}
	return s.startAwaiting(now, st)
}

// startAwaiting starts the runs that waited for a ticket.
func (s *Scheduler) startAwaiting(now state.Time, st *step) []Start {
	var plan Plan
	p := placement{s: s, now: now, step: st, advised: true, plan: &plan}
	if st.spec.Gang {
		if len(st.tasks[0].runs) == 0 || st.tasks[0].runs[0].phase != awaiting {
			return nil
		}
		p.startGangIfTicketed()
	} else {
		for _, t := range st.tasks {
			for _, r := range t.runs {
				if r.phase == awaiting {
					p.startIfTicketed(r)
				}
			}
		}
	}
	if len(p.unticketed) > 0 && st.asking == 0 {
		s.releaseAwaiting(now, st)
	}
	return plan.Starts
}
