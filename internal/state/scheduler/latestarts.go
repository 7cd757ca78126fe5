package scheduler

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// A start without a response may be carried out up to MaxStartDelay later. The stop that revoked it
// holds in the incarnation of the upstream that acknowledged it only: if the upstream ends, its next
// incarnation may carry out the start. Tasks that end are not started before that time has passed; see
// openStart. Long-running ones can't wait that long: their run that has replaced the start gives way
// from the moment that the upstream closes its connections. It is stopped, and the task not
// started again until the next incarnation has acknowledged a stop and made a report after it, or
// can't carry out the start.

// maxLastingWait is how long a long-running task waits at most for the next incarnation of an
// upstream: the users' platform counts it as lost after 9 s without a run. An upstream that ends is
// mostly back within 5 s.
const maxLastingWait = 6 * time.Second

// yieldToNextIncarnation stops the runs that have replaced the unconfirmed starts on an upstream that
// has closed its connections.
func (s *Scheduler) yieldToNextIncarnation(now state.Time, id workload.UpstreamID) {
	for start, o := range s.openStarts[id] {
		t := s.heldTask(start.Task)
		if !o.unanswered || o.awaitsNext || o.waited || o.undelivered || now >= o.until || t == nil || !t.yields() {
			continue
		}
		o.awaitsNext, o.inNext, o.waitUntil = true, false, min(o.until, now+maxLastingWait)
		t.awaitedIncarnations++
		for _, r := range append([]*run(nil), t.runs...) {
			if r.Upstream != id {
				s.stop(now, r, StopNextIncarnation)
			}
		}
	}
}

// StartInterrupted records that the connection of an unconfirmed start was closed before a response.
func (s *Scheduler) StartInterrupted(start Run) {
	if o := s.openStarts[start.Upstream][start]; o != nil {
		o.undelivered = true
	}
}

// yields reports whether two runs of a long-running task at the same time must be avoided at the cost
// of a stop.
func (t *task) yields() bool {
	spec := t.step.spec
	return !t.done && !t.step.job.phase.Final() && spec.LongRunning && !spec.Speculative && spec.MayMiss == 0
}

// endWait lets a task be started again that waited for the next incarnation of an upstream.
func (s *Scheduler) endWait(o *openStart) {
	if !o.awaitsNext {
		return
	}
	o.awaitsNext = false
	if t := s.heldTask(o.run.Task); t != nil {
		t.awaitedIncarnations = max(0, t.awaitedIncarnations-1)
		s.requeue(t.step)
	}
}

// settleStarts ends the tracking of all starts to an upstream that can't carry them out any more.
func (s *Scheduler) settleStarts(now state.Time, id workload.UpstreamID) {
	for run := range s.openStarts[id] {
		s.settleStart(now, run, SettledByReplacement)
	}
}

// endWaitsForSurvivor lets the tasks be started again that waited for the next incarnation of an
// upstream which was only not reached: its stops still hold.
func (s *Scheduler) endWaitsForSurvivor(id workload.UpstreamID) {
	for _, o := range s.openStarts[id] {
		if !o.inNext {
			s.endWait(o)
		}
	}
}

// endRevokedWaits lets the tasks be started again whose late starts the newest incarnation of an
// upstream refuses since before a report was requested: the report shows those that it has run.
func (s *Scheduler) endRevokedWaits(id workload.UpstreamID, sentAt state.Time) {
	for _, o := range s.openStarts[id] {
		if o.revokedAt > 0 && sentAt > o.revokedAt {
			s.endWait(o)
		}
	}
}

// AwaitsNextIncarnation reports whether an upstream, or its next incarnation, may still carry out a start
// without a response. It is polled all the while, so that its end is noticed at once.
func (s *Scheduler) AwaitsNextIncarnation(id workload.UpstreamID) bool {
	for _, o := range s.openStarts[id] {
		if o.unanswered {
			return true
		}
	}
	return false
}
