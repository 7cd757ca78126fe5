package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// TestRepeatedTakeovers replaces the owner again and again under load. The simulation
// fails the test if a task runs twice, starts before its predecessors or after it was
// done, or if a limit is exceeded.
func TestRepeatedTakeovers(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(func(q *workload.Queue, ws *workload.Workspace) {
		ws.Maximum = state.Vector{CPUMilli: 40000}
	}))
	sim.add(6, state.Vector{CPUMilli: 10000, MemoryMB: 64000})
	sim.runFails = func(run Run) bool { return run.Task.Index == 2 && run.Number%2 == 1 }
	for i := range 150 {
		sim.submit(&workload.Job{ID: jobID(i), Steps: []workload.Step{
			tasksOf(1+i%5, cores(int64(1+i%3)), 150),
			{Count: 2, Each: cores(1), EstimateMS: 100, Gang: i%2 == 0, After: []int{0}},
			tasksOf(1, cores(1), 50, 1),
		}})
		sim.advance(20 * time.Millisecond)
		if i%11 == 10 {
			sim.takeOver()
		}
	}
	sim.advance(20 * time.Second)
	is.Equal(sim.phases()[ledger.Complete]+sim.phases()[ledger.Failed], 150)
	for id, j := range sim.jobs {
		if j.phase != ledger.Complete {
			continue
		}
		n := 0
		for i := range j.spec.Steps {
			n += j.spec.Steps[i].Count
		}
		ended := len(j.done)
		for i := range j.spec.Steps {
			if j.spec.Steps[i].Gang {
				ended = max(ended, n) // one end completes the whole gang
			}
		}
		if ended < n {
			t.Errorf("job %s is complete with %d of %d tasks done", id, ended, n)
		}
	}
}

// TestReportedEndsCountOnce guards against counting an end twice: after a takeover,
// upstreams report ends again that are recorded already, in any order.
func TestReportedEndsCountOnce(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(3, largeUpstream)
	sim.runFails = func(run Run) bool { return run.Task.Step == 1 && run.Task.Index == 0 }
	sim.advance(configSettled)
	sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{tasksOf(2, cores(1), 50), tasksOf(3, cores(1), 100, 0), tasksOf(1, cores(1), 400, 1)}})
	sim.advance(290 * time.Millisecond) // two of three attempts have failed
	is.Equal(sim.jobs[jobID(1)].failed[workload.TaskID{Job: jobID(1), Step: 1}], 2)
	sim.takeOver()
	sim.advance(30 * time.Millisecond)
	is.Equal(sim.jobs[jobID(1)].phase, ledger.Queued) // neither complete nor failed
	sim.advance(time.Second)
	is.Equal(sim.jobs[jobID(1)].phase, ledger.Failed)
	is.Equal(sim.jobs[jobID(1)].failed[workload.TaskID{Job: jobID(1), Step: 1}], 3)
}

// TestRunsOfEndedJobsUseCapacity guards against overcommitting an upstream: runs that
// are being stopped at a takeover still use capacity, although their job has ended.
func TestRunsOfEndedJobsUseCapacity(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(1, state.Vector{CPUMilli: 4000, MemoryMB: 64000})
	sim.upstreams[0].stopDelay = 900 * time.Millisecond
	sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{{Count: 1, Each: cores(4), LongRunning: true}}})
	sim.advance(100 * time.Millisecond)
	sim.s.Cancel(sim.now, jobID(1))
	sim.advance(50 * time.Millisecond)
	is.Equal(sim.running(jobID(1)), 1) // still stopping
	sim.takeOver()
	sim.submit(&workload.Job{ID: jobID(2), Steps: []workload.Step{tasksOf(1, cores(4), 100)}})
	sim.advance(2 * time.Second)
	is.Equal(sim.jobs[jobID(2)].phase, ledger.Complete)
	is.Equal(sim.s.Counts(sim.now).Jobs, 0)
}

// TestIncompleteGangIsRestarted covers an owner that failed while it started the
// members of a gang.
func TestIncompleteGangIsRestarted(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(3, largeUpstream)
	sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{{Count: 3, Each: cores(20), EstimateMS: 200, Gang: true}}})
	sim.advance(20 * time.Millisecond)
	is.Equal(sim.running(jobID(1)), 3)
	missing := sim.upstreams[1]
	clear(missing.running) // this start was lost
	sim.takeOver()
	sim.advance(time.Second)
	is.Equal(sim.running(jobID(1)), 0) // the others do not wait for it
	sim.advance(MaxStartDelay)
	is.Equal(sim.jobs[jobID(1)].phase, ledger.Complete)
}

// TestTasksOnUnlistedUpstreamAreNotRestarted guards against a second run of a task:
// registrations expire while the log is unreachable, but a run that the log shows on an
// unlisted upstream may still exist.
func TestTasksOnUnlistedUpstreamAreNotRestarted(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(2, largeUpstream)
	sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{tasksOf(1, cores(1), 60_000)}})
	sim.advance(100 * time.Millisecond)
	holder := sim.firstBusy()
	sim.takeOver()
	sim.s.RemoveUpstream(holder.reg.ID) // not polled by this owner
	delete(sim.s.upstreams, holder.reg.ID)
	holder.down = true
	sim.advance(3 * time.Second) // the simulation reports a second run
	is.Equal(sim.running(jobID(1)), 1)
	holder.down, holder.polled = false, false
	sim.s.SetUpstream(sim.now, holder.reg) // the upstream is registered again
	sim.advance(time.Second)
	is.Equal(sim.running(jobID(1)), 1)
	is.Equal(len(holder.running), 1)
}

