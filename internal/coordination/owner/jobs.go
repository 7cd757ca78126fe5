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

// ErrEnded says that the shard ended before the outcome of a call was known.
var ErrEnded = errors.New("owner: this entry no longer owns the shard; ask the new owner for the job")

// takeoverRetry is when to ask again for a job after a takeover.
const takeoverRetry = time.Second

// takeoverGrace is how long after a takeover a job that is not on record may
// still be reported by a worker that has not been heard.
const takeoverGrace = 10 * time.Second

// Submit hands a job to the machine and waits for its end as the submission
// asks. It fails with ErrEnded when the shard ends first: the outcome is then
// the new owner's to tell.
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

// submit runs on the control goroutine. It looks at the configuration first, so
// that a contract holds from its fold on and not from the next tick.
func (s *Shard) submit(ctx context.Context, sub coordination.Submission, traced trace.SpanContext, status chan<- coordination.JobStatus) {
	s.reconcile(ctx)
	job := s.job(sub)
	if _, known := s.machine.Job(job.ID); !known {
		s.waiting[job.ID] = waitingJob{submission: sub, received: s.now()}
		s.remember(ctx, job.ID, traced)
	}
	actions := s.machine.Step(s.now(), machine.Submit{Job: job})
	own, rest := splitConflict(actions, job.ID)
	s.perform(ctx, rest)
	if own == nil {
		own = answerIn(rest, job.ID)
	}
	if own != nil {
		status <- statusOfAnswer(*own)
		return
	}
	s.journalAccepted(sub)
	s.waitFor(job.ID, sub.Wait > 0, status)
}

// remember keeps the trace of a new job until its answer.
func (s *Shard) remember(ctx context.Context, id state.JobID, traced trace.SpanContext) {
	if traced.IsValid() {
		s.traces[id] = trace.ContextWithRemoteSpanContext(ctx, traced)
	}
}

// answerIn returns the answer to a job that was refused at once, and nil when
// there is none.
func answerIn(actions []machine.Action, id state.JobID) *machine.Answer {
	for _, action := range actions {
		if a, ok := action.(machine.Answer); ok && a.Job == id {
			return &a
		}
	}
	return nil
}

// splitConflict takes out the refusal that concerns this submission and not the
// job that already has its ID.
func splitConflict(actions []machine.Action, id state.JobID) (*machine.Answer, []machine.Action) {
	for i, action := range actions {
		a, ok := action.(machine.Answer)
		if ok && a.Job == id && a.Refusal != nil && a.Refusal.Reason == state.ReasonConflict {
			return &a, slices.Delete(slices.Clone(actions), i, i+1)
		}
	}
	return nil, actions
}

// waitFor sends the job's status now when it has ended or wait is false, else
// at its end.
func (s *Shard) waitFor(id state.JobID, wait bool, status chan<- coordination.JobStatus) {
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

// await waits for a status; when the wait is over first it returns the status
// of the moment.
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
			return s.lastWord(status)
		case <-expired:
			now := make(chan coordination.JobStatus, 1)
			if !s.do(ctx, func(context.Context) { s.waitFor(id, false, now) }) {
				return coordination.JobStatus{}, ErrEnded
			}
			return <-now, nil
		}
	}
}

func (s *Shard) lastWord(status <-chan coordination.JobStatus) (coordination.JobStatus, error) {
	select {
	case st, ok := <-status:
		if ok {
			return st, nil
		}
	default:
	}
	return coordination.JobStatus{}, ErrEnded
}

// job converts a submission.
func (s *Shard) job(sub coordination.Submission) state.Job {
	job := state.Job{
		ID: sub.ID, Team: sub.Team, Queue: sub.Queue, Class: sub.Class, Service: sub.Service,
		Tasks: sub.Tasks, Each: sub.Each, RunTime: sub.RunTime, Urgent: sub.Urgent,
		Idempotent: sub.Idempotent, Preemptible: sub.Preemptible, Payload: sub.Payload,
	}
	if sub.DeadlineIn > 0 {
		job.Deadline = s.now() + sub.DeadlineIn
	}
	job.IssuedBeforeTakeover = !sub.Fresh && s.old(sub.ID)
	return job
}

// old reports whether an ID is older than what this owner can account for: an
// earlier owner, or this one before it forgot ended jobs, may have run the job.
// While workers are missing, an earlier owner may still start jobs there.
func (s *Shard) old(id state.JobID) bool {
	parsed, err := jobid.Parse(id)
	if err != nil {
		return true
	}
	margin := s.cfg.Timing.ClockMargin
	known := s.unaccounted.Add(margin)
	kept := time.Now().Add(margin - s.cfg.Machine.RetentionNotIdempotent)
	return parsed.Issued.Before(known) || parsed.Issued.Before(kept)
}

// Get returns the status of a job after waiting for its end. An empty team
// stands for an operator, who may see every job.
func (s *Shard) Get(ctx context.Context, team state.TeamID, id state.JobID, wait time.Duration) (coordination.JobStatus, error) {
	status := make(chan coordination.JobStatus, 1)
	found := false
	ok := s.do(ctx, func(context.Context) {
		if view, known := s.machine.Job(id); known && (team == "" || view.Team == team) {
			found = true
			s.waitFor(id, wait > 0, status)
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

// Cancel ends a team's job and waits for its final status.
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
		s.waitFor(id, true, status)
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

// noRecord refuses a call about a job that is not on record. While workers have
// not been heard since the takeover, one of them may hold it.
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

// answer wakes those who wait for the job.
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

// waitingJob is a submission of which no task has started.
type waitingJob struct {
	submission coordination.Submission
	received   state.Time
}

// again returns the submission for the next owner.
func (w waitingJob) again(now state.Time) coordination.Submission {
	sub := w.submission
	sub.Wait = 0
	sub.Fresh = true
	if sub.DeadlineIn > 0 {
		sub.DeadlineIn = max(sub.DeadlineIn-(now-w.received), 1)
	}
	return sub
}

// giveBack carries out the actions of a resignation: jobs that no caller waits
// for, and those that the next owner may find in the journal, are returned to be
// submitted to that owner.
func (s *Shard) giveBack(ctx context.Context, actions []machine.Action) {
	var returned []coordination.Submission
	for _, action := range actions {
		a, ok := action.(machine.Answer)
		if !ok || len(s.waiters[a.Job]) > 0 && !s.mayRunAgain(a.Job) {
			continue
		}
		if w, waits := s.waiting[a.Job]; waits {
			returned = append(returned, w.again(s.now()))
		}
	}
	s.perform(ctx, actions)
	if len(returned) > 0 && s.cfg.OnReturned != nil {
		s.cfg.OnReturned(returned)
	}
}

// failWaiters tells everyone who still waits that the shard has ended.
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

// traced returns the context for calls made for a job.
func (s *Shard) traced(ctx context.Context, id state.JobID) context.Context {
	if t, ok := s.traces[id]; ok {
		return t
	}
	return ctx
}
