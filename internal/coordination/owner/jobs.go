package owner

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/jobid"
	"github.com/samphirerail/samphirerail/internal/state/machine"
)

// ErrEnded is returned when the shard ends before the outcome of a call is known.
// The next owner can be asked for the job.
var ErrEnded = errors.New("owner: this entry no longer owns the shard; ask the new owner for the job")

// takeoverRetry is the retry delay for queries about jobs just after a takeover.
const takeoverRetry = time.Second

// takeoverGrace is how long after a takeover a job without a record may still be
// reported by a worker that has not been fenced yet.
const takeoverGrace = 10 * time.Second

// Submit passes a job to the machine and waits up to sub.Wait for its end. It returns
// ErrEnded when the shard or ctx ends first; the new owner can then be asked for the
// outcome. A refusal is part of the status, not an error.
func (s *Shard) Submit(ctx context.Context, sub coordination.Submission) (coordination.JobStatus, error) {
	status := make(chan coordination.JobStatus, 1)
	traced := trace.SpanContextFromContext(ctx)
	ok := s.do(ctx, func(loop context.Context) { s.submit(loop, sub, traced, status) })
	if !ok {
		return coordination.JobStatus{}, ErrEnded
	}
	answer, err := s.await(ctx, sub.ID, sub.Wait, status)
	return s.confirmAccepted(ctx, answer), err
}

// submit handles a submission on the control goroutine. It reconciles with the
// configuration first, so that a contract applies as soon as it is folded and not
// from the next tick on.
func (s *Shard) submit(ctx context.Context, sub coordination.Submission, traced trace.SpanContext, status chan<- coordination.JobStatus) {
	s.reconcile(ctx)
	job := s.job(sub)
	if _, known := s.machine.Job(job.ID); !known {
		s.waiting[job.ID] = waitingJob{submission: sub, received: s.now()}
		s.storeTrace(ctx, job.ID, traced)
	}
	actions := s.machine.Step(s.now(), machine.Submit{Job: job})
	own, rest := splitConflict(actions, job.ID)
	s.perform(ctx, rest)
	if own == nil {
		own = findAnswer(rest, job.ID)
	}
	if own != nil {
		status <- statusOfAnswer(*own)
		return
	}
	s.journalAccepted(sub)
	s.sendStatus(job.ID, sub.Wait > 0, status)
}

// storeTrace keeps the trace context of a new job until the job is answered.
func (s *Shard) storeTrace(ctx context.Context, id state.JobID, traced trace.SpanContext) {
	if traced.IsValid() {
		s.traces[id] = trace.ContextWithRemoteSpanContext(ctx, traced)
	}
}

// findAnswer returns the answer to a job among the actions, or nil when there is none.
// A submission is answered in the same step only if it is refused.
func findAnswer(actions []machine.Action, id state.JobID) *machine.Answer {
	for _, action := range actions {
		if a, ok := action.(machine.Answer); ok && a.Job == id {
			return &a
		}
	}
	return nil
}

// splitConflict separates the conflict refusal from the other actions. That refusal is
// for this submission only and must not reach the callers that wait for the job which
// already has the same ID.
func splitConflict(actions []machine.Action, id state.JobID) (*machine.Answer, []machine.Action) {
	for i, action := range actions {
		a, ok := action.(machine.Answer)
		if ok && a.Job == id && a.Refusal != nil && a.Refusal.Reason == state.ReasonConflict {
			return &a, slices.Delete(slices.Clone(actions), i, i+1)
		}
	}
	return nil, actions
}

// sendStatus sends the job's status immediately when the job has ended or wait is
// false, and at the end of the job otherwise. The channel must have a free buffer slot.
func (s *Shard) sendStatus(id state.JobID, wait bool, status chan<- coordination.JobStatus) {
	view, ok := s.machine.Job(id)
	if !ok {
		status <- coordination.JobStatus{ID: id, State: state.JobUnknown, Refusal: unknownJob(id)}
		return
	}
	if view.State.Ended() || !wait {
		status <- statusOfView(view)
		return
	}
	s.waiters[id] = append(s.waiters[id], status)
}

