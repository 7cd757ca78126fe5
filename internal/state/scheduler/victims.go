package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/preemption"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// resumeTime is the longest time that it takes to resume from a checkpoint.
const resumeTime = 600 * time.Millisecond

// victims describes the runs of a service for one search.
type victims struct {
	s         *Scheduler
	c         *contention
	now       state.Time
	pool      *pool
	upstreams []*upstream
	// free is what each upstream has free or about to become free, less what is reserved
	// for a step or was taken in this search.
	free []state.Vector
	// freeing is what is about to become free in all, without the runs of urgent work.
	freeing state.Vector
	// runs describes what may be stopped; its runs are those of scheduled.
	runs      []preemption.Run
	scheduled []*run
	steps     map[*step]*victimStep
}

// victimStep is what the runs of a step have in common.
type victimStep struct {
	priority int
	// may says that runs of the step may be stopped.
	may bool
	// due is when the job must end; noDue says that it has nothing to lose.
	due   state.Time
	noDue bool
	// after is the expected run time of the steps that follow.
	after time.Duration
	// group is the number of a gang; members are its runs that may be stopped.
	group, members int
	// left is how many runs of a long-running step may still be interrupted.
	left int
}

// findVictims describes the runs of a service.
func (s *Scheduler) findVictims(now state.Time, c *contention, pl *pool) *victims {
	v := &victims{s: s, c: c, now: now, pool: pl, steps: map[*step]*victimStep{}}
	v.upstreams, v.free = make([]*upstream, len(pl.members)), make([]state.Vector, len(pl.members))
	for i := range pl.members {
		u := pl.members[i].u
		v.upstreams[i], v.free[i] = u, withSlots(u.free())
		for _, r := range u.runs {
			v.add(i, r)
		}
	}
	for _, e := range c.earmarks {
		if m := e.upstream.member; m != nil {
			v.take(m.index, e.amount())
		}
	}
	v.finish()
	return v
}

// add describes a run.
func (v *victims) add(place int, r *run) {
	st := r.task.step
	if st.job.headroom == v.c || r.phase == awaitingTicket || r.phase == planned {
		return
	}
	vs := v.steps[st]
	if vs == nil {
		vs = v.describe(st)
		v.steps[st] = vs
	}
	demand := withoutSlots(st.spec.Demand())
	rest, known := v.rest(r)
	if r.phase == stopping || known && rest <= v.c.stopTime.Longest() {
		v.free[place] = v.free[place].Add(demand)
		v.freeing = v.freeing.Add(demand)
		return
	}
	if !vs.may || r.phase != running || r.task.preempted >= maxPreemptions {
		return
	}
	d := preemption.Run{Place: place, Group: vs.group, Priority: vs.priority, Frees: demand, Checkpoints: st.spec.Checkpoints}
	switch {
	case !st.spec.LongRunning:
		if d.Lost = v.now - r.startedAt; st.spec.Checkpoints {
			d.Lost = min(d.Lost, v.now-r.checkpointAt)
		}
		takes := rest + d.Lost + resumeTime + vs.after
		d.Slack = math.MaxInt64
		if !vs.noDue {
			waits := v.c.stopTime.Longest() + v.c.waits.Expected(st.kind(vs.priority))
			if d.Slack = vs.due - v.now - waits - takes; d.Slack < v.c.margin(takes) {
				return
			}
		}
	}
	vs.members++
	v.runs = append(v.runs, d)
	v.scheduled = append(v.scheduled, r)
}

// rest returns how much longer a run is expected to take. It is not known of a long-running
// task, or of a run that has been expected to end for longer than a stop takes.
func (v *victims) rest(r *run) (rest time.Duration, known bool) {
	st := r.task.step
	if st.spec.LongRunning {
		return 0, false
	}
	if rest = v.s.expectedRest(v.now, r); rest > 0 {
		return rest, true
	}
	elapsed := v.now - r.startedAt
	if elapsed-v.s.expectedRunTime(st, v.s.upstreams[r.Upstream]) > v.c.stopTime.Longest() {
		return elapsed, false
	}
	return 0, true
}

