package scheduler

import (
	"cmp"
	"slices"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// CapacityChange says that the capacity of an upstream has changed.
type CapacityChange struct {
	Upstream workload.UpstreamID
	// Before and After are the capacities, Used what the runs use that were kept.
	Before, After, Used state.Vector
	// Withdrawn are the planned starts that did not fit any more. They are not sent, and their
	// tasks are placed again; those of a gang with all its members.
	Withdrawn []Run
}

// applyCapacity withdraws the newest starts that were not sent and do not fit an upstream's
// capacity any more, whether they are planned, recorded or wait for a ticket. Runs continue. It
// returns nil if the capacity has not changed.
func (s *Scheduler) applyCapacity(now state.Time, u *upstream, before state.Vector) *CapacityChange {
	if u.Capacity == before {
		return nil
	}
	change := &CapacityChange{Upstream: u.ID, Before: before, After: u.Capacity}
	unsent := slices.DeleteFunc(u.sortedRuns(), func(r *run) bool { return r.phase != awaitingTicket && r.phase != planned })
	slices.SortFunc(unsent, func(a, b *run) int { return cmp.Compare(b.seq, a.seq) })
	for _, r := range unsent {
		if u.withinCapacity() {
			break
		}
		if u.runs[r.Task] == r { // a member of its gang may have released it
			change.Withdrawn = append(change.Withdrawn, r.Run)
			s.release(now, r, false)
		}
	}
	change.Used = u.used
	return change
}

// withinCapacity reports whether what the runs use fits the upstream.
func (u *upstream) withinCapacity() bool { return u.used.Fits(withSlots(u.Capacity)) }
