package routing

import (
	"context"
	"errors"
	"time"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/coordination/retry"
	"github.com/samphirerail/samphirerail/internal/state"
)

// call is the state of one submission.
type call struct {
	router     *Router
	shard      coordination.ShardID
	submission coordination.Submission
	attempts   *retry.Attempts
	search     *ownerSearch
	started    time.Time
	// mayHaveRun is set once an attempt has ended without a response.
	mayHaveRun bool
	// refusal is the latest refusal from an entry.
	refusal *state.Refusal
}

// submit makes attempts until there is a response, or until a retry is not safe or not
// allowed.
func (c *call) submit(ctx context.Context) (coordination.JobStatus, error) {
	deadlineCtx := ctx
	if c.submission.DeadlineIn > 0 {
		var cancel context.CancelFunc
		deadlineCtx, cancel = context.WithDeadline(ctx, c.started.Add(c.submission.DeadlineIn))
		defer cancel()
	}
	for {
		status, err := c.attempt(ctx, deadlineCtx)
		if err == nil && (status.Refusal == nil || c.finalRefusal(status.Refusal) == status.Refusal) {
			return status, nil
		}
		if err == nil {
			return coordination.JobStatus{}, c.finalRefusal(status.Refusal)
		}
		if refusal, ok := asRefusal(err); ok && !retryElsewhere(refusal) {
			return coordination.JobStatus{}, c.finalRefusal(refusal)
		}
		if c.mayHaveRun && ctx.Err() != nil {
			return coordination.JobStatus{}, c.router.outcomeUnknown(c.submission.ID, err)
		}
		if c.mayHaveRun && !c.submission.Idempotent {
			return c.router.lookUp(ctx, c, err)
		}
		if final := c.waitToRetry(deadlineCtx, err); final != nil {
			return coordination.JobStatus{}, c.giveUp(deadlineCtx, final)
		}
	}
}

// waitToRetry waits until the next attempt is due. It returns an error if there must
// be no further attempt.
func (c *call) waitToRetry(deadlineCtx context.Context, err error) error {
	switch {
	case errors.Is(err, errNoOwner), errors.Is(err, retry.ErrDeadline):
		return err
	case notAccepted(err):
		return c.search.backOff(deadlineCtx)
	default:
		c.search.restart()
		return c.attempts.Next(deadlineCtx)
	}
}

// notAccepted reports whether an error proves that no owner has accepted the call.
func notAccepted(err error) bool {
	refusal, ok := asRefusal(err)
	return ok && retryElsewhere(refusal) || errors.Is(err, coordination.ErrNotSent)
}

// enoughTimeLeft reports whether more than minimum remains until the deadline, if any.
func enoughTimeLeft(deadlineCtx context.Context, minimum time.Duration) bool {
	deadline, ok := deadlineCtx.Deadline()
	return !ok || time.Until(deadline) > minimum
}

// attempt sends the job once. After an error that is not a refusal, the outcome of the
// job is unknown only if mayHaveRun is set.
func (c *call) attempt(ctx, deadlineCtx context.Context) (coordination.JobStatus, error) {
	loc, err := c.search.locate(deadlineCtx)
	if err != nil {
		return coordination.JobStatus{}, err
	}
	if !enoughTimeLeft(deadlineCtx, c.router.cfg.MinAttempt) {
		return coordination.JobStatus{}, retry.ErrDeadline
	}
	s := c.submission
	if s.DeadlineIn > 0 {
		s.DeadlineIn -= time.Since(c.started)
	}
	s.Fresh = s.Fresh && !c.mayHaveRun
	s.RetriesLeft = c.attempts.Lend()
	status, err := c.send(ctx, loc, s)
	if err != nil {
		c.recordFailure(s.RetriesLeft, err)
	}
	return status, err
}

// send calls the owner. A call to a peer gets a timeout; the owner in this process gets
// the caller's context unchanged.
func (c *call) send(ctx context.Context, loc location, s coordination.Submission) (coordination.JobStatus, error) {
	if loc.local {
		return c.router.local.Submit(ctx, c.shard, s)
	}
	limit := s.Wait + c.router.cfg.CallTimeout
	if s.DeadlineIn > 0 {
		limit = min(limit, s.DeadlineIn+c.router.cfg.ResponseGrace)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	status, err := c.router.peers.Submit(ctx, loc.address, c.shard, s)
	if err != nil {
		return status, wrap(err, "submit to "+loc.address)
	}
	return status, nil
}

// recordFailure updates the state after a failed attempt. The lent retries are returned
// only if no owner accepted the call.
func (c *call) recordFailure(lent int, err error) {
	if notAccepted(err) {
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

// finalRefusal returns the refusal to pass on to the caller. An owner's "not run" covers
// its own attempt only, so after an attempt without a response the outcome is unknown.
func (c *call) finalRefusal(refusal *state.Refusal) *state.Refusal {
	if c.mayHaveRun && refusal.Verdict == state.NotRun && !c.router.trustLaterVerdicts {
		return c.router.outcomeUnknown(c.submission.ID, refusal)
	}
	return refusal
}

// giveUp returns the refusal for the caller once there are no more attempts.
func (c *call) giveUp(deadlineCtx context.Context, cause error) *state.Refusal {
	if c.mayHaveRun {
		return c.router.outcomeUnknown(c.submission.ID, cause)
	}
	late := c.submission.DeadlineIn > 0 && !enoughTimeLeft(deadlineCtx, c.router.cfg.MinAttempt)
	if late || errors.Is(cause, retry.ErrDeadline) {
		return deadlinePassed()
	}
	if c.refusal != nil && c.refusal.Reason != state.ReasonNoOwner {
		return c.refusal
	}
	return c.router.unreachable(c.shard, cause)
}
