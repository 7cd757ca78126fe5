package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

var largeUpstream = state.Vector{CPUMilli: 32000, MemoryMB: 64000, Accelerators: 8}

func tasksOf(count int, each state.Vector, ms int64, after ...int) workload.Step {
	return workload.Step{Count: count, Each: each, EstimateMS: ms, After: after}
}

func TestJobsComplete(t *testing.T) {
	cases := []struct {
		name  string
		queue func(q *workload.Queue, ws *workload.Workspace)
		steps []workload.Step
		// within is the time in which the job must be complete.
		within state.Time
	}{
		{name: "one task", steps: []workload.Step{tasksOf(1, cores(1), 300)}, within: 400 * time.Millisecond},
		{name: "dependent steps", steps: []workload.Step{tasksOf(4, cores(1), 300), tasksOf(2, cores(1), 300, 0), tasksOf(1, cores(1), 300, 0, 1)}, within: 1100 * time.Millisecond},
		{name: "more tasks than capacity", steps: []workload.Step{tasksOf(200, cores(4), 300)}, within: 3 * time.Second},
		{name: "gang", steps: []workload.Step{{Count: 6, Each: cores(16), EstimateMS: 300, Gang: true}}, within: 500 * time.Millisecond},
		{name: "one task per upstream", steps: []workload.Step{{Count: 6, Each: cores(1), EstimateMS: 300, MaxPerUpstream: 1}}, within: 700 * time.Millisecond},
		{name: "gang with one task per upstream", steps: []workload.Step{{Count: 3, Each: cores(1), EstimateMS: 300, MaxPerUpstream: 1, Gang: true}}, within: 500 * time.Millisecond},
		{name: "label constraint", steps: []workload.Step{{Count: 2, Each: cores(1), EstimateMS: 300, Constraint: "a"}}, within: 400 * time.Millisecond},
		{name: "best-effort tasks", steps: []workload.Step{{Count: 8, Each: cores(30), EstimateMS: 300, Fills: true}}, within: 500 * time.Millisecond},
		{
			name: "with advice", steps: []workload.Step{tasksOf(4, cores(1), 300), tasksOf(2, cores(1), 300, 0)}, within: 800 * time.Millisecond,
			queue: func(q *workload.Queue, _ *workload.Workspace) {
				q.Advice = &workload.Advice{DecisionMS: 11, PerUpstreamMS: 0.15, ValidMS: 1500}
			},
		},
		{
			name: "gang with slow advice", steps: []workload.Step{{Count: 4, Each: cores(16), EstimateMS: 300, Gang: true}}, within: 1200 * time.Millisecond,
			queue: func(q *workload.Queue, _ *workload.Workspace) {
				q.Advice = &workload.Advice{DecisionMS: 560, PerUpstreamMS: 8, ValidMS: 1500}
			},
		},
		{
			name: "workspace at its maximum", steps: []workload.Step{tasksOf(8, cores(4), 300)}, within: 1500 * time.Millisecond,
			queue: func(_ *workload.Queue, ws *workload.Workspace) { ws.Maximum = state.Vector{CPUMilli: 8000} },
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t, oneQueue(c.queue))
			sim.add(4, largeUpstream, "a", "r1")
			sim.submit(&workload.Job{ID: jobID(1), Steps: c.steps})
			sim.advance(c.within)
			is.Equal(sim.jobs[jobID(1)].phase, ledger.Complete)
		})
	}
}

func TestTimedJobRunsWhenDue(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(1, largeUpstream)
	sim.submit(&workload.Job{ID: jobID(1), Repeat: 3, FirstUnixMS: sim.unix() + 500, PeriodMS: 400, Steps: []workload.Step{tasksOf(1, cores(1), 100)}})
	sim.advance(480 * time.Millisecond)
	is.Equal(sim.running(jobID(1)), 0)
	sim.advance(100 * time.Millisecond)
	is.Equal(sim.running(jobID(1)), 1)
	sim.advance(900 * time.Millisecond)
	is.Equal(sim.jobs[jobID(1)].phase, ledger.Complete)
}

func TestJobFailsAfterMaxAttempts(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(4, largeUpstream)
	sim.runFails = func(run Run) bool { return run.Task.Index == 1 }
	sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{tasksOf(3, cores(1), 100)}})
	sim.advance(2 * time.Second)
	is.Equal(sim.jobs[jobID(1)].phase, ledger.Failed)
	is.Equal(sim.jobs[jobID(1)].failed[workload.TaskID{Job: jobID(1), Index: 1}], 3)
	is.Equal(sim.running(jobID(1)), 0)
}

