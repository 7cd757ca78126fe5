package dispatch

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state/ledger"
)

// TestStartsOfWideJobsWaitForConnections guards against thousands of starts at once, which time out without being sent
// and take an owner over its memory limit.
func TestStartsOfWideJobsWaitForConnections(t *testing.T) {
	const jobs, tasks, upstreams = 4, 2500, 14
	withOwner(t, func(p *fakePlatform) { p.addUpstreams(upstreams); p.callTime = 5 * time.Millisecond }, func(p *fakePlatform, e *fakeEntry) {
		is := is.New(t)
		for i := range jobs {
			is.NoErr(p.record(e, newJob(1+i, tasks, 20_000, 10)))
		}
		gang := newJob(9, 200, 1000, 10)
		gang.Steps[0].Gang = true
		is.NoErr(p.record(e, gang))
		time.Sleep(10 * time.Second)
		p.mu.Lock()
		defer p.mu.Unlock()
		total, most := 0, 0
		for _, u := range p.upstreams {
			most = max(most, u.mostInFlight)
			total += u.mostInFlight
		}
		is.True(most <= maxCommandsPerUpstream)
		is.True(total <= maxCommands)
		is.Equal(len(p.starts), jobs*tasks+200) // each once
		var began []time.Time
		for _, s := range p.starts {
			if s.run.Task.Job == gang.ID {
				began = append(began, s.at)
			}
		}
		is.True(slices.MaxFunc(began, time.Time.Compare).Sub(slices.MinFunc(began, time.Time.Compare)) < time.Second) // members wait 3 s for each other
	})
}

// TestStopsAreSentBeforeWaitingStarts guards against runs of a cancelled job that go on because the starts of others wait for
// their turn before their stops.
func TestStopsAreSentBeforeWaitingStarts(t *testing.T) {
	withOwner(t, func(p *fakePlatform) { p.addUpstreams(4); p.callTime = 100 * time.Millisecond }, func(p *fakePlatform, e *fakeEntry) {
		is := is.New(t)
		cancelled := newJob(1, 20, 60_000, 10)
		is.NoErr(p.record(e, cancelled))
		time.Sleep(time.Second)
		is.NoErr(p.record(e, newJob(2, 2500, 60_000, 10))) // 8 s of starts on each upstream
		time.Sleep(300 * time.Millisecond)
		record, err := ledger.CancelRecord(cancelled.ID, 7)
		is.NoErr(err)
		is.NoErr(e.manager.Record(context.Background(), record))
		time.Sleep(time.Second)
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, u := range p.upstreams {
			p.advance(u)
			for task := range u.runs {
				is.True(task.Job != cancelled.ID)
			}
		}
	})
}
