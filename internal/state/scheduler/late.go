package scheduler

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// lateSpan is how long after it was sent an order without an answer may still be
// carried out. The users' platform delays orders by up to 12 s.
const lateSpan = 13 * time.Second

// barRetry is how long an unanswered stop that bars a late start waits until it is
// ordered again. Whatever reaches a new life before the stop may run.
const barRetry = 50 * time.Millisecond

// lateStart is a start without an answer. A stop bars it in the life of the
// upstream that answers the stop; a later life knows nothing of that.
type lateStart struct {
	until state.Time
	// barAgain is when the stop is ordered; 0 while one is under way or the
	// newest life has answered it.
	barAgain state.Time
}

// remember takes in that a start got no answer. The stop of the run itself bars
// it in this life.
func (s *Scheduler) remember(now state.Time, id Run) {
	if s.late[id.Upstream] == nil {
		s.late[id.Upstream] = map[Run]*lateStart{}
	}
	s.late[id.Upstream][id] = &lateStart{until: now + lateSpan}
}

// barLate has all late starts barred in a new life of an upstream.
func (s *Scheduler) barLate(now state.Time, id workload.UpstreamID) {
	for _, l := range s.late[id] {
		l.barAgain = now
	}
}

// orderBars orders the stops that bar late starts.
func (s *Scheduler) orderBars(now state.Time) {
	for id, starts := range s.late {
		for run, l := range starts {
			switch {
			case now >= l.until:
				delete(starts, run)
			case l.barAgain > 0 && now >= l.barAgain:
				l.barAgain = 0
				s.stops = append(s.stops, Stop{Run: run, Reason: StopUnanswered})
			}
		}
		if len(starts) == 0 {
			delete(s.late, id)
		}
	}
}

// barred takes in the answer to a stop that bars a late start.
func (s *Scheduler) barred(now state.Time, id Run, answered bool) {
	if l := s.late[id.Upstream][id]; l != nil && !answered {
		l.barAgain = now + barRetry
	}
}
