package scheduler

import (
	"container/heap"
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
	// minAdviceUpstreams is the least number of upstreams in a search, if there are so many.
	minAdviceUpstreams = 16
	// adviceSurplus is how many times the places that a step needs a search is expected to
	// find. Others may take some of them before the response arrives.
	adviceSurplus = 2.0
	// minSearched is the least number of upstreams with capacity that a search considers,
	// and searchedPerAsked how many it considers for each that it may ask about. The best
	// of four are nearly as good as the best of all, at a cost that does not grow with
	// the fleet.
	minSearched, searchedPerAsked = 600, 4
	// adviceSearchInterval is the pause after a search that found no upstream without
	// advice.
	adviceSearchInterval = 300 * time.Millisecond
	// adviceRetry is the pause after a failed advice request.
	adviceRetry = 100 * time.Millisecond
)

// advised counts the upstreams that searches for a queue named and those that the
// responses allowed, as decaying sums. Requests for new tickets do not count.
type advised struct{ named, allowed float64 }

const (
	// advisedDecay is the weight that earlier counts keep with each response.
	advisedDecay = 0.95
	// Before the first responses a search expects assumedAllowed of assumedNamed upstreams
	// to be allowed.
	assumedNamed, assumedAllowed = 10.0, 4.0
)

func (s *Scheduler) countAdvice(queue workload.QueueName, named, allowed int) {
	a := s.advised[queue]
	if a == nil {
		a = &advised{}
		s.advised[queue] = a
	}
	a.named, a.allowed = a.named*advisedDecay+float64(named), a.allowed*advisedDecay+float64(allowed)
}

// allowedShare returns the expected share of upstreams that the advice service allows for
// a step of a queue.
func (s *Scheduler) allowedShare(queue workload.QueueName) float64 {
	a := advised{}
	if known := s.advised[queue]; known != nil {
		a = *known
	}
	return (a.allowed + assumedAllowed) / (a.named + assumedNamed)
}

// searchUpstreams requests advice about further upstreams, because those that are known to
// be allowed lack the capacity for some of the step's tasks. A quick search waits for an
// upstream with capacity, as its response would come long before there is any. A slow one
// is split over several advisors while many are idle.
func (p *placement) searchUpstreams(missing int) {
	st, advice := p.step, p.queue.Advice
	if advice == nil || st.adviceInFlight > 0 || p.now < st.nextAdviceSearch {
		return
	}
	slow := advice.DecisionMS > quickAdviceMS
	if (!slow && !st.unknownRoom) || p.s.advisors.choose(p.now, slow, p.background) == nil {
		return
	}
	st.unknownRoom = false
	parts := 1
	if slow {
		parts = p.s.advisors.parts(p.now, len(p.pool.members))
	}
	unknown := p.unknownUpstreams(max(minSearched, searchedPerAsked*parts*maxAdviceUpstreams))
	switch {
	case slow && len(unknown.items) == 0:
		st.nextAdviceSearch = p.now + adviceSearchInterval
		return
	case !slow && (len(unknown.items) == 0 || !st.spec.Demand().Fits(unknown.items[0].free)):
		return
	}
	upstreams := p.upstreamsToAsk(unknown, missing)
	if slow {
		parts = p.s.advisors.parts(p.now, len(upstreams))
	}
	upstreams = upstreams[:min(len(upstreams), parts*maxAdviceUpstreams)]
	for part := range slices.Chunk(upstreams, divideUp(len(upstreams), parts)) {
		req := AdviceRequest{Step: st.id(), Advice: *advice, Upstreams: part}
		if !p.s.advisors.assign(p.now, &req, p.background) {
			return
		}
		st.adviceInFlight++
		p.plan.AdviceRequests = append(p.plan.AdviceRequests, req)
	}
}

// unknownUpstreams returns upstreams without advice that could run the step, those with
// capacity first and then by cost. Of a larger fleet it considers a part that differs from
// step to step, in which at most limit upstreams have capacity. A step whose tasks run
// faster on one rack considers all.
func (p *placement) unknownUpstreams(limit int) *candidateHeap {
	st, demand, members := p.step, p.step.spec.Demand(), p.pool.members
	unknown := &candidateHeap{demand: demand, items: p.s.searched[:0]}
	first, withRoom := 0, 0
	if len(members) > limit {
		first = p.s.searchFrom % len(members)
		p.s.searchFrom = first + limit
	}
	for i := range members {
		m := &members[(first+i)%len(members)]
		if withRoom >= limit && st.spec.Affinity == "" {
			break
		}
		if _, known := st.tickets[m.u.ID]; known || !st.allows(m.u) || !demand.Fits(withSlots(m.u.Capacity)) {
			continue
		}
		c := candidate{u: m.u, cost: m.cost + p.speed.cost(m) + st.dataCost(m.u) + st.homeCost(m.u)}
		if !m.reserved && !p.speed.tooSlow(m) {
			c.free = withSlots(m.u.free())
		}
		withRoom += boolInt(demand.Fits(c.free))
		unknown.items = append(unknown.items, c)
	}
	p.s.searched = unknown.items
	heap.Init(unknown)
	return unknown
}

