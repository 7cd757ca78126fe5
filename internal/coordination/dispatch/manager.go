package dispatch

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/hashicorp/go-hclog"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/coordination/replica"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/scheduler"
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
	// claimAttempts bounds how often a claim is tried while others append.
	claimAttempts = 6
	// epochStep leaves room for a random part, so that two claims that follow
	// the same one differ.
	epochStep = 1 << 16
	// claimTimeout bounds a claim until the replica has read it.
	claimTimeout = 3 * time.Second
	// The pause after a claim that did not hold grows from firstClaimRetry to
	// lastClaimRetry.
	firstClaimRetry = 200 * time.Millisecond
	lastClaimRetry  = 2 * time.Second
	// An owner yields after yieldAfter to an entry with yieldFactor times its
	// processor share; the state of a new owner is complete by then.
	yieldAfter  = 5 * time.Second
	yieldFactor = 1.6
	// yieldCheck is how often an owner looks for a larger entry.
	yieldCheck = 2 * time.Second
	// askOwnerTimeout bounds the question to an owner of which the log shows
	// nothing.
	askOwnerTimeout = 500 * time.Millisecond
	// slowClaimFactor spreads claims further on a slow log.
	slowClaimFactor = 4
	// claimPoll is how often an entry looks whether it has read its claim.
	claimPoll = 5 * time.Millisecond
	// stopTimeout bounds the last append of an owner that stops.
	stopTimeout = 1200 * time.Millisecond
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

// newClaimBackOff spaces the claims of an entry that others overtake, as
// happens when all claim at once and the log is slow.
func newClaimBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstClaimRetry
	b.MaxInterval = lastClaimRetry
	return b
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

// claim appends a claim that follows an ended one and waits until the replica
// has read everything before it. From the claim on the log refuses what former
// owners append. Of claims that cross, the first holds, as each requires that
// nothing was appended since its entry read the log; that of a named successor
// needs no such condition.
func (m *Manager) claim(ctx context.Context, old ledger.Claim) (ledger.Claim, bool) {
	claim := ledger.Claim{
		Epoch: (old.Epoch/epochStep+1)*epochStep + rand.Int64N(epochStep-1) + 1,
		Entry: m.cfg.Name, Incarnation: m.cfg.Incarnation, Address: m.cfg.Address, Domain: m.cfg.Domain,
	}
	record, err := ledger.ClaimRecord(&claim)
	if err != nil {
		m.cfg.Logger.Error("claim not encoded", "error", err)
		return claim, false
	}
	callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	entry := port.Append{Topic: port.TopicJobs, Records: []ledger.Record{record}, At: port.AnyOffset, Fence: &port.Fence{Epoch: claim.Epoch}}
	if m.succeeds(old) {
		_, err = m.cfg.Log.Append(callCtx, entry)
	} else {
		err = m.appendFirst(callCtx, entry, old)
	}
	m.cfg.Logger.Info("claim", "epoch", claim.Epoch, "previous", old.Entry, "previous_epoch", old.Epoch, "error", err)
	var conflict *port.ConflictError
	if errors.Is(err, port.ErrNotDone) || errors.Is(err, port.ErrFenced) || errors.Is(err, errOvertaken) || errors.As(err, &conflict) {
		return claim, false
	}
	return claim, m.claimRead(callCtx, claim)
}

// errOvertaken: another entry has claimed.
var errOvertaken = errors.New("dispatch: another entry has claimed the ownership; follow it")

// appendFirst appends a claim if the log holds no newer one than old.
func (m *Manager) appendFirst(ctx context.Context, entry port.Append, old ledger.Claim) (err error) {
	for range claimAttempts {
		var batch port.Batch
		from := int64(0)
		m.cfg.Replica.View(func(_ *ledger.Table, next int64) { from = next })
		if batch, err = m.cfg.Log.Read(ctx, port.TopicJobs, from, 0); err != nil {
			return fmt.Errorf("%w: the log was not read: %w", port.ErrNotDone, err)
		}
		if m.cfg.Replica.Claim().Epoch > old.Epoch || overtaken(batch.Records, old) {
			return errOvertaken
		}
		entry.At = batch.Next
		_, err = m.cfg.Log.Append(ctx, entry)
		var conflict *port.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
	}
	return err
}

