// Package replica keeps an entry's view of the platform's log: the ledger of
// jobs, the operators' configuration and, at the owner, the upstreams.
package replica

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

const (
	// readWait is how long the log may hold a read without news. It bounds how
	// long a silent connection goes unnoticed.
	readWait = time.Second
	// readTimeout bounds a read that is held for readWait.
	readTimeout = readWait + 800*time.Millisecond
	// newestTimeout bounds the load of a topic.
	newestTimeout = 5 * time.Second
	// retryPause is the pause after a failed read.
	retryPause = 100 * time.Millisecond
	// followerPause is the least time between two reads of an entry that is not
	// the owner; each read is priced.
	followerPause = 250 * time.Millisecond
	// ownerPause is the least time between two reads of the owner.
	ownerPause = 100 * time.Millisecond
)

// Observer is told of each folded change. It must not block.
type Observer interface {
	// Folded is called after a batch was applied, in log order.
	Folded(changes []ledger.Change, next int64)
}

// Pace is how closely the ledger is followed.
type Pace int64

// The paces.
const (
	// Following is the pace of an entry that is not the owner.
	Following Pace = iota
	// Owning is the owner's pace.
	Owning
	// Claiming reads without a pause, while a claim waits to be read.
	Claiming
)

// pauses are the least times between two reads.
var pauses = map[Pace]time.Duration{Following: followerPause, Owning: ownerPause, Claiming: 0}

// Replica follows the log. Its methods are safe for concurrent use.
type Replica struct {
	log     port.Log
	decoder port.Decoder
	logger  hclog.Logger
	began   time.Time

	mu       sync.RWMutex
	table    *ledger.Table
	next     int64
	loaded   bool
	observer Observer

	config  atomic.Pointer[workload.Config]
	readAt  atomic.Int64 // newest successful read; this and the next ones in nanoseconds since the start
	okSince atomic.Int64 // start of the current row of successful reads; 0 when the newest failed
	aliveAt atomic.Int64 // newest record of the owner
	pace    atomic.Int64
	// paced ends the pause between two reads when the pace changes.
	paced     chan struct{}
	configAt  atomic.Int64
	reads     metrics.Counter
	readFails metrics.Counter
}

// New returns a replica that has read nothing.
func New(log port.Log, decoder port.Decoder, logger hclog.Logger, registry metrics.Registry) *Replica {
	return &Replica{
		log: log, decoder: decoder, logger: logger, began: time.Now(),
		table:     ledger.NewTable(),
		paced:     make(chan struct{}, 1),
		reads:     metrics.GetOrRegisterCounter("replica.reads", registry),
		readFails: metrics.GetOrRegisterCounter("replica.read_failures", registry),
	}
}

// Run follows the log until the context ends.
func (r *Replica) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { r.followJobs(ctx) })
	group.Go(func() { r.followConfig(ctx) })
	group.Wait()
}

// sinceStart is steady, whatever happens to the time of day. It is never 0.
func (r *Replica) sinceStart() int64 { return int64(time.Since(r.began)) + 1 }

// Config returns the newest configuration, or nil before the first.
func (r *Replica) Config() *workload.Config { return r.config.Load() }

// SetPace chooses how closely the ledger is followed.
func (r *Replica) SetPace(p Pace) {
	r.pace.Store(int64(p))
	select {
	case r.paced <- struct{}{}:
	default:
	}
}

// Observe sets who is told of changes from now on and calls seed with the
// table as it is, before any change is reported.
func (r *Replica) Observe(o Observer, seed func(*ledger.Table, int64)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observer = o
	if seed != nil {
		seed(r.table, r.next)
	}
}

// View calls f with the table. f must not keep it.
func (r *Replica) View(f func(t *ledger.Table, next int64)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	f(r.table, r.next)
}

// Row returns a copy of a job's row.
func (r *Replica) Row(id workload.JobID) (ledger.Row, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if row := r.table.Row(id); row != nil {
		return *row, true
	}
	return ledger.Row{}, false
}

// Claim returns the newest claim.
func (r *Replica) Claim() ledger.Claim {
	r.mu.RLock()
	defer r.mu.RUnlock()
	c, _ := r.table.Claim()
	return c
}

// Health says how fresh the replica is.
type Health struct {
	// Loaded is set once the ledger and a configuration were read.
	Loaded bool
	// Age is the time since the newest successful read.
	Age time.Duration
	// OwnerSilence is for how long reads have succeeded without a sign of the owner.
	OwnerSilence time.Duration
}

// neverRead is the age of a replica that has read nothing.
const neverRead = time.Hour

