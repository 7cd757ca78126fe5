package relay

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
	"github.com/samphirerail/samphirerail/internal/state/ledger"
)

// scriptedLog returns errs in turn for appends and reads; the last one repeats.
type scriptedLog struct {
	errs  []error
	calls int
	// appendLatency is how long an append takes.
	appendLatency time.Duration
}

func (l *scriptedLog) next() error {
	err := l.errs[min(l.calls, len(l.errs)-1)]
	l.calls++
	return err
}

func (l *scriptedLog) Append(ctx context.Context, _ port.Append) (int64, error) {
	select {
	case <-time.After(l.appendLatency):
		return 7, l.next()
	case <-ctx.Done():
		l.calls++
		return 0, ctx.Err()
	}
}

func (l *scriptedLog) Read(context.Context, port.Topic, int64, time.Duration) (port.Batch, error) {
	return port.Batch{Next: 7}, l.next()
}

func (l *scriptedLog) NewestPage(context.Context, port.Topic, string) (port.Batch, error) {
	return port.Batch{Next: 7}, l.next()
}

type scriptedPeers struct {
	log scriptedLog
	// latency is how long a read takes.
	latency time.Duration
}

func (p *scriptedPeers) Append(ctx context.Context, _ string, a port.Append) (int64, error) {
	return p.log.Append(ctx, a)
}

func (p *scriptedPeers) Read(ctx context.Context, _ string, q port.ReadQuery) (port.Batch, error) {
	select {
	case <-time.After(p.latency):
	case <-ctx.Done():
		return port.Batch{}, ctx.Err()
	}
	return p.log.Read(ctx, q.Topic, q.From, q.Wait)
}

var errResponseLost = errors.New("response lost")

func newScripted(direct, peer []error) (*Log, *scriptedLog, *scriptedPeers) {
	log, peers := &scriptedLog{errs: direct}, &scriptedPeers{log: scriptedLog{errs: peer}}
	return New(log, peers, func() []string { return []string{"a", "b"} }, hclog.NewNullLogger(), metrics.NewRegistry()), log, peers
}

func TestAppendOutcome(t *testing.T) {
	conflict, rejected := &port.ConflictError{End: 3}, &port.RejectedError{Reason: "too large"}
	cases := []struct {
		name         string
		direct, peer []error
		want         error // nil means success
		peerCalls    int
	}{
		{name: "log responds", direct: []error{nil}, peer: []error{errResponseLost}},
		{name: "peer relays the append", direct: []error{port.ErrNotDone}, peer: []error{nil}, peerCalls: 1},
		{name: "rejected by the log and all peers", direct: []error{port.ErrNotDone}, peer: []error{port.ErrNotDone}, want: port.ErrNotDone, peerCalls: 2},
		{name: "direct response lost and peers reject", direct: []error{errResponseLost}, peer: []error{port.ErrNotDone}, want: errResponseLost, peerCalls: 2},
		{name: "peer response lost", direct: []error{port.ErrNotDone}, peer: []error{errResponseLost, port.ErrNotDone}, want: errResponseLost, peerCalls: 2},
		{name: "conflict is not retried", direct: []error{conflict}, peer: []error{nil}, want: conflict},
		{name: "append refused for good is not retried", direct: []error{rejected}, peer: []error{nil}, want: rejected},
		{name: "append refused for good through a peer is not retried", direct: []error{port.ErrNotDone}, peer: []error{rejected, nil}, want: rejected, peerCalls: 1},
		{name: "fenced append is not retried", direct: []error{port.ErrFenced}, peer: []error{nil}, want: port.ErrFenced},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			log, _, peers := newScripted(c.direct, c.peer)
			_, err := log.Append(context.Background(), port.Append{At: port.AnyOffset})
			if c.want == nil {
				is.NoErr(err)
			} else {
				is.True(errors.Is(err, c.want)) // the outcome that is returned to the caller
			}
			is.Equal(peers.log.calls, c.peerCalls)
		})
	}
}

func TestAppendWithCancelledContextIsNotDone(t *testing.T) {
	is := is.New(t)
	log, direct, _ := newScripted([]error{errResponseLost, nil}, []error{errResponseLost})
	_, err := log.Append(context.Background(), port.Append{})
	is.True(errors.Is(err, errResponseLost)) // the log is now marked as not responding
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = log.Append(ctx, port.Append{})
	is.True(errors.Is(err, port.ErrNotDone)) // nothing was attempted, so nothing was done
	is.Equal(direct.calls, 1)
}

func TestReadFallsBackToPeers(t *testing.T) {
	is := is.New(t)
	log, direct, peers := newScripted([]error{errResponseLost, nil}, []error{port.ErrNotDone, nil})
	batch, err := log.Read(context.Background(), port.TopicJobs, 0, 0)
	is.NoErr(err)
	is.Equal(batch.Next, int64(7))
	is.Equal(peers.log.calls, 2) // the first peer cannot reach the log either
	_, err = log.Read(context.Background(), port.TopicJobs, 7, 0)
	is.NoErr(err)
	is.Equal(direct.calls, 1) // direct reads are paused
}

// TestSlowRelayDoesNotDelayDirectRead checks that the log is tried again after one entry
// took long to report that it cannot reach the log either.
func TestSlowRelayDoesNotDelayDirectRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log, direct, peers := newScripted([]error{errResponseLost, nil}, []error{port.ErrNotDone})
		peers.latency = readPause + time.Second
		_, err := log.Read(context.Background(), port.TopicJobs, 0, 0)
		is.True(errors.Is(err, port.ErrNotDone))
		is.Equal(peers.log.calls, 1)
		_, err = log.Read(context.Background(), port.TopicJobs, 0, 0)
		is.NoErr(err)
		is.Equal(direct.calls, 2)
	})
}

// TestLargeRelayedReadIsNotCut reads what takes two slow links, one after the other, longer
// than a read waits for the reply of the log to begin.
func TestLargeRelayedReadIsNotCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log, _, peers := newScripted([]error{errResponseLost}, []error{nil})
		peers.latency = 3 * time.Second
		batch, err := log.Read(context.Background(), port.TopicOperators, 0, 0)
		is.NoErr(err)
		is.Equal(batch.Next, int64(7))
	})
}

// TestLargeAppendIsNotCut appends what takes a slow link longer than a small append may
// take, directly or through another entry.
func TestLargeAppendIsNotCut(t *testing.T) {
	const latency = 1200 * time.Millisecond
	large := port.Append{At: port.AnyOffset, Records: []ledger.Record{{Key: "jobs", Value: make([]byte, slowestLink)}}}
	tests := []struct {
		name   string
		direct error
		calls  int
	}{
		{name: "directly", calls: 1},
		{name: "through another entry", direct: port.ErrNotDone, calls: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				log, direct, peers := newScripted([]error{tt.direct}, []error{nil})
				direct.appendLatency, peers.log.appendLatency = latency, latency
				_, err := log.Append(context.Background(), large)
				is.NoErr(err)
				is.Equal(direct.calls+peers.log.calls, tt.calls)
			})
		})
	}
}
