package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

var wide = state.Vector{CPUMilli: 32000, MemoryMB: 64000, Accelerators: 8}

func tasksOf(count int, each state.Vector, ms int64, after ...int) workload.Step {
	return workload.Step{Count: count, Each: each, EstimateMS: ms, After: after}
}

func TestJobsRunToTheirEnd(t *testing.T) {
	cases := []struct {
		name  string
		queue func(q *workload.Queue, ws *workload.Workspace)
		steps []workload.Step
		// within is the time in which the job should be complete.
		within state.Time
	}{
		{name: "one task", steps: []workload.Step{tasksOf(1, cores(1), 300)}, within: 400 * time.Millisecond},
		{name: "steps in turn", steps: []workload.Step{tasksOf(4, cores(1), 300), tasksOf(2, cores(1), 300, 0), tasksOf(1, cores(1), 300, 0, 1)}, within: 1100 * time.Millisecond},
		{name: "more tasks than room", steps: []workload.Step{tasksOf(200, cores(4), 300)}, within: 3 * time.Second},
		{name: "a gang", steps: []workload.Step{{Count: 6, Each: cores(16), EstimateMS: 300, Gang: true}}, within: 500 * time.Millisecond},
		{name: "one task an upstream", steps: []workload.Step{{Count: 6, Each: cores(1), EstimateMS: 300, MaxPerUpstream: 1}}, within: 700 * time.Millisecond},
		{name: "a gang, one task an upstream", steps: []workload.Step{{Count: 3, Each: cores(1), EstimateMS: 300, MaxPerUpstream: 1, Gang: true}}, within: 500 * time.Millisecond},
		{name: "a label", steps: []workload.Step{{Count: 2, Each: cores(1), EstimateMS: 300, Constraint: "a"}}, within: 400 * time.Millisecond},
		{name: "filling tasks", steps: []workload.Step{{Count: 8, Each: cores(30), EstimateMS: 300, Fills: true}}, within: 500 * time.Millisecond},
		{
			name: "with advice", steps: []workload.Step{tasksOf(4, cores(1), 300), tasksOf(2, cores(1), 300, 0)}, within: 800 * time.Millisecond,
			queue: func(q *workload.Queue, _ *workload.Workspace) {
				q.Advice = &workload.Advice{DecisionMS: 11, PerUpstreamMS: 0.15, ValidMS: 1500}
			},
		},
		{
			name: "a gang with slow advice", steps: []workload.Step{{Count: 4, Each: cores(16), EstimateMS: 300, Gang: true}}, within: 1200 * time.Millisecond,
			queue: func(q *workload.Queue, _ *workload.Workspace) {
				q.Advice = &workload.Advice{DecisionMS: 560, PerUpstreamMS: 8, ValidMS: 1500}
			},
		},
		{
			name: "a workspace at its maximum", steps: []workload.Step{tasksOf(8, cores(4), 300)}, within: 1500 * time.Millisecond,
			queue: func(_ *workload.Queue, ws *workload.Workspace) { ws.Maximum = state.Vector{CPUMilli: 8000} },
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, oneQueue(c.queue))
			w.add(4, wide, "a", "r1")
			w.submit(&workload.Job{ID: jobID(1), Steps: c.steps})
			w.play(c.within)
			is.Equal(w.jobs[jobID(1)].phase, ledger.Complete)
		})
	}
}

func TestTimedJobRunsWhenDue(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, oneQueue(nil))
	w.add(1, wide)
	w.submit(&workload.Job{ID: jobID(1), Repeat: 3, FirstUnixMS: w.unix() + 500, PeriodMS: 400, Steps: []workload.Step{tasksOf(1, cores(1), 100)}})
	w.play(480 * time.Millisecond)
	is.Equal(w.running(jobID(1)), 0)
	w.play(100 * time.Millisecond)
	is.Equal(w.running(jobID(1)), 1)
	w.play(900 * time.Millisecond)
	is.Equal(w.jobs[jobID(1)].phase, ledger.Complete)
}

func TestHopelessTaskEndsItsJobAfterTheLastAttempt(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, oneQueue(nil))
	w.add(4, wide)
	w.failing = func(run Run) bool { return run.Task.Index == 1 }
	w.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{tasksOf(3, cores(1), 100)}})
	w.play(2 * time.Second)
	is.Equal(w.jobs[jobID(1)].phase, ledger.Failed)
	is.Equal(w.jobs[jobID(1)].failed[workload.TaskID{Job: jobID(1), Index: 1}], 3)
	is.Equal(w.running(jobID(1)), 0)
}

