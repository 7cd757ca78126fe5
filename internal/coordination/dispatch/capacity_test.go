package dispatch

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/state/scheduler"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// capacityLimit is short enough for a test and longer than a read of the registrations waits.
const capacityLimit = 3 * time.Second

// TestStartsWaitForRecentCapacities guards against starts that exceed a capacity which the owner has not read for too long.
func TestStartsWaitForRecentCapacities(t *testing.T) {
	e := newLimitedSystem(t, 0, capacityLimit)
	e.fleet.SetCapacityBound(capacityLimit)
	e.own()
	e.NoErr(e.job(firstJob, 4, false))
	e.await("the first job is complete", e.completed(firstJob))
	e.log.registrations.close()
	e.await("a read of the registrations waits", func() bool { return e.log.registrations.waiting.Load() > 0 })
	for _, r := range e.runners {
		r.SetCapacity(1000) // a task needs 2 cores
	}
	time.Sleep(capacityLimit)
	e.NoErr(e.job(secondJob, 4, false))
	e.await("starts are held", func() bool { return strings.Contains(e.out.String(), "view=capacities") })
	time.Sleep(200 * time.Millisecond)
	e.Equal(e.starts(secondJob, 4), 0)
	e.log.registrations.open()
	e.await("the starts are withdrawn", func() bool { return strings.Contains(e.out.String(), "start withdrawn: the upstream has shrunk") })
	e.Equal(e.starts(secondJob, 4), 0)
	for _, r := range e.runners {
		r.SetCapacity(8000)
	}
	e.await("the second job is complete", e.completed(secondJob))
	e.checkNoProblems()
}

// partialReads serves reads of the registrations that do not reach their end.
type partialReads struct {
	port.Log
	end int64
}

func (l *partialReads) NewestPage(context.Context, port.Topic, string) (port.Batch, error) {
	return port.Batch{}, nil
}

func (l *partialReads) Read(_ context.Context, _ port.Topic, from int64, _ time.Duration) (port.Batch, error) {
	time.Sleep(10 * time.Millisecond)
	return port.Batch{Next: min(from+1, l.end), End: l.end}, nil
}

// TestPartialReadOfCapacitiesIsNotRecent guards against an owner that takes reads for recent which lag behind the log.
func TestPartialReadOfCapacitiesIsNotRecent(t *testing.T) {
	for _, c := range []struct {
		name  string
		end   int64
		until time.Duration
		want  bool
	}{{"behind", 1 << 30, 10 * time.Second, false}, {"at the end", 10, 10 * time.Second, true}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				base := time.Now().Add(-time.Hour)
				clock := func() time.Duration { return time.Since(base) }
				config := &workload.Config{}
				config.Index()
				o := &owner{
					ownerDeps: &ownerDeps{log: &partialReads{end: c.end}, clock: clock, capacityLimit: capacityLimit},
					signal:    make(chan struct{}, 1), sched: scheduler.New(config, scheduler.Options{}),
				}
				o.registrationsAt = o.clock()
				ctx, cancel := context.WithCancel(t.Context())
				go o.followUpstreams(ctx)
				for began := time.Now(); time.Since(began) < c.until; time.Sleep(time.Second) {
					o.runEvents()
				}
				is.Equal(o.mayStart(), c.want)
				cancel()
				synctest.Wait()
			})
		})
	}
}
