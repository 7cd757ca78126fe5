package dispatch

import (
	"context"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/scheduler"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// lossOwner is an owner with one lasting job, for tests that call what the poll loops and the
// follower of registrations call.
type lossOwner struct{ *owner }

func newLossOwner(t *testing.T) lossOwner {
	t.Helper()
	base := time.Now()
	config := &workload.Config{
		Queues: []workload.Queue{{Name: "q", Service: "s"}}, Workspaces: []workload.Workspace{{Name: "w", Weight: 1}},
		Services: []workload.Service{{Name: "s"}},
	}
	config.Index()
	registry := metrics.NewRegistry()
	o := &owner{
		ownerDeps: &ownerDeps{
			logger: hclog.NewNullLogger(), clock: func() time.Duration { return time.Since(base) },
			metrics: ownerMetrics{ends: metrics.NewCounter(), lostPolls: metrics.NewCounter(), capacity: newCapacityMetrics(registry), losses: newLossMetrics(registry)},
		},
		base: base, ctx: t.Context(), signal: make(chan struct{}, 1), links: map[workload.UpstreamID]*link{},
		expired: map[workload.UpstreamID]struct{}{}, invalid: map[workload.UpstreamID]struct{}{},
		sched: scheduler.New(config, scheduler.Options{FirstRun: 1, Lease: 5150 * time.Millisecond}),
	}
	time.Sleep(time.Minute)
	job := &workload.Job{ID: "0000000000000001", Queue: "q", Workspace: "w", Steps: []workload.Step{{Count: 1, Each: state.Vector{CPUMilli: 1000}, LongRunning: true}}}
	o.sched.AddJob(o.now(), 1, job, &ledger.JobState{}, false)
	return lossOwner{o}
}

// registered returns the registration of an upstream that began at a time.
func registered(id workload.UpstreamID, startedUnixMS int64) workload.Upstream {
	return workload.Upstream{ID: id, Service: "s", Address: "10.0.0.1:80", Capacity: state.Vector{CPUMilli: 8000, MemoryMB: 8000}, StartedUnixMS: startedUnixMS}
}

// add adds an upstream, which has a link but no poll loop.
func (o lossOwner) add(reg workload.Upstream) *link {
	if o.links[reg.ID] == nil {
		o.links[reg.ID] = newLink()
	}
	o.updateUpstream(reg)
	return o.links[reg.ID]
}

// startOn has an upstream answer polls until the job's task runs there.
func (o lossOwner) startOn(t *testing.T, id workload.UpstreamID) {
	t.Helper()
	for range 200 {
		o.sched.RegistrationsRead(o.now())
		o.sched.ApplyReport(o.now(), id, scheduler.RunReport{SentAt: o.now()})
		o.links[id].recordPoll(time.Now(), 0, true)
		if starts := o.sched.Plan(o.now()).Starts; len(starts) == 1 {
			o.sched.MarkSent(o.now(), starts[0].Run)
			o.sched.StartResult(o.now(), starts[0].Run, scheduler.Accepted)
			return
		}
		time.Sleep(50 * time.Millisecond) // a suspected task waits for its trial
	}
	t.Fatal("the task was not started")
}

// refuse records that the connection to an upstream was refused, before its leases have expired.
func (o lossOwner) refuse(id workload.UpstreamID) {
	o.links[id].leasesEndAt = time.Now().Add(4 * time.Second)
	o.recordPollFailure(id, o.links[id], port.Reply{Outcome: scheduler.Unhealthy, NotListening: true}, nil)
	o.runEvents()
}

// restart records that an upstream's next incarnation answered a poll.
func (o lossOwner) restart(id workload.UpstreamID, startedUnixMS int64) {
	o.beginIncarnation(id, o.links[id], &port.RunReport{StartedUnixMS: startedUnixMS, ClockMS: 100}, time.Now())
	o.runEvents()
}

// TestLaterRegistrationHidesNoAnnouncedLeave guards against a crash counted for an upstream that announced its leave and registered again.
func TestLaterRegistrationHidesNoAnnouncedLeave(t *testing.T) {
	for name, registersFirst := range map[string]bool{"registered before its end is seen": true, "registered after its end is seen": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				o := newLossOwner(t)
				for _, id := range []workload.UpstreamID{"u", "v"} {
					reg := registered(id, 1)
					l := o.add(reg)
					o.startOn(t, id)
					time.Sleep(time.Second)
					draining := reg
					draining.Draining, draining.RemainingMS = true, 2000
					o.updateUpstream(draining)
					l.recordPoll(time.Now(), 0, true)
					time.Sleep(2500 * time.Millisecond)
					o.sched.RegistrationsRead(o.now())
					reg.StartedUnixMS += 5000
					if registersFirst {
						o.updateUpstream(reg)
						o.refuse(id)
					} else {
						o.refuse(id)
						o.updateUpstream(reg)
					}
					p := o.sched.Plan(o.now())
					is.Equal(len(p.Losses), 1)
					is.True(p.Losses[0].Draining)
					is.True(!p.Losses[0].Crash)
					is.Equal(len(p.GivenUp), 0)
					now, _ := o.sched.Registration(id)
					is.Equal(now, reg) // the registration of the new incarnation applies
				}
			})
		})
	}
}

