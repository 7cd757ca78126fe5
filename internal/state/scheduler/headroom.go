package scheduler

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/preemption"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// contention is the state of preemption on one service whose queues have different
// priorities.
type contention struct {
	service workload.ServiceName
	// active is set while the queues have different priorities.
	active bool
	// queue is the first of the most urgent queues.
	queue *workload.Queue
	// urgent is the most urgent priority of the service's queues, lowest the least urgent.
	urgent, lowest int
	headroom       preemption.Headroom
	stopTime       preemption.StopTime
	// used is what the runs of urgent jobs with little slack use.
	used state.Vector
	// waiting is what the waiting tasks of such jobs need, as of this plan.
	waiting state.Vector
	// capacity is that of the usable upstreams, as of the newest pool.
	capacity state.Vector
	// waits estimates how long stopped work would wait for capacity.
	waits preemption.Waits
	// usual and forecast are the estimates of the demand of such jobs.
	usual, forecast state.Vector
	// unplaced holds the steps of this plan for which runs may be stopped.
	unplaced []unplaced
	// searchAt is when victims may be searched for again.
	searchAt state.Time
	// earmarks holds the capacity that was freed for steps.
	earmarks []*earmark
}

// priorities are the priorities of the queues of a service.
type priorities struct {
	urgent *workload.Queue
	lowest int
}

// contentionOf returns the state of preemption on a service, or nil if all queues of the
// service have the same priority.
func (s *Scheduler) contentionOf(service workload.ServiceName) *contention {
	if s.prioritiesOf != s.config {
		s.updatePriorities()
	}
	if c := s.contended[service]; c != nil && c.active {
		return c
	}
	return nil
}

// updatePriorities derives the services with different priorities from the configuration.
func (s *Scheduler) updatePriorities() {
	s.prioritiesOf = s.config
	found := map[workload.ServiceName]priorities{}
	for i := range s.config.Queues {
		q := &s.config.Queues[i]
		p, ok := found[q.Service]
		if !ok {
			p = priorities{q, q.Priority}
		}
		if q.Priority < p.urgent.Priority {
			p.urgent = q
		}
		p.lowest = max(p.lowest, q.Priority)
		found[q.Service] = p
	}
	for _, c := range s.contended {
		c.active = false
	}
	for service, p := range found {
		if p.urgent.Priority == p.lowest || s.noPreemption {
			continue
		}
		c := s.contended[service]
		if c == nil {
			c = &contention{service: service}
			s.contended[service] = c
		}
		c.active = true
		c.queue, c.urgent, c.lowest = p.urgent, p.urgent.Priority, p.lowest
	}
}

// headroomStops is the number of stop times up to which the slack of urgent jobs calls for
// headroom. Jobs with more slack are served by preemption after their arrival.
const headroomStops = 4

// headroomFor returns the contention in whose headroom a new job takes part: one of the
// most urgent queue that would be late if capacity were freed only after its arrival. The
// tasks of a gang need more than small amounts of free capacity in any place.
func (s *Scheduler) headroomFor(j *job) *contention {
	q := s.config.Queue(j.spec.Queue)
	if q == nil || j.spec.LongRunning() {
		return nil
	}
	c := s.contentionOf(q.Service)
	if c == nil || q.Priority != c.urgent || j.dueBy-j.arrived-longestChain(j.spec) > headroomStops*c.stopTime.Longest() {
		return nil
	}
	for i := range j.spec.Steps {
		if j.spec.Steps[i].Gang {
			return nil
		}
	}
	return c
}

// countUrgent counts the capacity of a run of an urgent job.
func (j *job) countUrgent(more state.Vector) {
	if j.headroom != nil {
		j.headroom.used = j.headroom.used.Add(more)
	}
}

// estimateError is the share by which declared run times are off, in the worst case.
const estimateError = 0.5

// margin returns the slack below which work that takes the given time must not wait or be
// stopped: declared run times are off, and what takes its capacity has to be stopped first.
func (c *contention) margin(takes time.Duration) time.Duration {
	return time.Duration(estimateError*float64(takes)) + 2*c.stopTime.Longest()
}

