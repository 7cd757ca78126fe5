package rpc

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	metrics "github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/sdk/trace"
	"go.uber.org/goleak"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
)

const (
	patience = 30 * time.Second
	jobA     = state.JobID("north.0190b6c4-7a00-7000-8000-00000000000a")
	jobB     = state.JobID("north.0190b6c4-7a00-7000-8000-00000000000b")
	loopback = "127.0.0.1:0"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakePeer answers with the functions that are set; Submit echoes otherwise.
type fakePeer struct {
	submit func(context.Context, coordination.Submission) (coordination.JobStatus, error)
	get    func(context.Context, state.JobID, time.Duration) (coordination.JobStatus, error)
	ran    atomic.Int64
}

func (p *fakePeer) HandleHeartbeat(_ context.Context, hb coordination.Heartbeat) (coordination.Heartbeat, error) {
	return coordination.Heartbeat{From: "vm2/1", Sequence: hb.Sequence + 1}, nil
}

func (p *fakePeer) HandleSubmit(ctx context.Context, _ coordination.ShardID, s coordination.Submission) (coordination.JobStatus, error) {
	p.ran.Add(1)
	if p.submit != nil {
		return p.submit(ctx, s)
	}
	return echo(s), nil
}

func (p *fakePeer) HandleGet(ctx context.Context, _ state.TeamID, id state.JobID, wait time.Duration) (coordination.JobStatus, error) {
	if p.get != nil {
		return p.get(ctx, id, wait)
	}
	return coordination.JobStatus{ID: id, State: state.JobRunning}, nil
}

func (p *fakePeer) HandleCancel(_ context.Context, _ state.TeamID, id state.JobID) (coordination.JobStatus, error) {
	return coordination.JobStatus{ID: id, State: state.JobCancelled}, nil
}

func (p *fakePeer) HandleConfigSince(_ context.Context, from int64) (coordination.ConfigUpdate, error) {
	return coordination.ConfigUpdate{Snapshot: []byte("state"), SnapshotVersion: from + 1}, nil
}

func echo(s coordination.Submission) coordination.JobStatus {
	return coordination.JobStatus{ID: s.ID, Team: s.Team, State: state.JobSucceeded, Outputs: [][]byte{s.Payload}}
}

func testServer(t *testing.T, peer coordination.PeerServer, change func(*ServerConfig)) (*Server, string) {
	t.Helper()
	cfg := DefaultServerConfig(loopback)
	cfg.Logger = hclog.NewNullLogger()
	cfg.Registry = metrics.NewRegistry()
	cfg.Tracer = trace.NewTracerProvider()
	if change != nil {
		change(&cfg)
	}
	s := NewServer(cfg, peer)
	address, err := s.Start()
	is.New(t).NoErr(err)
	t.Cleanup(func() { stopServer(t, s) })
	return s, address.String()
}

func stopServer(t *testing.T, s *Server) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	is.New(t).NoErr(s.Shutdown(ctx))
}

func testClient(t *testing.T, change func(*ClientConfig)) *Client {
	t.Helper()
	cfg := DefaultClientConfig()
	cfg.Logger = hclog.NewNullLogger()
	cfg.Registry = metrics.NewRegistry()
	cfg.Tracer = trace.NewTracerProvider()
	if change != nil {
		change(&cfg)
	}
	c := NewClient(cfg)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func within(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	return ctx
}

// eventually polls until the condition holds.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatal("the condition did not come to hold")
		}
		time.Sleep(time.Millisecond)
	}
}

// rawPeer accepts connections and hands each to a function.
func rawPeer(t *testing.T, handle func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", loopback)
	is.New(t).NoErr(err)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	wg.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			wg.Go(func() { handle(conn) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		mu.Lock()
		for _, conn := range conns {
			_ = conn.Close()
		}
		mu.Unlock()
		wg.Wait()
	})
	return listener.Addr().String()
}

// relay forwards bytes to a target. hold keeps back the bytes of the
// connections that are open then, in both directions or from the target only.
type relay struct {
	address string
	mu      sync.Mutex
	gates   []*gate
	// sent counts the bytes forwarded to the target.
	sent atomic.Int64
}

// gate holds bytes while its channels are not nil and not closed.
type gate struct{ fromTarget, toTarget atomic.Pointer[chan struct{}] }

func newRelay(t *testing.T, target string) *relay {
	r := &relay{}
	r.address = rawPeer(t, func(client net.Conn) {
		server, err := net.Dial("tcp", target)
		if err != nil {
			_ = client.Close()
			return
		}
		g := &gate{}
		r.mu.Lock()
		r.gates = append(r.gates, g)
		r.mu.Unlock()
		var wg sync.WaitGroup
		wg.Go(func() { pump(&g.fromTarget, server, client, new(atomic.Int64)) })
		pump(&g.toTarget, client, server, &r.sent)
		wg.Wait()
	})
	t.Cleanup(r.release)
	return r
}

func pump(held *atomic.Pointer[chan struct{}], from, to net.Conn, sent *atomic.Int64) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if holding := held.Load(); holding != nil {
			<-*holding
		}
		if _, failed := to.Write(buffer[:n]); failed != nil || err != nil {
			break
		}
		sent.Add(int64(n))
	}
	if err := to.(*net.TCPConn).CloseWrite(); err != nil {
		_ = to.Close()
	}
}

func (r *relay) hold(both bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range r.gates {
		holding := make(chan struct{})
		g.fromTarget.Store(&holding)
		if both {
			g.toTarget.Store(&holding)
		}
	}
}

func (r *relay) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range r.gates {
		if holding := g.fromTarget.Swap(nil); holding != nil {
			close(*holding)
		}
	}
}

// swallow reads until the connection ends.
func swallow(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }
