package scheduler

import (
	"testing"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// BenchmarkPlanBacklog plans with 400 waiting jobs for which there is no room.
func BenchmarkPlanBacklog(b *testing.B) {
	w := newWorld(b, oneQueue(func(q *workload.Queue, _ *workload.Workspace) {
		q.Advice = &workload.Advice{DecisionMS: 11, PerUpstreamMS: 0.15, ValidMS: 1500}
	}))
	w.add(48, state.Vector{CPUMilli: 32000, MemoryMB: 64000})
	for i := range 600 {
		w.submit(&workload.Job{ID: jobID(i), Steps: []workload.Step{{Count: 6, Each: cores(3), EstimateMS: 60_000}}})
	}
	w.play(2 * time.Second)
	b.ResetTimer()
	for b.Loop() {
		w.s.Plan(w.now)
	}
}
