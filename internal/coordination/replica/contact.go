package replica

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/coordination/bootclock"
)

// SetClock replaces the clock of Contact. It must be called before Run.
func (r *Replica) SetClock(clock bootclock.Clock) { r.clock = clock }

// Contact returns when the newest read began that was known to reach the end of the
// ledger, on the clock of package bootclock; 0 if there was none. A claim that the log
// accepted before that time has been folded, or will be before the next read. The time is
// that of the begin, since a reply may wait unread while the process is paused.
func (r *Replica) Contact() time.Duration { return time.Duration(r.contactAt.Load()) }

// recordContact records that a read which began at the given time returned the records up
// to next of a ledger that ended at end, or at an unknown offset if end is 0.
func (r *Replica) recordContact(began time.Duration, next, end int64) {
	if next >= end {
		r.contactAt.Store(int64(began))
	}
}
