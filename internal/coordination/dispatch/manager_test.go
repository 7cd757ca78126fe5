package dispatch

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/coordination/replica"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/scheduler"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// raceLog is a log to which other entries append between a read and an append.
type raceLog struct {
	port.Log
	records []ledger.Record
	// others holds the records to append before each append of the entry under test.
	others  [][]ledger.Record
	appends int
}

func (l *raceLog) Read(_ context.Context, _ port.Topic, from int64, _ time.Duration) (port.Batch, error) {
	return port.Batch{Records: l.records[from:], Next: int64(len(l.records))}, nil
}

func (l *raceLog) Append(_ context.Context, a port.Append) (int64, error) {
	if len(l.others) > 0 {
		l.records = append(l.records, l.others[0]...)
		l.others = l.others[1:]
	}
	if end := int64(len(l.records)); a.At != port.AnyOffset && a.At != end {
		return 0, &port.ConflictError{End: end}
	}
	l.records = append(l.records, a.Records...)
	l.appends++
	return int64(len(l.records)), nil
}

func claimRecord(t *testing.T, c ledger.Claim) ledger.Record {
	t.Helper()
	r, err := ledger.ClaimRecord(&c)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestConcurrentClaims checks that exactly one of the entries that see the same
// ownership end becomes the owner, although other records are appended meanwhile.
func TestConcurrentClaims(t *testing.T) {
	old := ledger.Claim{Epoch: 70_000, Entry: "gone"}
	job, err := ledger.JobRecord(&workload.Job{ID: "00000000000000aa", Steps: []workload.Step{{Count: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name    string
		records []ledger.Record
		others  [][]ledger.Record
		want    error
	}{
		{name: "no other claim"},
		{name: "jobs appended between read and append", others: [][]ledger.Record{{job}, {job}}},
		{name: "newer claim in the log", records: []ledger.Record{claimRecord(t, ledger.Claim{Epoch: 135_000, Entry: "other"})}, want: errSuperseded},
		{name: "newer claim appended first", others: [][]ledger.Record{{claimRecord(t, ledger.Claim{Epoch: 135_000, Entry: "other"})}}, want: errSuperseded},
		{name: "former owner active again", others: [][]ledger.Record{{claimRecord(t, old)}}, want: errSuperseded},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			log := &raceLog{records: c.records, others: c.others}
			m := NewManager(Config{
				Log: log, Replica: replica.New(log, stubDecoder{}, hclog.NewNullLogger(), metrics.NewRegistry()),
				Name: "self", Logger: hclog.NewNullLogger(), Registry: metrics.NewRegistry(),
			})
			next := ledger.Claim{Epoch: 140_000, Entry: "self"}
			err := m.appendIfNewest(context.Background(), next, old)
			is.True(errors.Is(err, c.want))
			is.Equal(log.appends == 1, c.want == nil)
		})
	}
}

// TestTakeoversInARowDoNotProlongTheWaitForStarts guards against waits that begin anew with each claim, and against ones that end while an owner before the last one may still act.
func TestTakeoversInARowDoNotProlongTheWaitForStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := NewManager(Config{Replica: loadedReplica(t, &slowLog{}), Name: "self", Logger: hclog.NewNullLogger(), Registry: metrics.NewRegistry()})
		for _, epoch := range []int64{1, 70_000, 140_000} {
			m.noteClaim(ledger.Claim{Epoch: epoch})
			m.noteClaim(ledger.Claim{Epoch: epoch}) // known already
			time.Sleep(4 * time.Second)
		}
		own := ledger.Claim{Epoch: 210_000}
		o := m.deps.newOwner(t.Context(), own)
		defer o.cancel()
		m.noteClaim(own)
		const most = logContactTimeout + scheduler.MaxStartDelay
		terms := m.endedTerms(o, own)
		is.Equal(len(terms), 3)
		is.Equal(terms[1], scheduler.EndedTerm{NextRun: 70_000 * runsPerEpoch, StartsUntil: o.at(o.base) + most - 8*time.Second})
		is.Equal(terms[2], scheduler.EndedTerm{NextRun: 140_000 * runsPerEpoch, StartsUntil: o.at(o.base) + most - 4*time.Second})
	})
}
