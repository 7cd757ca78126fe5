package dispatch

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
)

// reportingUpstream answers each poll with a report.
type reportingUpstream struct {
	port.Upstreams
	mu     sync.Mutex
	report port.RunReport
	// acknowledged is the number of the newest run end that a poll acknowledged.
	acknowledged int64
}

func (u *reportingUpstream) Poll(_ context.Context, _ port.Target, command port.PollCommand) (port.RunReport, port.Reply, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.acknowledged = max(u.acknowledged, command.LastRecorded)
	return u.report, port.Reply{}, nil
}

// acknowledgedUpTo returns the number of the newest run end that was acknowledged.
func (u *reportingUpstream) acknowledgedUpTo() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.acknowledged
}

// TestStartTimeThatBecomesKnownIsNoRestart guards against a second start of a task whose upstream's first registration lacks its start time.
func TestStartTimeThatBecomesKnownIsNoRestart(t *testing.T) {
	cases := []struct {
		name string
		// next is the start time in the registration that follows the one without.
		next int64
		kept bool
	}{
		{name: "the one of the first report", next: 77, kept: true},
		{name: "missing again", next: 0, kept: true},
		{name: "a later one", next: 99},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				o := newLossOwner(t)
				l := o.add(registered("u", 0))
				upstream := &reportingUpstream{report: port.RunReport{StartedUnixMS: 77, ClockMS: 5000}}
				o.upstreams = upstream
				is.Equal(o.pollOnce(t.Context(), "u", l, 0, true), pollSucceeded)
				o.runEvents()
				o.startOn(t, "u")
				o.updateUpstream(registered("u", c.next))
				upstream.report = port.RunReport{StartedUnixMS: max(77, c.next), ClockMS: 6000, Partial: true}
				is.Equal(o.pollOnce(t.Context(), "u", l, 0, true), pollSucceeded)
				o.runEvents()
				runs, _ := o.sched.HasRuns("u")
				is.Equal(runs, c.kept)
				is.Equal(len(o.sched.Plan(o.now()).Losses) == 0, c.kept)
				got, _ := o.sched.Registration("u")
				is.Equal(got.StartedUnixMS, max(77, c.next))
			})
		})
	}
}

// TestRestartIsSeenWithoutStartTimes guards against runs kept for an upstream whose clock began anew and whose start time is not known.
func TestRestartIsSeenWithoutStartTimes(t *testing.T) {
	for name, next := range map[string]int64{"known after the restart": 99, "never known": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				o := newLossOwner(t)
				l := o.add(registered("u", 0))
				upstream := &reportingUpstream{report: port.RunReport{ClockMS: 60_000}}
				o.upstreams = upstream
				is.Equal(o.pollOnce(t.Context(), "u", l, 0, true), pollSucceeded)
				o.runEvents()
				o.startOn(t, "u")
				upstream.report = port.RunReport{StartedUnixMS: next, ClockMS: 100, Partial: true}
				is.Equal(o.pollOnce(t.Context(), "u", l, 0, true), pollSucceeded)
				o.runEvents()
				runs, _ := o.sched.HasRuns("u")
				is.True(!runs)
				is.Equal(len(o.sched.Plan(o.now()).Losses), 1)
			})
		})
	}
}

// TestReportWithoutStartTimeProvesNothing guards against runs released, and ends acknowledged, on a report that may be a later incarnation's.
func TestReportWithoutStartTimeProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newLossOwner(t)
		l := o.add(registered("u", 77))
		o.startOn(t, "u")
		time.Sleep(time.Second)
		l.acknowledge(l.incarnation, 4)
		upstream := &reportingUpstream{report: port.RunReport{ClockMS: 60_000}}
		o.upstreams = upstream
		ctx, cancel := context.WithCancel(t.Context())
		go o.pollLoop(ctx, "u", l)
		for range 20 {
			time.Sleep(250 * time.Millisecond)
			o.runEvents()
		}
		runs, _ := o.sched.HasRuns("u")
		is.True(runs)
		is.Equal(upstream.acknowledgedUpTo(), int64(0))
		upstream.mu.Lock()
		upstream.report.StartedUnixMS = 77
		upstream.mu.Unlock()
		time.Sleep(5 * time.Second)
		o.runEvents()
		is.Equal(upstream.acknowledgedUpTo(), int64(4))
		runs, _ = o.sched.HasRuns("u")
		is.True(!runs) // the report of the known incarnation does not list the run
		cancel()
		synctest.Wait()
	})
}
