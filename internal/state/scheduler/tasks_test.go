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
	is.Equal(most, workload.MaxTasksAtWork-workload.SparePlaces)
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

// TestLastingTasksStartBesideAWideStep guards against long-running tasks that do not start because
// other tasks of their job have taken all the places in its record.
func TestLastingTasksStartBesideAWideStep(t *testing.T) {
	const wait = 3 * time.Second // within which a task whose turn has come must be at work
	lasting := workload.Step{Count: 40, Each: cores(1), LongRunning: true}
	for _, tt := range []struct {
		name     string
		job      *workload.Job
		lasting  int // the step with the long-running tasks
		untilDue time.Duration
	}{
		{name: "the wide step is first", job: &workload.Job{Steps: []workload.Step{tasksOf(16_000, cores(1), 60_000), lasting}}, lasting: 1},
		{name: "their turn comes later", job: &workload.Job{Steps: []workload.Step{tasksOf(1, cores(1), 1000), tasksOf(16_000, cores(1), 60_000), withAfter(lasting, 0)}}, lasting: 2, untilDue: 1200 * time.Millisecond},
		{name: "as a gang", job: &workload.Job{Steps: []workload.Step{tasksOf(1, cores(1), 1000), tasksOf(16_000, cores(1), 60_000), {Count: 40, Each: cores(1), LongRunning: true, Gang: true, After: []int{0}}}}, lasting: 2, untilDue: 1200 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t, oneQueue(nil))
			sim.add(10, state.Vector{CPUMilli: 800_000, MemoryMB: 800_000})
			tt.job.ID = jobID(1)
			sim.submit(tt.job)
			sim.advance(tt.untilDue + wait)
			is.Equal(sim.runningOf(tt.job.ID, tt.lasting), lasting.Count)
			is.True(sim.running(tt.job.ID) <= workload.MaxTasksAtWork)
		})
	}
}

// runningOf counts the tasks of a step that run.
func (sim *simulation) runningOf(id workload.JobID, step int) (n int) {
	for _, u := range sim.upstreams {
		for task := range u.running {
			n += boolInt(task.Job == id && task.Step == step)
		}
	}
	return n
}

func withAfter(s workload.Step, after ...int) workload.Step { s.After = after; return s }

// TestWideJobGoesOnBesideTasksThatCannotRun guards against a job of which nothing runs because
// tasks that have lost their upstreams keep all the places in its record.
func TestWideJobGoesOnBesideTasksThatCannotRun(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(4, state.Vector{CPUMilli: 800_000, MemoryMB: 800_000}, "special")
	sim.add(4, state.Vector{CPUMilli: 800_000, MemoryMB: 800_000})
	special := tasksOf(5000, cores(1), 60_000)
	special.Constraint = "special"
	job := &workload.Job{ID: jobID(1), Steps: []workload.Step{special, tasksOf(1, cores(1), 2000), tasksOf(20, cores(1), 200, 1)}}
	sim.submit(job)
	sim.advance(time.Second)
	is.True(sim.runningOf(job.ID, 0) >= workload.MaxTasksAtWork-workload.SparePlaces)
	for _, u := range sim.upstreams[:4] {
		sim.lose(u, sim.s.MarkUnreachable)
		sim.expire(u)
	}
	sim.advance(10 * time.Second)
	done := 0
	for id := range sim.jobs[job.ID].done {
		done += boolInt(id.Step == 2)
	}
	is.Equal(done, 20)
}

// TestSingleTasksRunBesideManyLastingOnes guards against tasks that never start because the
// long-running ones of their job take all the places in its record.
func TestSingleTasksRunBesideManyLastingOnes(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(10, state.Vector{CPUMilli: 800_000, MemoryMB: 800_000})
	job := &workload.Job{ID: jobID(1), Steps: []workload.Step{{Count: workload.MaxTasksAtWork - 1, Each: cores(1), LongRunning: true}, tasksOf(5, cores(1), 200)}}
	is.NoErr(job.Validate())
	sim.submit(job)
	sim.advance(5 * time.Second)
	is.Equal(sim.runningOf(job.ID, 0), workload.MaxTasksAtWork-1)
	is.Equal(len(sim.jobs[job.ID].done), 5)
}
