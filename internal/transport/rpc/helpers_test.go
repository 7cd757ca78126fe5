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
	"github.com/samphirerail/samphirerail/internal/testlink"
)

const (
	testTimeout = 30 * time.Second
	jobA        = state.JobID("north.0190b6c4-7a00-7000-8000-00000000000a")
	jobB        = state.JobID("north.0190b6c4-7a00-7000-8000-00000000000b")
	loopback    = "127.0.0.1:0"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakePeer implements coordination.PeerServer with fixed replies. HandleSubmit echoes the
// payload, unless submit is set; get replaces the reply of HandleGet.
type fakePeer struct {
	submit func(context.Context, coordination.Submission) (coordination.JobStatus, error)
	get    func(context.Context, state.JobID, time.Duration) (coordination.JobStatus, error)
	// ran counts the submissions that were handled.
	ran atomic.Int64
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

func testServer(t *testing.T, peer coordination.PeerServer, configure func(*ServerConfig)) (*Server, string) {
	t.Helper()
	cfg := DefaultServerConfig(loopback)
	cfg.Logger = hclog.NewNullLogger()
	cfg.Registry = metrics.NewRegistry()
	cfg.Tracer = trace.NewTracerProvider()
	if configure != nil {
		configure(&cfg)
	}
	s := NewServer(cfg, peer)
	address, err := s.Start()
	is.New(t).NoErr(err)
	t.Cleanup(func() { stopServer(t, s) })
	return s, address.String()
}

func stopServer(t *testing.T, s *Server) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	is.New(t).NoErr(s.Shutdown(ctx))
}

func testClient(t *testing.T, configure func(*ClientConfig)) *Client {
	t.Helper()
	cfg := DefaultClientConfig()
	cfg.Logger = hclog.NewNullLogger()
	cfg.Registry = metrics.NewRegistry()
	cfg.Tracer = trace.NewTracerProvider()
	if configure != nil {
		configure(&cfg)
	}
	c := NewClient(cfg)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// eventually polls until the condition is met.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatal("the condition was not met before the test timeout")
		}
		time.Sleep(time.Millisecond)
	}
}

// rawPeer accepts TCP connections and calls handle for each. It returns its address.
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

// tcpProxy forwards connections to a target. pause stops the forwarding on the connections
// that are open at that time, in both directions or only from the target.
type tcpProxy struct {
	address string
	mu      sync.Mutex
	gates   []*gate
	// sent counts the bytes forwarded to the target.
	sent atomic.Int64
}

// gate controls the forwarding on one connection. A direction is paused while its channel
// is set and not closed.
type gate struct{ fromTarget, toTarget atomic.Pointer[chan struct{}] }

func newTCPProxy(t *testing.T, target string) *tcpProxy {
	p := &tcpProxy{}
	p.address = rawPeer(t, func(client net.Conn) {
		server, err := net.Dial("tcp", target)
		if err != nil {
			_ = client.Close()
			return
		}
		g := &gate{}
		p.mu.Lock()
		p.gates = append(p.gates, g)
		p.mu.Unlock()
		var wg sync.WaitGroup
		wg.Go(func() { forward(&g.fromTarget, server, client, new(atomic.Int64)) })
		forward(&g.toTarget, client, server, &p.sent)
		wg.Wait()
	})
	t.Cleanup(p.resume)
	return p
}

func forward(paused *atomic.Pointer[chan struct{}], from, to net.Conn, sent *atomic.Int64) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if resumed := paused.Load(); resumed != nil {
			<-*resumed
		}
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil || err != nil {
			break
		}
		sent.Add(int64(n))
	}
	if err := to.(*net.TCPConn).CloseWrite(); err != nil {
		_ = to.Close()
	}
}

func (p *tcpProxy) pause(both bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, g := range p.gates {
		resumed := make(chan struct{})
		g.fromTarget.Store(&resumed)
		if both {
			g.toTarget.Store(&resumed)
		}
	}
}

func (p *tcpProxy) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, g := range p.gates {
		if resumed := g.fromTarget.Swap(nil); resumed != nil {
			close(*resumed)
		}
	}
}

// discardAll reads and discards everything until the connection ends.
// narrowProxy forwards connections to target and sends the replies over a narrow link. It
// returns its address.
func narrowProxy(t *testing.T, target string) string {
	listener, err := net.Listen("tcp4", loopback)
	is.New(t).NoErr(err)
	var group sync.WaitGroup
	t.Cleanup(func() {
		_ = listener.Close()
		group.Wait()
	})
	narrow := testlink.Narrow(listener)
	group.Go(func() {
		for {
			client, err := narrow.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp4", target)
			if err != nil {
				_ = client.Close()
				return
			}
			for _, pair := range [][2]net.Conn{{client, server}, {server, client}} {
				group.Go(func() {
					_, _ = io.Copy(pair[0], pair[1]) // ends when either side closes
					_, _ = client.Close(), server.Close()
				})
			}
		}
	})
	return listener.Addr().String()
}

func discardAll(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }
