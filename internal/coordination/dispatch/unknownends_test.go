package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/scheduler"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// TestEndsOfUnknownJobsAreKept guards against losing the end of a task whose job this owner
// does not know yet: once acknowledged, the upstream drops it, and the task would run again
// when the job arrives.
func TestEndsOfUnknownJobsAreKept(t *testing.T) {
	cases := []struct {
		name    string
		off     bool
		arrives bool
		wait    time.Duration
		// acks are the numbers that are acknowledged with the report, and after all.
		first, last int64
	}{
		{name: "job arrives", arrives: true, first: 2, last: 5},
		{name: "job does not arrive", wait: unknownEndTime + time.Second, first: 2, last: 5},
		{name: "job may still arrive", wait: unknownEndTime / 2, first: 2, last: 2},
		{name: "setting off", off: true, first: 5, last: 5},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			o := newListingOwner(t)
			o.startsWithoutRecord = !tt.off
			l := o.links["u0"]
			known, unknown := workload.JobID("00000000000000aa"), workload.JobID("00000000000000bb")
			end := func(number int64, job workload.JobID, index int) port.RunEnd {
				return port.RunEnd{Number: number, EndedRun: scheduler.EndedRun{Task: workload.TaskID{Job: job, Index: index}, Run: 7, Cause: scheduler.EndDone}}
			}
			report := port.RunReport{Ended: []port.RunEnd{end(2, known, 0), end(3, unknown, 0), end(4, known, 0), end(5, unknown, 1)}}
			o.runEvents()
			o.postReport("u0", l, &report, time.Now(), l.incarnation)
			o.runEvents()
			newest := func() (n int64) {
				for _, a := range o.acks {
					n = max(n, a.number)
				}
				return n
			}
			is.Equal(newest(), tt.first)
			if tt.arrives {
				job := &workload.Job{ID: unknown, Queue: "q", Workspace: "w", Steps: []workload.Step{{Count: 3, Each: state.Vector{CPUMilli: 100}}}}
				o.addNewJob(job, &ledger.JobState{}, false)
				starts := o.sched.Plan(o.now()).Starts
				is.Equal(len(starts), 1) // two of three tasks have ended
				is.Equal(starts[0].Task.Index, 2)
			}
			o.expireUnknownEnds(time.Now().Add(tt.wait))
			is.Equal(newest(), tt.last)
			is.Equal(len(o.unknownEnds) > 0, tt.last < 5)
		})
	}
}