// startMargin returns the slack below which room is made for a step. A gang needs more: all
// its places must become free, and while a run that was expected to end does not, another
// is searched for. In simulation 0.97 to 1 of the gangs are in time with twice the margin
// for stops and 1.5 times that for errors, and 0.93 to 0.97 with that of single tasks.
func (c *contention) startMargin(st *step, takes time.Duration) time.Duration {
	if !st.spec.Gang {
		return c.margin(takes)
	}
	return 2*c.margin(takes) - time.Duration(estimateError/2*float64(takes))
}

// lastDue returns when a job must end so that its result does not lose more of its value.
// It returns false if there is nothing to lose any more.
func (j *job) lastDue(now state.Time) (due state.Time, ok bool) {
	if now < j.dueBy {
		return j.dueBy, true
	}
	worthless := j.arrived + lateFactor*(j.dueBy-j.arrived)
	return worthless, now < worthless
}

// remaining returns the expected time from the start of a step to the end of its job.
func (s *Scheduler) remaining(st *step) time.Duration {
	return s.expectedRunTime(st, nil) + st.job.chainAfter(st.index)
}

// leavesHeadroom reports whether a step is placed only where it leaves the headroom free:
// work of lower priority that can wait, and all that is worth little.
func (s *Scheduler) leavesHeadroom(now state.Time, st *step, q *workload.Queue, background bool) bool {
	c := s.contentionOf(q.Service)
	if c == nil {
		return false
	}
	return background || q.Priority > c.urgent && s.canWait(now, c, st)
}

// canWait reports whether the waiting tasks of a step have slack. A long-running task has
// none, unless it waits because it was stopped within MayMiss.
func (s *Scheduler) canWait(now state.Time, c *contention, st *step) bool {
	if st.spec.LongRunning {
		return st.preempted
	}
	takes := s.remaining(st)
	return st.job.dueBy-now-takes >= c.margin(takes)
}

// withinHeadroom reports whether tasks of the step, all if it is a gang or else one, leave
// the headroom free that they must leave.
func (p *placement) withinHeadroom(tasks int) bool {
	if p.background && !p.s.hasHeadroom(p.step.job.spec.Workspace, p.step.spec.Each, p.pool) {
		return false
	}
	demand := p.step.spec.Demand()
	if p.step.spec.Gang {
		demand = demand.Scale(int64(tasks))
	}
	return !p.yields || p.s.fitsBesideHeadroom(p.pool, demand)
}

// fitsBesideHeadroom reports whether a demand leaves the headroom of the service free.
func (s *Scheduler) fitsBesideHeadroom(p *pool, demand state.Vector) bool {
	c := s.contentionOf(p.service)
	if c == nil {
		return true
	}
	free, kept := p.capacity.Sub(p.used), c.kept()
	fits := func(demand, free, kept int64) bool { return demand == 0 || demand <= free-kept }
	return fits(demand.CPUMilli, free.CPUMilli, kept.CPUMilli) && fits(demand.MemoryMB, free.MemoryMB, kept.MemoryMB) &&
		fits(demand.Accelerators, free.Accelerators, kept.Accelerators)
}

// headroomShare is the part of a service's capacity that is kept free for the variation of
// the urgent demand at most. A service whose urgent demand was above its capacity for a
// while would otherwise stay idle after it, in front of waiting work.
const headroomShare = 4

// kept returns the capacity that is kept free for urgent work.
func (c *contention) kept() state.Vector {
	most := state.Vector{CPUMilli: c.capacity.CPUMilli / headroomShare, MemoryMB: c.capacity.MemoryMB / headroomShare, Accelerators: c.capacity.Accelerators / headroomShare}
	return c.usual.Sub(c.used).Min(most).Max(c.forecast.Sub(c.used)).Max(state.Vector{})
}

// noteStopped learns from the end of a stopped run how long a stop takes.
func (s *Scheduler) noteStopped(now state.Time, u *upstream, r *run, cause EndCause) {
	if c := s.contentionOf(u.Service); c != nil && r.phase == stopping && cause == EndStopped {
		c.stopTime.Observe(now - r.since)
	}
}
