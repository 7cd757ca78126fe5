package retry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Defaults of Config.
const (
	DefaultRatio        = 0.1
	DefaultBurst        = 10
	DefaultInitialDelay = 20 * time.Millisecond
	DefaultMaxDelay     = time.Second
)

// DefaultRetries is the retry budget of a submission that does not carry one.
const DefaultRetries = 3

// Errors of Attempts.Next.
var (
	ErrExhausted = errors.New("retry: the retry budget of the request is used up; submit it again later")
	ErrThrottled = errors.New("retry: this entry retries too large a part of its requests; submit again later")
	ErrDeadline  = errors.New("retry: the deadline would pass before the next attempt; submit with a later deadline")
)

// Config is the retry policy of an entry. Zero fields take their defaults.
type Config struct {
	// Ratio is the number of retries (tokens) that each request adds to the bucket.
	Ratio float64
	// Burst is the size of the bucket in retries. The bucket is full at first.
	Burst int
	// InitialDelay and MaxDelay bound the backoff before a retry. The backoff is
	// uniformly random between 0 and a bound that doubles with each retry, from
	// InitialDelay up to MaxDelay.
	InitialDelay time.Duration
	MaxDelay     time.Duration
}

func (c Config) withDefaults() Config {
	if c.Ratio == 0 {
		c.Ratio = DefaultRatio
	}
	if c.Burst == 0 {
		c.Burst = DefaultBurst
	}
	if c.InitialDelay == 0 {
		c.InitialDelay = DefaultInitialDelay
	}
	if c.MaxDelay == 0 {
		c.MaxDelay = DefaultMaxDelay
	}
	return c
}

// Limiter is the token bucket that limits the retries of one entry. It is safe for
// concurrent use.
type Limiter struct {
	cfg    Config
	mu     sync.Mutex
	tokens float64
}

// NewLimiter returns a Limiter with a full bucket.
func NewLimiter(cfg Config) *Limiter {
	cfg = cfg.withDefaults()
	return &Limiter{cfg: cfg, tokens: float64(cfg.Burst)}
}

func (l *Limiter) addTokens() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens = min(l.tokens+l.cfg.Ratio, float64(l.cfg.Burst))
}

func (l *Limiter) takeToken() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// Begin starts the attempts of one request, which this hop and those after it together
// may retry left times. The first attempt is always allowed.
func (l *Limiter) Begin(left int) *Attempts {
	l.addTokens()
	delay := &backoff.ExponentialBackOff{
		InitialInterval:     l.cfg.InitialDelay / 2,
		RandomizationFactor: 1,
		Multiplier:          2,
		MaxInterval:         l.cfg.MaxDelay / 2,
	}
	return &Attempts{limiter: l, left: max(left, 0), delay: delay}
}

// Attempts counts the attempts of one request. It is not safe for concurrent
// use.
type Attempts struct {
	limiter *Limiter
	left    int
	delay   *backoff.ExponentialBackOff
}

// Left returns the number of retries that remain.
func (a *Attempts) Left() int { return a.left }

// Lend deducts the retries to pass on to the next hop and returns their number: all but
// one, so that this hop can still try another owner.
func (a *Attempts) Lend() int {
	lent := max(a.left-1, 0)
	a.left -= lent
	return lent
}

// Return adds back the retries that were lent to a hop that never received or accepted
// the call.
func (a *Attempts) Return(lent int) { a.left += lent }

// Next waits until the next attempt is due. It returns ErrExhausted, ErrThrottled or
// ErrDeadline without waiting, or the error of ctx if ctx ends first.
func (a *Attempts) Next(ctx context.Context) error {
	if a.left < 1 {
		return ErrExhausted
	}
	delay := a.delay.NextBackOff()
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= delay {
		return ErrDeadline
	}
	if !a.limiter.takeToken() {
		return ErrThrottled
	}
	a.left--
	return Sleep(ctx, delay)
}

// Sleep waits for d and returns nil, or the error of ctx if ctx ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