// candidateHeap yields candidates in order: those with capacity for a task first, then by
// cost. A search takes a few of thousands, so sorting all of them would make plans slow in
// a large fleet.
type candidateHeap struct {
	items  []candidate
	demand state.Vector
}

func (h *candidateHeap) Len() int { return len(h.items) }

func (h *candidateHeap) Less(i, j int) bool {
	a, b := &h.items[i], &h.items[j]
	if fitsA, fitsB := h.demand.Fits(a.free), h.demand.Fits(b.free); fitsA != fitsB {
		return fitsA
	}
	if a.cost != b.cost {
		return a.cost < b.cost
	}
	return a.u.ID < b.u.ID
}

func (h *candidateHeap) Swap(i, j int) { h.items[i], h.items[j] = h.items[j], h.items[i] }

func (h *candidateHeap) Push(any) { panic("scheduler: candidates are not added to the heap") }

func (h *candidateHeap) Pop() any {
	last := len(h.items) - 1
	c := h.items[last]
	h.items = h.items[:last]
	return c.u
}

// upstreamsToAsk takes as many of the upstreams as are expected to have places for the
// missing tasks.
func (p *placement) upstreamsToAsk(unknown *candidateHeap, missing int) []workload.UpstreamID {
	share, expected := p.s.allowedShare(p.queue.Name), 0.0
	var out []workload.UpstreamID
	for unknown.Len() > 0 {
		if expected >= adviceSurplus*float64(missing) && len(out) >= minAdviceUpstreams {
			break
		}
		u := heap.Pop(unknown).(*upstream)
		out = append(out, u.ID)
		expected += share * float64(p.step.freePlaces(u, missing))
	}
	return out
}

// requestTickets requests the tickets that reserved runs wait for, or releases the
// reservations if no request can be made now.
func (p *placement) requestTickets() {
	if len(p.unticketed) == 0 {
		return
	}
	req := AdviceRequest{Step: p.step.id(), Upstreams: p.unticketed[:min(len(p.unticketed), maxAdviceUpstreams)], Advice: *p.queue.Advice}
	if p.now < p.step.adviceBackoffUntil || !p.s.advisors.assign(p.now, &req, p.background) {
		p.s.releaseAwaiting(p.now, p.step)
		return
	}
	p.step.adviceInFlight++
	p.plan.AdviceRequests = append(p.plan.AdviceRequests, req)
}

func (s *Scheduler) releaseAwaiting(now state.Time, st *step) {
	for _, t := range slices.Clone(st.tasks) {
		for _, r := range append([]*run(nil), t.runs...) {
			if r.phase == awaitingTicket {
				s.release(now, r, false)
			}
		}
	}
}

// ApplyAdvice applies the response to an advice request and returns the starts that it
// makes possible. tickets holds the token for each upstream that may run the step; the
// tokens are valid until the given time. failed says that the request failed.
func (s *Scheduler) ApplyAdvice(now state.Time, req *AdviceRequest, tickets map[workload.UpstreamID]string, validUntil state.Time, failed bool) []Start {
	s.advisors.finish(now, req, failed)
	j := s.jobs[req.Step.Job]
	if j == nil || j.steps[req.Step.Occurrence] == nil {
		return nil
	}
	st := j.steps[req.Step.Occurrence][req.Step.Step]
	st.adviceInFlight--
	if failed {
		st.nextAdviceSearch, st.adviceBackoffUntil = now+adviceRetry, now+adviceRetry
		s.releaseAwaiting(now, st)
		return nil
	}
	st.scannedTo = 0
	if st.tickets == nil {
		st.tickets = map[workload.UpstreamID]ticket{}
	}
	named, allowedNew := 0, 0
	for _, id := range req.Upstreams {
		token, allowed := tickets[id]
		if _, known := st.tickets[id]; !known {
			named, allowedNew = named+1, allowedNew+boolInt(allowed)
		}
		st.tickets[id] = ticket{token: token, validUntil: validUntil, allowed: allowed}
	}
	s.countAdvice(j.spec.Queue, named, allowedNew)
	if j.phase.Final() {
		return nil
	}
	return s.startAwaiting(now, st, req)
}

// startAwaiting plans the starts of the runs that waited for a ticket.
func (s *Scheduler) startAwaiting(now state.Time, st *step, req *AdviceRequest) []Start {
	var plan Plan
	p := placement{s: s, now: now, step: st, queue: &workload.Queue{Advice: &req.Advice}, plan: &plan}
	if st.spec.Gang {
		if len(st.tasks) == 0 || len(st.tasks[0].runs) == 0 || st.tasks[0].runs[0].phase != awaitingTicket {
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
