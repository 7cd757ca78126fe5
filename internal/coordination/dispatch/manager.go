package dispatch

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/samphirerail/samphirerail/internal/coordination/bootclock"
	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/coordination/replica"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/scheduler"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

const (
	// ownerTimeout is how long the log may show no record of the owner before another
	// entry claims; the owner writes at least every heartbeatInterval.
	ownerTimeout = 800 * time.Millisecond
	// ownerProbeDelay is how long the log may show no record of the owner before the
	// owner is probed. Under load it appends every few milliseconds, and entries read
	// every 250 ms.
	ownerProbeDelay = 400 * time.Millisecond
	// claimSpread spreads claims over time, so that entries do not claim at the same
	// moment; the preferred ones claim first.
	claimSpread = 400 * time.Millisecond
	// smallEntryDelay is how much longer an entry waits while a clearly larger one
	// exists, which may still be probing the owner.
	smallEntryDelay = peerCallTimeout + 200*time.Millisecond
	// freeDelayDivisor shortens the claim delay when ownership is known to be free, so
	// that little time is lost.
	freeDelayDivisor = 4
	// maxReplicaAge is the maximum age of the replica at which an entry may claim.
	maxReplicaAge = 1300 * time.Millisecond
	// claimCheckInterval is how often an entry checks whether it should claim.
	claimCheckInterval = 50 * time.Millisecond
	// smallEntryFreeDelay replaces smallEntryDelay when no owner needs to be probed.
	smallEntryFreeDelay = 300 * time.Millisecond
	// probeValidity is how long the result of an owner probe, or its failure, is used.
	probeValidity = 600 * time.Millisecond
	// peerCallTimeout bounds the probe of an owner of which the log shows no record, and
	// the nomination of a successor.
	peerCallTimeout = 500 * time.Millisecond
	// claimMemory is how long claims are remembered: longer than starts of the owner before them may be
	// carried out.
	claimMemory = time.Minute
	// slowClaimFactor lengthens the pause between claims on a slow log.
	slowClaimFactor = 4
)

// knownClaim is a claim and when this entry first knew it.
type knownClaim struct {
	epoch int64
	at    time.Time
}

// Config holds the identity of an entry and the dependencies of its Manager.
type Config struct {
	Log         port.Log
	Decoder     port.Decoder
	Upstreams   port.Upstreams
	Advisor     port.Advisor
	Replica     *replica.Replica
	Peers       Peers
	Name        string
	Incarnation string
	Address     string
	Domain      state.DomainID
	// CPUShare is the share of a processor that the entry has. Larger entries claim
	// first.
	CPUShare float64
	// Lease is how long runs continue without contact to the owner.
	Lease time.Duration
	// MaxLease is the lease to which upstreams shorten a longer one.
	MaxLease time.Duration
	// EvacuationLimit is within what time after its request an evacuation must be in force; 0
	// if starts need no recent read of the operators' topic.
	EvacuationLimit time.Duration
	// CapacityLimit is within what time the capacity that an upstream reports takes effect; 0 if
	// starts need no recent read of the registrations.
	CapacityLimit time.Duration
	// StartsWithoutRecord allows the owner to start tasks before the log holds their start.
	StartsWithoutRecord bool
	// Limits are those of the log's appends; the defaults apply where it has none.
	Limits ledger.Limits
	// Slow reports whether the log is slow.
	Slow func() bool
	// Retention is how long the state of an ended job is kept.
	Retention time.Duration
	// LearnedRunTimes makes the placement use learned instead of declared run times.
	LearnedRunTimes bool
	// Clock measures the age of the owner's permission to act; nil for bootclock.Now.
	Clock    bootclock.Clock
	Logger   hclog.Logger
	Registry metrics.Registry
}

