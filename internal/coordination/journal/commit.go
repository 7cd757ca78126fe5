package journal

import (
	"context"
	"time"
)

// Commit tells whether entries of the journal are in the log. It is safe for
// concurrent use.
type Commit struct {
	done chan struct{}
	// stored is written before done is closed.
	stored bool
}

func newCommit() *Commit { return &Commit{done: make(chan struct{})} }

func settled(stored bool) *Commit {
	c := newCommit()
	c.settle(stored)
	return c
}

func (c *Commit) settle(stored bool) {
	c.stored = stored
	close(c.done)
}

// Stored reports whether the entries are known to be in the log by now.
func (c *Commit) Stored() bool {
	select {
	case <-c.done:
		return c.stored
	default:
		return false
	}
}

// Wait returns Stored once that is settled, and at the latest after limit or
// when ctx ends.
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
