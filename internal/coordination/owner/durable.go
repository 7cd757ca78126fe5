package owner

import (
	"context"
	"time"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/coordination/journal"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/machine"
)

// journalWait is the longest time for which an answer waits until the log has stored
// the records that the answer depends on.
const journalWait = time.Second

// openJournal creates the journal of the shard if a log is configured.
func (s *Shard) openJournal() {
	if s.cfg.Log == nil {
		return
	}
	s.journal = journal.New(journal.Config{
		Log:         s.cfg.Log,
		Domain:      s.cfg.Shard.Domain(),
		Epoch:       s.cfg.Epoch,
		OnRecovered: func(jobs []journal.Job) { s.post(func(loop context.Context) { s.handleRecovered(loop, jobs) }) },
		OnStalled:   func(error) { s.post(s.journalStalled) },
		Logger:      s.log,
	})
}

// runJournal starts the goroutine that writes the journal.
func (s *Shard) runJournal(ctx context.Context) {
	if s.journal == nil {
		return
	}
	s.spawn(func() {
		err := s.journal.Run(ctx)
		if ctx.Err() == nil {
			s.log.Warn("journal stopped; accepted jobs are no longer durable", "error", err)
		}
		s.post(s.journalStalled)
	})
}

// post runs f on the control goroutine and does not wait for it to finish.
func (s *Shard) post(f func(ctx context.Context)) {
	select {
	case s.messages <- message{call: f}:
	case <-s.done:
	}
}

// journalAccepted adds a job that the machine has accepted to the journal. Requests
// are not journaled.
func (s *Shard) journalAccepted(sub coordination.Submission) {
	if s.journal == nil || sub.Class == state.ClassRequest || s.resigned {
		return
	}
	if view, ok := s.machine.Job(sub.ID); !ok || view.State.Ended() {
		return
	}
	s.journal.Accept(journal.FromSubmission(sub, time.Now()))
}

// leftToNextOwner journals the end of a job and returns false. For a job that the next
// owner will find in the journal and may run after this shard has resigned, it journals
// nothing and returns true.
func (s *Shard) leftToNextOwner(a machine.Answer, waiting int) bool {
	if s.journal == nil {
		return false
	}
	if a.Refusal != nil && a.Refusal.Reason == state.ReasonShuttingDown {
		written, idempotent := s.journal.Written(a.Job)
		if written && (idempotent || waiting == 0) {
			return true
		}
	}
	s.journal.End(a.Job, a.State)
	return false
}

// mayRunAgain reports whether the next owner may run a job that it finds in the
// journal.
func (s *Shard) mayRunAgain(id state.JobID) bool {
	if s.journal == nil {
		return false
	}
	written, idempotent := s.journal.Written(id)
	return written && idempotent
}

// confirmAccepted sets Durable in the status of an accepted job, after waiting up to
// journalWait for the log to store the job.
func (s *Shard) confirmAccepted(ctx context.Context, status coordination.JobStatus) coordination.JobStatus {
	if s.journal == nil || status.State.Ended() {
		return s.confirmEnded(ctx, status)
	}
	if commit := s.journal.AcceptCommit(status.ID); commit != nil {
		status.Durable = commit.Wait(ctx, journalWait)
	}
	return status
}

// confirmEnded completes the status of a job that may have ended. A status that says
// the job did not run is final only once the log has stored the end of the job, since
// a new owner might run the job until then. If the log does not store it within
// journalWait, the verdict becomes Unknown.
func (s *Shard) confirmEnded(ctx context.Context, status coordination.JobStatus) coordination.JobStatus {
	if s.journal == nil {
		return status
	}
	if !status.State.Ended() {
		commit := s.journal.AcceptCommit(status.ID)
		status.Durable = commit != nil && commit.Stored()
		return status
	}
	if status.Refusal == nil || status.Refusal.Verdict != state.NotRun {
		return status
	}
	commit := s.journal.EndCommit(status.ID)
	if commit == nil || commit.Wait(ctx, journalWait) {
		return status
	}
	refusal := *status.Refusal
	refusal.Verdict = state.Unknown
	refusal.Detail += "; the log service did not record this yet, and a new owner might run the job"
	status.Refusal = &refusal
	return status
}

// flushJournal waits up to journalWait for the log to store the records added so far.
func (s *Shard) flushJournal(ctx context.Context) {
	if s.journal != nil {
		s.journal.LastCommit().Wait(ctx, journalWait)
	}
}
