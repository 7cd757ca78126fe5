package scheduler

import (
	"cmp"
	"slices"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// hold counts a task that the log shows on an upstream which the new owner has
// not looked at.
func (s *Scheduler) hold(t *task) {
	t.counted = true
	s.held[t.heldAt] = append(s.held[t.heldAt], t)
	w := t.step.job.spec.Workspace
	s.used[w] = s.used[w].Add(t.step.spec.Each)
}

// settle ends the count of a held task: it was found, is done, or can't be alive.
func (s *Scheduler) settle(t *task) {
	if !t.counted {
		return
	}
	t.counted = false
	w := t.step.job.spec.Workspace
	s.used[w] = s.used[w].Sub(t.step.spec.Each)
	s.held[t.heldAt] = slices.DeleteFunc(s.held[t.heldAt], func(other *task) bool { return other == t })
	if len(s.held[t.heldAt]) == 0 {
		delete(s.held, t.heldAt)
	}
}

// settleAt settles what the log showed on an upstream that was looked at.
func (s *Scheduler) settleAt(id workload.UpstreamID) {
	for _, t := range slices.Clone(s.held[id]) {
		s.settle(t)
	}
}

// settleExpired settles everything once no run of a former owner can be alive.
func (s *Scheduler) settleExpired(now state.Time) {
	if now < s.opts.UncertainUntil {
		return
	}
	for id := range s.held {
		s.settleAt(id)
	}
	for _, u := range s.opts.Unsettled {
		if placeholder := s.upstreams[u.ID]; placeholder != nil && !placeholder.listed && !placeholder.known && len(placeholder.runs) == 0 {
			s.dropUpstream(placeholder)
		}
	}
	s.opts.Unsettled = nil
}

// Unsettled returns the upstreams on which runs of a former owner may be alive,
// in a fixed order.
func (s *Scheduler) Unsettled(now state.Time) []ledger.Unsettled {
	if now >= s.opts.UncertainUntil {
		return nil
	}
	var out []ledger.Unsettled
	for _, u := range s.upstreams {
		if !u.known {
			out = append(out, ledger.Unsettled{ID: u.ID, Service: u.Service})
		}
	}
	slices.SortFunc(out, func(a, b ledger.Unsettled) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
