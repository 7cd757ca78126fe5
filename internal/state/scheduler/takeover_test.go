package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// TestOwnersInTurn replaces the owner again and again under load. The world
// checks that no task runs twice, starts out of order or after it was done, and
// that nobody is over a limit.
func TestOwnersInTurn(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, oneQueue(func(q *workload.Queue, ws *workload.Workspace) {
		ws.Maximum = state.Vector{CPUMilli: 40000}
	}))
	w.add(6, state.Vector{CPUMilli: 10000, MemoryMB: 64000})
	w.failing = func(run Run) bool { return run.Task.Index == 2 && run.Number%2 == 1 }
	for i := range 150 {
		w.submit(&workload.Job{ID: jobID(i), Steps: []workload.Step{
			tasksOf(1+i%5, cores(int64(1+i%3)), 150),
			{Count: 2, Each: cores(1), EstimateMS: 100, Gang: i%2 == 0, After: []int{0}},
			tasksOf(1, cores(1), 50, 1),
		}})
		w.play(20 * time.Millisecond)
		if i%11 == 10 {
			w.takeOver()
		}
	}
	w.play(20 * time.Second)
	is.Equal(w.phases()[ledger.Complete]+w.phases()[ledger.Failed], 150)
	for id, j := range w.jobs {
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
				ended = max(ended, n) // one end stands for the gang
			}
		}
		if ended < n {
			t.Errorf("job %s is complete with %d of %d tasks done", id, ended, n)
		}
	}
}

// TestListedEndsCountOnce: after a takeover upstreams list ends again that are
// recorded already, in any order.
func TestListedEndsCountOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, oneQueue(nil))
	w.add(3, wide)
	w.failing = func(run Run) bool { return run.Task.Step == 1 && run.Task.Index == 0 }
	w.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{tasksOf(2, cores(1), 50), tasksOf(3, cores(1), 100, 0), tasksOf(1, cores(1), 400, 1)}})
	w.play(290 * time.Millisecond) // two of three attempts have failed
	is.Equal(w.jobs[jobID(1)].failed[workload.TaskID{Job: jobID(1), Step: 1}], 2)
	w.takeOver()
	w.play(30 * time.Millisecond)
	is.Equal(w.jobs[jobID(1)].phase, ledger.Queued) // neither complete nor failed
	w.play(time.Second)
	is.Equal(w.jobs[jobID(1)].phase, ledger.Failed)
	is.Equal(w.jobs[jobID(1)].failed[workload.TaskID{Job: jobID(1), Step: 1}], 3)
}

// TestRunsOfEndedJobsTakeRoom: runs that are being stopped when the owner
// changes still count against their upstream, though their job has ended.
func TestRunsOfEndedJobsTakeRoom(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, oneQueue(nil))
	w.add(1, state.Vector{CPUMilli: 4000, MemoryMB: 64000})
	w.upstreams[0].slowStop = 900 * time.Millisecond
	w.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{{Count: 1, Each: cores(4), LongRunning: true}}})
	w.play(100 * time.Millisecond)
	w.s.Cancel(w.now, jobID(1))
	w.play(50 * time.Millisecond)
	is.Equal(w.running(jobID(1)), 1) // still ending
	w.takeOver()
	w.submit(&workload.Job{ID: jobID(2), Steps: []workload.Step{tasksOf(1, cores(4), 100)}})
	w.play(2 * time.Second)
	is.Equal(w.jobs[jobID(2)].phase, ledger.Complete)
	is.Equal(w.s.Counts(w.now).Jobs, 0)
}

// TestIncompleteGangIsStartedAgain: the former owner died while it started the
// members of a gang.
func TestIncompleteGangIsStartedAgain(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, oneQueue(nil))
	w.add(3, wide)
	w.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{{Count: 3, Each: cores(20), EstimateMS: 200, Gang: true}}})
	w.play(20 * time.Millisecond)
	is.Equal(w.running(jobID(1)), 3)
	missing := w.upstreams[1]
	clear(missing.running) // this start never arrived
	w.takeOver()
	w.play(time.Second)
	is.Equal(w.jobs[jobID(1)].phase, ledger.Complete)
}

// TestUnlistedUpstreamHoldsBackItsTasks: registrations lapse while the log is
// away; a run that the log shows on an unlisted upstream may be alive.
func TestUnlistedUpstreamHoldsBackItsTasks(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, oneQueue(nil))
	w.add(2, wide)
	w.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{tasksOf(1, cores(1), 60_000)}})
	w.play(100 * time.Millisecond)
	holder := w.busy()
	w.takeOver()
	w.s.RemoveUpstream(holder.reg.ID) // nobody looked at it in this term
	delete(w.s.upstreams, holder.reg.ID)
	holder.down = true
	w.play(3 * time.Second) // the world reports a second run
	is.Equal(w.running(jobID(1)), 1)
	holder.down, holder.shown = false, false
	w.s.SetUpstream(w.now, holder.reg) // the registration is back
	w.play(time.Second)
	is.Equal(w.running(jobID(1)), 1)
	is.Equal(len(holder.running), 1)
}

