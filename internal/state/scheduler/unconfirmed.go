package scheduler

import (
	"maps"
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
func (s *Scheduler) confirmUpstream(now state.Time, id workload.UpstreamID, partial bool) {
	delete(s.leaseEnds, id) // this owner may grant leases now, also to runs that a partial report lacks
	if partial {
		return
	}
	s.clearUnconfirmedOn(now, id)
	s.startList.settle(id)
}

// clearUnconfirmedOn clears all unconfirmed tasks of an upstream, once it has been
// polled or its runs cannot exist any more.
func (s *Scheduler) clearUnconfirmedOn(now state.Time, id workload.UpstreamID) {
	tasks := s.unconfirmed[id]
	delete(s.unconfirmed, id)
	for _, t := range tasks {
		s.clearUnconfirmed(t)
		s.inheritStart(now, t, id)
	}
}

// refreshUnconfirmed clears the unconfirmed tasks whose runs cannot exist any more, and until that
// holds for all counts the quota that tasks without a recorded start may use.
func (s *Scheduler) refreshUnconfirmed(now state.Time) {
	for id, end := range s.leaseEnds {
		if now >= end {
			s.expireUnconfirmedOn(now, id)
		}
	}
	if now < s.opts.UnconfirmedUntil {
		s.countPossibleUse()
		return
	}
	s.expireStartList()
	for id := range s.unconfirmed {
		s.expireUnconfirmedOn(now, id)
	}
}

// expireUnconfirmedOn clears the unconfirmed tasks of an upstream whose leases have ended.
func (s *Scheduler) expireUnconfirmedOn(now state.Time, id workload.UpstreamID) {
	tasks, u := s.unconfirmed[id], s.upstreams[id]
	if len(tasks) == 0 {
		return
	}
	if u == nil || (!u.listed && !u.Draining) {
		s.noteInherited(id, tasks, false)
	}
	for _, t := range tasks {
		if !t.step.job.phase.Final() {
			s.markDirty(t.step.job) // the next owner need not wait for it again
		}
	}
	s.clearUnconfirmedOn(now, id)
	if u != nil && !u.listed && len(u.runs) == 0 && !s.startList.holds(id) {
		s.dropUpstream(u)
	}
}

// UnconfirmedUntil returns the time from which no run of a previous owner can exist any more on an
// upstream.
func (s *Scheduler) UnconfirmedUntil(id workload.UpstreamID) state.Time {
	if end, ok := s.leaseEnds[id]; ok {
		return end
	}
	return s.opts.UnconfirmedUntil
}

// UnconfirmedUpstreams returns the upstreams on which the log shows runs that this owner has not
// found yet.
func (s *Scheduler) UnconfirmedUpstreams() []workload.UpstreamID {
	return slices.Collect(maps.Keys(s.unconfirmed))
}

// MayHaveRuns reports whether runs of this or a previous owner may exist on an upstream.
func (s *Scheduler) MayHaveRuns(id workload.UpstreamID) bool {
	u := s.upstreams[id]
	return len(s.unconfirmed[id]) > 0 || (u != nil && len(u.runs) > 0)
}
