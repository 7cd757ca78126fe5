package owner

import (
	"sync"
	"time"

	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// clockDrift is the largest assumed difference in rate between two monotonic
// clocks, as a fraction: 1 in driftParts.
const driftParts = 200

// leaseClock bounds a worker's clock from its replies and remembers the longest
// lease that was ever asked for. It is safe for concurrent use.
type leaseClock struct {
	mu sync.Mutex
	// reading was taken by the worker before readAt on our clock.
	reading devplatform.WorkerClock
	readAt  time.Time
	known   bool
	// longest is the largest LeaseUntil that may reach the worker.
	longest devplatform.WorkerClock
}

// reset starts over for a new incarnation of the worker.
func (c *leaseClock) reset(reading, leaseUntil devplatform.WorkerClock, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.readAt, c.known, c.longest = reading, now, true, leaseUntil
}

// observe takes in a reading from a reply received at now.
func (c *leaseClock) observe(reading devplatform.WorkerClock, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reading > c.atLeast(now) {
		c.reading, c.readAt = reading, now
	}
}

// atLeast returns a lower bound of the worker's clock at now.
func (c *leaseClock) atLeast(now time.Time) devplatform.WorkerClock {
	elapsed := now.Sub(c.readAt)
	return c.reading + devplatform.WorkerClock(elapsed-elapsed/driftParts)
}

// extend returns a LeaseUntil that lies lease after now, and remembers it.
func (c *leaseClock) extend(lease time.Duration, now time.Time) devplatform.WorkerClock {
	c.mu.Lock()
	defer c.mu.Unlock()
	until := c.atLeast(now) + devplatform.WorkerClock(lease)
	c.longest = max(c.longest, until)
	return until
}

// unchanged returns the longest lease that was ever asked for.
func (c *leaseClock) unchanged() devplatform.WorkerClock {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.longest
}

// lapsed reports whether every lease that was ever asked for has ended on the
// worker's clock.
func (c *leaseClock) lapsed(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known && c.atLeast(now) > c.longest
}
