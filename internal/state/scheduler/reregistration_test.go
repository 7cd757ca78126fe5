package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// TestRemovedUpstreamIsUsedOnceItRestarts guards against an upstream that is planned with but not known, because its former incarnation's runs were the last to hold it.
func TestRemovedUpstreamIsUsedOnceItRestarts(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(1, largeUpstream)
	sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{{Count: 1, Each: cores(1), LongRunning: true}}})
	sim.advance(time.Second)
	u := sim.firstBusy()
	u.unlisted = true
	sim.s.RemoveUpstream(u.reg.ID)
	clear(u.running)
	sim.rejoin(u, true)
	got, ok := sim.s.Registration(u.reg.ID)
	is.True(ok)
	is.Equal(got.StartedUnixMS, u.reg.StartedUnixMS)
	is.Equal(len(sim.s.byService["s"]), 1)
	sim.advance(time.Second)
	is.Equal(sim.running(jobID(1)), 1)
}
