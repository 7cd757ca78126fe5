package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// TestAttemptsCountWhileTheQueueIsAway guards against a further attempt after the last one failed under another configuration.
func TestAttemptsCountWhileTheQueueIsAway(t *testing.T) {
	cases := []struct {
		name     string
		takeOver bool
		step     workload.Step
	}{
		{name: "queue withdrawn", step: tasksOf(1, cores(1), 500)},
		{name: "queue withdrawn, owner replaced", takeOver: true, step: tasksOf(1, cores(1), 500)},
		{name: "queue withdrawn, gang", step: workload.Step{Count: 2, Each: cores(1), EstimateMS: 500, Gang: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			const attempts = 3
			sim := newSimulation(t, oneQueue(func(q *workload.Queue, _ *workload.Workspace) { q.MaxAttempts = attempts }))
			sim.add(4, largeUpstream)
			sim.runFails = func(Run) bool { return true }
			runs := map[int64]bool{}
			sim.onStart = func(start Start) { runs[start.Number] = true }
			sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{c.step}})
			for waited := state.Time(0); len(runs) < attempts && waited < 10*time.Second; waited += 5 * time.Millisecond {
				sim.advance(5 * time.Millisecond)
			}
			before := sim.config
			without := oneQueue(nil)
			without.Queues = nil
			without.Index()
			sim.s.SetConfig(without)
			sim.advance(510 * time.Millisecond) // the last attempt fails
			sim.record()
			if c.takeOver {
				sim.takeOver()
			}
			sim.s.SetConfig(before)
			sim.advance(5 * time.Second)
			is.Equal(len(runs), attempts)
			is.Equal(sim.phaseOf(jobID(1)), ledger.Failed)
		})
	}
}

// TestOutdatedLimitFailsNoJob guards against failing a job by a limit of attempts that was raised before the takeover.
func TestOutdatedLimitFailsNoJob(t *testing.T) {
	for _, failsAgain := range []bool{false, true} {
		t.Run(fmt.Sprintf("a further attempt fails: %v", failsAgain), func(t *testing.T) {
			is := is.New(t)
			limit := func(n int) *workload.Config {
				return oneQueue(func(q *workload.Queue, _ *workload.Workspace) { q.MaxAttempts = n })
			}
			sim := newSimulation(t, limit(5))
			sim.add(4, largeUpstream)
			sim.runFails = func(Run) bool { return true }
			starts := 0
			sim.onStart = func(Start) { starts++ }
			sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{tasksOf(1, cores(1), 500)}})
			for starts < 2 {
				sim.advance(5 * time.Millisecond)
			}
			sim.record()
			raised := sim.config
			sim.config = limit(2)
			sim.config.Index()
			sim.takeOver()
			if failsAgain {
				sim.advance(600 * time.Millisecond)
			}
			sim.config = raised
			sim.s.SetConfig(raised)
			is.Equal(sim.phaseOf(jobID(1)).Final(), false)
			sim.advance(10 * time.Second)
			is.Equal(sim.phaseOf(jobID(1)), ledger.Failed)
			is.Equal(starts, 5)
		})
	}
}

// TestFailuresOfCutRecordCountOnce guards against counting a failed run again whose number a large record no longer holds.
func TestFailuresOfCutRecordCountOnce(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(func(q *workload.Queue, _ *workload.Workspace) { q.MaxAttempts = 3 }))
	sim.add(2, largeUpstream)
	job := &workload.Job{ID: jobID(1), Queue: "q", Workspace: "w", Steps: []workload.Step{tasksOf(1, cores(1), 60_000)}}
	recorded := &ledger.JobState{Phase: ledger.Running, Steps: []ledger.StepState{{Tasks: []ledger.TaskState{{Run: 9, Failed: []int64{-1, 9}}}}}}
	sim.s.AddJob(sim.now, sim.unix(), job, recorded, false)
	failed := func(number int64) int {
		end := EndedRun{Task: workload.TaskID{Job: job.ID}, Run: number, Cause: EndFailed}
		sim.s.ApplyReport(sim.now, "u000", RunReport{SentAt: sim.now, Ended: []EndedRun{end}})
		return len(sim.s.Plan(sim.now).Ended)
	}
	is.Equal(failed(7), 0) // the number that was cut
	is.Equal(failed(9), 0)
	is.Equal(failed(12), 1)
}
