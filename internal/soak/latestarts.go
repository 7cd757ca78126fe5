package soak

import (
	"math/rand/v2"
	"time"

	"github.com/samphirerail/samphirerail/platform/fakewire"
)

const (
	// leastLatePause and latePauseSpread bound the pause between two late starts.
	leastLatePause, latePauseSpread = 500 * time.Millisecond, time.Second
	// lateEndSpread bounds the time until the runner of a late start ends, lateAfterBegin that from the
	// begin of its next life to the start.
	lateEndSpread, lateAfterBegin = 600 * time.Millisecond, 400 * time.Millisecond
)

// delayStarts lets runners carry starts out in their next life, until stop is closed.
func (c *cluster) delayStarts(stop <-chan struct{}, start time.Time) {
	r := rand.New(rand.NewPCG(c.opts.Seed, lateOrdersStream))
	for wait(stop, leastLatePause+draw(r, latePauseSpread)) {
		late := fakewire.LateStartAfter(draw(r, lateEndSpread), draw(r, lateAfterBegin))
		c.note(start, "late start: the runner ends after %s, the start comes after %s", late.End, late.Delay)
		c.fleet.SetLateStart(late)
	}
}
