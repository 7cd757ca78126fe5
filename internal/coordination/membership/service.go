package membership

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

const (
	// ticksPerInterval is the number of ticks of the control loop per Interval.
	ticksPerInterval = 2
	eventBuffer      = 256
	// maxCalls is the maximum number of heartbeat calls in flight.
	maxCalls = 64
)

// Status is the state that an entry reports about itself.
type Status struct {
	// ConfigVersion is the offset up to which the entry has folded the configuration.
	ConfigVersion int64
	// Leaving means that the entry is stopping.
	Leaving bool
	Owned   []coordination.ShardLoad
}

// Service runs the membership protocol of one entry. Call Run once; all other methods
// are safe for concurrent use.
type Service struct {
	cfg      Config
	status   func() Status
	peers    coordination.Peers
	list     devplatform.VMList
	logger   hclog.Logger
	start    time.Time
	sequence atomic.Uint64
	snapshot atomic.Pointer[Snapshot]
	lastTick atomic.Int64
	facts    factPool
	events   chan event
	notifier notifier
	metrics  serviceMetrics
}

type serviceMetrics struct {
	sent, failed, received, dropped metrics.Counter
	live, listVersion               metrics.Gauge
}

func newServiceMetrics(registry metrics.Registry) serviceMetrics {
	return serviceMetrics{
		sent:        metrics.GetOrRegisterCounter("membership.heartbeats.sent", registry),
		failed:      metrics.GetOrRegisterCounter("membership.heartbeats.failed", registry),
		received:    metrics.GetOrRegisterCounter("membership.heartbeats.received", registry),
		dropped:     metrics.GetOrRegisterCounter("membership.heartbeats.dropped", registry),
		live:        metrics.GetOrRegisterGauge("membership.entries.live", registry),
		listVersion: metrics.GetOrRegisterGauge("membership.list.version", registry),
	}
}

// New returns a Service. status returns the state of this entry; it is called from
// several goroutines and must not block. New fails with ErrNoIdentity.
func New(cfg Config, status func() Status, peers coordination.Peers, list devplatform.VMList, logger hclog.Logger, registry metrics.Registry) (*Service, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	s := &Service{
		cfg:     cfg,
		status:  status,
		peers:   peers,
		list:    list,
		logger:  logger.Named("membership"),
		start:   time.Now(),
		events:  make(chan event, eventBuffer),
		metrics: newServiceMetrics(registry),
	}
	s.snapshot.Store(&Snapshot{Entries: []Entry{s.selfEntry()}, Stale: true})
	return s, nil
}

// Snapshot returns the newest snapshot. It is never nil.
func (s *Service) Snapshot() *Snapshot { return s.snapshot.Load() }

// Stale reports whether the snapshot must not be acted on, because the entry has just
// started or was paused. It detects a pause before the control loop runs again.
func (s *Service) Stale() bool {
	sinceTick := s.now() - state.Time(s.lastTick.Load())
	return s.Snapshot().Stale || sinceTick > s.cfg.PauseBound
}

// Subscribe returns a channel that receives a value after each change of the snapshot
// other than a change of loads, and a function that ends the subscription.
func (s *Service) Subscribe() (<-chan struct{}, func()) { return s.notifier.subscribe() }

// Announce sends a change of Status to the entries of the own domain at once. It does
// not block; if the event buffer is full, the change goes out with the next regular
// heartbeats.
func (s *Service) Announce() {
	select {
	case s.events <- announceRequest{}:
	default:
	}
}

// HandleHeartbeat queues a heartbeat of another entry for the control loop and returns
// the heartbeat of this entry. It does not wait for the control goroutine: if the event
// buffer is full, the received heartbeat is dropped. The error is always nil.
func (s *Service) HandleHeartbeat(_ context.Context, hb coordination.Heartbeat) (coordination.Heartbeat, error) {
	s.metrics.received.Inc(1)
	reply := s.heartbeat()
	to := toRemote
	if hb.Domain == s.cfg.Domain {
		to = toDomain
	}
	select {
	case s.events <- received{heartbeat: hb}:
	default:
		s.metrics.dropped.Inc(1)
	}
	reply.Facts = s.takeFacts(to, hb.From, s.now())
	return reply, nil
}

// Run exchanges heartbeats and polls the VM list until ctx ends. It returns nil.
func (s *Service) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.pollList(ctx) })
	group.Go(func() error { return s.control(ctx) })
	return group.Wait()
}

func (s *Service) now() state.Time { return time.Since(s.start) }

func (s *Service) heartbeat() coordination.Heartbeat {
	status := s.status()
	return coordination.Heartbeat{
		From:          s.cfg.Self,
		Domain:        s.cfg.Domain,
		Address:       s.cfg.Address,
		Sequence:      s.sequence.Add(1),
		ConfigVersion: status.ConfigVersion,
		Leaving:       status.Leaving,
		Owned:         status.Owned,
	}
}

func (s *Service) selfEntry() Entry {
	status := s.status()
	return Entry{
		ID:            s.cfg.Self,
		Domain:        s.cfg.Domain,
		Address:       s.cfg.Address,
		Liveness:      Alive,
		Leaving:       status.Leaving,
		ConfigVersion: status.ConfigVersion,
		Owned:         status.Owned,
	}
}

// control runs the control loop, which owns the view.
func (s *Service) control(ctx context.Context) error {
	now := s.now()
	loop := &loop{
		service: s,
		view:    newView(s.cfg, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), now),
	}
	loop.calls.SetLimit(maxCalls)
	defer func() { _ = loop.calls.Wait() }()
	period := s.cfg.Interval / ticksPerInterval
	// The first period is random, so that entries do not send their heartbeats in step.
	ticker := time.NewTicker(1 + rand.N(period))
	defer ticker.Stop()
	loop.tick(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			ticker.Reset(period)
			loop.tick(ctx)
		case e := <-s.events:
			loop.apply(ctx, e)
		}
		s.publish(loop.view)
	}
}

// publish stores a new snapshot, and notifies subscribers if anything other than loads
// has changed.
func (s *Service) publish(v *view) {
	s.facts.publish(v)
	next := v.snapshot(s.selfEntry())
	previous := s.snapshot.Swap(next)
	if sameExceptLoads(previous, next) {
		return
	}
	s.metrics.live.Update(liveCount(next))
	s.metrics.listVersion.Update(next.ListVersion)
	s.logChanges(previous, next)
	s.notifier.notify()
}

func liveCount(snapshot *Snapshot) int64 {
	n := int64(0)
	for i := range snapshot.Entries {
		if snapshot.Entries[i].Live() {
			n++
		}
	}
	return n
}

func (s *Service) logChanges(previous, next *Snapshot) {
	if previous.Stale != next.Stale {
		s.logger.Info("membership staleness changed", "stale", next.Stale)
	}
	for i := range next.Entries {
		e := &next.Entries[i]
		old, known := previous.Entry(e.ID)
		if !known || old.Live() != e.Live() || old.Leaving != e.Leaving {
			s.logger.Info("entry changed", "entry", e.ID, "domain", e.Domain, "address", e.Address, "live", e.Live(), "leaving", e.Leaving)
		}
	}
	for i := range previous.Entries {
		if _, kept := next.Entry(previous.Entries[i].ID); !kept {
			s.logger.Info("entry removed", "entry", previous.Entries[i].ID)
		}
	}
}
