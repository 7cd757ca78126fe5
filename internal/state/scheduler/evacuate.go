package scheduler

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/evacuation"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// EvacuationChange says that a failure domain was evacuated or taken into use again, and what
// the scheduler did about it.
type EvacuationChange struct {
	Domain state.DomainID
	// Evacuated is false if the domain was taken into use again.
	Evacuated bool
	// Upstreams counts the registered upstreams of the domain, Running the runs there that
	// continue.
	Upstreams, Running int
	// Withdrawn are the planned starts on upstreams of the domain. They are not sent, and
	// their tasks are placed elsewhere; those of a gang with all its members.
	Withdrawn []Run
}

// SetEvacuated sets the evacuated failure domains. Upstreams of these get no starts any more,
// including those that are planned, recorded or wait for a ticket. Runs continue there. It
// returns the changes in the order of the domains.
func (s *Scheduler) SetEvacuated(now state.Time, set evacuation.Set) []EvacuationChange {
	before := s.evacuated
	if set.Equal(before) {
		return nil
	}
	s.evacuated = set
	var changes []EvacuationChange
	for _, domain := range set.Without(before) {
		changes = append(changes, EvacuationChange{Domain: domain, Evacuated: true})
	}
	for _, domain := range before.Without(set) {
		changes = append(changes, EvacuationChange{Domain: domain})
	}
	for i := range changes {
		c := &changes[i]
		for _, u := range s.upstreamsOf(c.Domain) {
			c.Upstreams += boolInt(u.listed)
			if c.Evacuated {
				c.Withdrawn = append(c.Withdrawn, s.withdrawStarts(now, u)...)
			}
			c.Running += len(u.runs)
		}
	}
	return changes
}

// upstreamsOf returns the upstreams of a failure domain, sorted by ID.
func (s *Scheduler) upstreamsOf(domain state.DomainID) []*upstream {
	var out []*upstream
	for _, u := range s.upstreams {
		if u.Domain == domain {
			out = append(out, u)
		}
	}
	slices.SortFunc(out, func(a, b *upstream) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// withdrawStarts releases the runs on an upstream whose starts were not sent yet.
func (s *Scheduler) withdrawStarts(now state.Time, u *upstream) (withdrawn []Run) {
	for _, r := range u.sortedRuns() {
		if u.runs[r.Task] == r && (r.phase == awaitingTicket || r.phase == planned) {
			withdrawn = append(withdrawn, r.Run)
			s.release(now, r, false)
		}
	}
	return withdrawn
}

// isEvacuated reports whether the upstream's failure domain is evacuated.
func (s *Scheduler) isEvacuated(u *upstream) bool { return s.evacuated.Has(u.Domain) }

// EvacuatedUnknown returns the evacuated domains in which no upstream is registered.
func (s *Scheduler) EvacuatedUnknown() []state.DomainID {
	known := make([]state.DomainID, 0, len(s.upstreams))
	for _, u := range s.upstreams {
		known = append(known, u.Domain)
	}
	return s.evacuated.Without(evacuation.NewSet(known...))
}

const (
	// A job that is refused because of an evacuation may return after evacuatedReturn and a
	// part of evacuatedReturnSpread. Operators restore a domain after minutes at the
	// earliest, so an early return only loads the entries; a late one delays the caller.
	evacuatedReturn       = 5 * time.Second
	evacuatedReturnSpread = 5 * time.Second
)

// RefuseEvacuated reports whether a new job is refused because one of its steps can run only
// on upstreams of evacuated domains, and when the job may return. A step that could not run
// with these domains either is not refused here: the registrations may not be complete.
func (s *Scheduler) RefuseEvacuated(spec *workload.Job) (retryAfter time.Duration, refused bool) {
	if s.evacuated.Len() == 0 {
		return 0, false
	}
	q := s.config.Queue(spec.Queue)
	if q == nil {
		return 0, false
	}
	for i := range spec.Steps {
		if s.needsEvacuated(q.Service, &spec.Steps[i]) {
			h := fnv.New32a()
			h.Write([]byte(spec.ID))
			return evacuatedReturn + time.Duration(float64(h.Sum32()%1000)/1000*float64(evacuatedReturnSpread)), true
		}
	}
	return 0, false
}

// needsEvacuated reports whether a step could run on the empty upstreams of a service, but
// not without those of evacuated domains.
func (s *Scheduler) needsEvacuated(service workload.ServiceName, spec *workload.Step) bool {
	need := 1
	if spec.Gang {
		need = spec.Count
	}
	remaining, evacuated := 0, 0
	for _, u := range s.byService[service] {
		if u.Draining || (spec.Constraint != "" && !u.HasLabel(spec.Constraint)) {
			continue
		}
		if places := placesOn(spec, u.Capacity); s.isEvacuated(u) {
			evacuated += places
		} else if remaining += places; remaining >= need {
			return false
		}
	}
	return remaining+evacuated >= need
}
