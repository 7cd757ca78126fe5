package dispatch

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/coordination/replica"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
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

// TestOnlyAnEndedOwnerSendsNoMoreStarts guards against a short wait for the starts of an owner that may only be cut off, or of the one before it.
func TestOnlyAnEndedOwnerSendsNoMoreStarts(t *testing.T) {
	old := ledger.Claim{Epoch: 70_000, Entry: "other", Incarnation: "1"}
	for _, c := range []struct {
		name   string
		change func(m *Manager, claim *ledger.Claim)
		want   bool
	}{
		{"silent", func(*Manager, *ledger.Claim) {}, false},
		{"it refuses connections", func(m *Manager, claim *ledger.Claim) { m.probedEpoch, m.probeRefused = claim.Epoch, true }, false},
		{"it has released ownership", func(_ *Manager, claim *ledger.Claim) { claim.Released = true }, true},
		{"it was the former process of this entry", func(_ *Manager, claim *ledger.Claim) { claim.Entry = "self" }, true},
		{"it was this process", func(_ *Manager, claim *ledger.Claim) { claim.Entry, claim.Incarnation = "self", "2" }, false},
		{"released soon after its claim", func(m *Manager, claim *ledger.Claim) {
			claim.Released, m.followedAt = true, time.Now().Add(-time.Second)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := NewManager(Config{Replica: loadedReplica(t, &slowLog{}), Name: "self", Incarnation: "2", Logger: hclog.NewNullLogger(), Registry: metrics.NewRegistry()})
			claim := old
			m.followedEpoch, m.followedAt = claim.Epoch, time.Now().Add(-2*logContactTimeout)
			c.change(m, &claim)
			is.New(t).Equal(m.hasEnded(claim), c.want)
		})
	}
}
