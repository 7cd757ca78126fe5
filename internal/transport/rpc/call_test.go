package rpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	oteltrace "go.opentelemetry.io/otel/trace"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
)

func TestRoundTrips(t *testing.T) {
	is := is.New(t)
	_, address := testServer(t, &fakePeer{}, nil)
	c := testClient(t, nil)
	ctx := testContext(t)

	hb, err := c.Heartbeat(ctx, address, coordination.Heartbeat{From: "vm1/1", Sequence: 6})
	is.NoErr(err)
	is.Equal(hb, coordination.Heartbeat{From: "vm2/1", Sequence: 7})

	status, err := c.Submit(ctx, address, "north/0", coordination.Submission{ID: jobA, Team: "tide", Payload: []byte("in")})
	is.NoErr(err)
	is.Equal(status, echo(coordination.Submission{ID: jobA, Team: "tide", Payload: []byte("in")}))

	status, err = c.Get(ctx, address, "tide", jobA, 0)
	is.NoErr(err)
	is.Equal(status.State, state.JobRunning)

	status, err = c.Cancel(ctx, address, "tide", jobA)
	is.NoErr(err)
	is.Equal(status.State, state.JobCancelled)

	update, err := c.ConfigSince(ctx, address, 4)
	is.NoErr(err)
	is.Equal(update, coordination.ConfigUpdate{Snapshot: []byte("state"), SnapshotVersion: 5})
}

func TestErrorTypesCrossTheWire(t *testing.T) {
	full := &state.Refusal{Reason: state.ReasonQueueFull, Verdict: state.NotRun, Detail: "d", Remedy: "r", RetryAfter: time.Second}
	tests := []struct {
		name   string
		submit func(context.Context, coordination.Submission) (coordination.JobStatus, error)
		check  func(*is.I, error)
	}{
		{
			name: "refusal",
			submit: func(context.Context, coordination.Submission) (coordination.JobStatus, error) {
				return coordination.JobStatus{}, fmt.Errorf("wrapped: %w", full)
			},
			check: func(is *is.I, err error) {
				var got *state.Refusal
				is.True(errors.As(err, &got))
				is.Equal(got, full)
			},
		},
		{
			name: "failure",
			submit: func(context.Context, coordination.Submission) (coordination.JobStatus, error) {
				return coordination.JobStatus{}, coordination.ErrNotSent
			},
			check: isRemoteError,
		},
		{
			name:   "panic",
			submit: func(context.Context, coordination.Submission) (coordination.JobStatus, error) { panic("boom") },
			check:  isRemoteError,
		},
		{
			name: "reply about another job",
			submit: func(context.Context, coordination.Submission) (coordination.JobStatus, error) {
				return coordination.JobStatus{ID: jobB}, nil
			},
			check: func(is *is.I, err error) {
				var mismatch *MismatchError
				is.True(errors.As(err, &mismatch))
				is.Equal(mismatch.Got, jobB)
			},
		},
		{
			name: "outputs above the frame limit",
			submit: func(_ context.Context, s coordination.Submission) (coordination.JobStatus, error) {
				status := echo(s)
				status.Outputs = [][]byte{make([]byte, 2<<20)}
				return status, nil
			},
			check: func(is *is.I, err error) {
				var got *state.Refusal
				is.True(errors.As(err, &got))
				is.Equal(got.Verdict, state.HasRun)
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, address := testServer(t, &fakePeer{submit: tt.submit}, func(cfg *ServerConfig) { cfg.MaxFrameBytes = 1 << 20 })
			_, err := testClient(t, nil).Submit(testContext(t), address, "north/0", coordination.Submission{ID: jobA})
			is.True(!errors.Is(err, coordination.ErrNotSent))
			tt.check(is, err)
		})
	}
}

func isRemoteError(is *is.I, err error) {
	var remote *RemoteError
	is.True(errors.As(err, &remote))
}

func TestDeadlineAndTraceReachPeer(t *testing.T) {
	is := is.New(t)
	var deadline time.Time
	var span oteltrace.SpanContext
	peer := &fakePeer{submit: func(ctx context.Context, s coordination.Submission) (coordination.JobStatus, error) {
		deadline, _ = ctx.Deadline()
		span = oteltrace.SpanContextFromContext(ctx)
		return echo(s), nil
	}}
	_, address := testServer(t, peer, nil)
	c := testClient(t, nil)
	ctx, caller := c.tracer.Start(testContext(t), "caller")
	_, err := c.Submit(ctx, address, "north/0", coordination.Submission{ID: jobA})
	caller.End()
	is.NoErr(err)
	want, _ := ctx.Deadline()
	is.True(deadline.Sub(want).Abs() < testTimeout/2)
	is.Equal(span.TraceID(), caller.SpanContext().TraceID())
}

