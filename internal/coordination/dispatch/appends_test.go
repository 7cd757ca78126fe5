package dispatch

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// newJob returns a job of one step.
func newJob(n, tasks int, ms int64, payload int) *workload.Job {
	return &workload.Job{
		ID: workload.JobID(fmt.Sprintf("%016x", n)), Queue: "q", Workspace: "w", SubmittedUnixMS: time.Now().UnixMilli(), Payload: strings.Repeat("x", payload),
		Steps: []workload.Step{{Count: tasks, Each: state.Vector{CPUMilli: 10, MemoryMB: 1, Slots: 1}, EstimateMS: ms}},
	}
}

// record has an entry record a job, and returns its answer.
func (p *fakePlatform) record(e *fakeEntry, job *workload.Job) error {
	r, err := ledger.JobRecord(job)
	if err != nil {
		p.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(p.t.Context(), 60*time.Second)
	defer cancel()
	return e.manager.Record(ctx, r)
}

// withOwner runs a test with one entry, the owner, on a fake platform in virtual time.
func withOwner(t *testing.T, prepare func(p *fakePlatform), test func(p *fakePlatform, e *fakeEntry)) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform(t)
		if prepare != nil {
			prepare(p)
		}
		e := p.start("a", 1, false)
		p.awaitOwner(e)
		test(p, e)
		p.stop()
		if len(p.violations) > 0 {
			t.Error(p.violations)
		}
	})
}

// TestRejectedStateDoesNotStopTheOthers guards against an owner that repeats an append for ever
// which the log refuses for good, while nothing else is recorded or started.
func TestRejectedStateDoesNotStopTheOthers(t *testing.T) {
	withOwner(t, func(p *fakePlatform) { p.limits.RecordBytes = 2000 }, func(p *fakePlatform, e *fakeEntry) { // less than the settings say
		is := is.New(t)
		is.NoErr(p.record(e, newJob(1, 300, 60_000, 10)))
		is.NoErr(p.record(e, newJob(2, 3, 100, 10)))
		time.Sleep(5 * time.Second)
		is.NoErr(p.record(e, newJob(3, 3, 100, 10)))
		time.Sleep(5 * time.Second)
		is.Equal(p.phaseOfAll()[newJob(2, 1, 1, 1).ID], ledger.Complete)
		is.Equal(p.phaseOfAll()[newJob(3, 1, 1, 1).ID], ledger.Complete)
		is.Equal(e.manager.deps.metrics.records.setAside.Count(), int64(1))
		is.True(p.refused < 20) // not again and again
		var rejected *port.RejectedError
		is.True(errors.As(p.record(e, newJob(4, 1, 100, 3000)), &rejected))
		time.Sleep(time.Second)
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, start := range p.starts {
			is.True(start.run.Task.Job != newJob(4, 1, 1, 1).ID)
		}
	})
}

// TestBacklogAfterAnOutageKeepsTheLimits guards against an append of all that has changed while the
// log was down, which it refuses for good.
func TestBacklogAfterAnOutageKeepsTheLimits(t *testing.T) {
	withOwner(t, func(p *fakePlatform) {
		p.limits = ledger.Limits{RecordBytes: ledger.DefaultRecordBytes, RequestBytes: ledger.DefaultRequestBytes}
	}, func(p *fakePlatform, e *fakeEntry) {
		is := is.New(t)
		p.setSilent(true)
		const jobs = 1500 // 6 MB
		answers := make(chan error, jobs)
		for i := range jobs {
			go func() { answers <- p.record(e, newJob(100+i, 2, 100, 4000)) }()
		}
		time.Sleep(30 * time.Second)
		p.setSilent(false)
		for range jobs {
			is.NoErr(<-answers)
		}
		time.Sleep(20 * time.Second)
		is.Equal(p.refused, 0)
		phases := p.phaseOfAll()
		for i := range jobs {
			is.Equal(phases[newJob(100+i, 1, 1, 1).ID], ledger.Complete)
		}
	})
}

