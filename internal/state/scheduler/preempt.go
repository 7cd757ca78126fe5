package scheduler

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/preemption"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

const (
	// maxPreemptions is how often the same task is preempted.
	maxPreemptions = 2
	// searchInterval is the least time between two searches for victims in a service. A
	// search considers all runs of the service.
	searchInterval = 40 * time.Millisecond
	// maxUnplaced bounds the steps for which one search looks for room in places.
	maxUnplaced = 16
	// earmarkExtra is how long capacity stays reserved for a step beyond the time of the
	// stop: the step may wait for a ticket, and the log.
	earmarkExtra = time.Second
)

// Preemption says why a run was stopped.
type Preemption struct {
	// Job and Step are what the run makes room for; Job is empty if it is the headroom of
	// the service's most urgent queue.
	Job  workload.JobID
	Step int
	// Queue is the queue of the job, or the most urgent one.
	Queue workload.QueueName
	// Priority and VictimPriority are those of the queues.
	Priority, VictimPriority int
	// Slack is how much later the job could have started, VictimSlack how much later the
	// victim could be done in time.
	Slack, VictimSlack time.Duration
	// VictimBounded says that the victim has an objective that it can meet, and so a slack.
	VictimBounded bool
	// Lost is the work done again, in core-milliseconds, or accelerator-milliseconds.
	Lost int64
	// Frees is the capacity of the run.
	Frees state.Vector
	// Missing, Expected and Free are the inputs of a decision for headroom: what is missing,
	// the expected demand, and what is free.
	Missing, Expected, Free state.Vector
}

// unplaced is a step that can be in time only if it starts now.
type unplaced struct {
	step  *step
	queue *workload.Queue
	count int
	slack time.Duration
}

// noteUnplaced notes what a step lacks after its turn in a plan.
func (s *Scheduler) noteUnplaced(now state.Time, next rankedStep) {
	st := next.step
	q := s.config.Queue(st.job.spec.Queue)
	if q == nil {
		return
	}
	c := s.contentionOf(q.Service)
	if c == nil {
		return
	}
	waiting, _ := st.countWaiting()
	waiting = st.startable(waiting)
	if !next.rank.background() {
		c.noteWait(now, st, q, waiting)
	}
	if st.spec.LongRunning {
		st.preempted = st.preempted && waiting > 0
		return
	}
	// Work that was preempted does not preempt.
	if q.Priority == c.lowest || next.rank.lateness != onTime || next.rank.overShare || st.preempted {
		return
	}
	waiting = s.withinMaximumTasks(st, waiting)
	if waiting == 0 {
		return
	}
	if st.job.headroom == c && st.spec.Constraint == "" { // free capacity may be on other upstreams
		c.waiting = c.waiting.Add(st.spec.Demand().Scale(int64(waiting)))
	}
	takes := s.remaining(st)
	slack := st.job.dueBy - now - takes
	if len(c.unplaced) < maxUnplaced && slack < c.startMargin(st, takes) {
		c.unplaced = append(c.unplaced, unplaced{st, q, waiting, slack})
	}
}

// noteWait notes how long the waiting tasks of a step have been waiting.
func (c *contention) noteWait(now state.Time, st *step, q *workload.Queue, waiting int) {
	switch {
	case waiting == 0:
		st.waitsSince = 0
		return
	case st.waitsSince == 0 && st.started:
		st.waitsSince = now
	case st.waitsSince == 0:
		st.waitsSince = st.job.arrived // known also to a new owner
	}
	c.waits.Note(st.kind(q.Priority), st.spec.Each.CPUMilli*int64(waiting), now-st.waitsSince)
}

func (st *step) kind(priority int) preemption.Kind {
	return preemption.Kind{Priority: priority, Gang: st.spec.Gang}
}

