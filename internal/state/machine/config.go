package machine

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/queue"
)

// Config is the scheduling policy of a shard.
type Config struct {
	// Domain is the failure domain of the shard.
	Domain state.DomainID
	// Objective orders the jobs of different teams.
	Objective queue.Objective
	// FirstAttempt is the number of the first attempt of a task. An owner sets it above
	// every number that earlier owners have used.
	FirstAttempt int
	// MaxRetries is how often the tasks of one job may be started again.
	MaxRetries int
	// RetryBase and RetryMax bound the backoff before a retry, which doubles with each
	// retry.
	RetryBase time.Duration
	RetryMax  time.Duration
	// Retention is how long an ended job is kept. A job whose ID is older has to be
	// submitted with IssuedBeforeTakeover set.
	Retention time.Duration
	// RetentionNotIdempotent is the retention of jobs that are not idempotent and so
	// must not run again.
	RetentionNotIdempotent time.Duration
	// FaultPause is how long an upstream gets no new tasks after it refused a start
	// because of a fault of its own.
	FaultPause time.Duration
	// PreemptGrace is the time a task has to checkpoint before it is cancelled.
	PreemptGrace time.Duration
	// GangReserveAfter is how long a gang waits before upstreams are reserved for it.
	// GangReserveFor is how long a reservation lasts at most.
	GangReserveAfter time.Duration
	GangReserveFor   time.Duration
	// Ejection configures when a failing upstream is ejected.
	Ejection Ejection

	// unreconciledCountsAsUnused leaves the capacity of unreconciled upstreams out of the
	// teams' usage. Used by tests only.
	unreconciledCountsAsUnused bool
	// rerunUnconfirmed places a task again before the fate of its unconfirmed start is
	// known. Used by tests only.
	rerunUnconfirmed bool
	// freeOnStop frees capacity when a stop is sent instead of when the end is
	// confirmed. Used by tests only.
	freeOnStop bool
}

// Ejection configures when an upstream on which tasks fail is ejected, that is, gets no
// new tasks, and when it is probed again.
type Ejection struct {
	// MinOutcomes is the minimum number of recent outcomes for an ejection, at most 16.
	MinOutcomes int
	// FailedShare is the fraction of recent outcomes that must be fast failures,
	// between 0 and 1.
	FailedShare float64
	// FastFailure is the longest run time of a failed task that counts as a fast
	// failure.
	FastFailure time.Duration
	// MaxShare is the largest fraction of a service's upstreams that may be ejected at
	// the same time. One upstream may always be ejected.
	MaxShare float64
	// ProbeBase and ProbeMax bound the wait before a task is started on an ejected
	// upstream as a probe. The wait doubles with each failed probe.
	ProbeBase time.Duration
	ProbeMax  time.Duration
}

// DefaultConfig returns the policy that applies when the settings specify none.
func DefaultConfig() Config {
	return Config{
		Objective:              queue.Share,
		FirstAttempt:           1,
		MaxRetries:             5,
		RetryBase:              50 * time.Millisecond,
		RetryMax:               10 * time.Second,
		Retention:              time.Minute,
		RetentionNotIdempotent: 10 * time.Minute,
		FaultPause:             time.Second,
		PreemptGrace:           5 * time.Second,
		GangReserveAfter:       5 * time.Second,
		GangReserveFor:         2 * time.Minute,
		Ejection: Ejection{
			MinOutcomes: 5,
			FailedShare: 0.8,
			FastFailure: time.Second,
			MaxShare:    0.2,
			ProbeBase:   time.Second,
			ProbeMax:    time.Minute,
		},
	}
}