func TestFailingUpstreamIsAvoided(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, oneQueue(nil))
	w.add(6, wide)
	w.failing = func(run Run) bool { return run.Upstream == "u000" }
	for i := range 200 {
		w.submit(&workload.Job{ID: jobID(i), Steps: []workload.Step{tasksOf(2, cores(2), 100)}})
		w.play(20 * time.Millisecond)
	}
	w.play(time.Second)
	is.Equal(w.phases()[ledger.Complete], 200)
	failed := 0
	for _, j := range w.jobs {
		for _, n := range j.failed {
			failed += n
		}
	}
	is.True(failed < 20) // of 400 tasks
}

func TestSlowUpstreamGetsLessWork(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, oneQueue(nil))
	w.add(4, wide)
	w.speed = func(id workload.UpstreamID) float64 {
		if id == "u000" {
			return 6
		}
		return 1
	}
	late := 0
	for i := range 150 {
		w.submit(&workload.Job{ID: jobID(i), Steps: []workload.Step{tasksOf(2, cores(2), 200)}})
		w.play(20 * time.Millisecond)
	}
	w.play(2 * time.Second)
	for _, j := range w.jobs {
		if j.phase != ledger.Complete || j.ended-j.at > 900*time.Millisecond {
			late++
		}
	}
	is.True(late < 15) // one in ten at most meets the slow upstream
}

func TestStalledRunIsMoved(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, oneQueue(nil))
	w.add(3, wide)
	w.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{tasksOf(1, cores(1), 500)}})
	w.play(50 * time.Millisecond)
	for _, u := range w.upstreams {
		for _, r := range u.running {
			r.stalled = true
		}
	}
	w.play(3 * time.Second)
	is.Equal(w.jobs[jobID(1)].phase, ledger.Complete)
}

// TestGangWaitsForItsSlowestMember plays a gang of which one member works 3 s
// longer than the others, which have nothing left to do meanwhile.
func TestGangWaitsForItsSlowestMember(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, oneQueue(nil))
	w.add(3, wide)
	w.speed = func(id workload.UpstreamID) float64 {
		if id == "u002" {
			return 4
		}
		return 1
	}
	w.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{{Count: 3, Each: cores(20), EstimateMS: 1000, Gang: true}}})
	w.play(4200 * time.Millisecond)
	is.Equal(w.jobs[jobID(1)].phase, ledger.Complete)
}

func TestCancelledJobIsStopped(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, oneQueue(nil))
	w.add(2, wide)
	w.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{{Count: 3, Each: cores(1), LongRunning: true}}})
	w.play(time.Second)
	is.Equal(w.running(jobID(1)), 3)
	w.s.Cancel(w.now, jobID(1))
	w.play(50 * time.Millisecond)
	is.Equal(w.running(jobID(1)), 0)
	is.Equal(w.s.Counts(w.now).Jobs, 0) // nothing of it is kept
}

func TestLongRunningTaskIsRestarted(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, oneQueue(nil))
	w.add(2, wide)
	w.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{{Count: 2, Each: cores(1), LongRunning: true}}})
	w.play(100 * time.Millisecond)
	for range 5 { // more often than a task may fail that is to end
		for _, u := range w.upstreams {
			for _, id := range sortedTasks(u.running) {
				w.end(u, id, HowFailed)
			}
		}
		w.play(100 * time.Millisecond)
		is.Equal(w.running(jobID(1)), 2)
	}
}

func TestDrainingUpstreamIsLeft(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, oneQueue(nil))
	w.add(2, wide)
	w.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{{Count: 4, Each: cores(1), LongRunning: true}}})
	w.play(100 * time.Millisecond)
	leaving := w.upstreams[0]
	leaving.reg.Draining = true
	w.s.SetUpstream(w.now, leaving.reg)
	w.play(200 * time.Millisecond)
	is.Equal(len(leaving.running), 0)
	is.Equal(w.running(jobID(1)), 4)
}

// TestLostAnswers starts runs of which one in five gets no answer and is
// carried out up to four seconds later. The world checks that no task runs
// twice and no upstream is filled beyond its capacity.
func TestLostAnswers(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, oneQueue(nil))
	w.lossy = 0.2
	w.add(6, state.Vector{CPUMilli: 8000, MemoryMB: 64000})
	for i := range 120 {
		w.submit(&workload.Job{ID: jobID(i), Steps: []workload.Step{tasksOf(1+i%4, cores(int64(1+i%3)), 150), {Count: 2, Each: cores(1), EstimateMS: 100, Gang: i%2 == 0, After: []int{0}}}})
		w.play(30 * time.Millisecond)
	}
	w.play(30 * time.Second)
	is.Equal(w.phases()[ledger.Complete], 120)
}

