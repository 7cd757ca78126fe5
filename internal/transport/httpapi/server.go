package httpapi

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ServerConfig sets the limits of a Server.
type ServerConfig struct {
	// Address is IP:port.
	Address string
	// ReadHeaderTimeout bounds reading a request's header, ReadTimeout the
	// whole request, WriteTimeout the time from the end of the header to the
	// end of the reply, IdleTimeout a connection between requests.
	ReadHeaderTimeout time.Duration
	ReadTimeout       time.Duration
	WriteTimeout      time.Duration
	IdleTimeout       time.Duration
	// BalancerDelay is how long a stopping server goes on taking calls while
	// the balancer learns that it is not ready.
	BalancerDelay time.Duration
}

// DefaultServerConfig returns limits that let a call wait for v1.MaxWait.
func DefaultServerConfig(address string) ServerConfig {
	return ServerConfig{
		Address:           address,
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       15 * time.Second,
		WriteTimeout:      60 * time.Second,
		IdleTimeout:       75 * time.Second,
		BalancerDelay:     3 * time.Second,
	}
}

// Server serves a handler on one listener and stops without cutting a call.
type Server struct {
	cfg    ServerConfig
	health *Health
	http   *http.Server
	stop   sync.Once
	// stopped is closed when the shutdown is over; stopErr is set before.
	stopped chan struct{}
	stopErr error
}

// NewServer returns a server that is not listening yet.
func NewServer(cfg ServerConfig, handler http.Handler, health *Health) *Server {
	return &Server{
		cfg:    cfg,
		health: health,
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: cfg.ReadHeaderTimeout,
			ReadTimeout:       cfg.ReadTimeout,
			WriteTimeout:      cfg.WriteTimeout,
			IdleTimeout:       cfg.IdleTimeout,
			MaxHeaderBytes:    MaxHeaderBytes,
		},
		stopped: make(chan struct{}),
	}
}

// Start listens and serves in a goroutine of its own. It returns the address it
// listens on, and fails when the address can't be bound. failed, when not nil,
// is called when serving ends by itself.
func (s *Server) Start(failed func(error)) (net.Addr, error) {
	listener, err := net.Listen("tcp", s.cfg.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "httpapi: can't listen on %s; choose a free IP:port", s.cfg.Address)
	}
	go func() {
		err := s.http.Serve(listener)
		if !errors.Is(err, http.ErrServerClosed) && failed != nil {
			failed(eris.Wrap(err, "httpapi: serving ended; restart the entry"))
		}
	}()
	return listener.Addr(), nil
}

// Shutdown makes the entry unready, goes on taking calls for BalancerDelay,
// then stops listening and waits for the calls in flight. When ctx ends first
// the rest of the calls is cut and the error of ctx is returned. A second call
// waits for the first and returns the same.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stop.Do(func() {
		defer close(s.stopped)
		s.stopErr = s.shutdown(ctx)
	})
	<-s.stopped
	return s.stopErr
}

func (s *Server) shutdown(ctx context.Context) error {
	s.health.Drain()
	s.waitForBalancer(ctx)
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
		return eris.Wrap(err, "httpapi: calls were cut; allow more time for the stop")
	}
	return nil
}

func (s *Server) waitForBalancer(ctx context.Context) {
	timer := time.NewTimer(s.cfg.BalancerDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
