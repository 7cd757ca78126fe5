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

// serviceName is the net/rpc service name.
const serviceName = "Peer"

// ServerConfig configures a Server.
type ServerConfig struct {
	// Address is the IP:port to listen on.
	Address string
	// HelloTimeout bounds the handshake of a connection.
	HelloTimeout time.Duration
	// WriteTimeout bounds the write of one reply.
	WriteTimeout time.Duration
	// MaxCallTime bounds a call regardless of the caller's deadline.
	MaxCallTime time.Duration
	// LingerTimeout bounds the wait for the peer to close a connection after the
	// go-away frame.
	LingerTimeout time.Duration
	// MaxConnections is the maximum number of open connections.
	MaxConnections int
	// MaxFrameBytes is the maximum size of a message.
	MaxFrameBytes int
	Logger        hclog.Logger
	Registry      metrics.Registry
	Tracer        trace.TracerProvider

	// noGoAway is set only by tests.
	noGoAway bool
}

// DefaultServerConfig returns the default limits. The caller must set Logger, Registry
// and Tracer.
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

// Server accepts calls from other entries and passes them to a
// coordination.PeerServer.
type Server struct {
	cfg      ServerConfig
	peer     coordination.PeerServer
	tracer   trace.Tracer
	calls    metrics.Counter
	listener net.Listener
	// ctx is cancelled when the calls in flight must end.
	ctx    context.Context
	cancel context.CancelFunc
	// draining is cancelled when the server stops accepting submissions.
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

// Start begins to listen and serves connections in the background. It returns the address
// that it listens on, or an error if the configured address can't be bound.
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
			s.cfg.Logger.Warn("accept failed; retrying", "error", err)
			s.pause()
			continue
		}
		counted := traffic.Conn(conn)
		s.wg.Go(func() { s.serve(counted) })
	}
}

// acceptPause is the pause after a failed accept, for example when the process has run
// out of file descriptors.
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
	if err := serverHandshake(conn, ProtocolVersion, s.cfg.HelloTimeout); err != nil {
		_ = conn.Close()
		s.cfg.Logger.Warn("connection closed after a failed handshake", "remote", conn.RemoteAddr(), "error", err)
		return
	}
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &service{server: s, conn: sc}); err != nil {
		_ = conn.Close()
		s.cfg.Logger.Error("service can't be registered", "error", err)
		return
	}
	sc.finishHandshake()
	server.ServeCodec(sc)
}

// add registers a connection. It returns false if the server is stopping or has reached
// MaxConnections.
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

// Shutdown stops listening, drops new submissions, and closes each connection with a
// go-away frame once its calls have been answered. If ctx ends first, it cancels the
// calls in flight, closes the connections and returns the error of ctx. A further call
// waits for the first one and returns its result.
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
	return eris.Wrap(ctx.Err(), "rpc: calls in flight were cancelled; increase the shutdown timeout")
}