func TestCancelReturnsAtOnceAndReachesPeer(t *testing.T) {
	is := is.New(t)
	running := make(chan struct{})
	ended := make(chan struct{})
	peer := &fakePeer{submit: func(ctx context.Context, _ coordination.Submission) (coordination.JobStatus, error) {
		close(running)
		<-ctx.Done()
		close(ended)
		return coordination.JobStatus{}, ctx.Err()
	}}
	_, address := testServer(t, peer, nil)
	c := testClient(t, nil)
	ctx, cancel := context.WithCancel(testContext(t))
	result := make(chan error, 1)
	go func() {
		_, err := c.Submit(ctx, address, "north/0", coordination.Submission{ID: jobA})
		result <- err
	}()
	<-running
	cancel()
	err := <-result
	is.True(errors.Is(err, context.Canceled))
	is.True(!errors.Is(err, coordination.ErrNotSent))
	<-ended
}

func TestLateReplyReachesNoOtherCall(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	peer := &fakePeer{submit: func(_ context.Context, s coordination.Submission) (coordination.JobStatus, error) {
		if s.ID == jobA {
			<-release
		}
		return echo(s), nil
	}}
	_, address := testServer(t, peer, nil)
	c := testClient(t, func(cfg *ClientConfig) { cfg.ConnectionsPerPeer = 1 })
	short, cancel := context.WithTimeout(testContext(t), 20*time.Millisecond)
	defer cancel()
	_, err := c.Submit(short, address, "north/0", coordination.Submission{ID: jobA, Payload: []byte("a")})
	is.True(errors.Is(err, context.DeadlineExceeded))
	close(release)
	for range 10 {
		status, err := c.Submit(testContext(t), address, "north/0", coordination.Submission{ID: jobB, Payload: []byte("b")})
		is.NoErr(err)
		is.Equal(status.Outputs, [][]byte{[]byte("b")})
	}
}

func TestConcurrentCallsShareFewConnections(t *testing.T) {
	is := is.New(t)
	s, address := testServer(t, &fakePeer{}, nil)
	c := testClient(t, nil)
	ctx := testContext(t)
	var wg sync.WaitGroup
	errs := make(chan error, 64)
	for worker := range 64 {
		wg.Go(func() {
			for n := range 20 {
				payload := fmt.Sprintf("%d/%d", worker, n)
				id := state.JobID("north." + payload)
				status, err := c.Submit(ctx, address, "north/0", coordination.Submission{ID: id, Payload: []byte(payload)})
				if err != nil || string(status.Outputs[0]) != payload {
					errs <- fmt.Errorf("job %s got %+v: %w", id, status, err)
					return
				}
			}
		})
	}
	wg.Wait()
	close(errs)
	is.NoErr(<-errs)
	is.True(len(s.connections()) <= c.cfg.ConnectionsPerPeer)
}

func TestDialAttemptsAreShared(t *testing.T) {
	is := is.New(t)
	address := rawPeer(t, discardAll)
	c := testClient(t, func(cfg *ClientConfig) { cfg.DialTimeout = 300 * time.Millisecond })
	var wg sync.WaitGroup
	for range 100 {
		wg.Go(func() {
			_, err := c.Submit(testContext(t), address, "north/0", coordination.Submission{ID: jobA})
			is.True(errors.Is(err, coordination.ErrNotSent))
		})
	}
	wg.Wait()
	is.True(c.metrics.dials.Count() < 100)
}

func TestDeductElapsed(t *testing.T) {
	is := is.New(t)
	s := coordination.Submission{DeadlineIn: time.Second, Wait: time.Second}
	is.True(deductElapsed(&s, 400*time.Millisecond))
	is.Equal(s.DeadlineIn, 600*time.Millisecond)
	is.Equal(s.Wait, 600*time.Millisecond)
	is.True(!deductElapsed(&s, 600*time.Millisecond))
	unbounded := coordination.Submission{}
	is.True(deductElapsed(&unbounded, time.Hour))
}

func TestServerRefusesConnectionsAboveItsLimit(t *testing.T) {
	is := is.New(t)
	s, address := testServer(t, &fakePeer{}, func(cfg *ServerConfig) { cfg.MaxConnections = 1 })
	first := testClient(t, nil)
	_, err := first.Submit(testContext(t), address, "north/0", coordination.Submission{ID: jobA})
	is.NoErr(err)
	_, err = testClient(t, nil).Submit(testContext(t), address, "north/0", coordination.Submission{ID: jobA})
	is.True(errors.Is(err, coordination.ErrNotSent))
	_ = first.Close()
	eventually(t, func() bool { return len(s.connections()) == 0 })
}

func TestOversizedFrameClosesTheConnection(t *testing.T) {
	is := is.New(t)
	s, address := testServer(t, &fakePeer{}, nil)
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(clientHandshake(conn, address, ProtocolVersion, testTimeout))
	_, err = conn.Write([]byte{0xff, 0xff, 0xff, 0xff})
	is.NoErr(err)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(testTimeout)))
	discardAll(conn)
	eventually(t, func() bool { return len(s.connections()) == 0 })
}
