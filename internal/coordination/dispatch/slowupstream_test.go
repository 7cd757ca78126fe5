package dispatch

import (
	"context"
	"math"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/samphirerail/samphirerail/internal/coordination/bootclock"
	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/coordination/replica"
	"github.com/samphirerail/samphirerail/internal/state/scheduler"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// delayedUpstream executes each poll after half of its delay, holds it for as long as the poll
// allows, and responds after the other half.
type delayedUpstream struct {
	port.Upstreams
	began time.Time
	delay atomic.Int64 // in nanoseconds
	// leaseEnd is the end of the lease on the upstream's clock; lapsed is set once it has
	// passed.
	leaseEnd int64
	lapsed   atomic.Bool
}

func (u *delayedUpstream) clock() int64 { return 1000 + time.Since(u.began).Milliseconds() }

func (u *delayedUpstream) Poll(ctx context.Context, _ port.Target, command port.PollCommand) (port.RunReport, port.Reply, error) {
	delay := time.Duration(u.delay.Load())
	time.Sleep(delay / 2)
	if u.leaseEnd > 0 && u.clock() > u.leaseEnd {
		u.lapsed.Store(true)
	}
	u.leaseEnd = max(u.leaseEnd, command.DeadlineMS)
	select {
	case <-time.After(command.Wait + delay/2):
		return port.RunReport{ClockMS: u.clock()}, port.Reply{Outcome: scheduler.Accepted}, nil
	case <-ctx.Done():
		return port.RunReport{}, port.Reply{}, ctx.Err()
	}
}

// TestSlowUpstreamKeepsItsLease guards against the loss of everything that runs on an
// upstream that is only slow to respond: polls that time out renew no lease.
func TestSlowUpstreamKeepsItsLease(t *testing.T) {
	for _, delay := range []time.Duration{10 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &delayedUpstream{began: time.Now()}
				u.delay.Store(int64(10 * time.Millisecond))
				o := &owner{
					ownerDeps: &ownerDeps{upstreams: u, lease: 5 * time.Second, logger: hclog.NewNullLogger(), clock: bootclock.Now},
					base:      time.Now(), signal: make(chan struct{}, 1), links: map[workload.UpstreamID]*link{},
				}
				o.replica = replica.New(nil, nil, hclog.NewNullLogger(), metrics.NewRegistry())
				o.contactAt.Store(math.MaxInt64 / 2) // the owner keeps its contact to the log
				l := newLink()
				l.active = true
				ctx, cancel := context.WithCancel(t.Context())
				o.ctx = ctx
				done := make(chan struct{})
				go func() { o.pollLoop(ctx, "u", l); close(done) }()
				time.Sleep(3 * time.Second)
				u.delay.Store(int64(delay))
				time.Sleep(time.Minute)
				if u.lapsed.Load() {
					t.Errorf("the lease of an upstream that responds after %s has expired", delay)
				}
				cancel()
				<-done
			})
		})
	}
}
