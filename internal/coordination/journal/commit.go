package journal

import (
	"context"
	"time"
)

// Commit reports whether events of the journal are stored in the log. It is safe
// for concurrent use.
type Commit struct {
	done chan struct{}
	// stored is set before done is closed.
	stored bool
}

func newCommit() *Commit { return &Commit{done: make(chan struct{})} }

func resolvedCommit(stored bool) *Commit {
	c := newCommit()
	c.resolve(stored)
	return c
}

func (c *Commit) resolve(stored bool) {
	c.stored = stored
	close(c.done)
}

// Stored reports whether the events are known to be in the log. It does not
// block.
func (c *Commit) Stored() bool {
	select {
	case <-c.done:
		return c.stored
	default:
		return false
	}
}

// Wait blocks until the outcome of the append is known, limit has passed or ctx
// has ended, and then returns Stored.
func (c *Commit) Wait(ctx context.Context, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-c.done:
	case <-timer.C:
	case <-ctx.Done():
	}
	return c.Stored()
}