// withinMaximumTasks returns how many of the waiting tasks the workspace's quota allows.
func (s *Scheduler) withinMaximumTasks(st *step, waiting int) int {
	name, each := st.job.spec.Workspace, st.spec.Each
	if s.withinMaximum(name, each.Scale(int64(waiting))) {
		return waiting
	}
	if st.spec.Gang {
		return 0
	}
	n := 0
	for n < waiting && s.withinMaximum(name, each.Scale(int64(n+1))) {
		n++
	}
	return n
}

// preempt observes the demand of urgent work and stops runs where it, or a step that has to
// start now, lacks capacity.
func (s *Scheduler) preempt(now state.Time, plan *Plan) {
	if s.prioritiesOf != s.config {
		s.updatePriorities()
	}
	for _, c := range s.contended {
		if c.active {
			s.preemptOn(now, c, plan)
		}
	}
}

// preemptOn handles one service.
func (s *Scheduler) preemptOn(now state.Time, c *contention, plan *Plan) {
	s.dropEarmarks(now, c)
	// Demand beyond the capacity can't be served.
	c.headroom.Observe(now, c.used.Add(c.waiting).Min(c.capacity.Max(c.used)), c.stopTime.Longest())
	c.usual, c.forecast = c.headroom.Usual(), c.headroom.Forecast().Min(c.capacity.Max(c.used))
	forecast := c.forecast
	steps := c.unplaced
	c.waiting, c.unplaced = state.Vector{}, nil
	c.waits.EndRound()
	if now < c.searchAt || (len(steps) == 0 && forecast == c.used) {
		return
	}
	pl := s.pool(now, c.service)
	free := pl.capacity.Sub(pl.used)
	missing := forecast.Sub(c.used).Sub(free).Add(c.earmarkedForOthers())
	if len(steps) == 0 && !positive(missing) {
		return
	}
	c.searchAt = now + searchInterval
	v := s.findVictims(now, c, pl)
	missing = missing.Sub(v.freeing)
	if positive(missing) {
		p := Preemption{Queue: c.queue.Name, Priority: c.urgent, Missing: missing, Expected: forecast, Free: free.Add(v.freeing)}
		v.stop(preemption.SelectAmount(c.urgent, missing, v.runs), &p)
	}
	for i := range steps {
		s.preemptFor(c, &steps[i], v, plan)
	}
}

// preemptFor stops runs that make room for a step, and reserves that room.
func (s *Scheduler) preemptFor(c *contention, d *unplaced, v *victims, plan *Plan) {
	st := d.step
	v.dropBrokenEarmarks(st)
	count := d.count
	for _, e := range st.earmarks {
		count -= e.tasks
	}
	if count <= 0 {
		return
	}
	places := v.placesFor(st, d.queue)
	selection := preemption.Select(preemption.Demand{Priority: d.queue.Priority, Each: withoutSlots(st.spec.Demand()), Count: count, All: st.spec.Gang}, places, v.runs)
	stopsAt := map[int]bool{}
	for _, i := range selection.Victims {
		stopsAt[v.runs[i].Place] = true
	}
	for place, n := range selection.Tasks {
		if n == 0 {
			continue
		}
		v.take(place, st.spec.Demand().Scale(int64(n)))
		if stopsAt[place] || st.spec.Gang && len(selection.Victims) > 0 {
			c.earmark(&earmark{st, v.upstreams[place], d.queue.Priority, n, v.now + c.stopTime.Longest() + earmarkExtra})
		}
	}
	v.stop(selection.Victims, &Preemption{Job: st.job.id, Step: st.index, Queue: d.queue.Name, Priority: d.queue.Priority, Slack: d.slack})
	s.requestEarmarkedTickets(v.now, c, d, plan)
}

func withoutSlots(v state.Vector) state.Vector {
	v.Slots = 0
	return v
}

// positive reports whether any resource, slots aside, is above 0.
func positive(v state.Vector) bool {
	return v.CPUMilli > 0 || v.MemoryMB > 0 || v.Accelerators > 0
}
