package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// TestWideJobKeepsItsStateWithinARecord guards against a job whose tasks at work make a record that
// the log does not take: where there is room for all, some wait until others are complete.
func TestWideJobKeepsItsStateWithinARecord(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(10, state.Vector{CPUMilli: 800_000, MemoryMB: 800_000})
	job := &workload.Job{ID: jobID(1), Steps: []workload.Step{tasksOf(7000, cores(1), 300), tasksOf(2, cores(1), 50, 0)}}
	sim.submit(job)
	limits, most := ledger.Limits{}.WithDefaults(), 0
	for range 60 {
		sim.advance(50 * time.Millisecond)
		most = max(most, sim.running(job.ID))
		if j := sim.s.jobs[job.ID]; j != nil {
			is.True(j.atWork <= workload.MaxTasksAtWork)
			record, cut, err := ledger.FitState(job.ID, ptr(j.record()), limits)
			is.NoErr(err)
			is.Equal(cut, ledger.Cut{})
			is.True(record.Size() <= limits.RecordBytes)
		}
	}
	is.Equal(most, workload.MaxTasksAtWork)
	sim.advance(2 * time.Second)
	is.Equal(sim.jobs[job.ID].phase, ledger.Complete)
	is.Equal(len(sim.jobs[job.ID].done), 7002)
}

// TestWideJobIsTakenOver guards against tasks that run twice or not at all when the owner of a job
// changes whose tasks are not all held.
func TestWideJobIsTakenOver(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(6, state.Vector{CPUMilli: 50_000, MemoryMB: 800_000})
	sim.runFails = func(run Run) bool { return run.Task.Index%97 == 5 && run.Number%2 == 1 }
	sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{tasksOf(3000, cores(1), 150), {Count: 40, Each: cores(2), EstimateMS: 80, Gang: true, After: []int{0}}}})
	for range 12 {
		sim.advance(270 * time.Millisecond)
		sim.takeOver()
	}
	sim.advance(20 * time.Second)
	is.Equal(sim.jobs[jobID(1)].phase, ledger.Complete)
	is.Equal(sim.s.Counts(sim.now).Jobs, 0)
}

// TestGangsOfAWideJobTakeTurns guards against gangs of one job that wait for each other: each fits
// its state and both together do not.
func TestGangsOfAWideJobTakeTurns(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(10, state.Vector{CPUMilli: 800_000, MemoryMB: 800_000})
	gang := workload.Step{Count: 2000, Each: cores(1), EstimateMS: 200, Gang: true}
	sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{gang, gang}})
	plan := sim.s.Plan(sim.now)
	is.Equal(len(plan.Starts), 2000)
	j := sim.s.jobs[jobID(1)]
	first := plan.Starts[0].Task
	sim.s.taskDone(sim.now, sim.s.task(first))
	for _, start := range plan.Starts {
		sim.s.release(sim.now, sim.s.find(start.Run), true)
	}
	is.Equal(j.steps[0][first.Step].left, 0)
	is.Equal(j.atWork, 0)
	is.Equal(len(sim.s.Plan(sim.now).Starts), 2000) // the other one
}
