package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// TestInheritedLeaseEnds guards against waits for leases that have ended, and against relying on their
// recorded end once this owner may have renewed them.
func TestInheritedLeaseEnds(t *testing.T) {
	cases := []struct {
		name   string
		change func(s *Scheduler)
		want   state.Time
	}{
		{name: "not reached", change: func(*Scheduler) {}, want: 3 * time.Second},
		{name: "not reached, not registered", change: func(s *Scheduler) { s.RemoveUpstream("lost") }, want: 3 * time.Second},
		{name: "partial report", change: func(s *Scheduler) {
			s.ApplyReport(time.Second, "lost", RunReport{SentAt: time.Second, Partial: true})
			s.MarkUnreachable(time.Second, "lost")
		}, want: 10 * time.Second},
		{name: "complete report", change: func(s *Scheduler) { s.ApplyReport(time.Second, "lost", RunReport{SentAt: time.Second}) }, want: time.Second},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			config := oneQueue(nil)
			config.Index()
			s := New(config, Options{FirstRun: 10_000, UnconfirmedUntil: 10 * time.Second, LeaseEnds: map[workload.UpstreamID]state.Time{"lost": 3 * time.Second}})
			recorded := &ledger.JobState{Steps: []ledger.StepState{{Tasks: []ledger.TaskState{{Run: 7, Upstream: "lost"}}}}}
			s.AddJob(0, 1000, &workload.Job{ID: jobID(1), Queue: "q", Workspace: "w", Steps: []workload.Step{tasksOf(1, cores(1), 100)}}, recorded, false)
			s.InheritJobs()
			for _, id := range []workload.UpstreamID{"u", "lost"} {
				s.SetUpstream(0, workload.Upstream{ID: id, Service: "s", Capacity: largeUpstream})
			}
			s.ApplyReport(0, "u", RunReport{})
			is.True(s.MayHaveRuns("lost"))
			tt.change(s)
			for now := time.Second; now < 12*time.Second; now += 100 * time.Millisecond {
				if len(s.Plan(now).Starts) > 0 {
					is.Equal(now, tt.want)
					return
				}
			}
			t.Error("the task was not started")
		})
	}
}
