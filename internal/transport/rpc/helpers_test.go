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

// relay forwards bytes to a target. Each gate, when closed, holds the bytes of
// the connections that were open then, in both directions or from the target
// only.
type relay struct {
	address string
	mu      sync.Mutex
	gates   []*gate
	// sent counts the bytes forwarded to the target.
	sent atomic.Int64
}

type gate struct {
	mu       sync.Mutex
	both     bool
	holding  chan struct{}
	released bool
}

func (g *gate) wait(fromTarget bool) {
	g.mu.Lock()
	holding := g.holding
	held := holding != nil && (fromTarget || g.both)
	g.mu.Unlock()
	if held {
		<-holding
	}
}

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
		wg.Go(func() { r.pump(g, server, client, true) })
		r.pump(g, client, server, false)
		wg.Wait()
	})
	t.Cleanup(r.release)
	return r
}

func (r *relay) pump(g *gate, from, to net.Conn, fromTarget bool) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		g.wait(fromTarget)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
			if !fromTarget {
				r.sent.Add(int64(n))
			}
		}
		if err != nil {
			break
		}
	}
	if err := to.(*net.TCPConn).CloseWrite(); err != nil {
		_ = to.Close()
	}
}

// hold closes the gates of the present connections.
func (r *relay) hold(both bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range r.gates {
		g.mu.Lock()
		g.both = both
		g.holding = make(chan struct{})
		g.mu.Unlock()
	}
}

func (r *relay) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range r.gates {
		g.mu.Lock()
		if g.holding != nil && !g.released {
			g.released = true
			close(g.holding)
		}
		g.mu.Unlock()
	}
}

// swallow reads until the connection ends.
func swallow(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }
