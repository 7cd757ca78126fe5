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

// lose has the owner lose contact to an upstream, whose runs end after their leases.
func (sim *simulation) lose(u *simUpstream, contact func(now state.Time, id workload.UpstreamID)) {
	u.down = true
	contact(sim.now, u.reg.ID)
	sim.advance(2 * time.Second)
	clear(u.running)
}

// expire removes a lost upstream from the list once its registration and its leases have expired.
func (sim *simulation) expire(u *simUpstream) {
	u.unlisted = true
	sim.s.RemoveUpstream(u.reg.ID)
	sim.s.ReleaseRuns(sim.now, u.reg.ID, LossExpired)
}

// rejoin lists an upstream again, as a new incarnation if restarted is set.
func (sim *simulation) rejoin(u *simUpstream, restarted bool) {
	u.down, u.unlisted, u.polled = false, false, false
	if restarted {
		u.reg.StartedUnixMS = sim.unix()
		u.ended, u.reportedEnds = nil, 0
		clear(u.revoked)
	}
	sim.s.SetUpstream(sim.now, u.reg)
}

// TestLostContactFailsNoJob guards against giving up jobs whose upstreams were lost for other causes than their tasks.
func TestLostContactFailsNoJob(t *testing.T) {
	cases := []struct {
		name string
		lose func(sim *simulation, u *simUpstream)
	}{
		{name: "cut off until the registration expires", lose: func(sim *simulation, u *simUpstream) {
			sim.lose(u, sim.s.MarkUnreachable)
			sim.expire(u)
			sim.advance(time.Second)
			sim.rejoin(u, false)
		}},
		{name: "restarted behind a cut", lose: func(sim *simulation, u *simUpstream) {
			sim.lose(u, sim.s.MarkUnreachable)
			sim.rejoin(u, true)
		}},
		{name: "replaced behind a cut", lose: func(sim *simulation, u *simUpstream) {
			sim.lose(u, sim.s.MarkUnreachable)
			sim.s.ReleaseRuns(sim.now, u.reg.ID, LossRestarted)
			sim.rejoin(u, false)
		}},
		{name: "connections rejected by the network until the registration expires", lose: func(sim *simulation, u *simUpstream) {
			sim.lose(u, sim.s.MarkClosed)
			sim.expire(u)
			sim.rejoin(u, false)
		}},
		{name: "restarted behind a cut that rejects connections, after the leases", lose: func(sim *simulation, u *simUpstream) {
			sim.lose(u, sim.s.MarkClosed)
			sim.advance(3 * time.Second)
			sim.rejoin(u, true)
		}},
		{name: "restarted together with others", lose: func(sim *simulation, u *simUpstream) {
			for _, other := range sim.upstreams {
				if other != u && other.reg.Rack() == u.reg.Rack() {
					sim.s.MarkClosed(sim.now, other.reg.ID) // runs no task of the job
					other.polled = false
				}
			}
			sim.lose(u, sim.s.MarkClosed)
			sim.rejoin(u, true)
		}},
		{name: "rejected, then cut off until the leases lapse, and restarted", lose: func(sim *simulation, u *simUpstream) {
			const unheard = 1500 * time.Millisecond // a poll is held open for as long
			u.down = true
			sim.advance(unheard)
			sim.s.MarkClosed(sim.now, u.reg.ID)
			sim.advance(simLease - unheard)
			clear(u.running)
			sim.advance(time.Second)
			sim.rejoin(u, true)
		}},
		{name: "silent at a takeover, and gone after it", lose: func(sim *simulation, u *simUpstream) {
			sim.takeOver(u)
			sim.s.RemoveUpstream(u.reg.ID)
			u.unlisted = true
			clear(u.running)
			sim.advance(6 * time.Second)
			sim.rejoin(u, false)
		}},
		{name: "run not reported after a takeover by an upstream that began after the job", lose: func(sim *simulation, u *simUpstream) {
			u.reg.StartedUnixMS = sim.jobs[jobID(1)].spec.SubmittedUnixMS + 1
			clear(u.running)
			sim.takeOver()
		}},
		{name: "restarted long after a start without an answer", lose: func(sim *simulation, u *simUpstream) {
			for id, r := range u.running {
				number := r.run
				for _, started := range sim.s.upstreams[u.reg.ID].runs {
					if started.Task == id && started.Number == number {
						started.accepted, started.phase = false, startUnconfirmed
					}
				}
			}
			sim.lose(u, sim.s.MarkClosed)
			sim.rejoin(u, true)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t, oneQueue(nil))
			for i := range 6 {
				sim.add(2, largeUpstream, fmt.Sprintf("r%d", i))
			}
			const tasks = 2
			sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{{Count: tasks, Each: cores(20), LongRunning: true}}})
			sim.advance(time.Second)
			for round := range 10 {
				c.lose(sim, sim.firstBusy())
				sim.advance(4 * time.Second)
				if phase := sim.phaseOf(jobID(1)); phase.Final() || sim.running(jobID(1)) != tasks {
					t.Fatalf("after %d losses the job is %s and has %d of %d tasks at work", round+1, phase, sim.running(jobID(1)), tasks)
				}
			}
			is.Equal(sim.phaseOf(jobID(1)), ledger.Running)
		})
	}
}

// TestCountsOfFormerReleaseFailNoJob guards against giving up jobs for cuts that a former release counted as crashes.
func TestCountsOfFormerReleaseFailNoJob(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(4, largeUpstream)
	crashes := sim.crashOn(func(workload.TaskID) (state.Time, bool) { return 0, false })
	sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{{Count: 1, Each: cores(1), LongRunning: true}}})
	sim.advance(time.Second)
	sim.record()
	recorded := sim.recorded[jobID(1)]
	recorded.Crashes = []ledger.TaskCrashes{{Certain: 1, Uncertain: 3, Shared: 2, BlamePercent: 200, Alone: true, AgeMS: 900}}
	sim.recorded[jobID(1)] = recorded
	sim.takeOver()
	sim.advance(time.Second)
	crashes.crash(sim.firstBusy())
	sim.advance(10 * time.Second)
	is.Equal(sim.phaseOf(jobID(1)), ledger.Running)
	is.Equal(sim.running(jobID(1)), 1)
}

// TestRestartedUpstreamStaysRemoved guards against starts on an upstream that has left the list and is polled for its runs.
func TestRestartedUpstreamStaysRemoved(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(1, largeUpstream)
	sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{{Count: 1, Each: cores(1), LongRunning: true}}})
	sim.advance(time.Second)
	u := sim.firstBusy()
	u.unlisted = true
	sim.s.RemoveUpstream(u.reg.ID)
	clear(u.running)
	sim.s.Restart(sim.now, u.reg.ID, sim.unix())
	is.Equal(len(sim.s.byService["s"]), 0)
	sim.advance(time.Second)
	is.Equal(sim.running(jobID(1)), 0)
}

// TestSilentUpstreamIsNoCrash guards against blaming tasks for an upstream that is only not reached.
func TestSilentUpstreamIsNoCrash(t *testing.T) {
	cases := []struct {
		name     string
		unlisted bool
		draining bool
		closed   bool
		cause    LossCause
		want     bool
	}{
		{name: "leases expired, listed", cause: LossExpired},
		{name: "leases expired, removed from the list", cause: LossExpired, unlisted: true},
		{name: "connections closed, leases expired, listed", cause: LossExpired, closed: true, want: true},
		{name: "connections closed, leases expired, removed from the list", cause: LossExpired, closed: true, unlisted: true, want: true},
		{name: "silent, then restarted", cause: LossRestarted},
		{name: "restarted", cause: LossRestarted, closed: true, want: true},
		{name: "restarted after it drained", cause: LossRestarted, closed: true, draining: true},
		{name: "left after it drained", cause: LossExpired, closed: true, draining: true, unlisted: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t, oneQueue(nil))
			sim.add(2, largeUpstream)
			sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{tasksOf(1, cores(1), 60_000)}})
			sim.advance(100 * time.Millisecond)
			u := sim.firstBusy()
			if c.draining {
				u.reg.Draining, u.reg.RemainingMS = true, 60_000
				sim.s.SetUpstream(sim.now, u.reg)
			}
			u.down = true
			if c.closed {
				sim.s.MarkClosed(sim.now, u.reg.ID)
			} else {
				sim.s.MarkUnreachable(sim.now, u.reg.ID)
			}
			if c.unlisted {
				u.unlisted = true
				sim.s.RemoveUpstream(u.reg.ID)
			}
			sim.s.ReleaseRuns(sim.now, u.reg.ID, c.cause)
			is.Equal(!sim.s.jobs[jobID(1)].steps[0][0].tasks[0].crashes.Empty(), c.want)
		})
	}
}

// TestAdoptedRunsAreNotTakenForNew guards against giving up a job for rejected connections right after takeovers.
func TestAdoptedRunsAreNotTakenForNew(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(8, largeUpstream)
	sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{{Count: 1, Each: cores(1), LongRunning: true}}})
	sim.advance(time.Second)
	for round := range 5 {
		sim.advance(6 * time.Second)
		sim.record()
		u := sim.firstBusy()
		sim.takeOver()
		sim.advance(100 * time.Millisecond)
		sim.lose(u, sim.s.MarkClosed)
		sim.advance(3 * time.Second)
		sim.expire(u)
		sim.advance(4 * time.Second)
		t.Logf("round %d: %s", round+1, sim.phaseOf(jobID(1)))
		is.Equal(sim.running(jobID(1)), 1)
	}
	is.Equal(sim.phaseOf(jobID(1)), ledger.Running)
}
