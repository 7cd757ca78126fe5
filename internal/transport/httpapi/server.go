package httpapi

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"github.com/samphirerail/samphirerail/internal/transport/callerlimit"
)

// ServerConfig holds the address and the timeouts of a Server.
type ServerConfig struct {
	// Address is the listen address, IP:port.
	Address string
	// ReadHeaderTimeout limits reading a request's header, ReadTimeout its body,
	// WriteTimeout the time from the end of the header to the end of the
	// response, IdleTimeout a connection between requests.
	ReadHeaderTimeout time.Duration
	ReadTimeout       time.Duration
	WriteTimeout      time.Duration
	IdleTimeout       time.Duration
	// Limits bounds what all callers hold together.
	Limits callerlimit.Limits
	// Name begins the names of the server's metrics.
	Name     string
	Logger   hclog.Logger
	Registry metrics.Registry
	// BalancerDelay is how long the server keeps accepting calls after Shutdown
	// begins, so that the load balancer can see that it is not ready.
	BalancerDelay time.Duration
}

// defaultConnections and defaultRequestBytes are the limits of DefaultServerConfig.
const (
	defaultConnections  = 1024
	defaultRequestBytes = 64 << 20
	defaultBacklog      = 1024
)

// DefaultServerConfig returns a configuration whose timeouts allow a call to wait
// for v1.MaxWait. It logs nothing.
func DefaultServerConfig(address string) ServerConfig {
	return ServerConfig{
		Address:           address,
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       15 * time.Second,
		WriteTimeout:      60 * time.Second,
		IdleTimeout:       75 * time.Second,
		BalancerDelay:     3 * time.Second,
		Limits:            callerlimit.Limits{Connections: defaultConnections, RequestBytes: defaultRequestBytes, Backlog: defaultBacklog},
		Name:              "http",
		Logger:            hclog.NewNullLogger(),
		Registry:          metrics.NewRegistry(),
	}
}

// Server serves a handler on one listener and supports graceful shutdown.
type Server struct {
	cfg      ServerConfig
	health   *Health
	guard    *callerlimit.Guard
	http     *http.Server
	stopOnce sync.Once
	// stopped is closed when the shutdown is complete; shutdownErr is set before.
	stopped     chan struct{}
	shutdownErr error
}

// NewServer returns a server that is not listening yet.
func NewServer(cfg ServerConfig, handler http.Handler, health *Health) *Server {
	requestLimits := callerlimit.RequestLimits{
		HeaderBytes: MaxHeaderBytes, HeaderTimeout: cfg.ReadHeaderTimeout, BodyTimeout: cfg.ReadTimeout, IdleTimeout: cfg.IdleTimeout,
	}
	s := &Server{
		cfg:     cfg,
		health:  health,
		guard:   callerlimit.New(cfg.Name, cfg.Limits, func() callerlimit.RequestLimits { return requestLimits }, cfg.Logger, cfg.Registry),
		http:    &http.Server{Handler: handler, WriteTimeout: cfg.WriteTimeout},
		stopped: make(chan struct{}),
	}
	s.guard.Configure(s.http)
	return s
}

// Start listens on the configured address and serves in a new goroutine. It
// returns the listen address, or an error if the address can't be bound. If
// failed is not nil, it is called when serving ends for any reason other than
// Shutdown.
func (s *Server) Start(failed func(error)) (net.Addr, error) {
	listener, err := s.guard.Listen(s.cfg.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "httpapi: can't listen on %s; choose a free IP:port", s.cfg.Address)
	}
	go func() {
		err := s.http.Serve(listener)
		if !errors.Is(err, http.ErrServerClosed) && failed != nil {
			failed(eris.Wrap(err, "httpapi: the HTTP server stopped unexpectedly; restart the entry"))
		}
	}()
	return listener.Addr(), nil
}

// Shutdown marks the entry as draining, keeps accepting calls for BalancerDelay,
// then stops listening and waits for the calls in flight. If ctx ends first, it
// closes the remaining connections and returns an error that wraps the error of
// ctx. Concurrent and later calls wait for the first one and return its result.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopOnce.Do(func() {
		defer close(s.stopped)
		s.shutdownErr = s.shutdown(ctx)
	})
	<-s.stopped
	return s.shutdownErr
}

func (s *Server) shutdown(ctx context.Context) error {
	s.health.Drain()
	s.waitForBalancer(ctx)
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
		return eris.Wrap(err, "httpapi: shutdown interrupted calls in flight; allow more time for the shutdown")
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
