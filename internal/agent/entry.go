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

// handoverTimeout bounds the wait during shutdown for another entry to take over
// the shard.
const handoverTimeout = 8 * time.Second

// registerRetryInterval is the pause between attempts to register the entry.
const registerRetryInterval = time.Second

// gossipInterval is how often the configuration versions of peers are checked.
const gossipInterval = 250 * time.Millisecond

// entry starts and stops the components of an entry process.
type entry struct {
	settings   settings.Settings
	id         identity
	log        hclog.Logger
	clients    *clients
	follower   *configlog.Follower
	members    *membership.Service
	shardOwner *shardOwner
	listeners  *listeners
	status     *statusSource

	cancel   context.CancelFunc
	work     sync.WaitGroup
	wasReady atomic.Bool
	// replaced is closed when another entry has replaced this one or has removed its
	// registration.
	replaced chan struct{}
}

func newEntry(s settings.Settings, id identity, logger hclog.Logger, c *clients, f *configlog.Follower, m *membership.Service, o *shardOwner, l *listeners, status *statusSource) *entry {
	e := &entry{settings: s, id: id, log: logger, clients: c, follower: f, members: m, shardOwner: o, listeners: l, status: status, replaced: make(chan struct{})}
	l.ready = e.ready
	return e
}

// The reasons why an entry does not accept work yet.
var (
	errNoConfig = errors.New("agent: the configuration is not read yet; wait for the log service or a peer")
	errNoOwner  = errors.New("agent: no entry owns the domain's upstreams yet; wait for an owner or look at the log of the domain's entries")
)

// ready returns nil when the entry can serve callers. The shard must have a ready
// owner only the first time: during a later change of ownership, callers wait at the
// entry for the next owner, and the load balancer need not remove every entry of the
// domain.
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

// start is the OnStart hook of fx.
func (e *entry) start(context.Context) error {
	if err := e.listeners.start(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.spawn(ctx, func(ctx context.Context) { _ = e.follower.Run(ctx) })
	e.spawn(ctx, func(ctx context.Context) { _ = e.members.Run(ctx) })
	e.spawn(ctx, e.gossip)
	e.spawn(ctx, e.runOwnership)
	e.log.Info("entry started", "domain", string(e.id.domain), "callers", e.listeners.callersAddress, "internal", e.settings.Listen.Internal)
	return nil
}

// runOwnership registers the entry and then runs the components that own the shard.
func (e *entry) runOwnership(ctx context.Context) {
	if !e.register(ctx) {
		return
	}
	e.spawn(ctx, e.watchRegistration)
	e.spawn(ctx, e.shardOwner.reconciler.Run)
	e.spawn(ctx, e.shardOwner.rebalancer.Run)
	_ = e.shardOwner.runner.Run(ctx)
}

// watchRegistration detects that another entry has removed this entry's registration.
// Configuration changes no longer wait for this entry's confirmations then, so it must
// stop.
func (e *entry) watchRegistration(ctx context.Context) {
	for {
		changed := e.follower.Changed()
		if _, ok := e.follower.View().Entry(e.id.entry); !ok && ctx.Err() == nil && !e.status.leaving.Load() {
			e.log.Error("another entry removed the registration of this entry; stopping", "version", e.follower.Version())
			e.shardOwner.manager.Resign()
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
		e.log.Warn("can't register the entry; it forwards calls but can't own a shard; retrying", "error", err)
		wait(ctx, registerRetryInterval)
	}
	return false
}

// gossip fetches configuration records from peers that have folded a newer version.
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
	_, err := e.follower.FetchIfNewer(ctx, version, func(ctx context.Context, from int64) (coordination.ConfigUpdate, error) {
		return e.clients.peers.ConfigSince(ctx, address, from)
	})
	if err != nil && ctx.Err() == nil {
		e.log.Debug("can't fetch configuration from a peer", "address", address, "error", err)
	}
}

// stop is the OnStop hook of fx.
func (e *entry) stop(ctx context.Context) error {
	e.log.Info("entry stopping")
	e.status.leaving.Store(true)
	e.listeners.health.Drain()
	e.members.Announce()
	served := make(chan error, 1)
	go func() { served <- e.listeners.stopCallers(ctx) }()
	e.handOver(ctx)
	err := <-served
	e.shardOwner.manager.Wait(ctx)
	e.shardOwner.awaitResubmits(ctx)
	err = errors.Join(err, e.listeners.stopPeers(ctx))
	e.unregister(ctx)
	e.cancel()
	e.shardOwner.manager.Close()
	e.work.Wait()
	err = errors.Join(err, e.clients.peers.Close(), e.listeners.stopMonitor(ctx))
	e.log.Info("entry stopped")
	return err
}

// handOver hands over the shard if this entry owns it, and waits up to handoverTimeout
// until another entry has taken it over. Without a successor, it resigns at once.
func (e *entry) handOver(ctx context.Context) {
	ctx, cancel := within(ctx, handoverTimeout)
	defer cancel()
	e.shardOwner.runner.Leave()
	if _, owns := e.shardOwner.manager.Load(); !owns {
		return
	}
	if !e.hasSuccessor() {
		e.shardOwner.manager.Resign()
		return
	}
	select {
	case <-e.shardOwner.runner.Released():
	case <-ctx.Done():
		e.log.Warn("no other entry took over the shard before the handover timeout", "shard", string(e.id.shard))
	}
}

// hasSuccessor reports whether another live entry of the domain can take over the shard.
func (e *entry) hasSuccessor() bool {
	for _, peer := range e.members.Snapshot().InDomain(e.id.domain) {
		if peer.ID != e.id.entry && peer.Live() && !peer.Leaving {
			return true
		}
	}
	return false
}

func (e *entry) unregister(ctx context.Context) {
	ctx, cancel := within(ctx, e.settings.Platform.Timeout.Std())
	defer cancel()
	if err := e.follower.Unregister(ctx); err != nil {
		e.log.Warn("can't remove the registration; the next entry on this VM will replace it", "error", err)
	}
}

// wait returns after d, or earlier when ctx ends.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