func TestFailingUpstreamIsAvoided(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(6, largeUpstream)
	sim.runFails = func(run Run) bool { return run.Upstream == "u000" }
	for i := range 200 {
		sim.submit(&workload.Job{ID: jobID(i), Steps: []workload.Step{tasksOf(2, cores(2), 100)}})
		sim.advance(20 * time.Millisecond)
	}
	sim.advance(time.Second)
	is.Equal(sim.phases()[ledger.Complete], 200)
	failed := 0
	for _, j := range sim.jobs {
		for _, n := range j.failed {
			failed += n
		}
	}
	is.True(failed < 20) // of 400 tasks
}

func TestSlowUpstreamGetsLessWork(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(4, largeUpstream)
	sim.slowdown = func(id workload.UpstreamID) float64 {
		if id == "u000" {
			return 6
		}
		return 1
	}
	late := 0
	for i := range 150 {
		sim.submit(&workload.Job{ID: jobID(i), Steps: []workload.Step{tasksOf(2, cores(2), 200)}})
		sim.advance(20 * time.Millisecond)
	}
	sim.advance(2 * time.Second)
	for _, j := range sim.jobs {
		if j.phase != ledger.Complete || j.ended-j.at > 900*time.Millisecond {
			late++
		}
	}
	is.True(late < 15) // at most one in ten runs on the slow upstream
}

func TestStalledRunIsMoved(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(3, largeUpstream)
	sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{tasksOf(1, cores(1), 500)}})
	sim.advance(50 * time.Millisecond)
	for _, u := range sim.upstreams {
		for _, r := range u.running {
			r.stalled = true
		}
	}
	sim.advance(3 * time.Second)
	is.Equal(sim.jobs[jobID(1)].phase, ledger.Complete)
}

// TestGangWaitsForItsSlowestMember runs a gang of which one member works 3 s longer
// than the others. The others are idle meanwhile and must not count as stalled.
func TestGangWaitsForItsSlowestMember(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(3, largeUpstream)
	sim.slowdown = func(id workload.UpstreamID) float64 {
		if id == "u002" {
			return 4
		}
		return 1
	}
	sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{{Count: 3, Each: cores(20), EstimateMS: 1000, Gang: true}}})
	sim.advance(4200 * time.Millisecond)
	is.Equal(sim.jobs[jobID(1)].phase, ledger.Complete)
}

func TestCancelledJobIsStopped(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(2, largeUpstream)
	sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{{Count: 3, Each: cores(1), LongRunning: true}}})
	sim.advance(time.Second)
	is.Equal(sim.running(jobID(1)), 3)
	sim.s.Cancel(sim.now, jobID(1))
	sim.advance(50 * time.Millisecond)
	is.Equal(sim.running(jobID(1)), 0)
	is.Equal(sim.s.Counts(sim.now).Jobs, 0) // an ended job is dropped
}

func TestLongRunningTaskIsRestarted(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(2, largeUpstream)
	sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{{Count: 2, Each: cores(1), LongRunning: true}}})
	sim.advance(100 * time.Millisecond)
	for range 5 { // more often than MaxAttempts, which does not apply to long-running tasks
		for _, u := range sim.upstreams {
			for _, id := range sortedTasks(u.running) {
				sim.end(u, id, EndFailed)
			}
		}
		sim.advance(100 * time.Millisecond)
		is.Equal(sim.running(jobID(1)), 2)
	}
}

func TestDrainingUpstreamIsEmptied(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(2, largeUpstream)
	sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{{Count: 4, Each: cores(1), LongRunning: true}}})
	sim.advance(100 * time.Millisecond)
	leaving := sim.upstreams[0]
	leaving.reg.Draining = true
	sim.s.SetUpstream(sim.now, leaving.reg)
	sim.advance(200 * time.Millisecond)
	is.Equal(len(leaving.running), 0)
	is.Equal(sim.running(jobID(1)), 4)
}

// TestStartsWithoutResponse loses the response of one in five starts and executes these
// up to 4 s late. The simulation fails the test if a task runs twice or an upstream
// exceeds its capacity.
func TestStartsWithoutResponse(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.lostResponseRate = 0.2
	sim.add(6, state.Vector{CPUMilli: 8000, MemoryMB: 64000})
	for i := range 120 {
		sim.submit(&workload.Job{ID: jobID(i), Steps: []workload.Step{tasksOf(1+i%4, cores(int64(1+i%3)), 150), {Count: 2, Each: cores(1), EstimateMS: 100, Gang: i%2 == 0, After: []int{0}}}})
		sim.advance(30 * time.Millisecond)
	}
	sim.advance(60 * time.Second) // a task whose start is lost three times waits for 39 s
	is.Equal(sim.phases()[ledger.Complete], 120)
}