// await waits for a status. When wait expires first it returns the current status; a
// wait of 0 or less means no limit. It returns ErrEnded when the shard or ctx ends
// without a status.
func (s *Shard) await(ctx context.Context, id state.JobID, wait time.Duration, status <-chan coordination.JobStatus) (coordination.JobStatus, error) {
	timer := time.NewTimer(max(wait, 0))
	defer timer.Stop()
	expired := timer.C
	if wait <= 0 {
		expired = nil
	}
	for {
		select {
		case st, ok := <-status:
			if !ok {
				return coordination.JobStatus{}, ErrEnded
			}
			return st, nil
		case <-ctx.Done():
			return coordination.JobStatus{}, ErrEnded
		case <-s.done:
			return s.finalStatus(status)
		case <-expired:
			now := make(chan coordination.JobStatus, 1)
			if !s.do(ctx, func(context.Context) { s.sendStatus(id, false, now) }) {
				return coordination.JobStatus{}, ErrEnded
			}
			return <-now, nil
		}
	}
}

func (s *Shard) finalStatus(status <-chan coordination.JobStatus) (coordination.JobStatus, error) {
	select {
	case st, ok := <-status:
		if ok {
			return st, nil
		}
	default:
	}
	return coordination.JobStatus{}, ErrEnded
}

// job converts a submission, with its deadline on the shard's clock.
func (s *Shard) job(sub coordination.Submission) state.Job {
	job := state.Job{
		ID: sub.ID, Team: sub.Team, Queue: sub.Queue, Class: sub.Class, Service: sub.Service,
		Tasks: sub.Tasks, Each: sub.Each, RunTime: sub.RunTime, Urgent: sub.Urgent,
		Idempotent: sub.Idempotent, Preemptible: sub.Preemptible, Payload: sub.Payload,
	}
	if sub.DeadlineIn > 0 {
		job.Deadline = s.now() + sub.DeadlineIn
	}
	job.IssuedBeforeTakeover = !sub.Fresh && s.predatesRecords(sub.ID)
	return job
}

// predatesRecords reports whether an ID was issued before the period for which this
// owner's records are complete. An earlier owner may then have run the job, or this
// owner may have run it and dropped the record since. While some upstream is unfenced
// the records are incomplete, as an earlier owner may still start jobs there.
func (s *Shard) predatesRecords(id state.JobID) bool {
	parsed, err := jobid.Parse(id)
	if err != nil {
		return true
	}
	margin := s.cfg.Timing.ClockMargin
	completeSince := s.lastUnfenced.Add(margin)
	retainedSince := time.Now().Add(margin - s.cfg.Machine.RetentionNotIdempotent)
	return parsed.Issued.Before(completeSince) || parsed.Issued.Before(retainedSince)
}

// Get returns the status of a job, after waiting up to wait for its end. An empty team
// stands for an operator, who may see every job. It returns ErrEnded as Submit does,
// and a *state.Refusal when the job has no record.
func (s *Shard) Get(ctx context.Context, team state.TeamID, id state.JobID, wait time.Duration) (coordination.JobStatus, error) {
	status := make(chan coordination.JobStatus, 1)
	found := false
	ok := s.do(ctx, func(context.Context) {
		if view, known := s.machine.Job(id); known && (team == "" || view.Team == team) {
			found = true
			s.sendStatus(id, wait > 0, status)
			return
		}
		if recovered, ok := s.recoveredStatus(team, id); ok {
			found = true
			status <- recovered
		}
	})
	switch {
	case !ok:
		return coordination.JobStatus{}, ErrEnded
	case !found:
		return coordination.JobStatus{}, s.noRecord(id)
	}
	answer, err := s.await(ctx, id, wait, status)
	return s.confirmEnded(ctx, answer), err
}

