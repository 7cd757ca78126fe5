package retry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// The defaults of Config.
const (
	DefaultRatio   = 0.1
	DefaultReserve = 10
	DefaultInitial = 20 * time.Millisecond
	DefaultMax     = time.Second
)

// DefaultRetries is the retry budget of a submission that carries none of its
// own.
const DefaultRetries = 3

// The ends of a sequence of attempts.
var (
	ErrExhausted = errors.New("retry: the retry budget of the request is used up; submit it again later")
	ErrThrottled = errors.New("retry: this entry retries too large a part of its requests; submit again later")
	ErrDeadline  = errors.New("retry: the deadline would pass before the next attempt; submit with a later deadline")
)

// Config is the retry policy of an entry. Zero fields take their defaults.
type Config struct {
	// Ratio is the number of retries that each request adds to the bucket.
	Ratio float64
	// Reserve is the size of the bucket in retries; it starts full.
	Reserve int
	// Initial and Max bound the delay before a retry, which is drawn evenly
	// between 0 and a bound that doubles from Initial to Max.
	Initial time.Duration
	Max     time.Duration
}

func (c Config) withDefaults() Config {
	if c.Ratio == 0 {
		c.Ratio = DefaultRatio
	}
	if c.Reserve == 0 {
		c.Reserve = DefaultReserve
	}
	if c.Initial == 0 {
		c.Initial = DefaultInitial
	}
	if c.Max == 0 {
		c.Max = DefaultMax
	}
	return c
}

// Limiter is the retry budget of one entry. It is safe for concurrent use.
type Limiter struct {
	cfg    Config
	mu     sync.Mutex
	tokens float64
}

// NewLimiter returns a Limiter with a full bucket.
func NewLimiter(cfg Config) *Limiter {
	cfg = cfg.withDefaults()
	return &Limiter{cfg: cfg, tokens: float64(cfg.Reserve)}
}

func (l *Limiter) deposit() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens = min(l.tokens+l.cfg.Ratio, float64(l.cfg.Reserve))
}

func (l *Limiter) withdraw() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// Begin starts the attempts of one request, which may be retried left times by
// this hop and those after it together. The first attempt needs no permission.
func (l *Limiter) Begin(left int) *Attempts {
	l.deposit()
	delay := &backoff.ExponentialBackOff{
		InitialInterval:     l.cfg.Initial / 2,
		RandomizationFactor: 1,
		Multiplier:          2,
		MaxInterval:         l.cfg.Max / 2,
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

// Left returns the retries that are left.
func (a *Attempts) Left() int { return a.left }

// Lend takes a part of the retries for the next hop and returns it: all but
// one, so that this hop can still turn to another owner.
func (a *Attempts) Lend() int {
	lent := max(a.left-1, 0)
	a.left -= lent
	return lent
}

// Return gives back retries that were lent to a hop which was never reached.
func (a *Attempts) Return(lent int) { a.left += lent }

// Next waits for the time of the next attempt. It fails at once with
// ErrExhausted, ErrThrottled or ErrDeadline, or with the error of ctx when ctx
// ends first.
func (a *Attempts) Next(ctx context.Context) error {
	if a.left < 1 {
		return ErrExhausted
	}
	delay := a.delay.NextBackOff()
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= delay {
		return ErrDeadline
	}
	if !a.limiter.withdraw() {
		return ErrThrottled
	}
	a.left--
	return Sleep(ctx, delay)
}

// Sleep waits for d, or returns the error of ctx when ctx ends first.
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
