package routing

import (
	"context"
	"errors"
	"time"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/coordination/retry"
	"github.com/samphirerail/samphirerail/internal/state"
)

// call is one submission on its way.
type call struct {
	router     *Router
	shard      coordination.ShardID
	submission coordination.Submission
	attempts   *retry.Attempts
	search     *search
	begun      time.Time
	// mayHaveRun says that an attempt ended without an answer.
	mayHaveRun bool
	// refusal is the newest answer of an entry that could not take the job.
	refusal *state.Refusal
}

// submit tries until there is an answer, or until it is not safe or not
// allowed to try again.
func (c *call) submit(ctx context.Context) (coordination.JobStatus, error) {
	bounded := ctx
	if c.submission.DeadlineIn > 0 {
		var cancel context.CancelFunc
		bounded, cancel = context.WithDeadline(ctx, c.begun.Add(c.submission.DeadlineIn))
		defer cancel()
	}
	for {
		status, err := c.attempt(ctx, bounded)
		if err == nil && (status.Refusal == nil || c.final(status.Refusal) == status.Refusal) {
			return status, nil
		}
		if err == nil {
			return coordination.JobStatus{}, c.final(status.Refusal)
		}
		if refusal, ok := asRefusal(err); ok && !passing(refusal) {
			return coordination.JobStatus{}, c.final(refusal)
		}
		if c.mayHaveRun && ctx.Err() != nil {
			return coordination.JobStatus{}, c.router.outcomeUnknown(c.submission.ID, err)
		}
		if c.mayHaveRun && !c.submission.Idempotent {
			return c.router.lookUp(ctx, c, err)
		}
		if final := c.waitToRetry(bounded, err); final != nil {
			return coordination.JobStatus{}, c.giveUp(bounded, final)
		}
	}
}

// waitToRetry waits before the next attempt. It returns an error when there
// must be none.
func (c *call) waitToRetry(bounded context.Context, err error) error {
	switch {
	case errors.Is(err, errNoOwner), errors.Is(err, retry.ErrDeadline):
		return err
	case notTaken(err):
		return c.search.pause(bounded)
	default:
		c.search.restart()
		return c.attempts.Next(bounded)
	}
}

// notTaken reports whether an error proves that no owner has seen the call.
func notTaken(err error) bool {
	refusal, ok := asRefusal(err)
	return ok && passing(refusal) || errors.Is(err, coordination.ErrNotSent)
}

func worthTrying(bounded context.Context, least time.Duration) bool {
	deadline, ok := bounded.Deadline()
	return !ok || time.Until(deadline) > least
}

// attempt sends the job once. An error that is not a refusal leaves the
// outcome open only when mayHaveRun is set.
func (c *call) attempt(ctx, bounded context.Context) (coordination.JobStatus, error) {
	p, err := c.search.locate(bounded)
	if err != nil {
		return coordination.JobStatus{}, err
	}
	if !worthTrying(bounded, c.router.cfg.MinAttempt) {
		return coordination.JobStatus{}, retry.ErrDeadline
	}
	s := c.submission
	if s.DeadlineIn > 0 {
		s.DeadlineIn -= time.Since(c.begun)
	}
	s.Fresh = s.Fresh && !c.mayHaveRun
	s.RetriesLeft = c.attempts.Lend()
	status, err := c.send(ctx, p, s)
	if err != nil {
		c.account(s.RetriesLeft, err)
	}
	return status, err
}

// send makes the call. The owner in this process gets the caller's context.
func (c *call) send(ctx context.Context, p place, s coordination.Submission) (coordination.JobStatus, error) {
	if p.local {
		return c.router.local.Submit(ctx, c.shard, s)
	}
	limit := s.Wait + c.router.cfg.CallTimeout
	if s.DeadlineIn > 0 {
		limit = min(limit, s.DeadlineIn+c.router.cfg.AnswerGrace)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	status, err := c.router.peers.Submit(ctx, p.address, c.shard, s)
	if err != nil {
		return status, wrap(err, "submit to "+p.address)
	}
	return status, nil
}

// account notes what a failed attempt proved.
func (c *call) account(lent int, err error) {
	if notTaken(err) {
		c.attempts.Return(lent)
	}
	if refusal, ok := asRefusal(err); ok {
		c.refusal = refusal
		return
	}
	if !errors.Is(err, coordination.ErrNotSent) {
		c.mayHaveRun = true
	}
}

// final returns the refusal of an owner as the caller may be told: its "not
// run" covers its own attempt only.
func (c *call) final(refusal *state.Refusal) *state.Refusal {
	if c.mayHaveRun && refusal.Verdict == state.NotRun && !c.router.trustLaterVerdicts {
		return c.router.outcomeUnknown(c.submission.ID, refusal)
	}
	return refusal
}

// giveUp turns the end of the attempts into the refusal that the caller gets.
func (c *call) giveUp(bounded context.Context, cause error) *state.Refusal {
	if c.mayHaveRun {
		return c.router.outcomeUnknown(c.submission.ID, cause)
	}
	late := c.submission.DeadlineIn > 0 && !worthTrying(bounded, c.router.cfg.MinAttempt)
	if late || errors.Is(cause, retry.ErrDeadline) {
		return deadlinePassed()
	}
	if c.refusal != nil && c.refusal.Reason != state.ReasonNoOwner {
		return c.refusal
	}
	return c.router.unreachable(c.shard, cause)
}
