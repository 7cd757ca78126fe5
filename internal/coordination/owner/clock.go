package owner

import (
	"sync"
	"time"

	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// driftParts is the inverse of the largest assumed difference in rate between two
// monotonic clocks: 1/200.
const driftParts = 200

// leaseClock estimates a lower bound of a worker's clock from its replies and keeps the
// latest lease end that was ever requested. It is safe for concurrent use.
type leaseClock struct {
	mu sync.Mutex
	// reading is a value of the worker's clock, taken before readAt on our clock.
	reading devplatform.WorkerClock
	readAt  time.Time
	known   bool
	// maxLeaseUntil is the latest LeaseUntil that may have reached the worker.
	maxLeaseUntil devplatform.WorkerClock
}

// reset replaces all state for a new incarnation of the worker.
func (c *leaseClock) reset(reading, leaseUntil devplatform.WorkerClock, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.readAt, c.known, c.maxLeaseUntil = reading, now, true, leaseUntil
}

// observe records a reading from a reply received at now, unless an earlier reading
// already gives a higher bound.
func (c *leaseClock) observe(reading devplatform.WorkerClock, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reading > c.lowerBound(now) {
		c.reading, c.readAt = reading, now
	}
}

// lowerBound returns a lower bound of the worker's clock at now.
func (c *leaseClock) lowerBound(now time.Time) devplatform.WorkerClock {
	elapsed := now.Sub(c.readAt)
	return c.reading + devplatform.WorkerClock(elapsed-elapsed/driftParts)
}

// extend returns the lease end for a lease of the given duration from now on, and
// records it as requested.
func (c *leaseClock) extend(lease time.Duration, now time.Time) devplatform.WorkerClock {
	c.mu.Lock()
	defer c.mu.Unlock()
	until := c.lowerBound(now) + devplatform.WorkerClock(lease)
	c.maxLeaseUntil = max(c.maxLeaseUntil, until)
	return until
}

// latestRequested returns the latest lease end that was ever requested.
func (c *leaseClock) latestRequested() devplatform.WorkerClock {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.maxLeaseUntil
}

// expired reports whether every lease that was ever requested has ended on the worker's
// clock.
func (c *leaseClock) expired(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known && c.lowerBound(now) > c.maxLeaseUntil
}
