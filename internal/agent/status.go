package agent

import (
	"sync/atomic"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/coordination/configlog"
	"github.com/samphirerail/samphirerail/internal/coordination/membership"
	"github.com/samphirerail/samphirerail/internal/coordination/owner"
	"github.com/samphirerail/samphirerail/internal/state/config"
)

// statusBoard tells other parts what this entry does. It exists before them, so
// that they can be made in any order.
type statusBoard struct {
	leaving  atomic.Bool
	manager  atomic.Pointer[owner.Manager]
	follower atomic.Pointer[configlog.Follower]
}

func newStatusBoard() *statusBoard { return &statusBoard{} }

func (b *statusBoard) follow(m *owner.Manager, f *configlog.Follower) {
	b.manager.Store(m)
	b.follower.Store(f)
}

// status implements the callback of membership.
func (b *statusBoard) status() membership.Status {
	s := membership.Status{ConfigVersion: config.NoVersion, Leaving: b.leaving.Load()}
	if f := b.follower.Load(); f != nil {
		s.ConfigVersion = f.Version()
	}
	if m := b.manager.Load(); m != nil {
		if load, ok := m.Load(); ok {
			s.Owned = []coordination.ShardLoad{load}
		}
	}
	return s
}

// settlement implements the callback of configlog: the owner is settled once
// it acts on the view and no team uses more than its limit.
func (b *statusBoard) settlement(view *config.View) configlog.Settlement {
	m := b.manager.Load()
	if m == nil {
		return configlog.Following
	}
	summary, owns := m.Summary()
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
