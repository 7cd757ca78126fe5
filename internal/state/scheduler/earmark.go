package scheduler

import (
	"slices"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// earmark reserves the capacity that was freed for a step.
type earmark struct {
	step     *step
	upstream *upstream
	// priority is that of the step's queue. Steps of higher priority use the capacity
	// nevertheless.
	priority int
	tasks    int
	until    state.Time
}

func (c *earmark) amount() state.Vector { return c.step.spec.Demand().Scale(int64(c.tasks)) }

func (c *contention) earmark(e *earmark) {
	c.earmarks = append(c.earmarks, e)
	e.step.earmarks = append(e.step.earmarks, e)
}

// useEarmark counts a task that is placed on an upstream where room was made for its step.
func (s *step) useEarmark(u *upstream) {
	for _, e := range s.earmarks {
		if e.upstream == u && e.tasks > 0 {
			e.tasks--
			return
		}
	}
}

// dropEarmarks drops the earmarks that were used, have expired or whose job has ended.
func (s *Scheduler) dropEarmarks(now state.Time, c *contention) {
	kept := c.earmarks[:0]
	for _, e := range c.earmarks {
		if e.tasks > 0 && now < e.until && e.step.left > 0 && !e.step.job.phase.Final() && s.upstreams[e.upstream.ID] == e.upstream {
			kept = append(kept, e)
			continue
		}
		e.tasks = 0
		e.step.dropEarmark(e)
		if s.upstreams[e.upstream.ID] == e.upstream {
			s.noteFreed(e.upstream)
		}
	}
	clear(c.earmarks[len(kept):])
	c.earmarks = kept
}

func (s *step) dropEarmark(e *earmark) {
	for i, other := range s.earmarks {
		if other == e {
			s.earmarks = append(s.earmarks[:i], s.earmarks[i+1:]...)
			return
		}
	}
}

// earmarkedForOthers returns what is reserved for steps that do not take part in the headroom.
func (c *contention) earmarkedForOthers() (sum state.Vector) {
	for _, e := range c.earmarks {
		if e.step.job.headroom != c {
			sum = sum.Add(e.amount())
		}
	}
	return sum
}

// attachEarmarks notes the capacity of a new pool and the earmarks on its members.
func (s *Scheduler) attachEarmarks(p *pool) {
	if c := s.contentionOf(p.service); c != nil {
		c.capacity = p.capacity
		for _, e := range c.earmarks {
			if m := e.upstream.member; m != nil {
				m.earmarks = append(m.earmarks, e)
			}
		}
	}
}

// free returns the capacity of a member that is available to a step: what is free, less
// what is reserved for other steps that are at least as urgent.
func (m *member) free(st *step) state.Vector {
	free := m.u.free()
	for _, e := range m.earmarks {
		if e.step != st && e.priority <= st.priority {
			free = free.Sub(e.amount())
		}
	}
	return free
}

// earmarked reports whether capacity is reserved for another step that is at least as
// urgent.
func (m *member) earmarked(st *step) bool {
	return slices.ContainsFunc(m.earmarks, func(e *earmark) bool { return e.step != st && e.tasks > 0 && e.priority <= st.priority })
}

// dropBrokenEarmarks drops the earmarks of a step on upstreams that will not have the capacity:
// more urgent work has taken it, or the upstream is not usable any more.
func (v *victims) dropBrokenEarmarks(st *step) {
	for _, e := range st.earmarks {
		m := e.upstream.member
		if m != nil && !v.free[m.index].Negative() {
			continue
		}
		if m != nil {
			v.free[m.index] = v.free[m.index].Add(withoutSlots(e.amount()))
		}
		e.tasks = 0
	}
}

// requestEarmarkedTickets requests the tickets for the upstreams where room is being made for a
// step, so that it does not wait for them in addition to the stops.
func (s *Scheduler) requestEarmarkedTickets(now state.Time, c *contention, d *unplaced, plan *Plan) {
	if d.queue.Advice == nil {
		return
	}
	needed := now + c.stopTime.Longest() + ticketMargin
	var missing []workload.UpstreamID
	for _, e := range d.step.earmarks {
		if id := e.upstream.ID; e.tasks > 0 && d.step.tickets[id].validUntil < needed && !slices.Contains(missing, id) {
			missing = append(missing, id)
		}
	}
	if len(missing) == 0 || d.step.adviceInFlight > 0 || now < d.step.adviceBackoffUntil {
		return
	}
	req := AdviceRequest{Step: d.step.id(), Upstreams: missing[:min(len(missing), maxAdviceUpstreams)], Advice: *d.queue.Advice}
	if s.advisors.assign(now, &req, false) {
		d.step.adviceInFlight++
		plan.AdviceRequests = append(plan.AdviceRequests, req)
	}
}
