package scheduler

import (
	"testing"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// TestGangLostBeforeItsStartIsReleasedOnce guards against a workspace that may exceed its quota after an upstream restarted.
func TestGangLostBeforeItsStartIsReleasedOnce(t *testing.T) {
	cases := []struct {
		name string
		lose func(sim *simulation, u *simUpstream)
	}{
		{name: "new incarnation", lose: func(sim *simulation, u *simUpstream) {
			u.reg.StartedUnixMS++
			sim.s.SetUpstream(sim.now, u.reg)
		}},
		{name: "runs declared lost", lose: func(sim *simulation, u *simUpstream) { sim.s.ReleaseRuns(sim.now, u.reg.ID, LossExpired) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t, oneQueue(func(_ *workload.Queue, ws *workload.Workspace) { ws.Maximum = state.Vector{CPUMilli: 24_000} }))
			sim.add(1, largeUpstream)
			sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{{Count: 3, Each: cores(2), EstimateMS: 500, Gang: true}}})
			is.Equal(len(sim.s.Plan(sim.now).Starts), 3) // not sent yet
			c.lose(sim, sim.upstreams[0])
			is.Equal(sim.s.used["w"], state.Vector{})
		})
	}
}
