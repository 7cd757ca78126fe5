package scheduler

import (
	"cmp"
	"iter"
	"slices"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// candidate is an upstream considered in a placement, with the capacity that is left.
type candidate struct {
	u    *upstream
	free state.Vector
	cost float64
	// trial counts the gang members that are tentatively placed on the upstream.
	trial int
}

// candidates returns the upstreams with capacity for a task of the step, in the order of
// the pool. If the step needs advice, only upstreams that the advice allows are returned.
// After a scan that exhausted them, only upstreams that have gained capacity since then
// can be one, so that waiting steps cost little while few upstreams change.
func (s *Scheduler) candidates(st *step, pl *pool, needsAdvice bool, speed speedPolicy) []candidate {
	var out []candidate
	if st.scannedTo == 0 || s.fullScans {
		for i := range pl.members {
			out = st.appendCandidate(out, &pl.members[i], needsAdvice, speed)
		}
		return out
	}
	for u := range s.freedSince(pl, st.scannedTo) {
		out = st.appendCandidate(out, u.member, needsAdvice, speed)
	}
	if st.spec.Gang && len(out) > 0 {
		// One more upstream may complete a gang, which needs all the others too.
		st.scannedTo = 0
		return s.candidates(st, pl, needsAdvice, speed)
	}
	slices.SortFunc(out, func(a, b candidate) int { return cmp.Compare(a.u.member.index, b.u.member.index) })
	return out
}

// appendCandidate appends a member of the pool if it has capacity for a task of the step
// and, if advice is needed, is allowed. It notes whether advice about it may be of use.
func (st *step) appendCandidate(out []candidate, m *member, needsAdvice bool, speed speedPolicy) []candidate {
	free := withSlots(m.free(st))
	if m.reserved || !st.spec.Demand().Fits(free) || !st.allows(m.u) {
		return out
	}
	if speed.tooSlow(m) {
		st.heldBack = true
		return out
	}
	if needsAdvice {
		tk, known := st.tickets[m.u.ID]
		st.unknownRoom = st.unknownRoom || !known
		if !tk.allowed {
			return out
		}
	}
	return append(out, candidate{u: m.u, free: free, cost: m.cost + speed.cost(m) + st.cost(m.u) + st.leaseCost(m)})
}

// leaseCost returns the part of the placement cost for leases that the owner can't bound. If contact
// to the upstream is lost, a long-running task would be without a run until they have ended.
func (st *step) leaseCost(m *member) float64 {
	if m.lateLease && st.spec.LongRunning {
		return lateLeaseCost
	}
	return 0
}

// NoteLateLeases records that until a time runs on an upstream may outlast the owner's leases, because
// the upstream may have carried out a command meant for its former incarnation.
func (s *Scheduler) NoteLateLeases(id workload.UpstreamID, until state.Time) {
	if u := s.upstreams[id]; u != nil {
		u.lateLeaseUntil = until
	}
}

// freedLog lists the upstreams of a service in the order in which they last gained free
// capacity or became usable.
type freedLog struct{ entries []freedEntry }

// freedEntry is outdated if the upstream has a higher number by now.
type freedEntry struct {
	u   *upstream
	seq uint64
}

// noteFreed records that an upstream has gained free capacity or became usable.
func (s *Scheduler) noteFreed(u *upstream) {
	s.freedSeq++
	u.freedSeq = s.freedSeq
	log := s.freed[u.Service]
	if log == nil {
		log = &freedLog{}
		s.freed[u.Service] = log
	}
	log.entries = append(log.entries, freedEntry{u, s.freedSeq})
	if len(log.entries) > 2*len(s.byService[u.Service])+minFreedLog {
		log.entries = slices.DeleteFunc(log.entries, func(e freedEntry) bool { return e.u.freedSeq != e.seq })
	}
}

// minFreedLog is the length up to which a freedLog may hold outdated entries only.
const minFreedLog = 64

// freedSince returns the members of a pool that have gained free capacity or became usable
// after a number of noteFreed, the latest first.
func (s *Scheduler) freedSince(pl *pool, seq uint64) iter.Seq[*upstream] {
	return func(yield func(*upstream) bool) {
		log := s.freed[pl.service]
		if log == nil {
			return
		}
		for _, e := range slices.Backward(log.entries) {
			if e.seq <= seq {
				return
			}
			if e.u.freedSeq == e.seq && e.u.member != nil && !yield(e.u) {
				return
			}
		}
	}
}
