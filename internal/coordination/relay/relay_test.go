package relay

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
)

// scriptedLog answers appends and reads with errors in turn; the last repeats.
type scriptedLog struct {
	errs  []error
	calls int
}

func (l *scriptedLog) next() error {
	err := l.errs[min(l.calls, len(l.errs)-1)]
	l.calls++
	return err
}

func (l *scriptedLog) Append(context.Context, port.Append) (int64, error) { return 7, l.next() }

func (l *scriptedLog) Read(context.Context, port.Topic, int64, time.Duration) (port.Batch, error) {
	return port.Batch{Next: 7}, l.next()
}

func (l *scriptedLog) Newest(context.Context, port.Topic) (port.Batch, error) {
	return port.Batch{Next: 7}, l.next()
}

type scriptedPeers struct{ log scriptedLog }

func (p *scriptedPeers) Append(ctx context.Context, _ string, a port.Append) (int64, error) {
	return p.log.Append(ctx, a)
}

func (p *scriptedPeers) Read(ctx context.Context, _ string, q port.ReadQuery) (port.Batch, error) {
	return p.log.Read(ctx, q.Topic, q.From, q.Wait)
}

var errLost = errors.New("answer lost")

func newScripted(direct, peer []error) (*Log, *scriptedLog, *scriptedPeers) {
	log, peers := &scriptedLog{errs: direct}, &scriptedPeers{scriptedLog{errs: peer}}
	return New(log, peers, func() []string { return []string{"a", "b"} }, hclog.NewNullLogger(), metrics.NewRegistry()), log, peers
}

func TestAppendOutcome(t *testing.T) {
	conflict := &port.ConflictError{End: 3}
	cases := []struct {
		name         string
		direct, peer []error
		want         error // nil: done
		peerCalls    int
	}{
		{name: "the log answers", direct: []error{nil}, peer: []error{errLost}},
		{name: "a peer answers for the log", direct: []error{port.ErrNotDone}, peer: []error{nil}, peerCalls: 1},
		{name: "nobody did anything", direct: []error{port.ErrNotDone}, peer: []error{port.ErrNotDone}, want: port.ErrNotDone, peerCalls: 2},
		{name: "a lost answer stays unknown though the peers refuse", direct: []error{errLost}, peer: []error{port.ErrNotDone}, want: errLost, peerCalls: 2},
		{name: "a peer's lost answer stays unknown", direct: []error{port.ErrNotDone}, peer: []error{errLost, port.ErrNotDone}, want: errLost, peerCalls: 2},
		{name: "a conflict is final", direct: []error{conflict}, peer: []error{nil}, want: conflict},
		{name: "a fence is final", direct: []error{port.ErrFenced}, peer: []error{nil}, want: port.ErrFenced},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			log, _, peers := newScripted(c.direct, c.peer)
			_, err := log.Append(context.Background(), port.Append{At: port.AnyOffset})
			if c.want == nil {
				is.NoErr(err)
			} else {
				is.True(errors.Is(err, c.want)) // the outcome that the caller learns
			}
			is.Equal(peers.log.calls, c.peerCalls)
		})
	}
}

func TestAppendWithoutTimeLeftIsNotDone(t *testing.T) {
	is := is.New(t)
	log, direct, _ := newScripted([]error{errLost, nil}, []error{errLost})
	_, err := log.Append(context.Background(), port.Append{})
	is.True(errors.Is(err, errLost)) // the log is now known not to answer
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = log.Append(ctx, port.Append{})
	is.True(errors.Is(err, port.ErrNotDone)) // nothing was tried, so nothing was done
	is.Equal(direct.calls, 1)
}

func TestReadFallsBackToPeers(t *testing.T) {
	is := is.New(t)
	log, direct, peers := newScripted([]error{errLost, nil}, []error{port.ErrNotDone, nil})
	batch, err := log.Read(context.Background(), port.TopicJobs, 0, 0)
	is.NoErr(err)
	is.Equal(batch.Next, int64(7))
	is.Equal(peers.log.calls, 2) // the first peer is refused too
	_, err = log.Read(context.Background(), port.TopicJobs, 7, 0)
	is.NoErr(err)
	is.Equal(direct.calls, 1) // the log is left alone for a while
}
