package scheduler

import (
	"slices"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// hold counts a task that the log shows on an upstream which the new owner has
// not looked at.
func (s *Scheduler) hold(t *task, at workload.UpstreamID) {
	t.heldAt = at
	s.held[at] = append(s.held[at], t)
	w := t.step.job.spec.Workspace
	s.used[w] = s.used[w].Add(t.step.spec.Each)
}

// settle ends the count of a held task: it was found, is done, or can't be alive.
func (s *Scheduler) settle(t *task) {
	at := t.heldAt
	if at == "" {
		return
	}
	t.heldAt = ""
	w := t.step.job.spec.Workspace
	s.used[w] = s.used[w].Sub(t.step.spec.Each)
	s.held[at] = slices.DeleteFunc(s.held[at], func(other *task) bool { return other == t })
	if len(s.held[at]) == 0 {
		delete(s.held, at)
	}
	if t.step.job.phase.Final() {
		s.forgetIfIdle(t.step.job)
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
	if now < s.opts.UncertainUntil || len(s.held) == 0 {
		return
	}
	for id := range s.held {
		s.settleAt(id)
		if u := s.upstreams[id]; u != nil && !u.listed && len(u.runs) == 0 {
			s.dropUpstream(u)
		}
	}
}
