// Package replica maintains an entry's copy of the platform's log: the ledger of jobs and
// the operators' configuration. The owner reads the upstreams itself, in package dispatch.
package replica

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/samphirerail/samphirerail/internal/coordination/bootclock"
	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

const (
	// readWait is how long the log may hold a read open without new records. It bounds
	// how long a dead connection goes unnoticed.
	readWait = time.Second
	// locateInterval is the pause between two reads of the claim and the entries while the
	// ledger is being loaded.
	locateInterval = time.Second
	// maxConfigBacklog is the maximum number of operators' records that are read one after
	// the other. Each holds a whole configuration, of which only the newest matters, and the
	// newest of each key is sent in base64, which is a third larger.
	maxConfigBacklog = 1
	// retryPause is the pause after a failed read.
	retryPause = 100 * time.Millisecond
	// followerPause is the minimum time between two reads of an entry that is not
	// the owner, since each read is billed.
	followerPause = 250 * time.Millisecond
	// ownerPause is the minimum time between two reads of the owner.
	ownerPause = 100 * time.Millisecond
)

// Observer is notified of each folded change. It must not block.
type Observer interface {
	// Folded is called after a batch was folded, with the changes in log order.
	Folded(changes []ledger.Change)
}

// ReadMode determines how often the ledger is read.
type ReadMode int64

// The read modes.
const (
	// Following is the mode of an entry that is not the owner.
	Following ReadMode = iota
	// Owning is the mode of the owner.
	Owning
	// Claiming reads without a pause, while an entry waits to read its own claim.
	Claiming
)

// readPauses are the minimum times between two reads.
var readPauses = map[ReadMode]time.Duration{Following: followerPause, Owning: ownerPause, Claiming: 0}

// Replica follows the log. Its methods are safe for concurrent use.
type Replica struct {
	log       port.Log
	decoder   port.Decoder
	logger    hclog.Logger
	startedAt time.Time

	mu       sync.RWMutex
	table    *ledger.Table
	next     int64
	loaded   bool
	observer Observer
	// leaseEndsAt is when the newest record of lease ends was folded, by clock.
	leaseEndsAt time.Duration

	// loading and locatedAt are used only by the goroutine that follows the ledger.
	loading   loadProgress
	locatedAt time.Time
	// located is set once the claim and the registered entries were read.
	located bool

	// unexpected holds the offsets of the operators' records that were logged as not as
	// expected. It is used only by the goroutine that follows the operators' topic.
	unexpected map[string]int64

	config        atomic.Pointer[workload.Config]
	evacuation    atomic.Pointer[evacuationRead]
	evacuations   evacuations
	readAt        atomic.Int64 // newest successful read; this and the following times are in nanoseconds since startedAt
	readingSince  atomic.Int64 // start of the current series of successful reads; 0 after a failed read
	ownerRecordAt atomic.Int64 // newest record of the owner
	mode          atomic.Int64
	// modeChanged ends the pause between two reads when the mode changes.
	modeChanged     chan struct{}
	configReadAt    atomic.Int64 // newest successful read of the configuration
	contactAt       atomic.Int64 // see Contact
	clock           bootclock.Clock
	reads           metrics.Counter
	readFails       metrics.Counter
	configReadFails metrics.Counter
}

// New returns a Replica that reads nothing until Run.
func New(log port.Log, decoder port.Decoder, logger hclog.Logger, registry metrics.Registry, options ...Option) *Replica {
	r := &Replica{
		log: log, decoder: decoder, logger: logger, startedAt: time.Now(), clock: bootclock.Now,
		table:           ledger.NewTable(),
		evacuations:     evacuations{clock: bootclock.Now},
		unexpected:      map[string]int64{},
		modeChanged:     make(chan struct{}, 1),
		reads:           metrics.GetOrRegisterCounter("replica.reads", registry),
		readFails:       metrics.GetOrRegisterCounter("replica.read_failures", registry),
		configReadFails: metrics.GetOrRegisterCounter("replica.config_read_failures", registry),
	}
	metrics.NewRegisteredFunctionalGauge("replica.config_version", registry, r.configVersion)
	metrics.NewRegisteredFunctionalGauge("replica.config_age_ms", registry, func() int64 { return r.configAge().Milliseconds() })
	r.registerEvacuationMetrics(registry)
	for _, option := range options {
		option(r)
	}
	return r
}

// Run follows the log until the context ends.
func (r *Replica) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { r.followJobs(ctx) })
	group.Go(func() { r.followConfig(ctx) })
	group.Wait()
}

// monotonicNow returns the time since startedAt, which changes of the wall clock do not
// affect. It is never 0.
func (r *Replica) monotonicNow() int64 { return int64(time.Since(r.startedAt)) + 1 }

// Config returns the newest configuration, or nil before the first one was read.
func (r *Replica) Config() *workload.Config { return r.config.Load() }

