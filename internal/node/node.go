// Package node assembles the components of an entry process for the users' platform
// with fx and runs them.
package node

import (
	"context"
	"io"
	"net"
	"net/netip"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/samphirerail/samphirerail/internal/coordination/dispatch"
	"github.com/samphirerail/samphirerail/internal/coordination/intake"
	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/coordination/relay"
	"github.com/samphirerail/samphirerail/internal/coordination/replica"
	"github.com/samphirerail/samphirerail/internal/settings"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
	"github.com/samphirerail/samphirerail/internal/telemetry"
	"github.com/samphirerail/samphirerail/internal/transport/peer"
	"github.com/samphirerail/samphirerail/platform"
)

const (
	// memoryShare is the fraction of the VM's memory that is set as the soft memory
	// limit of the Go runtime, above which the garbage collector runs more often. The
	// rest is for stacks and buffers of the C library.
	memoryShare = 0.6
	// gcPercent is the heap growth between garbage collections in percent (GOGC). It
	// is high because the heap is small compared to the VM's memory and CPU time is
	// scarce.
	gcPercent = 300
)

// identity identifies this process: the entry's name, the incarnation of the process,
// its address for other entries, and the local address that it dials from.
type identity struct {
	name        string
	incarnation string
	address     string
	local       net.Addr
}

func newIdentity(s settings.Node) identity {
	id := identity{name: s.Entry.Name, incarnation: uuid.NewString()[:8], address: s.Listen.Internal}
	if address, err := netip.ParseAddr(s.Entry.Address); err == nil {
		id.local = &net.TCPAddr{IP: address.AsSlice()}
	}
	return id
}

// Node is one entry process.
type Node struct {
	app    *fx.App
	logger hclog.Logger
	parts  *parts
}

// parts holds the components of a running node.
type parts struct {
	settings atomic.Pointer[settings.Node]
	id       identity
	logger   hclog.Logger
	replica  *replica.Replica
	// log falls back to relaying calls through other entries; direct does not.
	log      *relay.Log
	direct   *platform.Log
	manager  *dispatch.Manager
	intake   *intake.Intake
	peers    *peer.Client
	advice   *platform.Advice
	servers  *servers
	registry metrics.Registry
	stopping atomic.Bool
	ctx      context.Context
	cancel   context.CancelFunc
	group    sync.WaitGroup
}

// New assembles a node that writes its log and its traces to out. It sets the garbage
// collector parameters of the whole process.
func New(s settings.Node, out io.Writer) (*Node, error) {
	debug.SetGCPercent(gcPercent)
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.Limits.MemoryMB) * memoryShare * (1 << 20)))
	}
	n := &Node{}
	n.app = fx.New(
		fx.Supply(s),
		fx.Provide(
			func() hclog.Logger {
				return telemetry.NewLogger("samphirerail", s.Log.Level, telemetry.NewAsyncWriter(out))
			},
			metrics.NewRegistry, newIdentity, newParts,
		),
		fx.Invoke(func(lc fx.Lifecycle, p *parts) { lc.Append(fx.Hook{OnStart: p.start, OnStop: p.stop}) }),
		fx.Invoke(func(lc fx.Lifecycle, p *parts) error {
			stop, err := telemetry.StartTracing(s.Trace.Exporter, s.Trace.SampleRatio, p.id.name, out)
			if err == nil {
				lc.Append(fx.Hook{OnStop: stop})
			}
			return err
		}),
		fx.Populate(&n.parts, &n.logger),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(s.Shutdown.Timeout.Std()),
		fx.StopTimeout(s.Shutdown.Timeout.Std()),
	)
	return n, n.app.Err()
}

// Start starts the components and returns once the listeners are open.
func (n *Node) Start(ctx context.Context) error { return n.app.Start(ctx) }

// Stop hands over the ownership, lets open requests finish, and stops the components.
func (n *Node) Stop(ctx context.Context) error { return n.app.Stop(ctx) }

// Reload reads the settings from path and applies them. It logs an error and keeps the
// current settings if they are invalid. Changed addresses of listeners and endpoints
// take effect only after a restart.
func (n *Node) Reload(path string) {
	s, err := settings.LoadNode(path)
	if err != nil {
		n.logger.Error("settings not reloaded; keeping the current settings", "path", path, "error", err)
		return
	}
	n.parts.settings.Store(&s)
	n.logger.Info("settings reloaded", "path", path, "seeds", len(s.Peers.Seeds))
}

