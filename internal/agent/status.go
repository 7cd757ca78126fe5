package agent

import (
	"sync/atomic"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/coordination/configlog"
	"github.com/samphirerail/samphirerail/internal/coordination/membership"
	"github.com/samphirerail/samphirerail/internal/state/config"
)

// statusBoard tells other parts what this entry does. It exists before them, so
// that they can be made in any order.
type statusBoard struct {
	leaving  atomic.Bool
	owning   atomic.Pointer[owning]
	follower atomic.Pointer[configlog.Follower]
}

func newStatusBoard() *statusBoard { return &statusBoard{} }

func (b *statusBoard) follow(o *owning, f *configlog.Follower) {
	b.owning.Store(o)
	b.follower.Store(f)
}

// status implements the callback of membership.
func (b *statusBoard) status() membership.Status {
	s := membership.Status{ConfigVersion: config.NoVersion, Leaving: b.leaving.Load()}
	if f := b.follower.Load(); f != nil {
		s.ConfigVersion = f.Version()
	}
	if o := b.owning.Load(); o != nil {
		if load, ok := o.manager.Load(); ok {
			load.Short = o.short()
			s.Owned = []coordination.ShardLoad{load}
		}
	}
	return s
}

// settlement implements the callback of configlog: the owner is settled once
// it acts on the view and no team uses more than its limit.
func (b *statusBoard) settlement(view *config.View) configlog.Settlement {
	o := b.owning.Load()
	if o == nil {
		return configlog.Following
	}
	summary, owns := o.manager.Summary()
	if !owns {
		return configlog.Following
	}
	if summary.ConfigVersion < view.Version() {
		return configlog.Draining
	}
	for _, team := range summary.Teams {
		if !team.Usage.Add(summary.Unknown).Fits(team.Limit) {
			return configlog.Draining
		}
	}
	return configlog.Settled
}