// overtaken reports whether records hold a sign of an owner after a claim.
func overtaken(records []ledger.Record, old ledger.Claim) bool {
	for _, r := range records {
		if claim, ok := ledger.ClaimOf(r); ok && (claim.Epoch > old.Epoch || (claim.Epoch == old.Epoch && !claim.Released)) {
			return true
		}
	}
	return false
}

// claimRead waits until the replica has read the claim, which may also have
// been appended without an answer. It reports whether the claim still holds.
func (m *Manager) claimRead(ctx context.Context, claim ledger.Claim) bool {
	m.cfg.Replica.SetPace(replica.Claiming)
	defer m.cfg.Replica.SetPace(replica.Following)
	for ctx.Err() == nil {
		switch newest := m.cfg.Replica.Claim().Epoch; {
		case newest == claim.Epoch:
			return true
		case newest > claim.Epoch:
			return false
		}
		select {
		case <-ctx.Done():
		case <-time.After(claimPoll):
		}
	}
	return false
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

// successor returns the entry that should claim next; its name is empty if
// there is none. Of the largest it is the one that started last: when entries
// are restarted in turn, that one stays longest.
func (o *owner) successor() ledger.Entry {
	best := o.largest()
	if len(best) == 0 {
		return ledger.Entry{}
	}
	return best[0]
}

// nominate tells the successor, which would read it from the log a little later.
func (o *owner) nominate(successor ledger.Entry) {
	if successor.Name == "" {
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, askOwnerTimeout)
	defer cancel()
	if err := o.peers.Nominate(ctx, successor.Address, o.claim); err != nil {
		o.logger.Warn("successor not told", "successor", successor.Name, "error", err)
	}
}

// largest returns the other entries with the largest processor share.
func (o *owner) largest() []ledger.Entry {
	var best []ledger.Entry
	o.replica.View(func(t *ledger.Table, _ int64) {
		for _, e := range t.Entries() {
			switch {
			case e.Name == o.self:
			case len(best) == 0 || e.CPUShare > best[0].CPUShare:
				best = []ledger.Entry{e}
			case e.CPUShare == best[0].CPUShare:
				best = append(best, e)
			}
		}
	})
	return best
}

// yieldIfSmall gives up ownership if a clearly larger entry could take it.
func (o *owner) yieldIfSmall(now time.Time) {
	if o.releasing || o.at(now) < yieldAfter || now.Sub(o.yieldCheckedAt) < yieldCheck {
		return
	}
	o.yieldCheckedAt = now
	if best := o.largest(); len(best) > 0 && best[0].CPUShare > yieldFactor*o.cpuShare {
		o.logger.Info("ownership yielded", "epoch", o.epoch, "cpu_share", o.cpuShare, "larger", best[0].CPUShare)
		o.release(make(chan struct{}))
	}
}

// release records the state and the end of the term. The control loop calls it.
func (o *owner) release(done chan struct{}) {
	if o.releaseBegan.IsZero() {
		o.releaseBegan = time.Now()
	}
	// A gang of which only some members were started would wait in vain.
	starting := o.starting > 0 && time.Since(o.releaseBegan) < orderTimeout
	o.releasing = true
	if !o.flushing && len(o.requests) > 0 {
		o.startFlush(time.Now())
	}
	if starting || o.flushing {
		time.AfterFunc(finalFlushGap, func() { o.post(func() { o.release(done) }) })
		return
	}
	for _, start := range o.planned {
		o.sched.StartResult(o.now(), start.Run, scheduler.Refused)
	}
	o.planned = nil
	successor := o.successor()
	o.claim.Released, o.claim.Successor = true, successor.Name
	ids, states := o.sched.Changed(time.Now().UnixMilli())
	var records []ledger.Record
	for i := range ids {
		if record, err := ledger.StateRecord(ids[i], &states[i]); err == nil {
			records = append(records, record)
		} else {
			o.logger.Error("job state not encoded", "job", ids[i], "error", err)
		}
	}
	last, err := ledger.ClaimRecord(&o.claim)
	if err != nil {
		o.logger.Error("release not encoded", "error", err)
	} else {
		records = append(records, last)
	}
	o.flushing = true
	entry := port.Append{Topic: port.TopicJobs, Records: records, Fence: &port.Fence{Epoch: o.epoch, Seq: o.seq}, At: port.AnyOffset}
	o.seq++
	o.group.Go(func() {
		o.append(entry)
		o.logger.Info("ownership released", "epoch", o.epoch, "records", len(records), "successor", successor.Name)
		o.nominate(successor)
		close(done)
		o.cancel()
	})
}