func newParts(s settings.Node, id identity, logger hclog.Logger, registry metrics.Registry) *parts {
	p := &parts{id: id, logger: logger, registry: registry}
	p.settings.Store(&s)
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.peers = peer.NewClient(id.local)
	p.direct = platform.NewLog(s.Platform.Log, id.local)
	p.log = relay.New(p.direct, p.peers, p.relays, logger, registry)
	p.replica = replica.New(p.log, platform.Decoder{}, logger, registry, replica.WithEvacuationLimit(s.Upstream.EvacuationLimit.Std()))
	p.advice = platform.NewAdvice(s.Platform.Advice, id.local)
	p.manager = dispatch.NewManager(dispatch.Config{
		Log: p.log, Decoder: platform.Decoder{}, Upstreams: platform.NewRunners(id.local), Advisor: p.advice,
		Replica: p.replica, Peers: p.peers, Name: id.name, Incarnation: id.incarnation, Address: id.address,
		Domain: state.DomainID(s.Entry.Domain), CPUShare: s.Limits.CPUShare,
		EvacuationLimit: s.Upstream.EvacuationLimit.Std(), CapacityLimit: s.Upstream.CapacityLimit(),
		Slow: p.log.Slow, Lease: s.Upstream.Lease.Std(), MaxLease: s.Upstream.MaxLease.Std(), Retention: s.Upstream.Retention.Std(),
		StartsWithoutRecord: s.Upstream.StartsWithoutRecord, LearnedRunTimes: s.Placement.LearnedRunTimes, Limits: s.Platform.Limits(), Logger: logger, Registry: registry,
	})
	p.intake = intake.New(p.log, p.replica, p.manager, p.peers, id.address, logger, registry)
	p.intake.SetLimits(s.Platform.Limits())
	p.intake.SetDomain(state.DomainID(s.Entry.Domain))
	return p
}

// relays returns the addresses of the other entries, through which calls to the log can
// be relayed.
func (p *parts) relays() []string {
	var out []string
	p.replica.View(func(t *ledger.Table, _ int64) {
		for _, e := range t.Entries() {
			if e.Name != p.id.name {
				out = append(out, e.Address)
			}
		}
	})
	for _, seed := range p.settings.Load().Peers.Seeds {
		if seed != p.id.address && !slices.Contains(out, seed) {
			out = append(out, seed)
		}
	}
	slices.Sort(out)
	return rotate(out, p.id.address)
}

// rotate returns the sorted list rotated to start at the position of the address after,
// so that entries do not all choose the same relay.
func rotate(sorted []string, after string) []string {
	i, _ := slices.BinarySearch(sorted, after)
	return append(slices.Clone(sorted[i:]), sorted[:i]...)
}

func (p *parts) start(context.Context) error {
	servers, err := listen(p)
	if err != nil {
		return err
	}
	p.servers = servers
	p.group.Go(func() { p.replica.Run(p.ctx) })
	p.group.Go(func() { p.manager.Run(p.ctx) })
	p.group.Go(func() { p.announce(p.ctx, false) })
	s := p.settings.Load()
	p.logger.Info("started", "entry", p.id.name, "incarnation", p.id.incarnation, "domain", s.Entry.Domain, "callers", s.Listen.Callers, "log", s.Platform.Log)
	return nil
}

// announce registers this entry in the ledger, or removes the registration if gone is
// set.
func (p *parts) announce(ctx context.Context, gone bool) {
	s := p.settings.Load()
	writeRegistration(ctx, p.log, p.logger, &ledger.Entry{
		Name: p.id.name, Incarnation: p.id.incarnation, Address: p.id.address, Domain: state.DomainID(s.Entry.Domain), Gone: gone, CPUShare: s.Limits.CPUShare,
	})
}

// stop hands over the ownership, removes the registration, waits for load balancers to
// stop sending requests, and lets open requests finish.
func (p *parts) stop(ctx context.Context) error {
	began := time.Now()
	p.stopping.Store(true)
	p.logger.Info("stopping", "owning", p.manager.Owning())
	p.manager.Stop(ctx)
	p.announce(ctx, true)
	delay := p.settings.Load().Shutdown.BalancerDelay.Std() - time.Since(began)
	select {
	case <-time.After(max(0, delay)):
	case <-ctx.Done():
	}
	err := p.servers.shutdown(ctx)
	p.cancel()
	p.group.Wait()
	p.logger.Info("stopped", "took_ms", time.Since(began).Milliseconds(), "error", err)
	return err
}

// ready reports whether load balancers should send callers to this entry. An entry that is
// still loading the ledger passes requests to the owner.
func (p *parts) ready() bool {
	h := p.replica.Health()
	return !p.stopping.Load() && h.Located && h.Age < maxReplicaAge
}

// maxReplicaAge is the age of the replica at which an entry stops being ready.
const maxReplicaAge = 1400 * time.Millisecond

// Phase implements peer.Backend.
func (p *parts) Phase(ctx context.Context, id workload.JobID) (ledger.Phase, bool) {
	return p.manager.Phase(ctx, id)
}

// Advise implements peer.Backend.
func (p *parts) Advise(ctx context.Context, step workload.StepID, upstreams []workload.UpstreamID) (port.Tickets, error) {
	return p.advice.Advise(ctx, step, upstreams)
}

// Owning implements peer.Backend.
func (p *parts) Owning() bool { return p.manager.Owning() }

// Nominate implements peer.Backend.
func (p *parts) Nominate(released ledger.Claim) { p.manager.Nominate(released) }

// Record implements peer.Backend.
func (p *parts) Record(ctx context.Context, r ledger.Record) error { return p.manager.Record(ctx, r) }

// Log implements peer.Backend.
func (p *parts) Log() port.Log { return p.direct }
