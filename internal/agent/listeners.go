package agent

import (
	"context"

	"github.com/hashicorp/go-hclog"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/coordination/configlog"
	"github.com/samphirerail/samphirerail/internal/coordination/membership"
	"github.com/samphirerail/samphirerail/internal/settings"
	"github.com/samphirerail/samphirerail/internal/transport/callerlimit"
	"github.com/samphirerail/samphirerail/internal/transport/httpapi"
	"github.com/samphirerail/samphirerail/internal/transport/rpc"
)

// listeners holds the servers of an entry: for callers, for operators and for peers.
type listeners struct {
	callers *httpapi.Server
	monitor *httpapi.Server
	peers   *rpc.Server
	health  *httpapi.Health

	callersAddress string
	log            hclog.Logger
	// ready reports whether the entry accepts work. It is set by newEntry.
	ready func() error
}

func newListeners(s settings.Settings, id identity, jobs coordination.JobService, o *shardOwner, follower *configlog.Follower, members *membership.Service, logger hclog.Logger, registry metrics.Registry) (*listeners, error) {
	descriptors, err := callerlimit.Descriptors()
	if err != nil {
		return nil, err
	}
	l := &listeners{log: logger, ready: func() error { return errNoConfig }}
	l.health = httpapi.NewHealth(func() error { return l.ready() })
	handler := httpapi.NewHandler(httpapi.Config{
		Jobs:       jobs,
		Operations: &operations{id: id, follower: follower, members: members, shardOwner: o, health: l.health, log: logger},
		Auth:       newAuthenticator(s, follower),
		Health:     l.health,
		Logger:     logger,
		Registry:   registry,
		Tracer:     otel.GetTracerProvider(),
	})
	callers := httpapi.DefaultServerConfig(s.Listen.Callers)
	callers.BalancerDelay = s.Shutdown.BalancerDelay.Std()
	callers.Limits, callers.Name, callers.Logger, callers.Registry = callerlimit.ForVM(descriptors, 0), "callers", logger, registry
	l.callers = httpapi.NewServer(callers, handler, l.health)
	monitor := httpapi.NewMonitor(httpapi.MonitorConfig{Registry: registry, Health: l.health, Profiling: true})
	operators := httpapi.DefaultServerConfig(s.Listen.Operators)
	operators.BalancerDelay = 0
	operators.Limits, operators.Name, operators.Logger, operators.Registry = callerlimit.ForMonitors(), "operators", logger, registry
	l.monitor = httpapi.NewServer(operators, monitor, l.health)
	peers := rpc.DefaultServerConfig(s.Listen.Internal)
	peers.Logger = logger
	peers.Registry = registry
	peers.Tracer = otel.GetTracerProvider()
	l.peers = rpc.NewServer(peers, &peerServer{members: members, manager: o.manager, follower: follower, shard: id.shard})
	return l, nil
}

func (l *listeners) start() error {
	if _, err := l.peers.Start(); err != nil {
		return eris.Wrap(err, "agent: can't listen for other entries; choose a free address for listen.internal")
	}
	if _, err := l.monitor.Start(l.failed); err != nil {
		return eris.Wrap(err, "agent: can't listen for operators; choose a free address for listen.operators")
	}
	address, err := l.callers.Start(l.failed)
	if err != nil {
		return eris.Wrap(err, "agent: can't listen for callers; choose a free address for listen.callers")
	}
	l.callersAddress = address.String()
	return nil
}

// failed logs that a listener ended without being stopped.
func (l *listeners) failed(err error) { l.log.Error("listener failed", "error", err) }

func (l *listeners) stopCallers(ctx context.Context) error { return l.callers.Shutdown(ctx) }

func (l *listeners) stopPeers(ctx context.Context) error { return l.peers.Shutdown(ctx) }

func (l *listeners) stopMonitor(ctx context.Context) error { return l.monitor.Shutdown(ctx) }
