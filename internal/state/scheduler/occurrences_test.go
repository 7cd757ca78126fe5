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

// series returns a job that repeats, from a second after the start of a simulation on.
func series(repeat int, period time.Duration, steps ...workload.Step) *workload.Job {
	return &workload.Job{ID: jobID(1), Queue: "q", Workspace: "w", Repeat: repeat, FirstUnixMS: 2000, PeriodMS: period.Milliseconds(), Steps: steps}
}

// TestLongSeriesCostsWhatIsAtWork guards against a job that takes each owner over its memory limit
// in turn because it runs once a minute for a year.
func TestLongSeriesCostsWhatIsAtWork(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(2, largeUpstream)
	job := series(525_600, time.Minute, tasksOf(2, cores(1), 300))
	sim.submit(job)
	sim.advance(3 * time.Second)
	j := sim.s.jobs[job.ID]
	is.Equal(len(sim.jobs[job.ID].done), 2) // the first occurrence has run
	is.Equal(len(j.steps), 0)               // and is not held any more
	sim.advance(time.Minute)
	is.Equal(len(sim.jobs[job.ID].done), 4)
	is.Equal(j.next, 2)
	sim.takeOver()
	j = sim.s.jobs[job.ID]
	is.Equal(len(j.steps), 0)
	sim.advance(time.Minute)
	is.Equal(len(sim.jobs[job.ID].done), 6)
	is.Equal(sim.jobs[job.ID].phase, ledger.Queued) // not complete
}

// TestOverlappingOccurrencesRunOnce replaces the owner again and again while occurrences overlap.
// The simulation fails the test if a task runs twice or again.
func TestOverlappingOccurrencesRunOnce(t *testing.T) {
	for _, unlisted := range []bool{false, true} {
		t.Run(fmt.Sprintf("unlisted %v", unlisted), func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t, oneQueue(func(q *workload.Queue, _ *workload.Workspace) { q.MaxAttempts = 9 }))
			sim.add(4, state.Vector{CPUMilli: 20_000, MemoryMB: 64000})
			sim.durationFactor = func(id workload.TaskID) float64 { return float64(1 + 3*(id.Occurrence%5)/4) }
			sim.runFails = func(run Run) bool { return run.Task.Occurrence%7 == 3 && run.Task.Index == 1 && run.Number%2 == 1 }
			first, repeat := tasksOf(3, cores(1), 200), 60
			if unlisted { // the complete occurrences take more than is listed
				repeat = 100
			}
			job := series(repeat, 100*time.Millisecond, first, workload.Step{Count: 2, Each: cores(1), EstimateMS: 80, Gang: true, After: []int{0}})
			sim.submit(job)
			was := false
			for range 50 {
				sim.advance(230 * time.Millisecond)
				sim.takeOver()
				state := sim.readBack(job.ID)
				was = was || state.Series != nil && state.Series.Unlisted
			}
			is.Equal(was, unlisted)
			sim.advance(30 * time.Second)
			is.Equal(sim.jobs[job.ID].phase, ledger.Complete)
			firstSteps := 0
			for id := range sim.jobs[job.ID].done {
				firstSteps += boolInt(id.Step == 0)
			}
			is.Equal(firstSteps, repeat*first.Count) // none is left out
			is.Equal(sim.s.Counts(sim.now).Jobs, 0)
		})
	}
}

// TestOccurrencesBeginWhenDue guards against a start before its time, also after a takeover, and
// against occurrences that are left out because they were due while no owner acted.
func TestOccurrencesBeginWhenDue(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(2, largeUpstream)
	job := series(20, 500*time.Millisecond, tasksOf(1, cores(1), 50))
	sim.onStart = func(start Start) {
		if due := job.Due(start.Task.Occurrence); sim.unix() < due {
			t.Errorf("occurrence %d started at %d, due at %d", start.Task.Occurrence, sim.unix(), due)
		}
	}
	sim.submit(job)
	sim.advance(2 * time.Second)
	is.Equal(len(sim.jobs[job.ID].done), 2)
	sim.stalled = true
	sim.advance(4 * time.Second)
	sim.takeOver()
	sim.stalled = false
	sim.advance(500 * time.Millisecond)
	is.Equal(len(sim.jobs[job.ID].done), 11)
	is.Equal(sim.jobs[job.ID].phase, ledger.Queued)
	sim.advance(10 * time.Second)
	is.Equal(len(sim.jobs[job.ID].done), 20)
	is.Equal(sim.jobs[job.ID].phase, ledger.Complete)
}

