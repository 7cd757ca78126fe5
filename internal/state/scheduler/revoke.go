package scheduler

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// maxStartDelay is how long after it was sent a start without a response may still be
// executed. The users' platform delays commands by up to 12 s.
const maxStartDelay = 13 * time.Second

// revokeRetry is the delay before a stop without a response that revokes a start is
// sent again. It is short because a start that reaches a new incarnation before the
// stop may run.
const revokeRetry = 50 * time.Millisecond

// unconfirmedStart is a start without a response. A stop revokes it, but only in the
// incarnation of the upstream that acknowledges the stop; later incarnations do not
// know of it.
type unconfirmedStart struct {
	// until is when the start can no longer be executed.
	until state.Time
	// revokeAt is when the revoking stop is due; 0 while one is in flight or once the
	// newest incarnation has acknowledged it.
	revokeAt state.Time
	// awaitsLife is set while the task gives way to the next life of the upstream, and inNextLife
	// once that has begun.
	awaitsLife, inNextLife bool
	// undelivered says that the upstream closed the connection before a response: what it had
	// not received by then is not delivered to its next life.
	undelivered bool
}

// trackUnconfirmedStart records that a start had no response. In the current
// incarnation, the stop of the run itself revokes the start.
func (s *Scheduler) trackUnconfirmedStart(now state.Time, id Run) {
	if s.unconfirmedStarts[id.Upstream] == nil {
		s.unconfirmedStarts[id.Upstream] = map[Run]*unconfirmedStart{}
	}
	s.unconfirmedStarts[id.Upstream][id] = &unconfirmedStart{until: now + maxStartDelay}
}

// revokeStarts schedules the revocation of all unconfirmed starts in a new incarnation
// of an upstream.
func (s *Scheduler) revokeStarts(now state.Time, id workload.UpstreamID) {
	for _, l := range s.unconfirmedStarts[id] {
		l.revokeAt, l.inNextLife = now, true
	}
}

// issueRevocations issues the due stops that revoke unconfirmed starts and drops starts
// that can't be executed any more.
func (s *Scheduler) issueRevocations(now state.Time) {
	for id, starts := range s.unconfirmedStarts {
		for run, l := range starts {
			switch {
			case now >= l.until:
				s.endAwaitedLife(run, l)
				delete(starts, run)
			case l.revokeAt > 0 && now >= l.revokeAt:
				l.revokeAt = 0
				s.stops = append(s.stops, Stop{Run: run, Reason: StopUnconfirmed})
			}
		}
		if len(starts) == 0 {
			delete(s.unconfirmedStarts, id)
		}
	}
}

// revocationResult applies the result of a stop that revokes an unconfirmed start.
func (s *Scheduler) revocationResult(now state.Time, id Run, acknowledged bool) {
	l := s.unconfirmedStarts[id.Upstream][id]
	switch {
	case l == nil:
	case !acknowledged:
		l.revokeAt = now + revokeRetry
	case l.inNextLife:
		s.endAwaitedLife(id, l)
	}
}