// TestLateStartMeetsANewLife: a start without an answer is carried out by the
// next life of its upstream, which knows of no stop before it.
func TestLateStartMeetsANewLife(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, oneQueue(nil))
	w.add(2, wide)
	w.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{tasksOf(1, cores(1), 300)}})
	w.s.Tick(w.unix())
	lost := w.s.Plan(w.now).Starts[0]
	is.True(w.s.Sent(w.now, lost.Run))
	w.s.StartResult(w.now, lost.Run, Unanswered)
	w.at(2*time.Second, func() {
		u := w.upstream(lost.Upstream)
		clear(u.barred)
		u.ended, u.looked, u.shown = nil, 0, false
		u.reg.BornUnixMS++
		w.s.SetUpstream(w.now, u.reg)
	})
	w.at(4*time.Second, func() { w.arrive(lost) }) // the world reports a second run
	w.play(5 * time.Second)
	is.Equal(w.jobs[jobID(1)].phase, ledger.Complete)
}

func TestBacklogServesUrgentWorkFirst(t *testing.T) {
	is := is.New(t)
	config := oneQueue(nil)
	urgent := config.Queues[0]
	urgent.Name, urgent.Priority = "urgent", 0
	config.Queues[0].Priority = 2
	config.Queues = append(config.Queues, urgent)
	w := newWorld(t, config)
	w.add(2, state.Vector{CPUMilli: 8000, MemoryMB: 64000})
	for i := range 20 {
		w.submit(&workload.Job{ID: jobID(i), Steps: []workload.Step{tasksOf(4, cores(2), 400)}})
	}
	w.play(100 * time.Millisecond)
	w.submit(&workload.Job{ID: jobID(100), Queue: "urgent", Workspace: "w", Steps: []workload.Step{tasksOf(4, cores(2), 100)}})
	w.play(700 * time.Millisecond)
	is.Equal(w.jobs[jobID(100)].phase, ledger.Complete)
}

func TestWorkBeyondTheShareGoesLast(t *testing.T) {
	is := is.New(t)
	config := oneQueue(nil)
	config.Workspaces[0].Weight = 2
	config.Workspaces = append(config.Workspaces, workload.Workspace{Name: "other", Weight: 2})
	w := newWorld(t, config)
	w.add(1, state.Vector{CPUMilli: 4000, MemoryMB: 64000})
	for i := range 40 {
		w.submit(&workload.Job{ID: jobID(i), Steps: []workload.Step{tasksOf(1, cores(2), 200)}})
	}
	w.play(300 * time.Millisecond)
	w.submit(&workload.Job{ID: jobID(100), Queue: "q", Workspace: "other", Steps: []workload.Step{tasksOf(1, cores(2), 200)}})
	w.play(900 * time.Millisecond)
	is.Equal(w.jobs[jobID(100)].phase, ledger.Complete)
}

// TestGangIsNotStarvedBySingleTasks plays single tasks that ask for more than
// all accelerators and a gang that needs two whole upstreams. The gang's
// objective is 2 x 1 s and 0.5 s.
func TestGangIsNotStarvedBySingleTasks(t *testing.T) {
	is := is.New(t)
	config := oneQueue(nil)
	config.Queues[0].Priority = 2
	config.Queues[0].Stretch = 8
	gangs := config.Queues[0]
	gangs.Name, gangs.Priority, gangs.Stretch = "gangs", 1, 2
	config.Queues = append(config.Queues, gangs)
	w := newWorld(t, config)
	w.add(4, wide)
	one := state.Vector{CPUMilli: 1000, MemoryMB: 1, Accelerators: 1, Slots: 1}
	eight := state.Vector{CPUMilli: 8000, MemoryMB: 1, Accelerators: 8, Slots: 1}
	for i := range 200 {
		w.submit(&workload.Job{ID: jobID(i), Steps: []workload.Step{tasksOf(2, one, 700)}})
		if i == 100 {
			w.submit(&workload.Job{ID: jobID(1000), Queue: "gangs", Workspace: "w", Steps: []workload.Step{{Count: 2, Each: eight, EstimateMS: 1000, Gang: true}}})
		}
		w.play(40 * time.Millisecond)
	}
	w.play(5 * time.Second)
	gang := w.jobs[jobID(1000)]
	is.Equal(gang.phase, ledger.Complete)
	is.True(gang.ended-gang.at <= 2500*time.Millisecond)
	is.Equal(w.phases()[ledger.Complete], 201)
}
