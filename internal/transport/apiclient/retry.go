package apiclient

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
)

// backoffMultiplier is the growth factor of the backoff between attempts.
const backoffMultiplier = 2

// retryDecision says whether and when a failed attempt is retried.
type retryDecision struct {
	retry bool
	// delay is the time that the entry asked the client to wait; 0 selects the
	// client's own backoff.
	delay time.Duration
}

// retry calls attempt until it succeeds, decide returns no retry, the maximum number
// of attempts is reached, or ctx ends. It returns the error of the last attempt. It
// does not start a backoff that would end after the deadline of ctx.
func (c *Client) retry(ctx context.Context, attempt func() error, decide func(error) retryDecision) error {
	var lastErr error
	attemptOnce := func() (struct{}, error) {
		lastErr = attempt()
		if lastErr == nil {
			return struct{}{}, nil
		}
		next := decide(lastErr)
		switch {
		case !next.retry:
			return struct{}{}, backoff.Permanent(lastErr)
		case next.delay > 0:
			return struct{}{}, &backoff.RetryAfterError{Duration: next.delay}
		}
		return struct{}{}, lastErr
	}
	_, err := backoff.Retry(ctx, attemptOnce, c.retryOptions(ctx)...)
	if err != nil {
		return lastErr
	}
	return nil
}

func (c *Client) retryOptions(ctx context.Context) []backoff.RetryOption {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = c.cfg.Backoff
	policy.Multiplier = backoffMultiplier
	policy.MaxInterval = maxBackoff
	options := []backoff.RetryOption{backoff.WithBackOff(policy), backoff.WithMaxTries(c.cfg.MaxAttempts)}
	if end, ok := ctx.Deadline(); ok {
		options = append(options, backoff.WithMaxElapsedTime(max(time.Until(end), 1)))
	}
	return options
}

// doIdempotent makes a call that is safe to retry: one that reads, one that carries a
// write ID, or the cancellation of a job.
func (c *Client) doIdempotent(ctx context.Context, call *apiCall, reply any) error {
	var lost bool
	attempt := func() error {
		err := c.sendToAnyEntry(ctx, call, reply)
		lost = lost || isResponseLost(err)
		if c.newIDOnRetry && call.query.Has(paramWriteID) {
			call.query.Set(paramWriteID, v1.NewWriteID())
		}
		return err
	}
	err := c.retry(ctx, attempt, decideIdempotent)
	return c.finalError(call, lost, err)
}

// finalError converts the error of the last attempt to the error that the method
// returns. Once a response was lost, a failure of a later attempt does not tell
// whether the lost one took effect. The exception is a conflict: if the first
// attempt of a write had taken effect, its retry would not conflict.
func (c *Client) finalError(call *apiCall, lost bool, err error) error {
	if err == nil {
		return nil
	}
	if call.readOnly() {
		if isResponseLost(err) {
			return &UnreachableError{Entries: c.cfg.Entries, Err: err}
		}
		return err
	}
	var refusal *v1.Refusal
	if !lost || errors.As(err, &refusal) && refusal.Reason == state.ReasonConflict {
		return err
	}
	return &OutcomeUnknownError{Call: call.name(), Job: call.jobID, WriteID: call.writeID, Err: err}
}

func isResponseLost(err error) bool {
	var lost *lostResponseError
	return errors.As(err, &lost)
}

func isUnreachable(err error) bool {
	var unreachable *UnreachableError
	return errors.As(err, &unreachable)
}

// decideIdempotent retries after a lost response, an unreachable entry, and a refusal
// that sets a retry time. All other errors are final.
func decideIdempotent(err error) retryDecision {
	var refusal *v1.Refusal
	if errors.As(err, &refusal) {
		return retryDecision{retry: refusal.RetryAfterMS > 0, delay: refusal.RetryAfter()}
	}
	return retryDecision{retry: isResponseLost(err) || isUnreachable(err)}
}
