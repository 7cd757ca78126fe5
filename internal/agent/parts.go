package agent

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	metrics "github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/coordination/admission"
	"github.com/samphirerail/samphirerail/internal/coordination/configlog"
	"github.com/samphirerail/samphirerail/internal/coordination/inventory"
	"github.com/samphirerail/samphirerail/internal/coordination/limits"
	"github.com/samphirerail/samphirerail/internal/coordination/membership"
	"github.com/samphirerail/samphirerail/internal/coordination/owner"
	"github.com/samphirerail/samphirerail/internal/coordination/ownership"
	"github.com/samphirerail/samphirerail/internal/coordination/routing"
	"github.com/samphirerail/samphirerail/internal/settings"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/machine"
	"github.com/samphirerail/samphirerail/internal/state/queue"
	"github.com/samphirerail/samphirerail/internal/transport/netcount"
	"github.com/samphirerail/samphirerail/internal/transport/platformclient"
	"github.com/samphirerail/samphirerail/internal/transport/rpc"
	"github.com/samphirerail/samphirerail/platform"
)

// retryAfter is told to callers whose domain has no owner for the moment.
const retryAfter = 2 * time.Second

// clients are the connections to the platform and to other entries.
type clients struct {
	log   *contactLog
	vms   *contactVMs
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
		log:   newContactLog(platformclient.NewLog(s.Platform.Log, logOptions)),
		vms:   &contactVMs{VMList: platformclient.NewVMList(s.Platform.VMList, listOptions)},
		peers: rpc.NewClient(cfg),
		dial:  workers.dial,
	}
}

func newFollower(s settings.Settings, id identity, c *clients, logger hclog.Logger, registry metrics.Registry, status *statusBoard) (*configlog.Follower, error) {
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

func newMembership(s settings.Settings, id identity, c *clients, logger hclog.Logger, registry metrics.Registry, status *statusBoard) (*membership.Service, error) {
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

// owning are the parts that own the domain's shard.
type owning struct {
	manager *owner.Manager
	runner  *ownership.Runner
	joiner  *inventory.Joiner
	limits  *limits.Rebalancer
	router  *routing.Router
	// returning counts handovers of waiting jobs that go on.
	returning sync.WaitGroup
}

// maxShort is the most teams named as short in a heartbeat.
const maxShort = 8

// rebalanceInterval is how often unused allotments are offered to other domains.
const rebalanceInterval = 2 * time.Second

func newOwner(s settings.Settings, id identity, c *clients, follower *configlog.Follower, members *membership.Service, logger hclog.Logger, registry metrics.Registry, status *statusBoard) *owning {
	o := &owning{}
	absences := inventory.NewAbsences(inventory.DefaultListLag, c.vms.lastRead)
	o.manager = owner.NewManager(owner.ManagerConfig{
		Config: owner.Config{
			Shard:      id.shard,
			Machine:    machineConfig(s),
			Timing:     timing(s),
			Source:     inventory.NewSource(id.domain, follower.View, members.Snapshot, absences),
			Dial:       c.dial,
			MayFence:   func() bool { return !members.Stale() },
			Log:        c.log,
			OnReturned: func(list []coordination.Submission) { o.returned(list, logger) },
			Logger:     logger,
			Registry:   registry,
		},
		Retry:   retryAfter,
		Changed: members.Announce,
	})
	o.runner = ownership.NewRunner(id.entry, id.domain, id.shard, ownership.Limits{}, members, c.log, o.manager, logger)
	o.manager.OnFenced(o.runner.Fenced)
	o.joiner = &inventory.Joiner{
		Domain: id.domain, Config: follower, Listed: members.Snapshot,
		Owns: func() bool { return o.manager.Owns(id.shard) }, Interval: time.Second, Absences: absences, Logger: logger,
	}
	o.limits = &limits.Rebalancer{
		Domain: id.domain, Config: follower, Members: members.Snapshot,
		Usage: o.usage, Interval: rebalanceInterval, Logger: logger,
	}
	o.router = routing.New(id.entry, id.domain, members.Snapshot, o.manager, c.peers, routing.Config{
		RetryAfter: retryAfter,
		Retries:    s.Limits.Retries,
	})
	status.follow(o, follower)
	return o
}

// usage returns what each team has and needs in the owned shard.
func (o *owning) usage() ([]limits.Usage, bool) {
	summary, owns := o.manager.Summary()
	if !owns || !summary.Ready {
		return nil, false
	}
	list := make([]limits.Usage, 0, len(summary.Teams))
	for _, t := range summary.Teams {
		list = append(list, limits.Usage{Team: t.Team, Allotment: t.Limit, Used: t.Usage.Add(summary.Unknown), Queued: t.Queued})
	}
	return list, true
}

// short returns the teams of the owned shard that wait for their allotment.
func (o *owning) short() []state.TeamID {
	usage, _ := o.usage()
	var teams []state.TeamID
	for _, u := range usage {
		if u.Short() && len(teams) < maxShort {
			teams = append(teams, u.Team)
		}
	}
	return teams
}

func machineConfig(s settings.Settings) machine.Config {
	cfg := machine.DefaultConfig()
	cfg.Objective = queue.Objective(s.Policy.Objective)
	return cfg
}

func timing(s settings.Settings) owner.Timing {
	t := owner.DefaultTiming()
	t.Lease = s.Upstream.Lease.Std()
	t.SyncWait = s.Upstream.SyncWait.Std()
	t.Call = s.Upstream.Timeout.Std()
	t.MaxRequest = s.Limits.MaxWait.Std()
	return t
}

func newRouter(o *owning, follower *configlog.Follower, c *clients, members *membership.Service) coordination.JobService {
	return &admission.Service{
		JobService: o.router,
		View:       follower.View,
		Cut:        func() bool { return c.log.silentFor() > cutAfter && members.Snapshot().RemoteSilence > cutAfter },
	}
}

// cutAfter is how long the log and every entry of another domain must be out of
// reach before the domain counts as cut off.
const cutAfter = 10 * time.Second

var _ platform.Log = (*contactLog)(nil)
