package ownership

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// Begin returns the entry's part after it has claimed an epoch.
func (o Own) Begin(epoch devplatform.Epoch) Own {
	o.Epoch = epoch
	o.Owning = true
	return o
}

// End returns the entry's part after it has stopped acting as the owner.
func (o Own) End() Own {
	o.Owning = false
	return o
}

// Lose returns the entry's part after its ownership was taken away at now. The
// delay of its next claim is drawn with random, a number from 0 to 1, evenly
// from the upper half of a bound that doubles with each loss in a row.
func (o Own) Lose(now state.Time, limits Limits, random float64) Own {
	limits = limits.withDefaults()
	bound := limits.BackoffMin
	for range o.Losses {
		bound = min(2*bound, limits.BackoffMax)
	}
	o.Owning = false
	o.Losses++
	o.NotBefore = now + bound/2 + time.Duration(random*float64(bound/2))
	return o
}

// Settle returns the entry's part once its ownership, or that of another entry
// in its sight, has lasted: the next loss starts from the shortest delay.
func (o Own) Settle() Own {
	o.Losses = 0
	return o
}

// Leave returns the entry's part after it began to leave at now.
func (o Own) Leave(now state.Time) Own {
	if !o.Leaving {
		o.Leaving = true
		o.LeavingSince = now
	}
	return o
}
