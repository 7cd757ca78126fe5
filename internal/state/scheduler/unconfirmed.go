package scheduler

import (
	"slices"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// markUnconfirmed records that the log shows a run of the task on an upstream that this
// owner has not polled yet. The task counts against its workspace and is not started
// elsewhere meanwhile.
func (s *Scheduler) markUnconfirmed(t *task, id workload.UpstreamID) {
	t.unconfirmedOn = id
	s.unconfirmed[id] = append(s.unconfirmed[id], t)
	w := t.step.job.spec.Workspace
	s.used[w] = s.used[w].Add(t.step.spec.Each)
}

// clearUnconfirmed ends the unconfirmed state of a task: its run was found, it is done,
// or its run cannot exist any more.
func (s *Scheduler) clearUnconfirmed(t *task) {
	id := t.unconfirmedOn
	if id == "" {
		return
	}
	t.unconfirmedOn = ""
	w := t.step.job.spec.Workspace
	s.used[w] = s.used[w].Sub(t.step.spec.Each)
	if i := slices.Index(s.unconfirmed[id], t); i >= 0 {
		s.unconfirmed[id] = slices.Delete(s.unconfirmed[id], i, i+1)
	}
	if len(s.unconfirmed[id]) == 0 {
		delete(s.unconfirmed, id)
	}
	if t.step.job.phase.Final() {
		s.dropIfIdle(t.step.job)
	}
}

// confirmUpstream notes that a poll of this owner has listed the runs and the ends on an
// upstream, all of them unless the report was partial.
func (s *Scheduler) confirmUpstream(id workload.UpstreamID, partial bool) {
	if partial {
		return
	}
	s.clearUnconfirmedOn(id)
	s.startList.settle(id)
}

// clearUnconfirmedOn clears all unconfirmed tasks of an upstream, once it has been
// polled or its runs cannot exist any more.
func (s *Scheduler) clearUnconfirmedOn(id workload.UpstreamID) {
	tasks := s.unconfirmed[id]
	delete(s.unconfirmed, id)
	for _, t := range tasks {
		s.clearUnconfirmed(t)
	}
}

// refreshUnconfirmed clears all unconfirmed tasks once no run of a previous owner can
// exist, and before that counts the quota that tasks without a recorded start may use.
func (s *Scheduler) refreshUnconfirmed(now state.Time) {
	if now < s.opts.UnconfirmedUntil {
		s.countPossibleUse()
		return
	}
	s.expireStartList()
	if len(s.unconfirmed) == 0 {
		return
	}
	for id, tasks := range s.unconfirmed {
		u := s.upstreams[id]
		if u == nil || (!u.listed && !u.Draining) {
			s.noteInherited(id, tasks, false)
		}
		s.clearUnconfirmedOn(id)
		if u != nil && !u.listed && len(u.runs) == 0 {
			s.dropUpstream(u)
		}
	}
}
