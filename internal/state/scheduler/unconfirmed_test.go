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

// TestReportCountsFromTheTimeOfTheAnswer guards against a lost start that waits for a long poll twice:
// the poll that is requested at its time-out, or when its stop is acknowledged, leaves in the same
// instant. A poll that was sent before does not show what its upstream has done since.
func TestReportCountsFromTheTimeOfTheAnswer(t *testing.T) {
	for _, c := range []struct {
		name   string
		after  state.Time
		counts bool
	}{
		{"sent before", -1, false},
		{"sent in the same instant", 0, true},
		{"sent after", 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			const lostAt, stoppedAt = 150 * time.Millisecond, 300 * time.Millisecond
			s, id := sentRun(t)
			s.StartResult(lostAt, id, Unconfirmed)
			s.ApplyReport(lostAt+2*time.Millisecond, id.Upstream, RunReport{SentAt: lostAt + c.after})
			is.Equal(len(s.Plan(lostAt+2*time.Millisecond).Stops) == 1, c.counts) // the start is revoked

			s.ApplyReport(stoppedAt-time.Millisecond, id.Upstream, RunReport{SentAt: stoppedAt - time.Millisecond})
			s.Plan(stoppedAt - time.Millisecond)
			s.StopResult(stoppedAt, id, true)
			s.ApplyReport(stoppedAt+2*time.Millisecond, id.Upstream, RunReport{SentAt: stoppedAt + c.after})
			is.Equal(s.find(id) == nil, c.counts) // the task may run elsewhere
		})
	}
}