// Manager acquires and releases ownership of the placement.
type Manager struct {
	cfg  Config
	deps *ownerDeps

	// probedAt is when the owner of probedEpoch was last probed, and probedOwning whether
	// it confirmed its ownership; only Run uses these fields.
	probedAt     time.Time
	probedEpoch  int64
	probedOwning bool
	// probeRefused says that no process listens at the owner's address.
	probeRefused bool
	// claims holds the recent claims, oldest first; only Run uses it.
	claims []knownClaim
	// claimBegan is when the newest claim began, on the clock of the permission to act.
	claimBegan time.Duration

	mu      sync.Mutex
	current *owner
	stopped bool
	// nominated is the released claim that this entry was nominated to follow.
	nominated ledger.Claim
	// suspected is the epoch of the owner whose connection has ended.
	suspected   int64
	suspectedAt time.Time
	done        chan struct{}
}

// NewManager returns a Manager that is inactive until Run.
func NewManager(cfg Config) *Manager {
	if cfg.Clock == nil {
		cfg.Clock = bootclock.Now
	}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, cfg.Registry) }
	gauge := func(name string) metrics.Gauge { return metrics.GetOrRegisterGauge(name, cfg.Registry) }
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, cfg.Registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	return &Manager{cfg: cfg, done: make(chan struct{}), deps: &ownerDeps{
		log: cfg.Log, decoder: cfg.Decoder, upstreams: cfg.Upstreams, replica: cfg.Replica, peers: cfg.Peers,
		self: cfg.Name, cpuShare: cfg.CPUShare, advisor: cfg.Advisor, lease: cfg.Lease, maxLease: cfg.MaxLease, retention: cfg.Retention, limits: cfg.Limits.WithDefaults(), learnRunTimes: cfg.LearnedRunTimes, logger: cfg.Logger, clock: cfg.Clock,
		evacuationLimit:     cfg.EvacuationLimit,
		capacityLimit:       cfg.CapacityLimit,
		startsWithoutRecord: cfg.StartsWithoutRecord,
		metrics: ownerMetrics{
			starts: counter("owner.starts"), ends: counter("owner.ends"),
			appends: counter("owner.appends"), appendFails: counter("owner.append_failures"),
			adviceCalls: counter("owner.advice_calls"), adviceFailures: counter("owner.advice_failures"),
			startLatency: histogram("owner.start_us"), planTime: histogram("owner.plan_us"),
			jobs: gauge("owner.jobs"), runs: gauge("owner.runs"), ready: gauge("owner.ready_steps"), unreachable: gauge("owner.silent_upstreams"),
			commandsWaiting: gauge("owner.commands_waiting"),
			evacuation:      newEvacuationMetrics(cfg.Registry),
			refused:         newRefusalCounters(counter), forecastError: histogram("owner.forecast_error_ms"),
			preemption: newPreemptionMetrics(cfg.Registry),
			unrecorded: newUnrecordedMetrics(cfg.Registry),
			losses:     newLossMetrics(cfg.Registry),
			capacity:   newCapacityMetrics(cfg.Registry),
			records:    newRecordMetrics(cfg.Registry),
			moves:      counter("owner.moves"), copies: counter("owner.copies"), learned: gauge("owner.learned_upstreams"), silentDomains: counter("owner.silent_domains"), lostPolls: counter("owner.lost_polls"), factors: histogram("owner.run_time_factor_percent"),
		},
	}}
}

