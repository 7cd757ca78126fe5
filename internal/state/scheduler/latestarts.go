package scheduler

import (
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// A start without a response may be carried out up to maxStartDelay later. The stop that revoked it
// holds in the life of the upstream that acknowledged it only: if the upstream ends, its next
// life may carry out the start beside the run that has replaced it. So the task gives way from
// the moment that the upstream closes its connections: its run is stopped, and it is not started
// again until the next life has acknowledged a stop, or cannot carry out the start any more.

// yieldToNextLife stops the runs that have replaced the unconfirmed starts on an upstream that
// has closed its connections.
func (s *Scheduler) yieldToNextLife(now state.Time, id workload.UpstreamID) {
	for start, l := range s.unconfirmedStarts[id] {
		t := s.heldTask(start.Task)
		if l.awaitsLife || l.undelivered || now >= l.until || t == nil || !t.yields() {
			continue
		}
		l.awaitsLife, l.inNextLife = true, false
		t.awaitedLives++
		for _, r := range append([]*run(nil), t.runs...) {
			if r.Upstream != id {
				s.stop(now, r, StopNextLife)
			}
		}
	}
}

// StartInterrupted records that the connection of an unconfirmed start was closed before a response.
func (s *Scheduler) StartInterrupted(start Run) {
	if l := s.unconfirmedStarts[start.Upstream][start]; l != nil {
		l.undelivered = true
	}
}

// yields reports whether two runs of the task at the same time must be avoided at the cost of a
// stop.
func (t *task) yields() bool {
	spec := t.step.spec
	return !t.done && !t.step.job.phase.Final() && !spec.Speculative && spec.MayMiss == 0
}

// endAwaitedLife lets a task be started again that waited for the next life of an upstream.
func (s *Scheduler) endAwaitedLife(start Run, l *unconfirmedStart) {
	if !l.awaitsLife {
		return
	}
	l.awaitsLife = false
	if t := s.heldTask(start.Task); t != nil {
		t.awaitedLives = max(0, t.awaitedLives-1)
		s.requeue(t.step)
	}
}

// endAwaitedLives lets all tasks be started again that waited for the next life of an upstream.
func (s *Scheduler) endAwaitedLives(id workload.UpstreamID) {
	for start, l := range s.unconfirmedStarts[id] {
		s.endAwaitedLife(start, l)
	}
}

// endAwaitedLivesOfSurvivor lets the tasks be started again that waited for the next life of an
// upstream which was only not reached: its stops still hold.
func (s *Scheduler) endAwaitedLivesOfSurvivor(id workload.UpstreamID) {
	for start, l := range s.unconfirmedStarts[id] {
		if !l.inNextLife {
			s.endAwaitedLife(start, l)
		}
	}
}

// AwaitsNextLife reports whether an upstream, or its next life, may still carry out a start
// without a response. It is polled all the while, so that its end is noticed at once.
func (s *Scheduler) AwaitsNextLife(id workload.UpstreamID) bool {
	return len(s.unconfirmedStarts[id]) > 0
}