// TestOverdueOccurrencesAreHeldInParts guards against an owner that makes a year of occurrences at
// once because all are overdue.
func TestOverdueOccurrencesAreHeldInParts(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(2, largeUpstream)
	job := series(1_000_000, time.Millisecond, tasksOf(3, cores(1), 50))
	sim.now = 2000 * time.Second
	sim.submit(job)
	j := sim.s.jobs[job.ID]
	is.True(len(j.steps)*job.ProgressBytes() <= workload.MaxProgressBytes)
	sim.advance(time.Second)
	is.True(len(sim.jobs[job.ID].done) > 100)
	record, cut, err := ledger.FitState(job.ID, ptr(j.record()), ledger.Limits{}.WithDefaults())
	is.NoErr(err)
	is.Equal(cut, ledger.Cut{})
	is.True(record.Size() < 64<<10)
}

func ptr[T any](v T) *T { return &v }

// TestRecordOfSeriesDoesNotGrow guards against a record that grows with each complete occurrence
// until the log does not take it.
func TestRecordOfSeriesDoesNotGrow(t *testing.T) {
	is := is.New(t)
	j := &job{id: jobID(1), spec: series(1_000_000, time.Second, tasksOf(100, cores(1), 50)), steps: map[int][]*step{}, phase: ledger.Running, begun: true}
	for _, n := range []int{0, 10, 1000, 999_000} {
		j.next = n
		j.steps = map[int][]*step{}
		j.begin(n)
		j.next++
		record, err := ledger.StateRecord(j.id, ptr(j.record()))
		is.NoErr(err)
		is.True(record.Size() <= maxListedBytes+100)
	}
}

// TestStateOfFormerReleaseContinues guards against occurrences that run again after an upgrade: the
// state of a former release lists each occurrence with a started task.
func TestStateOfFormerReleaseContinues(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(2, largeUpstream)
	job := series(10, 500*time.Millisecond, tasksOf(2, cores(1), 50), tasksOf(1, cores(1), 50, 0))
	sim.now = 4 * time.Second // occurrences 0 to 4 are due
	job.SubmittedUnixMS = 1000
	sim.jobs[job.ID] = &simJob{spec: job, done: map[workload.TaskID]bool{}, failed: map[workload.TaskID]int{}}
	done := func(k, step, tasks int) ledger.StepState {
		out := ledger.StepState{Occurrence: k, Step: step}
		for i := range tasks {
			out.SetDone(i)
			sim.jobs[job.ID].done[workload.TaskID{Job: job.ID, Occurrence: k, Step: step, Index: i}] = true
		}
		return out
	}
	sim.recorded[job.ID] = ledger.JobState{Phase: ledger.Running, Steps: []ledger.StepState{done(0, 0, 2), done(0, 1, 1), done(2, 0, 2), done(3, 0, 2), done(3, 1, 1)}}
	sim.takeOver()
	is.Equal(sim.s.jobs[job.ID].held(), []int{1, 2, 4})
	sim.advance(10 * time.Second)
	is.Equal(len(sim.jobs[job.ID].done), 30)
	is.Equal(sim.jobs[job.ID].phase, ledger.Complete)
}

// TestRunsOfCompleteOccurrencesAreStopped guards against an upstream that is overcommitted, or a
// task that runs beside its successor's, because a run of a complete occurrence is not known.
func TestRunsOfCompleteOccurrencesAreStopped(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(1, state.Vector{CPUMilli: 4000, MemoryMB: 64000})
	job := series(3, time.Second, tasksOf(1, cores(4), 100))
	sim.submit(job)
	sim.advance(1500 * time.Millisecond)
	u := sim.upstreams[0]
	is.Equal(len(sim.s.jobs[job.ID].steps), 0)
	u.stopDelay = 800 * time.Millisecond
	late := workload.TaskID{Job: job.ID}
	u.running[late] = &simRun{run: 20_000, began: sim.now, length: time.Minute}
	sim.advance(20 * time.Millisecond)
	is.Equal(len(sim.s.upstreams[u.reg.ID].runs), 1) // it uses capacity until it has ended
	sim.advance(5 * time.Second)
	is.Equal(len(u.running), 0)
	is.Equal(sim.jobs[job.ID].phase, ledger.Complete)
	is.Equal(sim.s.Counts(sim.now).Jobs, 0)
}

// TestRunBeforeItsTimeIsNotAdopted guards against an occurrence that begins early because an
// upstream reports a run of it.
func TestRunBeforeItsTimeIsNotAdopted(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(1, largeUpstream)
	job := series(1000, time.Second, tasksOf(1, cores(1), 100))
	sim.submit(job)
	sim.advance(1200 * time.Millisecond)
	u := sim.upstreams[0]
	u.running[workload.TaskID{Job: job.ID, Occurrence: 500}] = &simRun{run: 20_000, began: sim.now, length: time.Minute}
	sim.advance(500 * time.Millisecond)
	is.Equal(sim.s.jobs[job.ID].next, 1)
	is.Equal(len(u.running), 0)
}
