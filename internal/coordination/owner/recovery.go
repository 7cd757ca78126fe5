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
	// recoveryWait is how long a new owner waits for the journal before it
	// fences its upstreams. Jobs that are recovered later may meet a job
	// that was rebuilt without its payload and has ended.
	recoveryWait = time.Second
	// accountWait is how long a job that must not run twice may stay without
	// a trace, since an owner that leaves in order returns such jobs.
	accountWait = 30 * time.Second
	// accountPoll is the interval at which such jobs are looked for.
	accountPoll = time.Second
)

// recovery holds the unfinished jobs of earlier owners. It belongs to the
// control goroutine.
type recovery struct {
	// settled says that nobody waits for the journal any more.
	settled bool
	// jobs are not with the machine yet.
	jobs []journal.Job
	// since is when they were read, next when to look at them again.
	since, next state.Time
}

// awaitsJournal reports whether the upstreams are to be left alone until the
// journal is read.
func (s *Shard) awaitsJournal() bool {
	return s.journal != nil && !s.recovery.settled && s.now() < recoveryWait
}

func (s *Shard) journalStalled(ctx context.Context) {
	s.recovery.settled = true
	s.reconcile(ctx)
}

func (s *Shard) recovered(ctx context.Context, jobs []journal.Job) {
	if len(jobs) > 0 {
		s.log.Info("recovered unfinished jobs", "jobs", len(jobs))
	}
	s.recovery = recovery{settled: true, jobs: jobs, since: s.now()}
	s.reconcile(ctx)
	s.resume(ctx)
	s.summarize()
}

// resume hands recovered jobs to the machine once it knows its quotas. Those
// that it can't take yet are kept for later.
func (s *Shard) resume(ctx context.Context) {
	r := &s.recovery
	if len(r.jobs) == 0 || s.configVersion < 0 || s.resigned || s.now() < r.next {
		return
	}
	r.next = s.now() + accountPoll
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

// awaitsReturn reports whether an earlier owner may still return a job that must
// not run twice, or a worker tell of it.
func (s *Shard) awaitsReturn(job *journal.Job) bool {
	if job.Idempotent {
		return false
	}
	_, known := s.machine.Job(job.ID)
	return !known && s.now() < s.recovery.since+accountWait
}

// resumeOne submits a job. It reports false when the team's queue is full.
func (s *Shard) resumeOne(ctx context.Context, recovered *journal.Job) bool {
	job := s.job(recovered.Submission(time.Now()))
	job.IssuedBeforeTakeover = true
	actions := s.machine.Step(s.now(), machine.Submit{Job: job})
	conflict, actions := splitConflict(actions, job.ID)
	if conflict != nil {
		s.log.Error("a recovered job differs from the job of the same ID", "job", job.ID)
	}
	answer := answerIn(actions, job.ID)
	queueFull := answer != nil && answer.Refusal != nil && answer.Refusal.Reason == state.ReasonQueueFull
	if queueFull {
		actions = without(actions, job.ID)
	}
	s.perform(ctx, actions)
	return !queueFull
}

// without leaves out the answer to a job.
func without(actions []machine.Action, id state.JobID) []machine.Action {
	var rest []machine.Action
	for _, action := range actions {
		if a, ok := action.(machine.Answer); ok && a.Job == id {
			continue
		}
		rest = append(rest, action)
	}
	return rest
}

// recoveredStatus tells of a job that is not with the machine yet.
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
