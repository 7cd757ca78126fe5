package agent

import (
	"time"

	"github.com/hashicorp/go-hclog"
	metrics "github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/coordination/admission"
	"github.com/samphirerail/samphirerail/internal/coordination/configlog"
	"github.com/samphirerail/samphirerail/internal/coordination/membership"
	"github.com/samphirerail/samphirerail/internal/coordination/owner"
	"github.com/samphirerail/samphirerail/internal/settings"
	"github.com/samphirerail/samphirerail/internal/transport/netcount"
	"github.com/samphirerail/samphirerail/internal/transport/platformclient"
	"github.com/samphirerail/samphirerail/internal/transport/rpc"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// retryAfter is the retry delay sent to callers while their domain has no owner.
const retryAfter = 2 * time.Second

// clients holds the clients for the platform and for other entries.
type clients struct {
	log   *trackedLog
	vms   *trackedVMList
	peers *rpc.Client
	dial  owner.Dialer
}

func newClients(s settings.Settings, logger hclog.Logger, registry metrics.Registry) *clients {
	source := s.Listen.Source()
	logOptions := platformclient.Options{Timeout: s.Platform.Timeout.Std(), LocalAddress: source, Traffic: netcount.New(registry, "log")}
	listOptions := platformclient.Options{Timeout: s.Platform.Timeout.Std(), LocalAddress: source, Traffic: netcount.New(registry, "vms")}
	cfg := rpc.DefaultClientConfig()
	cfg.LocalAddress = source
	cfg.Logger = logger
	cfg.Registry = registry
	cfg.Tracer = otel.GetTracerProvider()
	workers := newWorkerPool(platformclient.Options{
		Timeout:        s.Upstream.Timeout.Std(),
		MaxConnections: s.Upstream.Connections,
		LocalAddress:   source,
		Traffic:        netcount.New(registry, "workers"),
	})
	return &clients{
		log:   newTrackedLog(platformclient.NewLog(s.Platform.Log, logOptions)),
		vms:   &trackedVMList{VMList: platformclient.NewVMList(s.Platform.VMList, listOptions)},
		peers: rpc.NewClient(cfg),
		dial:  workers.dial,
	}
}

func newFollower(s settings.Settings, id identity, c *clients, logger hclog.Logger, registry metrics.Registry, status *statusSource) (*configlog.Follower, error) {
	return configlog.New(configlog.Options{
		Log:              c.log,
		Entry:            id.entry,
		Domain:           id.domain,
		Settle:           status.settlement,
		Logger:           logger,
		Metrics:          registry,
		AppendsPerSecond: s.Limits.LogAppendRate,
	})
}

func newMembership(s settings.Settings, id identity, c *clients, logger hclog.Logger, registry metrics.Registry, status *statusSource) (*membership.Service, error) {
	return membership.New(membership.Config{
		Self:           id.entry,
		Domain:         id.domain,
		Address:        s.Listen.Advertised(),
		Seeds:          s.Peers.Seeds,
		Interval:       s.Peers.Heartbeat.Std(),
		RemoteInterval: s.Peers.RemoteHeartbeat.Std(),
		DeadAfter:      s.Peers.DeadAfter.Std(),
	}, status.status, c.peers, c.vms, logger, registry)
}

func newRouter(o *shardOwner, follower *configlog.Follower, c *clients, members *membership.Service) coordination.JobService {
	return &admission.Service{
		JobService: o.router,
		View:       follower.View,
		Isolated: func() bool {
			return c.log.sinceLastResponse() > isolatedAfter && members.Snapshot().SinceRemoteContact > isolatedAfter
		},
	}
}

// isolatedAfter is how long the log and every entry of another domain must be
// unreachable before the domain counts as isolated.
const isolatedAfter = 10 * time.Second

var _ devplatform.Log = (*trackedLog)(nil)
