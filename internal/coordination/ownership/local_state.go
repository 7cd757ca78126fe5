package ownership

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// Acquire returns the state after the entry has claimed an epoch.
func (s LocalState) Acquire(epoch devplatform.Epoch) LocalState {
	s.Epoch = epoch
	s.Owning = true
	return s
}

// Release returns the state after the entry has stopped acting as the owner.
func (s LocalState) Release() LocalState {
	s.Owning = false
	return s
}

// Lose returns the state after another entry took the ownership over at now. It
// delays the entry's next claim by an exponential backoff with jitter: random, a
// number from 0 to 1, selects a delay in the upper half of a bound that doubles
// with each consecutive loss.
func (s LocalState) Lose(now state.Time, limits Limits, random float64) LocalState {
	limits = limits.withDefaults()
	bound := limits.BackoffMin
	for range s.Losses {
		bound = min(2*bound, limits.BackoffMax)
	}
	s.Owning = false
	s.Losses++
	s.NotBefore = now + bound/2 + time.Duration(random*float64(bound/2))
	return s
}

// ResetLosses returns the state once the ownership is stable, be it that of this
// entry or of another one that it can reach: the backoff after the next loss
// starts from the shortest delay again.
func (s LocalState) ResetLosses() LocalState {
	s.Losses = 0
	return s
}

// Leave returns the state after the entry began to leave at now. Repeated calls
// keep the time of the first.
func (s LocalState) Leave(now state.Time) LocalState {
	if !s.Leaving {
		s.Leaving = true
		s.LeavingSince = now
	}
	return s
}
