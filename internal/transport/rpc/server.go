package rpc

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/trace"

	"github.com/samphirerail/samphirerail/internal/coordination"

	"github.com/samphirerail/samphirerail/internal/transport/netcount"
)

// serviceName is the name of the service on the wire.
const serviceName = "Peer"

// ServerConfig sets the limits of a Server.
type ServerConfig struct {
	// Address is IP:port.
	Address string
	// HelloTimeout bounds the opening of a connection.
	HelloTimeout time.Duration
	// WriteTimeout bounds the write of one reply.
	WriteTimeout time.Duration
	// MaxCallTime bounds a call whatever its caller asks.
	MaxCallTime time.Duration
	// LingerTimeout bounds the wait for the other end to close a connection
	// after the goodbye.
	LingerTimeout time.Duration
	// MaxConnections is the most connections that are open at once.
	MaxConnections int
	MaxFrameBytes  int
	Logger         hclog.Logger
	Registry       metrics.Registry
	Tracer         trace.TracerProvider

	// noGoodbye is changed by tests.
	noGoodbye bool
}

// DefaultServerConfig returns the usual limits. Logger, Registry and Tracer are
// left to the caller.
func DefaultServerConfig(address string) ServerConfig {
	return ServerConfig{
		Address:        address,
		HelloTimeout:   2 * time.Second,
		WriteTimeout:   10 * time.Second,
		MaxCallTime:    10 * time.Minute,
		LingerTimeout:  time.Second,
		MaxConnections: 1024,
		MaxFrameBytes:  DefaultMaxFrameBytes,
	}
}

// Server takes calls of other entries and hands them to a
// coordination.PeerServer.
type Server struct {
	cfg      ServerConfig
	peer     coordination.PeerServer
	tracer   trace.Tracer
	calls    metrics.Counter
	listener net.Listener
	// ctx ends when the calls in flight must end.
	ctx    context.Context
	cancel context.CancelFunc
	// draining ends when the server takes no new submissions.
	draining context.Context
	drain    context.CancelFunc

	mu    sync.Mutex
	conns map[*serverConn]struct{}
	wg    sync.WaitGroup

	stop    sync.Once
	stopErr error
}

// NewServer returns a server that is not listening yet.
func NewServer(cfg ServerConfig, peer coordination.PeerServer) *Server {
	s := &Server{
		cfg:    cfg,
		peer:   peer,
		tracer: cfg.Tracer.Tracer(tracerName),
		calls:  metrics.GetOrRegisterCounter("rpc.server.calls", cfg.Registry),
		conns:  map[*serverConn]struct{}{},
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.draining, s.drain = context.WithCancel(context.Background())
	return s
}

// Start listens and serves in goroutines of its own. It returns the address it
// listens on, and fails when the address can't be bound.
func (s *Server) Start() (net.Addr, error) {
	listener, err := net.Listen("tcp", s.cfg.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "rpc: can't listen on %s; choose a free IP:port", s.cfg.Address)
	}
	s.listener = listener
	s.wg.Go(s.accept)
	return listener.Addr(), nil
}

func (s *Server) accept() {
	traffic := netcount.New(s.cfg.Registry, trafficKind)
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.cfg.Logger.Warn("accept failed", "error", err)
			s.pause()
			continue
		}
		counted := traffic.Conn(conn)
		s.wg.Go(func() { s.serve(counted) })
	}
}

// acceptPause is the wait after a failed accept, such as for want of file
// descriptors.
const acceptPause = 50 * time.Millisecond

func (s *Server) pause() {
	timer := time.NewTimer(acceptPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.draining.Done():
	}
}

func (s *Server) serve(conn net.Conn) {
	sc := newServerConn(s, conn)
	if !s.add(sc) {
		_ = conn.Close()
		return
	}
	defer s.remove(sc)
	if err := welcome(conn, ProtocolVersion, s.cfg.HelloTimeout); err != nil {
		_ = conn.Close()
		s.cfg.Logger.Warn("connection refused", "remote", conn.RemoteAddr(), "error", err)
		return
	}
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &service{server: s, conn: sc}); err != nil {
		_ = conn.Close()
		s.cfg.Logger.Error("service can't be registered", "error", err)
		return
	}
	sc.open()
	server.ServeCodec(sc)
}

// add admits a connection, unless the server is full or stopping.
func (s *Server) add(sc *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining.Err() != nil || len(s.conns) >= s.cfg.MaxConnections {
		return false
	}
	s.conns[sc] = struct{}{}
	return true
}

func (s *Server) remove(sc *serverConn) {
	sc.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, sc)
}

func (s *Server) connections() []*serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*serverConn, 0, len(s.conns))
	for sc := range s.conns {
		conns = append(conns, sc)
	}
	return conns
}

// Shutdown stops listening, drops new submissions, and closes each connection
// with a goodbye once its calls are answered. When ctx ends first, the calls in
// flight are cancelled, the connections are closed, and the error of ctx is
// returned. A second call waits for the first and returns the same.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stop.Do(func() { s.stopErr = s.shutdown(ctx) })
	return s.stopErr
}

func (s *Server) shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.drain()
	s.mu.Unlock()
	defer s.cancel()
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for _, sc := range s.connections() {
		sc.closeWhenIdle()
	}
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	s.cancel()
	for _, sc := range s.connections() {
		_ = sc.conn.Close()
	}
	<-done
	return eris.Wrap(ctx.Err(), "rpc: calls of peers were cut; allow more time for the stop")
}
