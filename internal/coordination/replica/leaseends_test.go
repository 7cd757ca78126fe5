package replica

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
)

// expiringLog answers reads with batches in turn; an empty one stands for expired records, after which
// the newest records are read.
type expiringLog struct {
	port.Log
	batches [][]ledger.Record
	newest  []ledger.Record
	answer  func()
}

func (l *expiringLog) Read(context.Context, port.Topic, int64, time.Duration) (port.Batch, error) {
	l.answer()
	next := l.batches[0]
	if l.batches = l.batches[1:]; len(next) == 0 {
		return port.Batch{}, port.ErrExpired
	}
	return port.Batch{Records: next, Next: 1, End: 1}, nil
}

func (l *expiringLog) NewestPage(context.Context, port.Topic, string) (port.Batch, error) {
	return port.Batch{Records: l.newest}, nil
}

// TestLeaseEndsCountFromTheirReceipt guards against lease ends that count from the begin of a read, which
// may be earlier than their append, and against those after which records were skipped.
func TestLeaseEndsCountFromTheirReceipt(t *testing.T) {
	record := func(r ledger.Record, err error) ledger.Record {
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	claim := func(epoch int64) ledger.Record { return record(ledger.ClaimRecord(&ledger.Claim{Epoch: epoch})) }
	ends := record(ledger.LeaseEndsRecord(&ledger.LeaseEnds{Epoch: 1, Upstreams: []ledger.LeaseEnd{{Upstream: "u", LeftMS: 5}}}))
	cases := []struct {
		name    string
		batches [][]ledger.Record
		newest  []ledger.Record
		want    int
		at      time.Duration
	}{
		{name: "read in turn", batches: [][]ledger.Record{{claim(1)}, {ends}, {claim(2)}}, want: 1, at: time.Minute + 20*time.Second},
		{name: "records expired before", batches: [][]ledger.Record{{}, {ends}, {claim(2)}}, newest: []ledger.Record{claim(1)}, want: 1, at: time.Minute + 20*time.Second},
		{name: "records expired after", batches: [][]ledger.Record{{claim(1)}, {ends}, {}, {claim(2)}}, newest: []ledger.Record{claim(1)}},
		{name: "claim among the newest records", batches: [][]ledger.Record{{claim(1)}, {ends}, {}}, newest: []ledger.Record{ends, claim(2)}},
		{name: "other claim", batches: [][]ledger.Record{{claim(1)}, {ends}, {claim(3)}}},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Minute
			log := &expiringLog{batches: tt.batches, newest: tt.newest, answer: func() { now += 10 * time.Second }}
			r := New(log, configDecoder{}, hclog.NewNullLogger(), metrics.NewRegistry())
			r.SetClock(func() time.Duration { return now })
			r.loaded = true
			for len(log.batches) > 0 {
				is.True(r.readNext(t.Context()))
			}
			got, at := r.LeaseEnds(2)
			is.Equal(len(got), tt.want)
			if tt.want > 0 {
				is.Equal(at, tt.at)
			}
		})
	}
}

// TestLeaseEndsBeforeAMissedClaimAreIgnored guards against lease ends of an owner that is not the direct predecessor, after a read that skipped a claim.
func TestLeaseEndsBeforeAMissedClaimAreIgnored(t *testing.T) {
	is := is.New(t)
	record := func(offset int64, r ledger.Record, err error) ledger.Record {
		is.NoErr(err)
		r.Offset = offset
		return r
	}
	claim := func(offset, epoch int64) ledger.Record {
		r, err := ledger.ClaimRecord(&ledger.Claim{Epoch: epoch})
		return record(offset, r, err)
	}
	r, err := ledger.LeaseEndsRecord(&ledger.LeaseEnds{Epoch: 1, Upstreams: []ledger.LeaseEnd{{Upstream: "u", LeftMS: 5}}})
	ends := record(2, r, err)
	log := &expiringLog{
		batches: [][]ledger.Record{{claim(1, 1)}, {}, {ends, claim(3, 2), claim(4, 3)}},
		newest:  []ledger.Record{claim(4, 3), ends}, answer: func() {},
	}
	follower := New(log, configDecoder{}, hclog.NewNullLogger(), metrics.NewRegistry())
	follower.SetClock(func() time.Duration { return time.Minute })
	follower.loaded = true
	for len(log.batches) > 0 {
		is.True(follower.readNext(t.Context()))
	}
	got, _ := follower.LeaseEnds(3)
	is.Equal(len(got), 0) // owner 2 may have granted leases
}
