package scheduler

import (
	"fmt"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// crashingTasks makes the upstreams crash that start some of a simulation's tasks.
type crashingTasks struct {
	sim *simulation
	// fatal decides which tasks crash their upstream, after how long.
	fatal func(id workload.TaskID) (after state.Time, crashes bool)
	// under counts the crashes while a task ran, startsAfter the starts since the third one.
	under, startsAfter map[workload.TaskID]int
	// down is the number of upstreams that are down, mostDown its maximum.
	down, mostDown int
	// count is the number of crashes.
	count int
	// outage is how long a crashed upstream is away; beyond its leases these end first.
	outage state.Time
	// onLoss is called after the owner has noted and recorded a crash; nil if unused.
	onLoss func()
}

const (
	// crashOutage is how long a crashed upstream is away by default.
	crashOutage = 3 * time.Second
	// allowedStarts is how many times a task may be started after three upstreams have crashed
	// under it.
	allowedStarts = 2
)

func (sim *simulation) crashOn(fatal func(id workload.TaskID) (after state.Time, crashes bool)) *crashingTasks {
	c := &crashingTasks{sim: sim, fatal: fatal, under: map[workload.TaskID]int{}, startsAfter: map[workload.TaskID]int{}, outage: crashOutage}
	sim.onStart = func(start Start) {
		if c.under[start.Task] >= 3 {
			c.startsAfter[start.Task]++
		}
		after, crashes := c.fatal(start.Task)
		if !crashes {
			return
		}
		if c.startsAfter[start.Task] > allowedStarts {
			sim.t.Errorf("%s: %s started %d times after three upstreams had crashed under it", sim.now, start.Task, c.startsAfter[start.Task])
		}
		u := sim.upstream(start.Upstream)
		sim.at(after+2*time.Millisecond, func() {
			if r := u.running[start.Task]; r != nil && r.run == start.Number {
				c.crash(u)
			}
		})
	}
	return c
}

// crash ends all runs on an upstream. It returns under another ID, and the owner finds out then.
func (c *crashingTasks) crash(u *simUpstream) {
	sim := c.sim
	for id := range u.running {
		c.under[id]++
	}
	clear(u.running)
	u.down, u.unlisted = true, true
	c.count++
	c.down++
	c.mostDown = max(c.mostDown, c.down)
	sim.at(20*time.Millisecond, func() { sim.s.MarkClosed(sim.now, u.reg.ID) })
	if c.outage > simLease {
		sim.at(simLease+time.Second, func() {
			sim.s.RemoveUpstream(u.reg.ID)
			sim.s.ReleaseRuns(sim.now, u.reg.ID, LossExpired)
		})
	}
	sim.at(c.outage, func() {
		c.down--
		next := &simUpstream{reg: u.reg, running: map[workload.TaskID]*simRun{}, revoked: map[workload.TaskID]int64{}}
		next.reg.ID = workload.UpstreamID(fmt.Sprintf("u%03d", len(sim.upstreams)))
		next.reg.StartedUnixMS = sim.unix()
		sim.upstreams = append(sim.upstreams, next)
		sim.s.SetUpstream(sim.now, next.reg)
		sim.s.ApplyReport(sim.now, next.reg.ID, RunReport{SentAt: sim.now})
		sim.s.MarkUnreachable(sim.now, u.reg.ID)
		sim.s.ReleaseRuns(sim.now, u.reg.ID, LossRestarted)
		sim.s.RemoveUpstream(u.reg.ID)
		if c.onLoss != nil {
			sim.record()
			c.onLoss()
		}
	})
}

// checkMaxPerUpstream verifies the bound of a step on the tasks that run on one upstream.
func (sim *simulation) checkMaxPerUpstream(u *simUpstream, start Start) {
	limit, n := sim.jobs[start.Task.Job].spec.Steps[start.Task.Step].MaxPerUpstream, 0
	for id := range u.running {
		if id.StepID() == start.Task.StepID() {
			n++
		}
	}
	if limit > 0 && n > limit {
		sim.t.Errorf("%s: %d tasks of step %s run on %s, at most %d may", sim.now, n, start.Task.StepID(), u.reg.ID, limit)
	}
}

// phaseOf returns the newest phase of a job that the log holds or the scheduler reported.
func (sim *simulation) phaseOf(id workload.JobID) ledger.Phase {
	return max(sim.jobs[id].phase, sim.recorded[id].Phase)
}
