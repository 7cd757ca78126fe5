package agent

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"github.com/samphirerail/samphirerail/internal/coordination"
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
)

// shardOwner holds the components that own the domain's shard and route jobs to its
// owner.
type shardOwner struct {
	manager    *owner.Manager
	runner     *ownership.Runner
	reconciler *inventory.Reconciler
	rebalancer *limits.Rebalancer
	router     *routing.Router
	// resubmits counts the resubmissions of queued jobs that are in progress.
	resubmits sync.WaitGroup
}

// maxShortTeams is the maximum number of teams that a heartbeat lists as short of
// their allotment.
const maxShortTeams = 8

// rebalanceInterval is how often unused allotments are offered to other domains.
const rebalanceInterval = 2 * time.Second

// reconcileInterval is how often the configured upstreams are reconciled with the VM
// list.
const reconcileInterval = time.Second

// shardOwnerParams holds the dependencies of newShardOwner, provided by fx.
type shardOwnerParams struct {
	fx.In
	Settings settings.Settings
	Identity identity
	Clients  *clients
	Follower *configlog.Follower
	Members  *membership.Service
	Logger   hclog.Logger
	Registry metrics.Registry
	Status   *statusSource
}

func newShardOwner(p shardOwnerParams) *shardOwner {
	o := &shardOwner{}
	absences := inventory.NewAbsenceTracker(inventory.DefaultListLag, p.Clients.vms.lastRead)
	o.manager = owner.NewManager(o.managerConfig(p, absences))
	o.runner = ownership.NewRunner(p.Identity.entry, p.Identity.domain, p.Identity.shard, ownership.Limits{},
		p.Members, p.Clients.log, o.manager, p.Logger)
	o.manager.OnFenced(o.runner.Fenced)
	o.reconciler = &inventory.Reconciler{
		Domain: p.Identity.domain, Config: p.Follower, Listed: p.Members.Snapshot,
		Owns:     func() bool { return o.manager.Owns(p.Identity.shard) },
		Absences: absences, Interval: reconcileInterval, Logger: p.Logger,
	}
	o.rebalancer = &limits.Rebalancer{
		Domain: p.Identity.domain, Config: p.Follower, Members: p.Members.Snapshot,
		Usage: o.usage, Interval: rebalanceInterval, Logger: p.Logger,
	}
	o.router = routing.New(p.Identity.entry, p.Identity.domain, p.Members.Snapshot, o.manager, p.Clients.peers, routing.Config{
		RetryAfter: retryAfter,
		Home:       func() state.DomainID { return homeDomain(p.Identity.domain, p.Follower.View(), p.Members.Snapshot()) },
		Retries:    p.Settings.Limits.Retries,
	})
	p.Status.bind(o, p.Follower)
	return o
}

func (o *shardOwner) managerConfig(p shardOwnerParams, absences *inventory.AbsenceTracker) owner.ManagerConfig {
	return owner.ManagerConfig{
		Config: owner.Config{
			Shard:          p.Identity.shard,
			Machine:        machineConfig(p.Settings),
			Timing:         timing(p.Settings),
			Source:         inventory.NewSource(p.Identity.domain, p.Follower.View, p.Members.Snapshot, absences),
			Dial:           p.Clients.dial,
			MayFence:       func() bool { return !p.Members.Stale() },
			Log:            p.Clients.log,
			OnReleasedJobs: func(list []coordination.Submission) { o.onReleasedJobs(list, p.Logger) },
			Logger:         p.Logger,
			Registry:       p.Registry,
		},
		RetryAfter: retryAfter,
		OnChanged:  p.Members.Announce,
	}
}

// usage returns the allotment, use and queue length of each team in the owned shard.
// It returns false while this entry is not a ready owner.
func (o *shardOwner) usage() ([]limits.Usage, bool) {
	summary, owns := o.manager.Summary()
	if !owns || !summary.Ready {
		return nil, false
	}
	list := make([]limits.Usage, 0, len(summary.Teams))
	for _, t := range summary.Teams {
		list = append(list, limits.Usage{Team: t.Team, Allotment: t.Limit, Used: t.Usage.Add(summary.Unreconciled), Queued: t.Queued})
	}
	return list, true
}

// shortTeams returns up to maxShortTeams teams of the owned shard that wait for a
// larger allotment.
func (o *shardOwner) shortTeams() []state.TeamID {
	usage, _ := o.usage()
	var teams []state.TeamID
	for _, u := range usage {
		if u.Short() && len(teams) < maxShortTeams {
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