// configVersion returns the version of the newest configuration, or 0 before the first one
// was read.
func (r *Replica) configVersion() int64 {
	if config := r.config.Load(); config != nil {
		return config.Version
	}
	return 0
}

// configAge returns the time since the configuration was last read successfully, whether
// or not it had changed, or since the start before the first read.
func (r *Replica) configAge() time.Duration {
	return time.Duration(r.monotonicNow() - r.configReadAt.Load())
}

// SetReadMode sets how often the ledger is read.
func (r *Replica) SetReadMode(m ReadMode) {
	r.mode.Store(int64(m))
	select {
	case r.modeChanged <- struct{}{}:
	default:
	}
}

// Observe sets the observer of changes from now on, or none if o is nil. It calls seed
// with the current table before any later change is reported.
func (r *Replica) Observe(o Observer, seed func(*ledger.Table, int64)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observer = o
	if seed != nil {
		seed(r.table, r.next)
	}
}

// View calls f with the table while holding a read lock. f must not retain the table.
func (r *Replica) View(f func(t *ledger.Table, next int64)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	f(r.table, r.next)
}

// Row returns a copy of a job's row, and whether the ledger holds the job.
func (r *Replica) Row(id workload.JobID) (ledger.Row, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if row := r.table.Row(id); row != nil {
		return *row, true
	}
	return ledger.Row{}, false
}

// Claim returns the newest claim of ownership.
func (r *Replica) Claim() ledger.Claim {
	r.mu.RLock()
	defer r.mu.RUnlock()
	c, _ := r.table.Claim()
	return c
}

// Health describes how current the replica is.
type Health struct {
	// Loaded is set once the ledger and a configuration were read.
	Loaded bool
	// Located is set once the owner's claim, the registered entries and a configuration
	// were read, which is soon after the start. It allows passing requests to the owner.
	Located bool
	// Age is the time since the newest successful read.
	Age time.Duration
	// OwnerInactivity is for how long reads have succeeded without a record of the owner.
	OwnerInactivity time.Duration
}

// neverRead is the age of a replica that has read nothing.
const neverRead = time.Hour

// Health returns how current the replica is.
func (r *Replica) Health() Health {
	r.mu.RLock()
	loaded, located := r.loaded, r.loaded || r.located
	r.mu.RUnlock()
	now := r.monotonicNow()
	configured := r.config.Load() != nil
	h := Health{Loaded: loaded && configured, Located: located && configured, Age: neverRead}
	if at := r.readAt.Load(); at > 0 {
		h.Age = time.Duration(now - at)
	}
	if started := r.readingSince.Load(); started > 0 {
		h.OwnerInactivity = time.Duration(now - max(started, r.ownerRecordAt.Load()))
	}
	return h
}

func (r *Replica) followJobs(ctx context.Context) {
	for ctx.Err() == nil {
		if !r.isLoaded() && !r.load(ctx) {
			pauseForRetry(ctx)
			continue
		}
		began := time.Now()
		if !r.readNext(ctx) {
			pauseForRetry(ctx)
			continue
		}
		r.pauseBeforeRead(ctx, began)
	}
}

// pauseBeforeRead waits until the next read is due, after one that began at the given time.
func (r *Replica) pauseBeforeRead(ctx context.Context, began time.Time) {
	for ctx.Err() == nil {
		left := readPauses[ReadMode(r.mode.Load())] - time.Since(began)
		if left <= 0 {
			return
		}
		timer := time.NewTimer(left)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-r.modeChanged:
		}
		timer.Stop()
	}
}

func (r *Replica) isLoaded() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.loaded
}

// loadProgress is the state of a load of the newest record of each key.
type loadProgress struct {
	// after is the last key that was read, or empty if no page was read yet.
	after string
	// next is the offset at which reading continues after the load.
	next    int64
	records int
}

// load reads the newest record of each key, page by page. After a failure the next call
// continues where this one stopped, because an entry with a slow link may never read all
// pages in one go.
func (r *Replica) load(ctx context.Context) bool {
	for ctx.Err() == nil {
		if !r.locate(ctx) {
			return false
		}
		page, ok := r.readPage(ctx, r.loading.after)
		if !ok {
			return false
		}
		if r.loading.after == "" {
			r.loading = loadProgress{next: page.Next}
		}
		r.loading.after = page.After
		r.loading.records += len(page.Records)
		if page.After == "" {
			r.mu.Lock()
			r.next, r.loaded = max(r.next, r.loading.next), true
			r.mu.Unlock()
			r.logger.Info("ledger loaded", "records", r.loading.records, "next", r.loading.next)
			r.loading = loadProgress{}
			return true
		}
	}
	return false
}

// locate reads the owner's claim and the registered entries before the rest of the
// ledger, and again each locateInterval while that is being read. It reports false after
// a failure.
func (r *Replica) locate(ctx context.Context) bool {
	if r.isLoaded() || time.Since(r.locatedAt) < locateInterval {
		return true
	}
	for _, after := range ledger.DirectoryPages {
		if _, ok := r.readPage(ctx, after); !ok {
			return false
		}
	}
	r.locatedAt = time.Now()
	r.mu.Lock()
	r.located = true
	r.mu.Unlock()
	return true
}

