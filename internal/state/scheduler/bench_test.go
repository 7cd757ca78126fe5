package scheduler

import (
	"testing"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// BenchmarkPlanBacklog plans while 400 jobs wait and no upstream has capacity for them.
func BenchmarkPlanBacklog(b *testing.B) {
	sim := newSimulation(b, oneQueue(func(q *workload.Queue, _ *workload.Workspace) {
		q.Advice = &workload.Advice{DecisionMS: 11, PerUpstreamMS: 0.15, ValidMS: 1500}
	}))
	sim.add(48, state.Vector{CPUMilli: 32000, MemoryMB: 64000})
	for i := range 600 {
		sim.submit(&workload.Job{ID: jobID(i), Steps: []workload.Step{{Count: 6, Each: cores(3), EstimateMS: 60_000}}})
	}
	sim.advance(2 * time.Second)
	b.ResetTimer()
	for b.Loop() {
		sim.s.Plan(sim.now)
	}
}