// Cancel cancels a team's job and waits for its final status. It returns the same
// errors as Get.
func (s *Shard) Cancel(ctx context.Context, team state.TeamID, id state.JobID) (coordination.JobStatus, error) {
	status := make(chan coordination.JobStatus, 1)
	found := false
	ok := s.do(ctx, func(loop context.Context) {
		view, known := s.machine.Job(id)
		if !known || view.Team != team {
			return
		}
		found = true
		s.step(loop, machine.CancelJob{Job: id, Team: team})
		s.sendStatus(id, true, status)
	})
	switch {
	case !ok:
		return coordination.JobStatus{}, ErrEnded
	case !found:
		return coordination.JobStatus{}, s.noRecord(id)
	}
	answer, err := s.await(ctx, id, 0, status)
	return s.confirmEnded(ctx, answer), err
}

// noRecord returns the refusal for a query about a job without a record. Shortly after
// a takeover, an upstream that is not fenced yet may hold the job, so the caller is
// told to ask again.
func (s *Shard) noRecord(id state.JobID) *state.Refusal {
	missing := s.Summary().Upstreams - s.Summary().Fenced
	if missing == 0 && s.Summary().Ready || time.Since(s.takeover) > takeoverGrace {
		return unknownJob(id)
	}
	return &state.Refusal{
		Reason:     state.ReasonNoOwner,
		Verdict:    state.Unknown,
		Detail:     fmt.Sprintf("the owner has just taken over and not yet heard from %d upstreams", missing),
		Remedy:     "ask again",
		RetryAfter: takeoverRetry,
	}
}

// answer sends the final status of a job to its waiting callers.
func (s *Shard) answer(a machine.Answer) {
	delete(s.traces, a.Job)
	delete(s.waiting, a.Job)
	waiting := s.waiters[a.Job]
	delete(s.waiters, a.Job)
	if s.leftToNextOwner(a, len(waiting)) {
		closeAll(waiting)
		return
	}
	if len(waiting) == 0 {
		return
	}
	status := statusOfAnswer(a)
	if view, ok := s.machine.Job(a.Job); ok {
		status = statusOfView(view)
	}
	for _, w := range waiting {
		w <- status
	}
}

// waitingJob is the submission of a job that has not started any task.
type waitingJob struct {
	submission coordination.Submission
	received   state.Time
}

// resubmission returns the submission to pass to the next owner, with the deadline
// reduced by the time spent waiting here.
func (w waitingJob) resubmission(now state.Time) coordination.Submission {
	sub := w.submission
	sub.Wait = 0
	sub.Fresh = true
	if sub.DeadlineIn > 0 {
		sub.DeadlineIn = max(sub.DeadlineIn-(now-w.received), 1)
	}
	return sub
}

// performResign performs the actions of a resignation. Jobs that no caller waits for,
// and those that the next owner may find in the journal, are passed to OnReleasedJobs
// to be submitted to the next owner.
func (s *Shard) performResign(ctx context.Context, actions []machine.Action) {
	var released []coordination.Submission
	for _, action := range actions {
		a, ok := action.(machine.Answer)
		if !ok || len(s.waiters[a.Job]) > 0 && !s.mayRunAgain(a.Job) {
			continue
		}
		if w, waits := s.waiting[a.Job]; waits {
			released = append(released, w.resubmission(s.now()))
		}
	}
	s.perform(ctx, actions)
	if len(released) > 0 && s.cfg.OnReleasedJobs != nil {
		s.cfg.OnReleasedJobs(released)
	}
}

// failWaiters makes the remaining waiting callers return ErrEnded.
func (s *Shard) failWaiters() {
	for _, waiting := range s.waiters {
		closeAll(waiting)
	}
}

func closeAll(waiting []chan<- coordination.JobStatus) {
	for _, w := range waiting {
		close(w)
	}
}

// traced returns the context for calls made on behalf of a job: ctx with the trace
// context of the job's submission, if there is one.
func (s *Shard) traced(ctx context.Context, id state.JobID) context.Context {
	if t, ok := s.traces[id]; ok {
		return t
	}
	return ctx
}