// phaseOfAll returns the newest recorded phases.
func (p *fakePlatform) phaseOfAll() map[workload.JobID]ledger.Phase {
	p.mu.Lock()
	defer p.mu.Unlock()
	table := ledger.NewTable()
	for _, r := range p.records[port.TopicJobs] {
		_, _ = table.Apply(r) // one that can't be read changes nothing
	}
	out := map[workload.JobID]ledger.Phase{}
	table.Rows(func(row *ledger.Row) { out[row.Job.ID] = row.Phase() })
	return out
}

// TestJobThatCannotBeHeldIsSetAside guards against a job of a former release in the log that no
// owner can record, which would stop all others with each owner.
func TestJobThatCannotBeHeldIsSetAside(t *testing.T) {
	gang := newJob(1, 15_000, 60_000, 10)
	gang.Steps[0].Gang = true
	withOwner(t, func(p *fakePlatform) {
		r, err := ledger.JobRecord(gang)
		if err != nil {
			t.Fatal(err)
		}
		p.records[port.TopicJobs] = []ledger.Record{r}
	}, func(p *fakePlatform, e *fakeEntry) {
		is := is.New(t)
		is.NoErr(p.record(e, newJob(2, 3, 100, 10)))
		time.Sleep(3 * time.Second)
		phases := p.phaseOfAll()
		is.Equal(phases[gang.ID], ledger.Queued) // known, and nothing is said that isn't true
		is.Equal(phases[newJob(2, 1, 1, 1).ID], ledger.Complete)
		is.Equal(e.manager.deps.metrics.records.setAside.Count(), int64(1))
		cancel, err := ledger.CancelRecord(gang.ID, 7)
		is.NoErr(err)
		is.NoErr(e.manager.Record(context.Background(), cancel))
		time.Sleep(2 * time.Second)
		var state ledger.JobState
		e.manager.cfg.Replica.View(func(t *ledger.Table, _ int64) { state = t.Row(gang.ID).State })
		is.Equal(state.Phase, ledger.Cancelled)
		is.True(state.FinalUnixMS > 0) // its records are dropped like those of others
	})
}

// TestTooLargeJobsOfFormerEntriesAreRefused guards against an entry of a former release that hands in
// a job which this one would not accept from a caller.
func TestTooLargeJobsOfFormerEntriesAreRefused(t *testing.T) {
	withOwner(t, nil, func(p *fakePlatform, e *fakeEntry) {
		is := is.New(t)
		gang := newJob(1, 15_000, 60_000, 10)
		gang.Steps[0].Gang = true
		var refused *port.RefusedError
		is.True(errors.As(p.record(e, gang), &refused))
		is.Equal(refused.Cause, "too_large")
		time.Sleep(time.Second)
		is.Equal(len(p.phaseOfAll()), 0)
	})
}

// TestWideJobIsRecorded guards against the state of an accepted job of many tasks at work that exceeds a record.
func TestWideJobIsRecorded(t *testing.T) {
	withOwner(t, func(p *fakePlatform) {
		p.idPrefix = "i-7f3a0" // IDs as long as on the users' platform
		p.addUpstreams(30)
		p.limits = ledger.Limits{}.WithDefaults()
	}, func(p *fakePlatform, e *fakeEntry) {
		is := is.New(t)
		is.NoErr(p.record(e, newJob(1, 16_000, 5000, 10)))
		time.Sleep(2 * time.Second)
		is.NoErr(p.record(e, newJob(2, 3, 100, 10)))
		time.Sleep(10 * time.Second)
		is.Equal(p.refused, 0)
		is.Equal(p.phaseOfAll()[newJob(2, 1, 1, 1).ID], ledger.Complete)
		p.mu.Lock()
		starts := len(p.starts)
		p.mu.Unlock()
		is.True(starts > workload.MaxTasksAtWork) // it goes on
	})
}
