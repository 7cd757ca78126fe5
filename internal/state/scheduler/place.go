package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

const (
	// ticketMargin is the least remaining validity of a ticket when a start is planned.
	ticketMargin = 100 * time.Millisecond
	// maxAdviceUpstreams is the largest number of upstreams in one advice request.
	maxAdviceUpstreams = 100
	// The first request for a step names adviceBaseUpstreams upstreams and
	// adviceUpstreamsPerTask more for each waiting task; fewer than half of those named
	// are allowed to run the step.
	adviceBaseUpstreams, adviceUpstreamsPerTask = 24, 2
	// adviceSearchInterval is the pause between two searches for upstreams that a step
	// has no advice about, once it has advice about as many as there are.
	adviceSearchInterval = 300 * time.Millisecond
	// adviceRetry is the pause after a failed advice request.
	adviceRetry = 100 * time.Millisecond
)

// placement places tasks of one step.
type placement struct {
	s           *Scheduler
	now         state.Time
	step        *step
	needsAdvice bool
	plan        *Plan
	// unticketed holds the upstreams for which a ticket must be requested.
	unticketed []workload.UpstreamID
}

// placeSingles places independent tasks, each on the upstream with the lowest cost. It
// returns how many remain because no upstream has capacity.
func (p *placement) placeSingles(waiting []*task, candidates []candidate) (left int) {
	each := p.step.spec.Each
	for i, t := range waiting {
		if !p.s.withinMaximum(p.step.job.spec.Workspace, each) {
			p.s.waiting.Maximum += len(waiting) - i
			return 0
		}
		best := p.best(t, candidates)
		if best == nil {
			return len(waiting) - i
		}
		best.free = best.free.Sub(p.step.spec.Demand())
		p.assign(t, best.u, p.s.nextRun(t.lastRun))
	}
	return 0
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

// withinMaxPerUpstream reports whether another task of the step may run on a candidate.
func (p *placement) withinMaxPerUpstream(c *candidate) bool {
	limit := p.step.spec.MaxPerUpstream
	return limit == 0 || p.step.perUpstream[c.u.ID]+c.trial < limit
}

// placeGang places either all tasks of a gang or none. It returns false only if
// capacity is lacking.
func (p *placement) placeGang(waiting []*task, candidates []candidate) bool {
	n := int64(len(waiting))
	if !p.s.withinMaximum(p.step.job.spec.Workspace, p.step.spec.Each.Scale(n)) {
		return true
	}
	var chosen []*upstream
	if p.step.spec.SameRack {
		chosen = p.chooseOneRack(waiting, candidates)
	}
	if chosen == nil {
		chosen = p.chooseUpstreams(waiting, candidates)
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

// newestCheckpoint returns the checkpoint from which all members of a gang resume.
func (t *task) newestCheckpoint() string {
	newest := ""
	for _, member := range t.step.tasks {
		newest = max(newest, member.checkpoint)
	}
	return newest
}

// chooseOneRack returns an upstream for each task, all on one rack, or nil.
func (p *placement) chooseOneRack(waiting []*task, candidates []candidate) []*upstream {
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
		if chosen := p.chooseUpstreams(waiting, racks[name]); chosen != nil {
			return chosen
		}
	}
	return nil
}

// chooseUpstreams returns an upstream for each task, or nil if one can't be placed.
func (p *placement) chooseUpstreams(waiting []*task, candidates []candidate) []*upstream {
	trial := slices.Clone(candidates)
	chosen := make([]*upstream, 0, len(waiting))
	for range waiting {
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
	if p.step.spec.Gang {
		return
	}
	p.startIfTicketed(r)
}

func (p *placement) startIfTicketed(r *run) {
	if !p.needsAdvice {
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
	if p.needsAdvice {
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
	p.s.markDirty(p.step.job)
	p.plan.Starts = append(p.plan.Starts, Start{
		Run: r.Run, Payload: p.step.job.spec.Payload, Checkpoint: r.task.checkpoint, Ticket: tk.token,
	})
}

// requestTickets requests the tickets that reserved runs wait for, or releases the
// reservations if no request can be made now.
func (p *placement) requestTickets(q *workload.Queue) {
	if len(p.unticketed) == 0 {
		return
	}
	req := AdviceRequest{Step: p.step.id(), Upstreams: p.unticketed[:min(len(p.unticketed), maxAdviceUpstreams)], Advice: *q.Advice}
	if p.now < p.step.adviceBackoffUntil || !p.s.admitAdviceRequest(&req) {
		p.s.releaseAwaiting(p.now, p.step)
		return
	}
	p.step.adviceInFlight++
	p.plan.AdviceRequests = append(p.plan.AdviceRequests, req)
}

func (s *Scheduler) releaseAwaiting(now state.Time, st *step) {
	for _, t := range st.tasks {
		for _, r := range append([]*run(nil), t.runs...) {
			if r.phase == awaitingTicket {
				s.release(now, r, false)
			}
		}
	}
}

// adviceBudget returns the number of advice requests of a class in flight and its
// limit.
func (s *Scheduler) adviceBudget(slow bool) (inFlight *int, limit int) {
	if slow {
		return &s.slowAdvice, s.opts.SlowAdviceLimit
	}
	return &s.quickAdvice, s.opts.QuickAdviceLimit
}

// mayRequestAdvice reports whether another advice request of the queue's class may be
// in flight.
func (s *Scheduler) mayRequestAdvice(advice *workload.Advice) bool {
	inFlight, limit := s.adviceBudget(advice.DecisionMS > quickAdviceMS)
	return *inFlight < limit
}

// admitAdviceRequest counts a request as in flight if the limit of its class allows it.
func (s *Scheduler) admitAdviceRequest(a *AdviceRequest) bool {
	inFlight, limit := s.adviceBudget(a.Slow())
	if *inFlight >= limit {
		return false
	}
	*inFlight++
	return true
}

// requestAdvice requests advice about further upstreams for a step, if the upstreams
// that are known to be allowed lack the capacity for one task, or for all tasks of a
// gang.
func (s *Scheduler) requestAdvice(now state.Time, st *step, q *workload.Queue, pl *pool, waiting int, plan *Plan) {
	if st.adviceInFlight > 0 || now < st.nextAdviceSearch || !s.mayRequestAdvice(q.Advice) {
		return
	}
	if len(st.tickets) >= len(pl.members) {
		// There is most likely advice about all upstreams; search them only
		// occasionally.
		st.nextAdviceSearch = now + adviceSearchInterval
	}
	demand, places := st.spec.Demand(), 1
	if st.spec.Gang {
		places = waiting
	}
	var unknown []candidate
	for i := range pl.members {
		u := pl.members[i].u
		if !st.allows(u) || !demand.Fits(withSlots(u.Capacity)) {
			continue
		}
		free := withSlots(u.free())
		if tk, ok := st.tickets[u.ID]; !ok {
			unknown = append(unknown, candidate{u: u, free: free, cost: pl.members[i].cost})
		} else if tk.allowed {
			places -= st.freePlaces(u, places)
		}
	}
	if places <= 0 || len(unknown) == 0 {
		return
	}
	slices.SortFunc(unknown, func(a, b candidate) int {
		return cmp.Or(-cmp.Compare(boolInt(demand.Fits(a.free)), boolInt(demand.Fits(b.free))), cmp.Compare(a.cost, b.cost), cmp.Compare(a.u.ID, b.u.ID))
	})
	n := min(len(unknown), maxAdviceUpstreams, adviceBaseUpstreams+adviceUpstreamsPerTask*waiting)
	req := AdviceRequest{Step: st.id(), Advice: *q.Advice}
	for _, c := range unknown[:n] {
		req.Upstreams = append(req.Upstreams, c.u.ID)
	}
	if s.admitAdviceRequest(&req) {
		st.adviceInFlight++
		plan.AdviceRequests = append(plan.AdviceRequests, req)
	}
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

// ApplyAdvice applies the response to an advice request and returns the starts that it
// makes possible. tickets holds the token for each upstream that may run the step; the
// tokens are valid until the given time. failed says that the request failed.
func (s *Scheduler) ApplyAdvice(now state.Time, req *AdviceRequest, tickets map[workload.UpstreamID]string, validUntil state.Time, failed bool) []Start {
	inFlight, _ := s.adviceBudget(req.Slow())
	*inFlight--
	j := s.jobs[req.Step.Job]
	if j == nil || req.Step.Occurrence >= len(j.steps) {
		return nil
	}
	st := j.steps[req.Step.Occurrence][req.Step.Step]
	st.adviceInFlight--
	if failed {
		st.nextAdviceSearch, st.adviceBackoffUntil = now+adviceRetry, now+adviceRetry
		s.releaseAwaiting(now, st)
		return nil
	}
	if st.tickets == nil {
		st.tickets = map[workload.UpstreamID]ticket{}
	}
	for _, id := range req.Upstreams {
		token, allowed := tickets[id]
		st.tickets[id] = ticket{token: token, validUntil: validUntil, allowed: allowed}
	}
	if j.phase.Final() {
		return nil
	}
	return s.startAwaiting(now, st)
}

// startAwaiting plans the starts of the runs that waited for a ticket.
func (s *Scheduler) startAwaiting(now state.Time, st *step) []Start {
	var plan Plan
	p := placement{s: s, now: now, step: st, needsAdvice: true, plan: &plan}
	if st.spec.Gang {
		if len(st.tasks[0].runs) == 0 || st.tasks[0].runs[0].phase != awaitingTicket {
			return nil
		}
		p.startGangIfTicketed()
	} else {
		for _, t := range st.tasks {
			for _, r := range t.runs {
				if r.phase == awaitingTicket {
					p.startIfTicketed(r)
				}
			}
		}
	}
	if len(p.unticketed) > 0 && st.adviceInFlight == 0 {
		s.releaseAwaiting(now, st)
	}
	return plan.Starts
}
