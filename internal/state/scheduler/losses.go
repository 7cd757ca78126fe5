package scheduler

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// LossCause is what showed that the runs of an upstream do not exist any more.
type LossCause uint8

const (
	// LossRestarted: another incarnation of the upstream, or another upstream, answers.
	LossRestarted LossCause = iota
	// LossExpired: the leases have expired without contact to the upstream.
	LossExpired
)

// String returns the cause as written to logs.
func (c LossCause) String() string { return [...]string{"restarted", "expired"}[c] }

// Loss is the end of a run that its upstream will not report.
type Loss struct {
	Run
	Cause LossCause
	// Draining says that the upstream had announced that it leaves, Listed that it is on the
	// platform's list.
	Draining, Listed bool
	// Accepted says that the upstream accepted the start or reported the run.
	Accepted bool
	// Age is the time from the start to the first failed call to the upstream.
	Age time.Duration
	// Jobs is the number of jobs that had runs on the upstream.
	Jobs int
}

// noteLosses reports the runs that were lost with their upstream in the next plan. It must be
// called before they are released.
func (s *Scheduler) noteLosses(now state.Time, u *upstream, cause LossCause) {
	jobs := map[workload.JobID]struct{}{}
	first := len(s.losses)
	for _, r := range u.sortedRuns() {
		if r.phase == awaitingTicket || r.phase == planned || r.phase == finished {
			continue
		}
		jobs[r.Task.Job] = struct{}{}
		s.losses = append(s.losses, Loss{
			Run: r.Run, Cause: cause, Draining: u.Draining, Listed: u.listed, Accepted: r.accepted, Age: u.lostContactAt(now) - r.startedAt,
		})
	}
	for i := range s.losses[first:] {
		s.losses[first+i].Jobs = len(jobs)
	}
}

// lostContactAt returns when calls to the upstream began to fail, or now if they do not.
func (u *upstream) lostContactAt(now state.Time) state.Time {
	if u.unreachable {
		return u.unreachableSince
	}
	return now
}