// TestLateStartReachesNewIncarnation guards against a second run of a task: a start
// without a response is executed by the next incarnation of its upstream, which does
// not know of the stop that revoked it before.
func TestLateStartReachesNewIncarnation(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(2, largeUpstream)
	sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{tasksOf(1, cores(1), 300)}})
	sim.s.Tick(sim.unix())
	lost := sim.s.Plan(sim.now).Starts[0]
	is.True(sim.s.MarkSent(sim.now, lost.Run))
	sim.s.StartResult(sim.now, lost.Run, Unconfirmed)
	sim.at(2*time.Second, func() {
		u := sim.upstream(lost.Upstream)
		clear(u.revoked)
		u.ended, u.reportedEnds, u.polled = nil, 0, false
		u.reg.StartedUnixMS++
		sim.s.SetUpstream(sim.now, u.reg)
	})
	// The simulation reports a second run. The clock of the new incarnation began at 0, so the
	// deadline of the start has not passed there.
	sim.at(4*time.Second, func() { sim.executeStart(sim.epoch, sim.now+time.Hour, lost) })
	sim.advance(MaxStartDelay + 500*time.Millisecond)
	is.Equal(sim.jobs[jobID(1)].phase, ledger.Complete)
}

func TestBacklogServesUrgentWorkFirst(t *testing.T) {
	is := is.New(t)
	config := oneQueue(nil)
	urgent := config.Queues[0]
	urgent.Name, urgent.Priority = "urgent", 0
	config.Queues[0].Priority = 2
	config.Queues = append(config.Queues, urgent)
	sim := newSimulation(t, config)
	sim.add(2, state.Vector{CPUMilli: 8000, MemoryMB: 64000})
	for i := range 20 {
		sim.submit(&workload.Job{ID: jobID(i), Steps: []workload.Step{tasksOf(4, cores(2), 400)}})
	}
	sim.advance(100 * time.Millisecond)
	sim.submit(&workload.Job{ID: jobID(100), Queue: "urgent", Workspace: "w", Steps: []workload.Step{tasksOf(4, cores(2), 100)}})
	sim.advance(700 * time.Millisecond)
	is.Equal(sim.jobs[jobID(100)].phase, ledger.Complete)
}

func TestJobsBeyondWorkspaceShareRankLast(t *testing.T) {
	is := is.New(t)
	config := oneQueue(nil)
	config.Workspaces[0].Weight = 2
	config.Workspaces = append(config.Workspaces, workload.Workspace{Name: "other", Weight: 2})
	sim := newSimulation(t, config)
	sim.add(1, state.Vector{CPUMilli: 4000, MemoryMB: 64000})
	for i := range 40 {
		sim.submit(&workload.Job{ID: jobID(i), Steps: []workload.Step{tasksOf(1, cores(2), 200)}})
	}
	sim.advance(300 * time.Millisecond)
	sim.submit(&workload.Job{ID: jobID(100), Queue: "q", Workspace: "other", Steps: []workload.Step{tasksOf(1, cores(2), 200)}})
	sim.advance(900 * time.Millisecond)
	is.Equal(sim.jobs[jobID(100)].phase, ledger.Complete)
}

// TestGangIsNotStarvedBySingleTasks submits single tasks that demand more than all
// accelerators and a gang that needs two whole upstreams. The gang's objective is 2 x 1
// s and 0.5 s.
func TestGangIsNotStarvedBySingleTasks(t *testing.T) {
	is := is.New(t)
	config := oneQueue(nil)
	config.Queues[0].Priority = 2
	config.Queues[0].Stretch = 8
	gangs := config.Queues[0]
	gangs.Name, gangs.Priority, gangs.Stretch = "gangs", 1, 2
	config.Queues = append(config.Queues, gangs)
	sim := newSimulation(t, config)
	sim.add(4, largeUpstream)
	one := state.Vector{CPUMilli: 1000, MemoryMB: 1, Accelerators: 1, Slots: 1}
	eight := state.Vector{CPUMilli: 8000, MemoryMB: 1, Accelerators: 8, Slots: 1}
	for i := range 200 {
		sim.submit(&workload.Job{ID: jobID(i), Steps: []workload.Step{tasksOf(2, one, 700)}})
		if i == 100 {
			sim.submit(&workload.Job{ID: jobID(1000), Queue: "gangs", Workspace: "w", Steps: []workload.Step{{Count: 2, Each: eight, EstimateMS: 1000, Gang: true}}})
		}
		sim.advance(40 * time.Millisecond)
	}
	sim.advance(5 * time.Second)
	gang := sim.jobs[jobID(1000)]
	is.Equal(gang.phase, ledger.Complete)
	is.True(gang.ended-gang.at <= 2500*time.Millisecond)
	is.Equal(sim.phases()[ledger.Complete], 201)
}
