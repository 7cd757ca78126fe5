package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// newReturnedUpstream returns a simulation with one upstream that ran a task when its registration
// expired, and that has registered again as a new incarnation.
func newReturnedUpstream(t *testing.T) (*simulation, *simUpstream) {
	sim := newSimulation(t, oneQueue(nil))
	sim.add(1, largeUpstream)
	sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{tasksOf(1, cores(1), 60_000)}})
	sim.advance(100 * time.Millisecond)
	u := sim.upstreams[0]
	sim.endIncarnation(u, 2*time.Second)
	sim.at(time.Second, func() { sim.s.RemoveUpstream(u.reg.ID) })
	sim.advance(1900 * time.Millisecond)
	_, known := sim.s.Registration(u.reg.ID)
	if !known || sim.running(jobID(1)) != 0 {
		t.Fatalf("known %v, %d runs; want an upstream that is kept for its lost run", known, sim.running(jobID(1)))
	}
	return sim, u
}

// TestTasksStartOnUpstreamThatRegistersAgain guards against an upstream that gets no work and whose
// reports are ignored, since it was forgotten with the runs of its former incarnation.
func TestTasksStartOnUpstreamThatRegistersAgain(t *testing.T) {
	is := is.New(t)
	sim, _ := newReturnedUpstream(t)
	sim.advance(time.Second)
	is.Equal(sim.running(jobID(1)), 1)
}

// TestEndOnUpstreamThatRegistersAgainCounts guards against a task that is started again though its end
// was reported: its start reached the new incarnation before the owner did.
func TestEndOnUpstreamThatRegistersAgainCounts(t *testing.T) {
	is := is.New(t)
	sim, u := newReturnedUpstream(t)
	u.ended = []EndedRun{{Task: workload.TaskID{Job: jobID(1)}, Run: 1, Cause: EndDone}}
	sim.jobs[jobID(1)].done[u.ended[0].Task] = true // the simulation reports a further start
	sim.advance(time.Second)
	is.Equal(sim.phaseOf(jobID(1)), ledger.Complete)
}

// TestPlannedStartOfTaskThatHasEndedIsNotSent guards against a second run of a task whose end is
// reported while its next start waits to be recorded.
func TestPlannedStartOfTaskThatHasEndedIsNotSent(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(2, largeUpstream)
	sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{tasksOf(2, cores(1), 60_000)}})
	sim.advance(100 * time.Millisecond)
	u := sim.firstBusy()
	lost := sortedTasks(u.running)[0]
	first := u.running[lost].run
	sim.endIncarnation(u, 0)
	sim.advance(5 * time.Millisecond) // the next incarnation has no runs
	sim.s.Tick(sim.unix())
	var planned []Start
	for _, start := range sim.s.Plan(sim.now).Starts {
		if start.Task == lost {
			planned = append(planned, start)
		}
	}
	is.Equal(len(planned), 1)
	sim.s.ApplyReport(sim.now, u.reg.ID, RunReport{SentAt: sim.now, Ended: []EndedRun{{Task: lost, Run: first, Cause: EndDone}}})
	is.True(!sim.s.MarkSent(sim.now, planned[0].Run))
}
