package owner

import (
	"context"
	"time"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/coordination/journal"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/machine"
)

const (
	// recoveryWait is how long a new owner waits for the journal to be read before
	// it fences its upstreams. A job that is recovered later may conflict with the
	// same job rebuilt from a worker's labels without its payload and already ended.
	recoveryWait = time.Second
	// returnWait is how long a recovered job that must not run twice waits to be
	// returned by the earlier owner or reported by a worker. An owner that resigns
	// in order returns such jobs if they have not started.
	returnWait = 30 * time.Second
	// resumeInterval is the interval between two attempts to resume recovered jobs.
	resumeInterval = time.Second
)

// recovery holds the unfinished jobs of earlier owners. It is accessed by the control
// goroutine only.
type recovery struct {
	// done says that the shard no longer waits for the journal.
	done bool
	// jobs have not been submitted to the machine yet.
	jobs []journal.Job
	// readAt is when jobs were read; nextResume is when to try again to resume them.
	readAt, nextResume state.Time
}

// awaitsJournal reports whether fencing must still wait for the journal to be read.
func (s *Shard) awaitsJournal() bool {
	return s.journal != nil && !s.recovery.done && s.now() < recoveryWait
}

func (s *Shard) journalStalled(ctx context.Context) {
	s.recovery.done = true
	s.reconcile(ctx)
}

func (s *Shard) handleRecovered(ctx context.Context, jobs []journal.Job) {
	if len(jobs) > 0 {
		s.log.Info("recovered unfinished jobs", "jobs", len(jobs))
	}
	s.recovery = recovery{done: true, jobs: jobs, readAt: s.now()}
	s.reconcile(ctx)
	s.resume(ctx)
	s.publishSummary()
}

// resume submits recovered jobs to the machine once the quotas are known. Jobs that
// cannot be submitted yet are kept for a later call.
func (s *Shard) resume(ctx context.Context) {
	r := &s.recovery
	if len(r.jobs) == 0 || s.configVersion < 0 || s.resigned || s.now() < r.nextResume {
		return
	}
	r.nextResume = s.now() + resumeInterval
	full := map[state.TeamID]bool{}
	var kept []journal.Job
	for i := range r.jobs {
		job := &r.jobs[i]
		if full[job.Team] || s.awaitsReturn(job) {
			kept = append(kept, *job)
			continue
		}
		if s.resumeOne(ctx, job) {
			continue
		}
		full[job.Team] = true
		kept = append(kept, *job)
	}
	r.jobs = kept
}

// awaitsReturn reports whether a job that must not run twice may still be returned by
// the earlier owner or reported by a worker.
func (s *Shard) awaitsReturn(job *journal.Job) bool {
	if job.Idempotent {
		return false
	}
	_, known := s.machine.Job(job.ID)
	return !known && s.now() < s.recovery.readAt+returnWait
}

// resumeOne submits a recovered job to the machine. It returns false when the team's
// queue is full.
func (s *Shard) resumeOne(ctx context.Context, recovered *journal.Job) bool {
	job := s.job(recovered.Submission(time.Now()))
	job.IssuedBeforeTakeover = true
	actions := s.machine.Step(s.now(), machine.Submit{Job: job})
	conflict, actions := splitConflict(actions, job.ID)
	if conflict != nil {
		s.log.Error("recovered job conflicts with a different job of the same ID", "job", job.ID)
	}
	answer := findAnswer(actions, job.ID)
	queueFull := answer != nil && answer.Refusal != nil && answer.Refusal.Reason == state.ReasonQueueFull
	if queueFull {
		actions = withoutAnswer(actions, job.ID)
	}
	s.perform(ctx, actions)
	return !queueFull
}

// withoutAnswer returns the actions other than answers to the job.
func withoutAnswer(actions []machine.Action, id state.JobID) []machine.Action {
	var rest []machine.Action
	for _, action := range actions {
		if a, ok := action.(machine.Answer); ok && a.Job == id {
			continue
		}
		rest = append(rest, action)
	}
	return rest
}

// recoveredStatus returns the status of a recovered job that has not been submitted to
// the machine yet. An empty team stands for an operator.
func (s *Shard) recoveredStatus(team state.TeamID, id state.JobID) (coordination.JobStatus, bool) {
	for i := range s.recovery.jobs {
		job := &s.recovery.jobs[i]
		if job.ID != id || team != "" && team != job.Team {
			continue
		}
		return coordination.JobStatus{
			ID: id, Team: job.Team, Class: job.Class, State: state.JobQueued, Durable: true,
			Waiting: "the job was recovered after a change of owner and is being accounted for",
		}, true
	}
	return coordination.JobStatus{}, false
}
