package routing

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/coordination/retry"
	"github.com/samphirerail/samphirerail/internal/state"
)

// Defaults of Config.
const (
	DefaultOwnerWait         = 6 * time.Second
	DefaultOwnerPollInterval = 50 * time.Millisecond
	DefaultCallTimeout       = 5 * time.Second
	DefaultResponseGrace     = 2 * time.Second
	DefaultMinAttempt        = 2 * time.Millisecond
	DefaultRetryAfter        = 2 * time.Second
	DefaultLookupTimeout     = 8 * time.Second
)

// Config configures a Router. Zero fields take their defaults.
type Config struct {
	// OwnerWait bounds how long a call waits for a shard to have an owner that
	// accepts it.
	OwnerWait time.Duration
	// OwnerPollInterval is how often a waiting call checks for an owner.
	OwnerPollInterval time.Duration
	// CallTimeout is the timeout of a call to a peer, on top of the time that the
	// caller asked to wait.
	CallTimeout time.Duration
	// ResponseGrace is how long past a job's deadline a call still waits for the
	// response of the owner.
	ResponseGrace time.Duration
	// MinAttempt is the minimum time before the deadline for which an attempt is
	// made.
	MinAttempt time.Duration
	// RetryAfter is the delay returned to callers that should retry.
	RetryAfter time.Duration
	// LookupTimeout bounds the lookup of a job's outcome after a call without a
	// response.
	LookupTimeout time.Duration
	// Retries is the retry budget of a submission that arrives from a caller.
	Retries int
	// Home returns the home domain of new job IDs; if nil, it is the entry's own domain.
	Home func() state.DomainID
	// Retry is the retry policy of the entry.
	Retry retry.Config
}

func (c Config) withDefaults() Config {
	setDefault(&c.OwnerWait, DefaultOwnerWait)
	setDefault(&c.OwnerPollInterval, DefaultOwnerPollInterval)
	setDefault(&c.CallTimeout, DefaultCallTimeout)
	setDefault(&c.ResponseGrace, DefaultResponseGrace)
	setDefault(&c.MinAttempt, DefaultMinAttempt)
	setDefault(&c.RetryAfter, DefaultRetryAfter)
	setDefault(&c.LookupTimeout, DefaultLookupTimeout)
	if c.Retries == 0 {
		c.Retries = retry.DefaultRetries
	}
	return c
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}
