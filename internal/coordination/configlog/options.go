// Package configlog follows the configuration stream of the platform's log: it
// folds the records, publishes views, writes changes, confirms what its own
// domain waits for, republishes snapshots before the log forgets them, and
// hands the configuration to peers and takes it from them.
//
// One goroutine owns the fold. All others read published views.
package configlog

import (
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/config"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// The values of Options that are left zero.
const (
	DefaultStream           = "config"
	DefaultPollWait         = 20 * time.Second
	DefaultWriteTimeout     = 10 * time.Second
	DefaultAppendsPerSecond = 3.0
	DefaultMaxAppends       = 20.0
	DefaultSnapshotAge      = 10 * time.Minute
	DefaultSnapshotRecords  = 5000
	DefaultSnapshotDelay    = 20 * time.Second
)

const (
	// tickInterval is how often waiting confirmations and snapshots are looked
	// at when nothing else happens.
	tickInterval = time.Second
	// drainInterval is how often a process that drains is asked again.
	drainInterval = 50 * time.Millisecond
	// readBackoff and maxReadBackoff bound the pause after a failed read.
	readBackoff    = 100 * time.Millisecond
	maxReadBackoff = 2 * time.Second
	// appendBackoff and maxAppendBackoff bound the pause after a failed
	// append.
	appendBackoff    = 50 * time.Millisecond
	maxAppendBackoff = time.Second
	// appendTimeout bounds one attempt to append.
	appendTimeout = 3 * time.Second
	// pollMargin is what a read may take beyond its wait.
	pollMargin = 5 * time.Second
	// ownAppendBurst and appendBurst are how many appends may follow each
	// other at once, of the process's own records and of all.
	ownAppendBurst = 4
	appendBurst    = 20
	// maxQueuedWrites is the most records that wait for their append.
	maxQueuedWrites = 4096
	// maxBatchRecords and maxBatchBytes bound one append.
	maxBatchRecords = 512
	maxBatchBytes   = devplatform.MaxRecordBytes - 16<<10
	// historyRecords and historyBytes bound the records kept for peers.
	historyRecords = 512
	historyBytes   = 1 << 20
	// unavailableRetryAfter is when a refused write may be repeated.
	unavailableRetryAfter = 5 * time.Second
)

// Settlement tells how far this process acts on a view.
type Settlement int

// The answers of a Settle function.
const (
	// Draining: the process does not yet act on the view, or it owns upstreams
	// on which more runs than the view allots.
	Draining Settlement = iota
	// Following: the process acts on the view and owns no upstreams.
	Following
	// Settled: the process acts on the view and owns its domain's upstreams,
	// and all that runs there fits the view's allotments. Upstreams that are
	// not fenced count as full for every team.
	Settled
)

// Options sets up a Follower. Log, Entry and Domain are required.
type Options struct {
	Log devplatform.Log
	// Stream is the name of the log stream.
	Stream string
	// Entry and Domain are those of this process.
	Entry  state.EntryID
	Domain state.DomainID
	// Settle tells how far the process acts on a view. It is called on the
	// goroutine that owns the fold and must not block. When nil, the process
	// counts as settled.
	Settle func(*config.View) Settlement
	Logger hclog.Logger
	// Metrics receives the package's counters; nil means none are kept.
	Metrics metrics.Registry
	// PollWait is how long a read may be held by the log service.
	PollWait time.Duration
	// WriteTimeout bounds a write from its call to its fold.
	WriteTimeout time.Duration
	// AppendsPerSecond is the budget of this process for what it writes by
	// itself. Operators' writes do not wait for it.
	AppendsPerSecond float64
	// MaxAppendsPerSecond bounds all appends of this process.
	MaxAppendsPerSecond float64
	// SnapshotAge and SnapshotRecords make a snapshot due. The age must be
	// well inside the retention of the log.
	SnapshotAge     time.Duration
	SnapshotRecords int
	// SnapshotDelay bounds the random delay before a due snapshot is written,
	// in which another entry may write it.
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
	o.MaxAppendsPerSecond = orDefault(o.MaxAppendsPerSecond, DefaultMaxAppends)
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
