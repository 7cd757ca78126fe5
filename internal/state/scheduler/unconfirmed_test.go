package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// TestStartsLostTogetherDoNotKeepTasksWaiting guards against upstreams that get no work for long after one lost batch of starts.
func TestStartsLostTogetherDoNotKeepTasksWaiting(t *testing.T) {
	for _, perUpstream := range []int{2, 6, 24} {
		t.Run(fmt.Sprintf("%d starts for each upstream", perUpstream), func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t, oneQueue(nil))
			sim.add(3, state.Vector{CPUMilli: 64_000, MemoryMB: 256_000})
			var lost []Start
			sim.onStart = func(start Start) { lost = append(lost, start) }
			sim.lostResponseRate = 1
			sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{{Count: 3 * perUpstream, Each: cores(1), LongRunning: true, MaxPerUpstream: perUpstream}}})
			sim.advance(5 * time.Millisecond)
			is.Equal(len(lost), 3*perUpstream)
			sim.events, sim.lostResponseRate, sim.onStart = nil, 0, nil
			for _, start := range lost {
				sim.s.StartResult(sim.now, start.Run, Unconfirmed)
			}
			for range 20 {
				for _, u := range sim.upstreams {
					u.polled = false
				}
				sim.advance(50 * time.Millisecond)
			}
			is.Equal(sim.running(jobID(1)), 3*perUpstream)
		})
	}
}
