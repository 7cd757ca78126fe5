package routing

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/coordination/retry"
)

// The defaults of Config.
const (
	DefaultOwnerWait   = 6 * time.Second
	DefaultOwnerPoll   = 50 * time.Millisecond
	DefaultCallTimeout = 5 * time.Second
	DefaultAnswerGrace = 2 * time.Second
	DefaultMinAttempt  = 2 * time.Millisecond
	DefaultRetryAfter  = 2 * time.Second
	DefaultLookupTime  = 8 * time.Second
)

// Config tunes a Router. Zero fields take their defaults.
type Config struct {
	// OwnerWait is how long a call waits for a shard to have an owner.
	OwnerWait time.Duration
	// OwnerPoll is how often it looks.
	OwnerPoll time.Duration
	// CallTimeout bounds a call to a peer beyond the time that the caller
	// asked to wait.
	CallTimeout time.Duration
	// AnswerGrace is how long after a job's deadline its answer is still
	// awaited from the owner.
	AnswerGrace time.Duration
	// MinAttempt is the least time left that is worth an attempt.
	MinAttempt time.Duration
	// RetryAfter is told to a caller that should come back.
	RetryAfter time.Duration
	// LookupTime bounds the search for the outcome of a call whose answer
	// was lost.
	LookupTime time.Duration
	// Retries is the retry budget of a submission from a caller.
	Retries int
	// Retry is the policy of the entry's retries.
	Retry retry.Config
}

func (c Config) withDefaults() Config {
	setDefault(&c.OwnerWait, DefaultOwnerWait)
	setDefault(&c.OwnerPoll, DefaultOwnerPoll)
	setDefault(&c.CallTimeout, DefaultCallTimeout)
	setDefault(&c.AnswerGrace, DefaultAnswerGrace)
	setDefault(&c.MinAttempt, DefaultMinAttempt)
	setDefault(&c.RetryAfter, DefaultRetryAfter)
	setDefault(&c.LookupTime, DefaultLookupTime)
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
