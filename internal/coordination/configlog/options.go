// Package configlog follows the configuration stream of the platform's log. It
// folds the records into views and publishes them, appends changes, confirms the
// views that its own domain waits for, rewrites snapshots before the log's
// retention drops them, and exchanges configuration updates with peers.
//
// A single goroutine owns the fold. All other goroutines read published views,
// which are immutable.
package configlog

import (
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/config"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// Defaults of Options, applied to fields that are zero.
const (
	DefaultStream              = "config"
	DefaultPollWait            = 20 * time.Second
	DefaultWriteTimeout        = 10 * time.Second
	DefaultAppendsPerSecond    = 3.0
	DefaultMaxAppendsPerSecond = 20.0
	DefaultSnapshotAge         = 10 * time.Minute
	DefaultSnapshotRecords     = 5000
	DefaultSnapshotDelay       = 20 * time.Second
)

const (
	// tickInterval is how often pending confirmations and snapshots are checked
	// in the absence of events.
	tickInterval = time.Second
	// settlePollInterval is how often Options.Settle is called again while it
	// returns Draining.
	settlePollInterval = 50 * time.Millisecond
	// readBackoff and maxReadBackoff are the initial and the maximum backoff after
	// a failed read.
	readBackoff    = 100 * time.Millisecond
	maxReadBackoff = 2 * time.Second
	// appendBackoff and maxAppendBackoff are the initial and the maximum backoff
	// after a failed append.
	appendBackoff    = 50 * time.Millisecond
	maxAppendBackoff = time.Second
	// appendTimeout bounds a single append attempt.
	appendTimeout = 3 * time.Second
	// readTimeoutMargin is added to the wait of a read to get its timeout.
	readTimeoutMargin = 5 * time.Second
	// ownAppendBurst and appendBurst are the burst sizes of the rate limits, in
	// appends: for records that this process originates, and for all records.
	ownAppendBurst = 4
	appendBurst    = 20
	// maxQueuedWrites is the maximum number of records queued for an append.
	maxQueuedWrites = 4096
	// maxBatchRecords and maxBatchBytes bound the records of one append.
	maxBatchRecords = 512
	maxBatchBytes   = devplatform.MaxRecordBytes - 16<<10
	// historyRecords and historyBytes bound the recent records kept in memory for
	// peers.
	historyRecords = 512
	historyBytes   = 1 << 20
	// unavailableRetryAfter is the delay after which a caller may repeat a write
	// that failed with an UnavailableError.
	unavailableRetryAfter = 5 * time.Second
)

// Settlement states how far this process has applied a view.
type Settlement int

// The results of Options.Settle.
const (
	// Draining means that the process has not yet applied the view, or that it
	// owns upstreams whose runs exceed the view's allotments.
	Draining Settlement = iota
	// AppliedWithoutUpstreams means that the process has applied the view and owns no
	// upstreams.
	AppliedWithoutUpstreams
	// Settled means that the process has applied the view, owns the upstreams of
	// its domain, and that all their runs fit the view's allotments. Upstreams
	// that are not fenced yet count as fully used by every team.
	Settled
)

// Options configures a Follower. Log, Entry and Domain are required.
type Options struct {
	Log devplatform.Log
	// Stream is the name of the log stream that holds the configuration.
	Stream string
	// Entry and Domain identify this process and its failure domain.
	Entry  state.EntryID
	Domain state.DomainID
	// Settle returns how far the process has applied a view. It is called on the
	// goroutine that owns the fold and must not block. If nil, every view counts
	// as Settled.
	Settle func(*config.View) Settlement
	Logger hclog.Logger
	// Metrics is the registry of the package's metrics; if nil, they are not
	// exported.
	Metrics metrics.Registry
	// PollWait is how long the log service may hold a read open (long poll) while
	// there are no new records.
	PollWait time.Duration
	// WriteTimeout bounds a write from the call of Write until its record is
	// folded.
	WriteTimeout time.Duration
	// AppendsPerSecond limits the rate of appends that contain only records
	// originated by this process. Operators' writes are exempt from it.
	AppendsPerSecond float64
	// MaxAppendsPerSecond limits the rate of all appends of this process.
	MaxAppendsPerSecond float64
	// SnapshotAge and SnapshotRecords are the age of the last snapshot and the
	// number of records since, either of which makes a new snapshot due. The age
	// must be well below the retention time of the log.
	SnapshotAge     time.Duration
	SnapshotRecords int
	// SnapshotDelay bounds the random delay before a due snapshot is written. The
	// delay gives another entry the chance to write it first.
	SnapshotDelay time.Duration
}

func (o Options) withDefaults() Options {
	if o.Stream == "" {
		o.Stream = DefaultStream
	}
	if o.Settle == nil {
		o.Settle = func(*config.View) Settlement { return Settled }
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	o.PollWait = orDefault(o.PollWait, DefaultPollWait)
	o.WriteTimeout = orDefault(o.WriteTimeout, DefaultWriteTimeout)
	o.AppendsPerSecond = orDefault(o.AppendsPerSecond, DefaultAppendsPerSecond)
	o.MaxAppendsPerSecond = orDefault(o.MaxAppendsPerSecond, DefaultMaxAppendsPerSecond)
	o.SnapshotAge = orDefault(o.SnapshotAge, DefaultSnapshotAge)
	o.SnapshotRecords = orDefault(o.SnapshotRecords, DefaultSnapshotRecords)
	o.SnapshotDelay = orDefault(o.SnapshotDelay, DefaultSnapshotDelay)
	return o
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
