package scheduler

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// minReturn and maxReturn bound the time after which a refused caller may return.
const minReturn, maxReturn = time.Second, 30 * time.Second

// RefusalCause is the cause of a refusal.
type RefusalCause uint8

// Causes of a refusal.
const (
	// NotRefused: the job is accepted.
	NotRefused RefusalCause = iota
	// RefusedTooLate: the job could not end before its result is worthless.
	RefusedTooLate
	// RefusedOverShare: the workspace exceeds its share of a busy service.
	RefusedOverShare
	// RefusedNeverRuns: no upstream of the service, or not the workspace's quota, is
	// large enough.
	RefusedNeverRuns
)

// String returns the cause as written to logs and metrics.
func (c RefusalCause) String() string {
	return [...]string{"none", "too_late", "over_share", "never_runs"}[c]
}

// Admission is the decision about a submitted job.
type Admission struct {
	Cause RefusalCause
	// Start and End are the forecast times from the submission until the last task of the
	// first step starts and until the job ends; forecast.Never if neither can be foreseen.
	Start, End time.Duration
	// Objective is the time within which the job should end.
	Objective time.Duration
	// RetryAfter is when a refused caller may return.
	RetryAfter time.Duration
	// Returning says that the caller returned at the time it was told.
	Returning bool
}

// Admit decides whether a new job is accepted. A job is refused
//
//   - that can never run;
//   - that is beyond its workspace's share while the service or the workspace's quota has no
//     headroom: it would rank behind all others;
//   - that would, even by an optimistic forecast, end only after its result is worthless. The
//     load in question is a burst of several times the capacity.
//
// A refused job may return after the given time. The times are spread: by the workspace's
// weight, or by the capacity that the forecast leaves. A job that was accepted before is
// accepted again, because it may be recorded by now.
func (s *Scheduler) Admit(now state.Time, spec *workload.Job) (retryAfter time.Duration, admitted bool) {
	a := &s.admission
	a.last = s.admit(now, spec)
	if a.last.Cause != NotRefused {
		return a.last.RetryAfter, false
	}
	s.noteAccepted(now, spec)
	return 0, true
}

// LastAdmission returns the decision of the latest Admit.
func (s *Scheduler) LastAdmission() Admission { return s.admission.last }

func (s *Scheduler) admit(now state.Time, spec *workload.Job) Admission {
	q := s.config.Queue(spec.Queue)
	if _, known := s.admission.accepted.get(spec.ID); q == nil || known {
		return Admission{}
	}
	if s.neverRuns(now, spec, q) {
		return Admission{Cause: RefusedNeverRuns, RetryAfter: maxReturn}
	}
	if spec.LongRunning() || spec.Repeat > 0 {
		return Admission{}
	}
	returning := s.admission.returned(now, spec.ID)
	if retryAfter, over := s.refuseOverShare(now, spec, q); over && !returning {
		return Admission{Cause: RefusedOverShare, RetryAfter: retryAfter}
	}
	return s.admitByForecast(now, spec, q, returning)
}

// refuseOverShare reports whether a job is refused because its workspace exceeds its
// share, and when the caller may return. The times are spread by the workspace's weight, so
// that the returning jobs come at the rate that the workspace is entitled to.
func (s *Scheduler) refuseOverShare(now state.Time, spec *workload.Job, q *workload.Queue) (retryAfter time.Duration, refused bool) {
	w := s.config.Workspace(spec.Workspace)
	if w == nil || w.Weight <= 0 {
		return 0, false
	}
	sh := s.shareOf(w, now)
	if sh.available(w, now) >= 1 {
		return 0, false
	}
	pl := s.pools[q.Service]
	if pl == nil || s.hasHeadroom(spec.Workspace, spec.Steps[0].Each, pl) {
		return 0, false
	}
	interval := time.Duration(float64(time.Second) / w.Weight)
	sh.nextReturn = max(sh.nextReturn, now+minReturn) + interval
	return min(sh.nextReturn-now, maxReturn), true
}
