package machine

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/state/queue"
)

// Config is the policy of a shard.
type Config struct {
	// Objective orders the work of different teams.
	Objective queue.Objective
	// FirstAttempt is the number of the first attempt of a task. An owner
	// sets it above every number that earlier owners have used.
	FirstAttempt int
	// MaxRetries is how often the tasks of one job may be started again.
	MaxRetries int
	// RetryBase and RetryMax bound the wait before a retry, which doubles
	// with each one.
	RetryBase time.Duration
	RetryMax  time.Duration
	// Retention is how long an ended job is remembered. A job whose ID is
	// older has to be submitted with IssuedBeforeTakeover set.
	Retention time.Duration
	// RetentionNotIdempotent is the same for jobs that must not run again.
	RetentionNotIdempotent time.Duration
	// FaultPause is how long an upstream that refused a start for a fault of
	// its own takes no new work.
	FaultPause time.Duration
	// PreemptGrace is the time a task has to checkpoint before it is
	// cancelled.
	PreemptGrace time.Duration
	// GangPatience is how long a gang waits before upstreams are held for
	// it; GangHold is for how long they are.
	GangPatience time.Duration
	GangHold     time.Duration
	// Ejection says when an upstream is taken out.
	Ejection Ejection

	// unfencedCountsAsEmpty leaves unfenced upstreams out of the teams'
	// usage.
	unfencedCountsAsEmpty bool
	// rerunWithoutProof starts a task elsewhere before the fate of a lost
	// start is known.
	rerunWithoutProof bool
	// freeOnStop frees capacity when a stop is sent.
	freeOnStop bool
}

// Ejection says when an upstream that fails what it starts is taken out of use,
// and when it is tried again.
type Ejection struct {
	// MinOutcomes is the fewest recent outcomes to judge by, at most 16.
	MinOutcomes int
	// FailedShare is the share of recent outcomes that must be fast
	// failures, between 0 and 1.
	FailedShare float64
	// Fast is the longest run that counts as a fast failure.
	Fast time.Duration
	// MaxShare is the largest share of a service's upstreams that may be out
	// at once; one always may.
	MaxShare float64
	// ProbeBase and ProbeMax bound the wait before a task is tried there,
	// which doubles with each failure.
	ProbeBase time.Duration
	ProbeMax  time.Duration
}

// DefaultConfig returns the policy used when the settings name none.
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
		GangPatience:           5 * time.Second,
		GangHold:               2 * time.Minute,
		Ejection: Ejection{
			MinOutcomes: 5,
			FailedShare: 0.8,
			Fast:        time.Second,
			MaxShare:    0.2,
			ProbeBase:   time.Second,
			ProbeMax:    time.Minute,
		},
	}
}