// Size and decay of the histogram samples, as go-metrics recommends.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Run claims ownership when it is free and serves it, until the context ends or Stop
// is called.
func (m *Manager) Run(ctx context.Context) {
	defer close(m.done)
	var group sync.WaitGroup
	defer group.Wait()
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	group.Go(func() { m.watchOwner(watchCtx) })
	delay := m.claimDelay()
	retries := newClaimBackOff()
	for ctx.Err() == nil && !m.isStopped() {
		pause := claimCheckInterval
		if old, ok := m.claimable(delay); ok {
			if claim, ok := m.claim(ctx, old); ok {
				retries.Reset()
				m.serve(ctx, claim)
			} else {
				pause = retries.NextBackOff()
				if m.cfg.Slow() {
					pause *= slowClaimFactor
				}
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// Nominate records that the owner has released ownership to this entry.
func (m *Manager) Nominate(released ledger.Claim) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nominated = released
}

// newestClaim returns the newest claim that this entry has read or was notified of.
func (m *Manager) newestClaim() ledger.Claim {
	claim := m.cfg.Replica.Claim()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.nominated.Epoch > claim.Epoch || (m.nominated.Epoch == claim.Epoch && m.nominated.Released) {
		return m.nominated
	}
	return claim
}

// claimDelay returns how much longer than others this entry waits before it claims.
func (m *Manager) claimDelay() time.Duration {
	h := fnv.New32a()
	h.Write([]byte(m.cfg.Name))
	jitter := float64(h.Sum32()%1000) / 1000
	return time.Duration((1 - min(1, m.cfg.CPUShare) + jitter*0.5) * float64(claimSpread))
}

func (m *Manager) isStopped() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stopped
}

// claimable reports whether ownership is free as far as the log and the owner probe
// show, and returns the claim that ended.
func (m *Manager) claimable(delay time.Duration) (claim ledger.Claim, ok bool) {
	h := m.cfg.Replica.Health()
	if !h.Loaded || h.Age > maxReplicaAge {
		return claim, false
	}
	claim = m.newestClaim()
	m.noteClaim(claim)
	free := claim.Epoch == 0 || claim.Released
	m.cfg.Replica.View(func(t *ledger.Table, _ int64) {
		read, _ := t.Claim()
		free = free || (read.Epoch == claim.Epoch && t.OwnerGone())
	})
	if claim.Entry == m.cfg.Name && claim.Incarnation != m.cfg.Incarnation {
		free = true
	}
	if m.isSuccessor(claim) {
		return claim, true
	}
	if claim.Released && claim.Successor != "" && claim.Entry != m.cfg.Name {
		free = false
	}
	if free {
		return claim, h.OwnerInactivity > m.freeClaimDelay(delay)
	}
	suspectedFor, suspected := m.suspectedFor(claim)
	if (!suspected && h.OwnerInactivity <= ownerProbeDelay) || m.probeOwner(claim) {
		return claim, false
	}
	if m.probeRefused {
		waited := max(suspectedFor, m.cfg.Replica.Health().OwnerInactivity-ownerProbeDelay)
		return claim, waited > m.freeClaimDelay(delay)
	}
	if m.largerEntryExists() {
		delay += smallEntryDelay
	}
	return claim, m.cfg.Replica.Health().OwnerInactivity > ownerTimeout+delay
}

// freeClaimDelay returns how long this entry waits before it claims ownership that
// nobody holds.
func (m *Manager) freeClaimDelay(delay time.Duration) time.Duration {
	if m.largerEntryExists() {
		return delay/freeDelayDivisor + smallEntryFreeDelay
	}
	return delay / freeDelayDivisor
}

// isSuccessor reports whether a claim was released to this entry.
func (m *Manager) isSuccessor(claim ledger.Claim) bool {
	return claim.Released && claim.Successor == m.cfg.Name
}

// largerEntryExists reports whether a clearly larger entry is present.
func (m *Manager) largerEntryExists() (larger bool) {
	m.cfg.Replica.View(func(t *ledger.Table, _ int64) {
		for _, e := range t.Entries() {
			larger = larger || e.CPUShare > yieldFactor*m.cfg.CPUShare
		}
	})
	return larger
}

// probeOwner asks an owner without recent records in the log whether it still owns the
// placement. A slow log delays the owner's records.
func (m *Manager) probeOwner(claim ledger.Claim) bool {
	if m.probedEpoch == claim.Epoch && time.Since(m.probedAt) < probeValidity {
		return m.probedOwning
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	owning, err := m.cfg.Peers.Owning(ctx, claim.Address)
	m.cfg.Logger.Info("owner probed", "owner", claim.Entry, "epoch", claim.Epoch, "owning", owning, "error", err)
	m.probedAt, m.probedEpoch, m.probedOwning, m.probeRefused = time.Now(), claim.Epoch, err == nil && owning, port.ConnectionRefused(err)
	return m.probedOwning
}

// noteClaim remembers when this entry first knew a claim.
func (m *Manager) noteClaim(claim ledger.Claim) {
	now := time.Now()
	if n := len(m.claims); n > 0 && m.claims[n-1].epoch >= claim.Epoch {
		return
	}
	m.claims = slices.DeleteFunc(m.claims, func(c knownClaim) bool { return now.Sub(c.at) > claimMemory })
	m.claims = append(m.claims, knownClaim{claim.Epoch, now})
}

// endedTerms returns until when starts of the terms may be carried out that ended with the claims before
// the given one. A former owner acts for up to logContactTimeout beside the next one.
func (m *Manager) endedTerms(o *owner, claim ledger.Claim) (out []scheduler.EndedTerm) {
	for _, c := range m.claims {
		if c.epoch < claim.Epoch {
			out = append(out, scheduler.EndedTerm{NextRun: c.epoch * runsPerEpoch, StartsUntil: o.at(c.at) + logContactTimeout + scheduler.MaxStartDelay})
		}
	}
	return out
}

// serve runs one term of ownership until it ends.
func (m *Manager) serve(ctx context.Context, claim ledger.Claim) {
	o := m.deps.newOwner(ctx, claim)
	o.sched.SetEndedTerms(m.endedTerms(o, claim))
	if m.claimBegan > 0 {
		o.contactAt.Store(int64(m.claimBegan))
	}
	m.mu.Lock()
	if m.stopped {
		o.cancel()
	}
	m.current = o
	m.mu.Unlock()
	o.run()
	m.mu.Lock()
	m.current = nil
	m.mu.Unlock()
}

// Owning reports whether this entry is the owner and has contact to the log.
func (m *Manager) Owning() bool {
	o := m.owner()
	return o != nil && o.ctx.Err() == nil && o.hasRecentAppend()
}

// owner returns the current term, or nil if this entry is not the owner.
func (m *Manager) owner() *owner {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current
}

// Phase returns the newest recorded phase of a job if this entry is the owner.
func (m *Manager) Phase(ctx context.Context, id workload.JobID) (ledger.Phase, bool) {
	o := m.owner()
	if o == nil {
		return 0, false
	}
	type answer struct {
		phase ledger.Phase
		ok    bool
	}
	result := make(chan answer, 1)
	o.post(func() {
		p, ok := o.phase(id)
		result <- answer{p, ok}
	})
	select {
	case a := <-result:
		return a.phase, a.ok
	case <-o.ctx.Done():
	case <-ctx.Done():
	}
	return 0, false
}

// Record records a job or a cancellation for a caller. It returns port.ErrNotOwner
// unless this entry is the owner. Any other error means that the record may still be
// written.
func (m *Manager) Record(ctx context.Context, record ledger.Record) error {
	o := m.owner()
	if o == nil || !o.mayAct() {
		return port.ErrNotOwner
	}
	r := request{record: record, done: make(chan error, 1)}
	var err error
	if r.job, err = ledger.JobOf(record); err != nil {
		return err
	}
	r.cancel, _ = ledger.CancelOf(record)
	o.post(func() { o.addRequest(r) })
	select {
	case err := <-r.done:
		return err
	case <-o.ctx.Done():
		return errNotRecorded
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stop releases ownership in an orderly way: pending changes are recorded, and the next
// owner may claim at once. Runs continue under their leases. Stop returns after Run.
func (m *Manager) Stop(ctx context.Context) {
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	o := m.owner()
	if o == nil {
		return
	}
	released := make(chan struct{})
	o.post(func() { o.release(released) })
	select {
	case <-released:
	case <-o.ctx.Done():
	case <-ctx.Done():
		o.cancel()
	case <-time.After(2 * stopTimeout):
		o.cancel()
	}
	<-m.done
}
