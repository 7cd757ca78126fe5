package dispatch

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/coordination/replica"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

const (
	// ownerSilence is how long the log may show no sign of the owner until
	// another entry claims; the owner writes at least every heartbeat.
	ownerSilence = 800 * time.Millisecond
	// ownerDoubt is the silence after which the owner is asked. Under load it
	// appends every few milliseconds, and entries read every 250 ms.
	ownerDoubt = 400 * time.Millisecond
	// claimSpread keeps entries from claiming at the same moment; the
	// preferred ones claim first.
	claimSpread = 400 * time.Millisecond
	// smallerDelay is how much longer entries wait while a clearly larger one is
	// there, which may still be asking the owner.
	smallerDelay = askOwnerTimeout + 200*time.Millisecond
	// freeSpread divides the spread when the ownership is known to be free, so
	// that little time is lost.
	freeSpread = 4
	// freshRead is the greatest age of the replica at which an entry claims.
	freshRead = 1300 * time.Millisecond
	// claimCheck is how often an entry looks whether it should claim.
	claimCheck = 50 * time.Millisecond
	// smallerDelayIfFree is that delay when nobody needs to be asked.
	smallerDelayIfFree = 300 * time.Millisecond
	// askedPause is how long an answer of the owner, or its absence, holds.
	askedPause = 600 * time.Millisecond
	// askOwnerTimeout bounds the question to an owner of which the log shows
	// nothing.
	askOwnerTimeout = 500 * time.Millisecond
	// slowClaimFactor spreads claims further on a slow log.
	slowClaimFactor = 4
)

// Config says who an entry is and what it uses.
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
	// CPUShare is the part of a processor that the entry has. Larger entries
	// claim first.
	CPUShare float64
	// Lease is how long runs go on without hearing from the owner.
	Lease time.Duration
	// Slow reports whether the log is slow.
	Slow func() bool
	// Retention is how long the state of an ended job is kept.
	Retention time.Duration
	Logger    hclog.Logger
	Registry  metrics.Registry
}

// Manager takes and gives up ownership.
type Manager struct {
	cfg   Config
	parts *parts

	// askedAt is when the owner of askedEpoch was last asked whether it goes on,
	// and askedOwning its answer; only Run uses them.
	askedAt     time.Time
	askedEpoch  int64
	askedOwning bool
	// askedGone says that no process listens at the owner's address.
	askedGone bool

	mu      sync.Mutex
	current *owner
	stopped bool
	// nominated is the released claim that this entry was told to follow.
	nominated ledger.Claim
	done      chan struct{}
}

// NewManager returns a Manager that does nothing until Run.
func NewManager(cfg Config) *Manager {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, cfg.Registry) }
	gauge := func(name string) metrics.Gauge { return metrics.GetOrRegisterGauge(name, cfg.Registry) }
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, cfg.Registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	return &Manager{cfg: cfg, done: make(chan struct{}), parts: &parts{
		log: cfg.Log, decoder: cfg.Decoder, upstreams: cfg.Upstreams, replica: cfg.Replica, peers: cfg.Peers,
		self: cfg.Name, cpuShare: cfg.CPUShare, advisor: cfg.Advisor, lease: cfg.Lease, retention: cfg.Retention, logger: cfg.Logger,
		metrics: ownerMetrics{
			starts: counter("owner.starts"), ends: counter("owner.ends"),
			appends: counter("owner.appends"), appendFails: counter("owner.append_failures"),
			asks: counter("owner.advice_calls"), askFails: counter("owner.advice_failures"),
			startLatency: histogram("owner.start_us"), planTime: histogram("owner.plan_us"),
			jobs: gauge("owner.jobs"), runs: gauge("owner.runs"), ready: gauge("owner.ready_steps"), silent: gauge("owner.silent_upstreams"),
		},
	}}
}