// describe describes a step that has runs.
func (v *victims) describe(st *step) *victimStep {
	vs := &victimStep{after: st.job.chainAfter(st.index)}
	q := v.s.config.Queue(st.job.spec.Queue)
	if q == nil || st.job.phase.Final() || q.Priority == v.c.urgent {
		return vs
	}
	vs.priority, vs.may = q.Priority, true
	due, ok := st.job.lastDue(v.now)
	vs.due, vs.noDue = due, !ok
	if st.spec.Gang {
		vs.group = len(v.steps) + 1
	}
	if st.spec.LongRunning {
		vs.left = st.spec.MayMiss - st.untouched()
		for _, t := range st.tasks {
			if len(t.runs) == 0 || t.runs[len(t.runs)-1].phase != running {
				vs.left--
			}
		}
	}
	return vs
}

// finish orders the runs, the newest first, and drops the gangs of which not all members
// may be stopped and the long-running runs beyond MayMiss.
func (v *victims) finish() {
	order := make([]int, 0, len(v.runs))
	for i, r := range v.scheduled {
		if vs := v.steps[r.task.step]; vs.group == 0 || vs.members == r.task.step.left {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int { return -cmp.Compare(v.scheduled[a].seq, v.scheduled[b].seq) })
	runs, scheduled := make([]preemption.Run, 0, len(order)), make([]*run, 0, len(order))
	for _, i := range order {
		if st := v.scheduled[i].task.step; st.spec.LongRunning {
			if v.steps[st].left <= 0 {
				continue
			}
			v.steps[st].left--
		}
		runs, scheduled = append(runs, v.runs[i]), append(scheduled, v.scheduled[i])
	}
	v.runs, v.scheduled = runs, scheduled
}

// placesFor describes where tasks of a step may be placed.
func (v *victims) placesFor(st *step, q *workload.Queue) []preemption.Place {
	places := make([]preemption.Place, len(v.upstreams))
	for i, u := range v.upstreams {
		m := &v.pool.members[i]
		places[i] = preemption.Place{Free: v.free[i], Barred: !st.allows(u) || (m.reservedFor != nil && m.reservedFor != st && v.ranksBefore(m.reservedFor, q))}
		if q.Advice != nil && !st.tickets[u.ID].allowed {
			places[i].Barred = true
		}
		if per := st.spec.MaxPerUpstream; per > 0 {
			places[i].Max = per - st.perUpstream[u.ID]
			places[i].Barred = places[i].Barred || places[i].Max <= 0
		}
	}
	return places
}

// ranksBefore reports whether a step that has reserved upstreams is at least as urgent as
// the work of a queue.
func (v *victims) ranksBefore(reserved *step, q *workload.Queue) bool {
	other := v.s.config.Queue(reserved.job.spec.Queue)
	return other != nil && other.Priority <= q.Priority
}

// take counts capacity as used by the rest of the search.
func (v *victims) take(place int, amount state.Vector) {
	v.free[place] = v.free[place].Sub(withoutSlots(amount))
}

// stop stops the chosen runs.
func (v *victims) stop(chosen []int, why *Preemption) {
	if len(chosen) == 0 {
		return
	}
	for _, i := range chosen {
		r, d := v.scheduled[i], &v.runs[i]
		p := *why
		p.VictimPriority, p.Lost, p.Frees = d.Priority, preemption.LostWork(d), d.Frees
		if st := r.task.step; !st.spec.LongRunning && !v.steps[st].noDue {
			p.VictimSlack, p.VictimBounded = d.Slack, true
		}
		r.task.preempted++
		r.task.step.preempted = true
		before := len(v.s.stops)
		v.s.stop(v.now, r, StopPreempted)
		for k := before; k < len(v.s.stops); k++ {
			v.s.stops[k].Preemption = &p
		}
		v.free[d.Place] = v.free[d.Place].Add(d.Frees)
	}
	kept := 0
	for i, r := range v.scheduled {
		if r.phase == running {
			v.runs[kept], v.scheduled[kept] = v.runs[i], r
			kept++
		}
	}
	v.runs, v.scheduled = v.runs[:kept], v.scheduled[:kept]
}