// TestHeldTasksAreInherited: two owners in turn can't look at the upstream that
// runs a task; by the time of the second, the platform's list has dropped it.
func TestHeldTasksAreInherited(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, oneQueue(nil))
	w.add(2, wide)
	w.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{tasksOf(2, cores(20), 60_000)}})
	w.play(100 * time.Millisecond)
	holder := w.upstreams[0]
	w.takeOver(holder)
	w.upstreams[1].running = map[workload.TaskID]*simRun{} // changes the job's record
	w.play(2 * time.Second)
	w.s.RemoveUpstream(holder.reg.ID)
	holder.unlisted = true
	w.takeOver()
	w.play(4 * time.Second) // the world reports a second run
	is.Equal(w.running(jobID(1)), 2)
	is.Equal(len(holder.running), 1)
	clear(holder.running) // its lease has run out
	w.play(2 * time.Second)
	is.Equal(w.running(jobID(1)), 1) // the other upstream has room for one
}

// TestUnreachedUpstreamHoldsBackOnlyItsTasks: what the log does not show on an
// upstream that is not reached goes on at once after a takeover.
func TestUnreachedUpstreamHoldsBackOnlyItsTasks(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, oneQueue(nil))
	w.add(3, state.Vector{CPUMilli: 4000, MemoryMB: 64000})
	for i := range 10 {
		w.submit(&workload.Job{ID: jobID(i), Steps: []workload.Step{tasksOf(4, cores(1), 200)}})
	}
	w.play(100 * time.Millisecond)
	w.takeOver(w.upstreams[0])
	w.play(1500 * time.Millisecond)
	is.True(w.phases()[ledger.Complete] >= 9) // the tenth has tasks on the lost upstream
}

// TestOtherLifeAtTheAddressEndsTheRuns: the runs of an upstream whose address
// another one has taken over are started elsewhere at once.
func TestOtherLifeAtTheAddressEndsTheRuns(t *testing.T) {
	cases := []struct {
		name     string
		takeOver bool
	}{{name: "the same owner"}, {name: "a new owner", takeOver: true}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, oneQueue(nil))
			w.add(2, wide)
			w.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{tasksOf(1, cores(1), 300)}})
			w.play(100 * time.Millisecond)
			lost := w.busy()
			clear(lost.running)
			lost.down = true
			if c.takeOver {
				w.takeOver(lost)
			}
			w.s.Silent(lost.reg.ID)
			w.s.Lapsed(w.now, lost.reg.ID)
			w.play(500 * time.Millisecond)
			is.Equal(w.jobs[jobID(1)].phase, ledger.Complete)
		})
	}
}

// TestUnreachedRunsCountForTheirWorkspace: the world reports a workspace that
// runs more than its maximum.
func TestUnreachedRunsCountForTheirWorkspace(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, oneQueue(func(_ *workload.Queue, ws *workload.Workspace) { ws.Maximum = state.Vector{CPUMilli: 8000} }))
	w.add(2, state.Vector{CPUMilli: 8000, MemoryMB: 64000})
	w.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{tasksOf(8, cores(1), 60_000)}})
	w.play(100 * time.Millisecond)
	holder := w.busy()
	w.takeOver(holder)
	w.submit(&workload.Job{ID: jobID(2), Steps: []workload.Step{tasksOf(4, cores(1), 100)}})
	w.play(3 * time.Second)
	is.Equal(w.running(jobID(2)), 0)
	holder.down = false
	for _, id := range sortedTasks(holder.running) {
		w.end(holder, id, HowDone)
	}
	w.play(time.Second)
	is.Equal(w.jobs[jobID(2)].phase, ledger.Complete)
}

// TestUnreachedUpstreamHoldsBackAdoptedTasks: a task that may run where the new
// owner can't look is not started elsewhere until its lease must have ended.
func TestUnreachedUpstreamHoldsBackAdoptedTasks(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, oneQueue(nil))
	w.add(2, wide)
	w.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{tasksOf(1, cores(1), 60_000)}})
	w.play(100 * time.Millisecond)
	holder := w.busy()
	w.takeOver(holder)
	w.submit(&workload.Job{ID: jobID(2), Steps: []workload.Step{tasksOf(1, cores(1), 100)}})
	w.play(4 * time.Second)                           // the world reports a second run of the adopted task
	is.Equal(w.jobs[jobID(2)].phase, ledger.Complete) // new work goes on
	clear(holder.running)                             // its lease has run out
	w.play(2 * time.Second)
	is.Equal(w.running(jobID(1)), 1)
}