// TestUnconfirmedTasksSurviveSecondTakeover guards against a second run of a task: two
// successive owners can't reach the upstream that runs it, and before the second
// takeover it is gone from the platform's list.
func TestUnconfirmedTasksSurviveSecondTakeover(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(2, largeUpstream)
	sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{tasksOf(2, cores(20), 60_000)}})
	sim.advance(100 * time.Millisecond)
	holder := sim.upstreams[0]
	sim.takeOver(holder)
	sim.advance(10 * time.Millisecond)
	sim.upstreams[1].running = map[workload.TaskID]*simRun{} // makes the scheduler record the job again
	sim.advance(2 * time.Second)
	sim.s.RemoveUpstream(holder.reg.ID)
	holder.unlisted = true
	sim.takeOver()
	sim.advance(4 * time.Second) // the simulation reports a second run
	is.Equal(sim.running(jobID(1)), 2)
	is.Equal(len(holder.running), 1)
	clear(holder.running) // its lease has expired
	sim.advance(2 * time.Second)
	is.Equal(sim.running(jobID(1)), 1) // the other upstream has capacity for one
}

// TestUnreachableUpstreamDelaysOnlyItsTasks checks that after a takeover only those
// tasks wait that the log shows on an unreachable upstream.
func TestUnreachableUpstreamDelaysOnlyItsTasks(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(3, state.Vector{CPUMilli: 4000, MemoryMB: 64000})
	for i := range 10 {
		sim.submit(&workload.Job{ID: jobID(i), Steps: []workload.Step{tasksOf(4, cores(1), 200)}})
	}
	sim.advance(100 * time.Millisecond)
	sim.takeOver(sim.upstreams[0])
	sim.advance(1500 * time.Millisecond)
	is.True(sim.phases()[ledger.Complete] >= 9) // the tenth has tasks on the lost upstream
}

// TestRunsRestartWhenAddressIsReused checks that the runs of an upstream are restarted
// elsewhere at once when another upstream has taken over its address.
func TestRunsRestartWhenAddressIsReused(t *testing.T) {
	cases := []struct {
		name     string
		takeOver bool
	}{{name: "same owner"}, {name: "new owner", takeOver: true}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t, oneQueue(nil))
			sim.add(2, largeUpstream)
			sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{tasksOf(1, cores(1), 300)}})
			sim.advance(100 * time.Millisecond)
			lost := sim.firstBusy()
			clear(lost.running)
			lost.down = true
			if c.takeOver {
				sim.takeOver(lost)
			}
			sim.s.MarkUnreachable(sim.now, lost.reg.ID)
			sim.s.ReleaseRuns(sim.now, lost.reg.ID, LossRestarted)
			sim.advance(500 * time.Millisecond)
			is.Equal(sim.jobs[jobID(1)].phase, ledger.Complete)
		})
	}
}

// TestUnreachableRunsCountForWorkspace guards against exceeding a workspace's quota
// while its runs are on an unreachable upstream.
func TestUnreachableRunsCountForWorkspace(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(func(_ *workload.Queue, ws *workload.Workspace) { ws.Maximum = state.Vector{CPUMilli: 8000} }))
	sim.add(2, state.Vector{CPUMilli: 8000, MemoryMB: 64000})
	sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{tasksOf(8, cores(1), 60_000)}})
	sim.advance(100 * time.Millisecond)
	holder := sim.firstBusy()
	sim.takeOver(holder)
	sim.submit(&workload.Job{ID: jobID(2), Steps: []workload.Step{tasksOf(4, cores(1), 100)}})
	sim.advance(3 * time.Second)
	is.Equal(sim.running(jobID(2)), 0)
	holder.down = false
	for _, id := range sortedTasks(holder.running) {
		sim.end(holder, id, EndDone)
	}
	sim.advance(time.Second)
	is.Equal(sim.jobs[jobID(2)].phase, ledger.Complete)
}

// TestUnconfirmedTaskIsNotRestartedBeforeLeaseEnd guards against a second run of a
// task: a task that may run on an upstream which the new owner can't reach is not
// started elsewhere until its lease must have expired.
func TestUnconfirmedTaskIsNotRestartedBeforeLeaseEnd(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(2, largeUpstream)
	sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{tasksOf(1, cores(1), 60_000)}})
	sim.advance(100 * time.Millisecond)
	holder := sim.firstBusy()
	sim.takeOver(holder)
	sim.submit(&workload.Job{ID: jobID(2), Steps: []workload.Step{tasksOf(1, cores(1), 100)}})
	sim.advance(4 * time.Second)                        // the simulation reports a second run of the unconfirmed task
	is.Equal(sim.jobs[jobID(2)].phase, ledger.Complete) // new jobs are not delayed
	clear(holder.running)                               // its lease has expired
	sim.advance(MaxStartDelay - 4*time.Second + 10*time.Millisecond)
	is.Equal(sim.running(jobID(1)), 1)
}
