package agent

import (
	"sync/atomic"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/coordination/configlog"
	"github.com/samphirerail/samphirerail/internal/coordination/membership"
	"github.com/samphirerail/samphirerail/internal/state/config"
)

// statusSource reports the state of this entry to the membership and configlog
// components. It is constructed before them and bound to its sources later, which
// breaks a dependency cycle.
type statusSource struct {
	leaving    atomic.Bool
	shardOwner atomic.Pointer[shardOwner]
	follower   atomic.Pointer[configlog.Follower]
}

func newStatusSource() *statusSource { return &statusSource{} }

func (b *statusSource) bind(o *shardOwner, f *configlog.Follower) {
	b.shardOwner.Store(o)
	b.follower.Store(f)
}

// status is the status callback of membership.
func (b *statusSource) status() membership.Status {
	s := membership.Status{ConfigVersion: config.NoVersion, Leaving: b.leaving.Load()}
	if f := b.follower.Load(); f != nil {
		s.ConfigVersion = f.Version()
	}
	if o := b.shardOwner.Load(); o != nil {
		if load, ok := o.manager.Load(); ok {
			load.Short = o.shortTeams()
			s.Owned = []coordination.ShardLoad{load}
		}
	}
	return s
}

// settlement is the Settle callback of configlog. The owner is settled once it applies
// the view and no team uses more than its limit.
func (b *statusSource) settlement(view *config.View) configlog.Settlement {
	o := b.shardOwner.Load()
	if o == nil {
		return configlog.AppliedWithoutUpstreams
	}
	summary, owns := o.manager.Summary()
	if !owns {
		return configlog.AppliedWithoutUpstreams
	}
	if summary.ConfigVersion < view.Version() {
		return configlog.Draining
	}
	for _, team := range summary.Teams {
		if !team.Usage.Add(summary.Unreconciled).Fits(team.Limit) {
			return configlog.Draining
		}
	}
	return configlog.Settled
}
