package agent

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/coordination/configlog"
	"github.com/samphirerail/samphirerail/internal/coordination/membership"
	"github.com/samphirerail/samphirerail/internal/settings"
)

// handoverTimeout bounds the wait for another entry to take the shard over.
const handoverTimeout = 8 * time.Second

// registerRetry is the interval at which the registration is tried again.
const registerRetry = time.Second

// gossipInterval is how often the configuration version of peers is looked at.
const gossipInterval = 250 * time.Millisecond

// entry runs the parts of an entry process.
type entry struct {
	settings  settings.Settings
	id        identity
	log       hclog.Logger
	clients   *clients
	follower  *configlog.Follower
	members   *membership.Service
	owning    *owning
	listeners *listeners
	status    *statusBoard

	cancel   context.CancelFunc
	work     sync.WaitGroup
	wasReady atomic.Bool
	// replaced is closed when another process has taken this entry's place.
	replaced chan struct{}
}

func newEntry(s settings.Settings, id identity, logger hclog.Logger, c *clients, f *configlog.Follower, m *membership.Service, o *owning, l *listeners, status *statusBoard) *entry {
	e := &entry{settings: s, id: id, log: logger, clients: c, follower: f, members: m, owning: o, listeners: l, status: status, replaced: make(chan struct{})}
	l.ready = e.ready
	return e
}

// errNotReady are the causes why an entry takes no work yet.
var (
	errNoConfig = errors.New("agent: the configuration is not read yet; wait for the log service or a peer")
	errNoOwner  = errors.New("agent: no entry owns the domain's upstreams yet; wait for an owner or look at the log of the domain's entries")
)

// ready returns nil when the entry can serve callers. It waits for an owner once:
// later, while the shard changes hands, callers wait at the entry for the next
// owner, and the balancer need not take the whole domain out.
func (e *entry) ready() error {
	if e.wasReady.Load() {
		return nil
	}
	if !e.follower.IsReady() {
		return errNoConfig
	}
	if owner, ok := e.members.Snapshot().Owner(e.id.shard); !ok || !owner.Ready {
		return errNoOwner
	}
	e.wasReady.Store(true)
	return nil
}

func (e *entry) spawn(ctx context.Context, f func(ctx context.Context)) {
	e.work.Add(1)
	go func() {
		defer e.work.Done()
		f(ctx)
	}()
}

// start implements the start hook of fx.
func (e *entry) start(context.Context) error {
	if err := e.listeners.start(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.spawn(ctx, func(ctx context.Context) { _ = e.follower.Run(ctx) })
	e.spawn(ctx, func(ctx context.Context) { _ = e.members.Run(ctx) })
	e.spawn(ctx, e.gossip)
	e.spawn(ctx, e.own)
	e.log.Info("entry started", "domain", string(e.id.domain), "callers", e.listeners.callersAddress, "internal", e.settings.Listen.Internal)
	return nil
}

// own registers the entry and then takes part in the ownership of the shard.
func (e *entry) own(ctx context.Context) {
	if !e.register(ctx) {
		return
	}
	e.spawn(ctx, e.watchRegistration)
	e.spawn(ctx, e.owning.joiner.Run)
	e.spawn(ctx, e.owning.limits.Run)
	_ = e.owning.runner.Run(ctx)
}

// watchRegistration looks for the end of this entry's registration by others:
// its confirmations are not waited for any more, so it must not go on.
func (e *entry) watchRegistration(ctx context.Context) {
	for {
		changed := e.follower.Changed()
		if _, ok := e.follower.View().Entry(e.id.entry); !ok && ctx.Err() == nil && !e.status.leaving.Load() {
			e.log.Error("the registration was ended by others; the entry stops", "version", e.follower.Version())
			e.owning.manager.Resign()
			close(e.replaced)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (e *entry) register(ctx context.Context) bool {
	for ctx.Err() == nil {
		err := e.follower.Register(ctx)
		if err == nil {
			e.log.Info("registered", "version", e.follower.Version())
			return true
		}
		e.log.Warn("can't register; the entry forwards but owns nothing", "error", err)
		wait(ctx, registerRetry)
	}
	return false
}

// gossip fetches configuration from peers that have folded more.
func (e *entry) gossip(ctx context.Context) {
	for ctx.Err() == nil {
		if address, version, ok := e.newestPeer(); ok {
			e.fetch(ctx, address, version)
		}
		wait(ctx, gossipInterval)
	}
}

func (e *entry) newestPeer() (address string, version int64, ok bool) {
	version = e.follower.Version()
	for _, peer := range e.members.Snapshot().Entries {
		if peer.ID != e.id.entry && peer.Live() && peer.ConfigVersion > version {
			address, version, ok = peer.Address, peer.ConfigVersion, true
		}
	}
	return address, version, ok
}

func (e *entry) fetch(ctx context.Context, address string, version int64) {
	ctx, cancel := within(ctx, e.settings.Platform.Timeout.Std())
	defer cancel()
	_, err := e.follower.Offer(ctx, version, func(ctx context.Context, from int64) (coordination.ConfigUpdate, error) {
		return e.clients.peers.ConfigSince(ctx, address, from)
	})
	if err != nil && ctx.Err() == nil {
		e.log.Debug("can't take configuration from a peer", "address", address, "error", err)
	}
}

// stop implements the stop hook of fx.
func (e *entry) stop(ctx context.Context) error {
	e.log.Info("entry stops")
	e.status.leaving.Store(true)
	e.listeners.health.Drain()
	e.members.Announce()
	served := make(chan error, 1)
	go func() { served <- e.listeners.stopCallers(ctx) }()
	e.handOver(ctx)
	err := <-served
	e.owning.manager.Settle(ctx)
	e.owning.awaitReturned(ctx)
	err = errors.Join(err, e.listeners.stopPeers(ctx))
	e.leave(ctx)
	e.cancel()
	e.owning.manager.Close()
	e.work.Wait()
	err = errors.Join(err, e.clients.peers.Close(), e.listeners.stopMonitor(ctx))
	e.log.Info("entry stopped")
	return err
}

// handOver waits until another entry owns the shard, when this one does.
func (e *entry) handOver(ctx context.Context) {
	ctx, cancel := within(ctx, handoverTimeout)
	defer cancel()
	e.owning.runner.Leave()
	if _, owns := e.owning.manager.Load(); !owns {
		return
	}
	if !e.hasSuccessor() {
		e.owning.manager.Resign()
		return
	}
	select {
	case <-e.owning.runner.Released():
	case <-ctx.Done():
		e.log.Warn("no entry took the shard over in time", "shard", string(e.id.shard))
	}
}

// hasSuccessor reports whether another entry of the domain can take the shard.
func (e *entry) hasSuccessor() bool {
	for _, peer := range e.members.Snapshot().InDomain(e.id.domain) {
		if peer.ID != e.id.entry && peer.Live() && !peer.Leaving {
			return true
		}
	}
	return false
}

func (e *entry) leave(ctx context.Context) {
	ctx, cancel := within(ctx, e.settings.Platform.Timeout.Std())
	defer cancel()
	if err := e.follower.Leave(ctx); err != nil {
		e.log.Warn("can't end the registration; the next entry on this VM replaces it", "error", err)
	}
}

// wait returns after d or when ctx ends.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
