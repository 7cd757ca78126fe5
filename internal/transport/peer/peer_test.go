package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/testlink"
)

// testLimits allow what entries do.
var testLimits = Limits{Connections: 10, MessageBytes: 8 << 20, CallBytes: 8 << 20}

// owningBackend is a Backend that owns the placement; its other methods are not called.
type owningBackend struct{ Backend }

func (owningBackend) Owning() bool { return true }

// flakyListener fails the first accept.
type flakyListener struct {
	net.Listener
	failed atomic.Bool
}

func (l *flakyListener) Accept() (net.Conn, error) {
	if l.failed.CompareAndSwap(false, true) {
		return nil, errors.New("too many open files")
	}
	return l.Listener.Accept()
}

// TestServerAcceptsAfterFailedAccept checks that calls are served after an accept has
// failed.
func TestServerAcceptsAfterFailedAccept(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	flaky := &flakyListener{Listener: listener}
	server, err := serve(flaky, owningBackend{}, testLimits, hclog.NewNullLogger())
	is.NoErr(err)
	client := NewClient(nil)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	owning, err := client.Owning(ctx, listener.Addr().String())
	is.NoErr(err)
	is.True(owning)
	is.True(flaky.failed.Load())
	is.NoErr(client.Close())
	is.NoErr(server.Close())
}

// TestPanicOfHandlerFailsItsCallOnly guards against the end of the process, and with it of
// the owner, when the handler of one call panics: owningBackend has no Nominate.
func TestPanicOfHandlerFailsItsCallOnly(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	server, err := serve(listener, owningBackend{}, testLimits, hclog.NewNullLogger())
	is.NoErr(err)
	client := NewClient(nil)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	is.True(client.Nominate(ctx, listener.Addr().String(), ledger.Claim{}) != nil)
	owning, err := client.Owning(ctx, listener.Addr().String())
	is.NoErr(err)
	is.True(owning)
	is.NoErr(client.Close())
	is.NoErr(server.Close())
}

// readingBackend is a Backend whose log returns one record of size bytes.
type readingBackend struct {
	owningBackend
	size int
}

func (b readingBackend) Log() port.Log { return sizedLog{size: b.size} }

type sizedLog struct {
	port.Log
	size int
}

func (l sizedLog) Read(context.Context, port.Topic, int64, time.Duration) (port.Batch, error) {
	return port.Batch{Records: []ledger.Record{{Key: "config", Value: make([]byte, l.size)}}, Next: 1}, nil
}

// serveNarrow serves a backend over a narrow link and returns its address.
func serveNarrow(t *testing.T, backend Backend) string {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	server, err := serve(testlink.Narrow(listener), backend, testLimits, hclog.NewNullLogger())
	is.NoErr(err)
	t.Cleanup(func() { is.NoErr(server.Close()) })
	return listener.Addr().String()
}

// TestLargeRelayedReadIsNotCutByProbes reads what takes a narrow link longer than the
// connection's probes may take.
func TestLargeRelayedReadIsNotCutByProbes(t *testing.T) {
	is := is.New(t)
	const size = testlink.NarrowBandwidth * 3 / 2
	address := serveNarrow(t, readingBackend{size: size})
	client := NewClient(nil)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	batch, err := client.Read(ctx, address, port.ReadQuery{Topic: port.TopicOperators})
	is.NoErr(err)
	is.Equal(len(batch.Records[0].Value), size)
	is.NoErr(client.Close())
}

// TestLargeRelayedReadDoesNotDelayCalls checks that a short call is answered while a large
// reply is being sent.
func TestLargeRelayedReadDoesNotDelayCalls(t *testing.T) {
	is := is.New(t)
	address := serveNarrow(t, readingBackend{size: 2 * testlink.NarrowBandwidth})
	client := NewClient(nil)
	ctx, cancel := context.WithCancel(context.Background())
	read := make(chan error, 1)
	go func() {
		_, err := client.Read(ctx, address, port.ReadQuery{Topic: port.TopicOperators})
		read <- err
	}()
	time.Sleep(probeInterval / 2)
	callCtx, cancelCall := context.WithTimeout(context.Background(), probeInterval)
	defer cancelCall()
	owning, err := client.Owning(callCtx, address)
	is.NoErr(err)
	is.True(owning)
	cancel()
	is.True(errors.Is(<-read, context.Canceled))
	is.NoErr(client.Close())
}

// TestWatchEndsWithTheEntry checks that a watching call fails when the watched process
// ends, and not before.
func TestWatchEndsWithTheEntry(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	server := rpc.NewServer()
	is.NoErr(server.RegisterName(serviceName, &service{backend: owningBackend{}, ctx: context.Background(), logger: hclog.NewNullLogger()}))
	conns := make(chan net.Conn, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		conns <- conn
		server.ServeConn(conn)
	}()
	client := NewClient(nil)
	ended := make(chan error, 1)
	go func() { ended <- client.Watch(context.Background(), listener.Addr().String()) }()
	conn := <-conns
	select {
	case err := <-ended:
		t.Fatalf("the call ended early: %v", err)
	case <-time.After(30 * time.Millisecond):
	}
	is.NoErr(listener.Close())
	is.NoErr(conn.Close())
	is.True(<-ended != nil)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	is.True(port.ConnectionRefused(client.Watch(ctx, listener.Addr().String())))
}

// TestRefusalKeepsItsCause guards against a refusal that reaches the caller's entry without
// its cause or its time to return.
func TestRefusalKeepsItsCause(t *testing.T) {
	is := is.New(t)
	want := &port.RefusedError{Cause: "too_late", Reason: "too busy", RetryAfter: 3 * time.Second}
	is.Equal(faultOf(want).Err(), want)
}

// TestRefusalForGoodIsRelayed guards against an append through another entry that is repeated for
// ever because the log's refusal arrives as an unknown outcome.
func TestRefusalForGoodIsRelayed(t *testing.T) {
	is := is.New(t)
	want := &port.RejectedError{Reason: "too large"}
	is.Equal(faultOf(want).Err(), want)
}
