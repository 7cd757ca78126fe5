package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// TestTaskThatFailsByItselfEndsItsTrials guards against a failing task that takes the trials of its workspace for ever.
func TestTaskThatFailsByItselfEndsItsTrials(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(4, largeUpstream)
	crashes := sim.crashOn(func(workload.TaskID) (state.Time, bool) { return 0, false })
	task := workload.TaskID{Job: jobID(1)}
	sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{{Count: 1, Each: cores(1), LongRunning: true}}})
	sim.advance(time.Second)
	crashes.crash(sim.firstBusy())
	trials := 0
	for range 5 {
		sim.advance(5 * time.Second)
		if len(sim.s.trials) > 0 || sim.s.jobs[jobID(1)].steps[0][0].tasks[0].isolated {
			trials++
		}
		sim.end(sim.firstBusy(), task, EndFailed)
	}
	is.True(trials <= 1)
	sim.advance(time.Second)
	is.Equal(sim.running(jobID(1)), 1)
}

// TestTrialDelaysNoOtherTaskOfTheJob guards against tasks that wait while another one of their job is tried alone.
func TestTrialDelaysNoOtherTaskOfTheJob(t *testing.T) {
	cases := []struct {
		name string
		// failEvery is the time after which the suspected task fails by itself, 0 for never.
		failEvery state.Time
	}{{name: "the suspect runs on"}, {name: "the suspect fails again and again", failEvery: 2 * time.Second}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t, oneQueue(nil))
			sim.add(8, largeUpstream)
			crashes := sim.crashOn(func(workload.TaskID) (state.Time, bool) { return 0, false })
			sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{{Count: 2, Each: cores(1), LongRunning: true, MaxPerUpstream: 1}}})
			sim.advance(5 * time.Second)
			suspect, other := workload.TaskID{Job: jobID(1)}, workload.TaskID{Job: jobID(1), Index: 1}
			holder := func(id workload.TaskID) *simUpstream {
				for _, u := range sim.upstreams {
					if u.running[id] != nil {
						return u
					}
				}
				return nil
			}
			crashes.crash(holder(suspect))
			sim.advance(3500 * time.Millisecond)
			is.True(holder(suspect) != nil) // on trial
			for range 10 {
				u := holder(other)
				is.True(u != nil)
				sim.end(u, other, EndFailed)
				for waited := state.Time(0); waited < time.Second; waited += 100 * time.Millisecond {
					sim.advance(100 * time.Millisecond)
				}
				is.True(holder(other) != nil) // no trial holds it back
				if u := holder(suspect); u != nil && c.failEvery > 0 {
					sim.end(u, suspect, EndFailed)
					sim.advance(c.failEvery)
				}
			}
		})
	}
}

// TestTrialLastsBesideOlderRunsOfTheJob guards against a trial that ends and begins with each plan while its task can't be started.
func TestTrialLastsBesideOlderRunsOfTheJob(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(1, state.Vector{CPUMilli: 2000, MemoryMB: 8000})
	sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{tasksOf(2, cores(1), 60_000)}})
	sim.advance(15 * time.Second)
	suspect, u := workload.TaskID{Job: jobID(1)}, sim.upstreams[0]
	sim.resize(u, state.Vector{CPUMilli: 1000, MemoryMB: 8000}) // the other task needs it all
	end := EndedRun{Task: suspect, Run: u.running[suspect].run, Cause: EndFailed}
	sim.s.ApplyReport(sim.now, u.reg.ID, RunReport{SentAt: sim.now, Ended: []EndedRun{end}, Partial: true})
	sim.s.task(suspect).isolated = true
	trials := 0
	for range 10 {
		sim.now += 50 * time.Millisecond
		trials += len(sim.s.Plan(sim.now).Trials)
	}
	is.Equal(trials, 1)
}