// readPage reads a page of the newest records and folds it.
func (r *Replica) readPage(ctx context.Context, after string) (port.Batch, bool) {
	page, err := r.log.NewestPage(ctx, port.TopicJobs, after)
	if err != nil {
		r.recordFailure("load the ledger", err)
		return port.Batch{}, false
	}
	r.mu.Lock()
	r.applyLocked(page.Records)
	if r.loaded { // what the log has dropped meanwhile is not known
		r.table.ForgetLeaseEnds()
	}
	r.mu.Unlock()
	r.recordSuccess()
	return page, true
}

// readNext reads and folds the next batch. If the log no longer holds it, it loads the
// newest record of each key instead.
func (r *Replica) readNext(ctx context.Context) bool {
	r.mu.RLock()
	from := r.next
	r.mu.RUnlock()
	began := r.clock()
	batch, err := r.log.Read(ctx, port.TopicJobs, from, readWait)
	if errors.Is(err, port.ErrExpired) {
		r.logger.Warn("ledger records expired from the log", "from", from, "action", "load the newest of each key")
		return r.load(ctx)
	}
	if err != nil {
		r.recordFailure("read the ledger", err)
		return false
	}
	r.reads.Inc(1)
	r.mu.Lock()
	r.applyLocked(batch.Records)
	r.next = max(r.next, batch.Next)
	r.mu.Unlock()
	r.recordContact(began, batch.Next, batch.End)
	r.recordSuccess()
	return true
}

// applyLocked folds records and notifies the observer. The caller must hold r.mu.
func (r *Replica) applyLocked(records []ledger.Record) {
	changes := make([]ledger.Change, 0, len(records))
	for _, record := range records {
		change, err := r.table.Apply(record)
		if err != nil {
			r.logger.Warn("invalid ledger record ignored", "offset", record.Offset, "error", err)
			continue
		}
		if change.OwnerAlive {
			r.ownerRecordAt.Store(r.monotonicNow())
		}
		if change.LeaseEnds {
			r.leaseEndsAt = r.clock()
		}
		changes = append(changes, change)
	}
	if r.observer != nil {
		r.observer.Folded(changes)
	}
}

func (r *Replica) recordSuccess() {
	now := r.monotonicNow()
	r.readAt.Store(now)
	if r.readingSince.CompareAndSwap(0, now) {
		r.logger.Info("log reachable", "next", r.next)
	}
}

func (r *Replica) recordFailure(action string, err error) {
	r.readFails.Inc(1)
	if r.readingSince.Swap(0) > 0 {
		r.logger.Warn("log unreachable", "while", action, "error", err)
	}
}

func (r *Replica) followConfig(ctx context.Context) {
	next := int64(-1)
	failing := false
	for ctx.Err() == nil {
		var batch port.Batch
		var err error
		full, sentAt := next < 0, r.evacuations.clock()
		if full {
			batch, err = port.ReadNewest(ctx, r.log, port.TopicOperators)
		} else {
			batch, err = r.log.Read(ctx, port.TopicOperators, next, r.operatorsWait())
		}
		switch {
		case errors.Is(err, port.ErrExpired):
			next = -1
			continue
		case err != nil:
			r.configReadFails.Inc(1)
			if !failing && ctx.Err() == nil {
				r.logger.Warn("configuration not readable", "version", r.configVersion(), "age_ms", r.configAge().Milliseconds(), "from", next, "error", err)
			}
			failing = true
			pauseForRetry(ctx)
			continue
		}
		if failing {
			failing = false
			r.logger.Info("configuration readable again", "age_ms", r.configAge().Milliseconds(), "from", next)
		}
		next = batch.Next
		if batch.End-batch.Next > maxConfigBacklog {
			next = -1
		}
		r.configReadAt.Store(r.monotonicNow())
		r.applyEvacuations(batch, full, sentAt) // before the configuration, which allows placing
		r.applyConfig(batch)
		if r.config.Load() == nil {
			pauseForRetry(ctx)
		}
	}
}

// applyConfig applies the newest configuration of a batch. Its version never decreases.
func (r *Replica) applyConfig(batch port.Batch) {
	for _, record := range batch.Records {
		config, err := r.decoder.Config(record)
		if err != nil {
			r.logOnce(record, "invalid operators' record ignored", "error", err)
			continue
		}
		if config == nil {
			continue
		}
		if old := r.config.Load(); old != nil && config.Version <= old.Version {
			continue
		}
		config.Index()
		r.config.Store(config)
		r.logger.Info("configuration applied", "version", config.Version, "queues", len(config.Queues), "workspaces", len(config.Workspaces), "bytes", len(record.Value))
	}
}

// pauseForRetry waits after a failed read.
func pauseForRetry(ctx context.Context) {
	timer := time.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