// Health returns how fresh the replica is.
func (r *Replica) Health() Health {
	r.mu.RLock()
	loaded := r.loaded
	r.mu.RUnlock()
	now := r.sinceStart()
	h := Health{Loaded: loaded && r.config.Load() != nil, Age: neverRead}
	if at := r.readAt.Load(); at > 0 {
		h.Age = time.Duration(now - at)
	}
	if since := r.okSince.Load(); since > 0 {
		h.OwnerSilence = time.Duration(now - max(since, r.aliveAt.Load()))
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
		if !r.step(ctx) {
			pauseForRetry(ctx)
			continue
		}
		r.pauseAtPace(ctx, began)
	}
}

// pauseAtPace waits until the next read is due after one that began at a time.
func (r *Replica) pauseAtPace(ctx context.Context, began time.Time) {
	for ctx.Err() == nil {
		left := pauses[Pace(r.pace.Load())] - time.Since(began)
		if left <= 0 {
			return
		}
		timer := time.NewTimer(left)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-r.paced:
		}
		timer.Stop()
	}
}

func (r *Replica) isLoaded() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.loaded
}

// load reads the newest record of each key.
func (r *Replica) load(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, newestTimeout)
	defer cancel()
	batch, err := r.log.Newest(callCtx, port.TopicJobs)
	if err != nil {
		r.failed("load the ledger", err)
		return false
	}
	r.mu.Lock()
	if !r.loaded {
		r.table = ledger.NewTable()
	}
	r.applyLocked(batch)
	r.loaded = true
	r.mu.Unlock()
	r.succeeded()
	r.logger.Info("ledger loaded", "records", len(batch.Records), "next", batch.Next)
	return true
}

func (r *Replica) step(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	r.mu.RLock()
	from := r.next
	r.mu.RUnlock()
	batch, err := r.log.Read(callCtx, port.TopicJobs, from, readWait)
	if errors.Is(err, port.ErrExpired) {
		r.logger.Warn("ledger history dropped", "from", from, "action", "load the newest of each key")
		return r.load(ctx)
	}
	if err != nil {
		r.failed("read the ledger", err)
		return false
	}
	r.reads.Inc(1)
	r.mu.Lock()
	r.applyLocked(batch)
	r.mu.Unlock()
	r.succeeded()
	return true
}

// applyLocked folds a batch and tells the observer.
func (r *Replica) applyLocked(batch port.Batch) {
	changes := make([]ledger.Change, 0, len(batch.Records))
	for _, record := range batch.Records {
		change, err := r.table.Apply(record)
		if err != nil {
			r.logger.Warn("ledger record left aside", "offset", record.Offset, "error", err)
			continue
		}
		if change.OwnerAlive {
			r.aliveAt.Store(r.sinceStart())
		}
		changes = append(changes, change)
	}
	r.next = max(r.next, batch.Next)
	if r.observer != nil {
		r.observer.Folded(changes, r.next)
	}
}

func (r *Replica) succeeded() {
	now := r.sinceStart()
	r.readAt.Store(now)
	if r.okSince.CompareAndSwap(0, now) {
		r.logger.Info("log reached", "next", r.next)
	}
}

func (r *Replica) failed(what string, err error) {
	r.readFails.Inc(1)
	if r.okSince.Swap(0) > 0 {
		r.logger.Warn("log lost", "while", what, "error", err)
	}
}

func (r *Replica) followConfig(ctx context.Context) {
	next := int64(-1)
	for ctx.Err() == nil {
		var batch port.Batch
		var err error
		if next < 0 {
			callCtx, cancel := context.WithTimeout(ctx, newestTimeout)
			batch, err = r.log.Newest(callCtx, port.TopicOperators)
			cancel()
		} else {
			callCtx, cancel := context.WithTimeout(ctx, readTimeout)
			batch, err = r.log.Read(callCtx, port.TopicOperators, next, readWait)
			cancel()
		}
		switch {
		case errors.Is(err, port.ErrExpired):
			next = -1
			continue
		case err != nil:
			r.logger.Debug("configuration not read", "error", err)
			pauseForRetry(ctx)
			continue
		}
		next = batch.Next
		r.configAt.Store(r.sinceStart())
		r.takeConfig(batch)
		if r.config.Load() == nil {
			pauseForRetry(ctx)
		}
	}
}

// takeConfig installs the newest configuration of a batch. Versions never go back.
func (r *Replica) takeConfig(batch port.Batch) {
	for _, record := range batch.Records {
		config, err := r.decoder.Config(record)
		if err != nil {
			r.logger.Warn("operators' record left aside", "key", record.Key, "offset", record.Offset, "error", err)
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
		r.logger.Info("configuration in force", "version", config.Version, "queues", len(config.Queues), "workspaces", len(config.Workspaces))
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