// Size and decay of the histograms' samples, as go-metrics recommends.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Run claims ownership when it is free and serves it, until the context ends.
func (m *Manager) Run(ctx context.Context) {
	defer close(m.done)
	delay := m.delay()
	retries := newClaimBackOff()
	for ctx.Err() == nil && !m.isStopped() {
		pause := claimCheck
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

// Nominate takes in that the owner has released the ownership to this entry.
func (m *Manager) Nominate(released ledger.Claim) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nominated = released
}

// newestClaim returns the newest claim that this entry has read or been told of.
func (m *Manager) newestClaim() ledger.Claim {
	claim := m.cfg.Replica.Claim()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.nominated.Epoch > claim.Epoch || (m.nominated.Epoch == claim.Epoch && m.nominated.Released) {
		return m.nominated
	}
	return claim
}

// delay returns how much longer than others this entry waits before it claims.
func (m *Manager) delay() time.Duration {
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

// claimable reports whether the ownership is free as far as the log shows, and
// returns the claim that ended.
func (m *Manager) claimable(delay time.Duration) (claim ledger.Claim, ok bool) {
	h := m.cfg.Replica.Health()
	if !h.Loaded || h.Age > freshRead {
		return claim, false
	}
	claim = m.newestClaim()
	free := claim.Epoch == 0 || claim.Released
	m.cfg.Replica.View(func(t *ledger.Table, _ int64) {
		read, _ := t.Claim()
		free = free || (read.Epoch == claim.Epoch && t.OwnerGone())
	})
	if claim.Entry == m.cfg.Name && claim.Incarnation != m.cfg.Incarnation {
		free = true
	}
	if m.succeeds(claim) {
		return claim, true
	}
	if claim.Released && claim.Successor != "" && claim.Entry != m.cfg.Name {
		free = false
	}
	if free {
		return claim, h.OwnerSilence > m.delayIfFree(delay)
	}
	if h.OwnerSilence <= ownerDoubt || m.ownerAnswers(claim) {
		return claim, false
	}
	if m.askedGone {
		return claim, m.cfg.Replica.Health().OwnerSilence > ownerDoubt+m.delayIfFree(delay)
	}
	if m.isSmall() {
		delay += smallerDelay
	}
	return claim, m.cfg.Replica.Health().OwnerSilence > ownerSilence+delay
}

// delayIfFree returns how long this entry waits before it takes an ownership
// that nobody holds.
func (m *Manager) delayIfFree(delay time.Duration) time.Duration {
	if m.isSmall() {
		return delay/freeSpread + smallerDelayIfFree
	}
	return delay / freeSpread
}

// succeeds reports whether a claim was released to this entry.
func (m *Manager) succeeds(claim ledger.Claim) bool {
	return claim.Released && claim.Successor == m.cfg.Name
}

// isSmall reports whether a clearly larger entry takes part.
func (m *Manager) isSmall() (small bool) {
	m.cfg.Replica.View(func(t *ledger.Table, _ int64) {
		for _, e := range t.Entries() {
			small = small || e.CPUShare > yieldFactor*m.cfg.CPUShare
		}
	})
	return small
}

// ownerAnswers asks an owner that the log shows no sign of whether it goes on.
// A slow log delays the signs of its life.
func (m *Manager) ownerAnswers(claim ledger.Claim) bool {
	if m.askedEpoch == claim.Epoch && time.Since(m.askedAt) < askedPause {
		return m.askedOwning
	}
	ctx, cancel := context.WithTimeout(context.Background(), askOwnerTimeout)
	defer cancel()
	owning, err := m.cfg.Peers.Owning(ctx, claim.Address)
	m.cfg.Logger.Info("owner asked", "owner", claim.Entry, "epoch", claim.Epoch, "owning", owning, "error", err)
	m.askedAt, m.askedEpoch, m.askedOwning, m.askedGone = time.Now(), claim.Epoch, err == nil && owning, port.Refused(err)
	return m.askedOwning
}

func (m *Manager) serve(ctx context.Context, claim ledger.Claim) {
	o := m.parts.newOwner(ctx, claim)
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

// Owning reports whether this entry is the owner and reaches the log.
func (m *Manager) Owning() bool {
	o := m.owner()
	return o != nil && o.ctx.Err() == nil && o.inContact()
}

// owner returns the current term, or nil.
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

// Record records a job or a cancellation that a caller asked for. It returns
// port.ErrNotOwner unless this entry is the owner; any other error means that
// the record may still be written.
func (m *Manager) Record(ctx context.Context, record ledger.Record) error {
	o := m.owner()
	if o == nil || !o.mayExtend() {
		return port.ErrNotOwner
	}
	r := request{record: record, done: make(chan error, 1)}
	var err error
	if r.job, err = ledger.JobOf(record); err != nil {
		return err
	}
	r.cancel, _ = ledger.CancelOf(record)
	o.post(func() { o.record(r) })
	select {
	case err := <-r.done:
		return err
	case <-o.ctx.Done():
		return errNotRecorded
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stop gives up ownership in order: what changed is recorded, and the next
// owner may claim at once. Runs go on under their leases.
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
