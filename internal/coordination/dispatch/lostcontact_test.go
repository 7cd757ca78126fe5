package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/scheduler"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// TestOnlyAnEndedProcessIsACrash guards against blaming tasks for upstreams that were cut off or left unnoticed.
func TestOnlyAnEndedProcessIsACrash(t *testing.T) {
	cases := []struct {
		name     string
		failures []pollFailure
		// read is the age of the newest read of the registrations.
		read time.Duration
		// readLater says that they are read again between the failures.
		readLater bool
		want      bool
	}{
		{name: "closed, then replaced", failures: []pollFailure{{closed: true}, {replaced: true}}, want: true},
		{name: "silent, then replaced", failures: []pollFailure{{}, {replaced: true}}},
		{name: "silent, then closed and replaced", failures: []pollFailure{{}, {closed: true}, {replaced: true}}},
		{name: "replaced unnoticed", failures: []pollFailure{{replaced: true}}},
		{name: "closed while the registrations are not read", failures: []pollFailure{{closed: true}, {replaced: true}}, read: 3 * time.Second},
		{name: "closed while the registrations are not read, read before it is replaced", failures: []pollFailure{{closed: true}, {replaced: true}}, read: 3 * time.Second, readLater: true, want: true},
		{name: "silent until the leases expire", failures: []pollFailure{{}, {leasesExpired: true}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				base := time.Now()
				config := &workload.Config{
					Queues: []workload.Queue{{Name: "q", Service: "s"}}, Workspaces: []workload.Workspace{{Name: "w", Weight: 1}},
					Services: []workload.Service{{Name: "s"}},
				}
				config.Index()
				o := &owner{
					ownerDeps: &ownerDeps{logger: hclog.NewNullLogger(), clock: func() time.Duration { return time.Since(base) }},
					base:      base, ctx: t.Context(), signal: make(chan struct{}, 1), links: map[workload.UpstreamID]*link{"u": newLink()},
					sched: scheduler.New(config, scheduler.Options{FirstRun: 1}),
				}
				time.Sleep(time.Minute)
				o.sched.RegistrationsRead(o.now() - c.read)
				room := state.Vector{CPUMilli: 8000, MemoryMB: 8000}
				o.sched.SetUpstream(o.now(), workload.Upstream{ID: "u", Service: "s", Capacity: room, StartedUnixMS: 1})
				o.sched.ApplyReport(o.now(), "u", scheduler.RunReport{SentAt: o.now()})
				job := &workload.Job{ID: "0000000000000001", Queue: "q", Workspace: "w", Steps: []workload.Step{{Count: 1, Each: state.Vector{CPUMilli: 1000}, LongRunning: true}}}
				o.sched.AddJob(o.now(), 1, job, &ledger.JobState{}, false)
				starts := o.sched.Plan(o.now()).Starts
				is.Equal(len(starts), 1)
				is.True(o.sched.MarkSent(o.now(), starts[0].Run))
				o.sched.StartResult(o.now(), starts[0].Run, scheduler.Accepted)
				o.sched.RemoveUpstream("u")
				for _, f := range c.failures {
					o.handlePollFailure("u", o.links["u"], f)
					if c.readLater {
						o.sched.RegistrationsRead(o.now())
					}
				}
				losses := o.sched.Plan(o.now()).Losses
				is.Equal(len(losses), 1)
				is.Equal(losses[0].Crash, c.want)
			})
		})
	}
}