// TestLaterRegistrationAppliesOnceConfirmed guards against a registration that is lost or applied to the former incarnation.
func TestLaterRegistrationAppliesOnceConfirmed(t *testing.T) {
	later := registered("u", 9)
	later.Address, later.Capacity, later.Domain = "10.0.0.2:80", state.Vector{CPUMilli: 500, MemoryMB: 16_000}, "z2"
	limited := registered("u", 5)
	limited.Capacity = state.Vector{CPUMilli: 500, MemoryMB: 8000}
	cases := []struct {
		name    string
		confirm func(o lossOwner)
		want    workload.Upstream
	}{
		{name: "not confirmed", confirm: func(lossOwner) {}, want: limited},
		{name: "the later incarnation answers", confirm: func(o lossOwner) { o.restart("u", 9) }, want: later},
		{name: "the known one is lost", confirm: func(o lossOwner) { o.refuse("u") }, want: later},
		{
			name: "an incarnation between them answers", confirm: func(o lossOwner) { o.restart("u", 7) },
			want: func() workload.Upstream { u := limited; u.StartedUnixMS = 7; return u }(),
		},
		{name: "the known one registers again", confirm: func(o lossOwner) { o.updateUpstream(registered("u", 5)) }, want: registered("u", 5)},
		{name: "the later one is removed, then the known one lost", confirm: func(o lossOwner) {
			o.removeUpstream("u")
			o.refuse("u")
		}, want: limited},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				o := newLossOwner(t)
				l := o.add(registered("u", 5))
				o.startOn(t, "u")
				o.updateUpstream(later)
				o.updateUpstream(later) // each heartbeat repeats it
				c.confirm(o)
				got, ok := o.sched.Registration("u")
				is.True(ok)
				is.Equal(got, c.want)
				is.Equal(l.target.Address, c.want.Address)
			})
		})
	}
}

// TestDeferredRegistrationOfForgottenUpstreamApplies guards against a registration that is lost with the link of an incarnation that has ended.
func TestDeferredRegistrationOfForgottenUpstreamApplies(t *testing.T) {
	for _, removed := range []bool{false, true} {
		t.Run(fmt.Sprintf("removed later: %v", removed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				o := newLossOwner(t)
				ctx, cancel := context.WithCancel(t.Context())
				cancel()
				l := o.add(registered("u", 5))
				o.startOn(t, "u")
				o.removeUpstream("u")                // kept off the list for its run
				o.updateUpstream(registered("u", 9)) // deferred
				o.ctx = ctx                          // no polls
				o.restart("u", 7)
				_, known := o.sched.Registration("u")
				is.True(known)
				if !removed {
					return
				}
				o.removeUpstream("u")
				o.recordPollFailure("u", l, port.Reply{}, os.ErrDeadlineExceeded) // of the former link
				o.runEvents()
				_, known = o.sched.Registration("u")
				is.True(!known)
			})
		})
	}
}

// TestUpstreamWithInvalidEntryIsNotKeptAfterAnOutage guards against starts on an upstream whose newest entry is invalid, right after the log was down.
func TestUpstreamWithInvalidEntryIsNotKeptAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newLossOwner(t)
		l := o.add(registered("u", 5))
		l.recordPoll(time.Now(), 0, true)
		o.noteLogReturn(outageTime)
		o.rejectRegistration("u", 7, os.ErrInvalid)
		_, known := o.sched.Registration("u")
		is.True(!known)
	})
}
