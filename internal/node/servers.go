package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/samphirerail/samphirerail/internal/transport/callerlimit"
	"github.com/samphirerail/samphirerail/internal/transport/peer"
	"github.com/samphirerail/samphirerail/platform"
)

// servers holds the servers of a node.
type servers struct {
	http    []*http.Server
	callers *http.Server
	peer    *peer.Server
}

func listen(p *parts) (*servers, error) {
	s := p.settings.Load()
	out := &servers{}
	limits, err := listenerLimits(s)
	if err != nil {
		return nil, err
	}
	p.logger.Info("limits of callers", "connections", limits.callers.Connections, "request_bytes", limits.callers.RequestBytes, "peer_connections", limits.peers.Connections)
	if out.peer, err = peer.Serve(s.Listen.Internal, p, limits.peers, p.logger); err != nil {
		return nil, err
	}
	callerAPI := platform.NewCallerAPI(p.intake, p.replica.Config, p.logger)
	if out.callers, err = out.serve(p, "callers", s.Listen.Callers, limits.callers, p.closeWhenStopping(callerAPI)); err != nil {
		return nil, err
	}
	if _, err = out.serve(p, "ready", s.Listen.Ready, callerlimit.ForMonitors(), http.HandlerFunc(p.serveReady)); err != nil {
		return nil, err
	}
	if s.Listen.Metrics != "" {
		if _, err = out.serve(p, "metrics", s.Listen.Metrics, callerlimit.ForMonitors(), http.HandlerFunc(p.serveMetrics)); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func (s *servers) serve(p *parts, name, address string, limits callerlimit.Limits, handler http.Handler) (*http.Server, error) {
	guard := callerlimit.New(name, limits, p.requestLimits, p.logger, p.registry)
	listener, err := guard.Listen(address)
	if err != nil {
		return nil, fmt.Errorf("node: cannot listen on %s: %w; check the listen settings", address, err)
	}
	server := &http.Server{Handler: handler}
	guard.Configure(server)
	s.http = append(s.http, server)
	go func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			p.logger.Error("listener failed", "address", address, "error", err)
		}
	}()
	return server, nil
}

// closeWhenStopping wraps next. While this entry is stopping, it sends "Connection:
// close", so that callers open their next connection to another entry.
func (p *parts) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (p *parts) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !p.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveMetrics writes the metrics as text, one "name value" pair per line. A histogram is
// written as its count, percentiles and maximum.
func (p *parts) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain")
	p.registry.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			fmt.Fprintf(w, "%s %d\n", name, m.Count())
		case metrics.Gauge:
			fmt.Fprintf(w, "%s %d\n", name, m.Value())
		case metrics.Histogram:
			snapshot := m.Snapshot()
			q := snapshot.Percentiles([]float64{0.5, 0.9, 0.99})
			fmt.Fprintf(w, "%s_count %d\n%s_p50 %.0f\n%s_p90 %.0f\n%s_p99 %.0f\n%s_max %d\n",
				name, snapshot.Count(), name, q[0], name, q[1], name, q[2], name, snapshot.Max())
		}
	})
}

// shutdown closes the listeners and waits for open requests until ctx ends.
func (s *servers) shutdown(ctx context.Context) error {
	var err error
	for _, server := range s.http {
		err = errors.Join(err, server.Shutdown(ctx))
	}
	return errors.Join(err, s.peer.Close())
}
