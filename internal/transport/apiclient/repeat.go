package apiclient

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
)

// backoffMultiplier is the growth of the pause between two attempts.
const backoffMultiplier = 2

// verdict tells what follows from a failed attempt.
type verdict struct {
	again bool
	// after is the pause that the entry asked for; 0 for the client's own.
	after time.Duration
}

// repeat calls attempt until it succeeds, judge says that it is final, or the
// tries or the time of ctx are used up. It returns the error of the last
// attempt. A pause that would end after ctx is not begun.
func (c *Client) repeat(ctx context.Context, attempt func() error, judge func(error) verdict) error {
	var last error
	operation := func() (struct{}, error) {
		last = attempt()
		if last == nil {
			return struct{}{}, nil
		}
		next := judge(last)
		switch {
		case !next.again:
			return struct{}{}, backoff.Permanent(last)
		case next.after > 0:
			return struct{}{}, &backoff.RetryAfterError{Duration: next.after}
		}
		return struct{}{}, last
	}
	_, err := backoff.Retry(ctx, operation, c.retryOptions(ctx)...)
	if err != nil {
		return last
	}
	return nil
}

func (c *Client) retryOptions(ctx context.Context) []backoff.RetryOption {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = c.cfg.Backoff
	pause.Multiplier = backoffMultiplier
	pause.MaxInterval = maxBackoff
	options := []backoff.RetryOption{backoff.WithBackOff(pause), backoff.WithMaxTries(c.cfg.Tries)}
	if end, ok := ctx.Deadline(); ok {
		options = append(options, backoff.WithMaxElapsedTime(max(time.Until(end), 1)))
	}
	return options
}

// do makes a call whose repeat is harmless: one that reads, one that carries a
// write ID, or the cancellation of a job.
func (c *Client) do(ctx context.Context, do *call, reply any) error {
	var lost bool
	attempt := func() error {
		err := c.exchange(ctx, do, reply)
		lost = lost || isLost(err)
		if c.newIDs && do.query.Has(paramWriteID) {
			do.query.Set(paramWriteID, v1.NewWriteID())
		}
		return err
	}
	err := c.repeat(ctx, attempt, judgeHarmless)
	return c.settle(do, lost, err)
}

// settle turns the last error of a call into the one that its caller sees. Once
// an answer was lost, a later failure says nothing about the first attempt,
// except a conflict: the repeat of a write that took effect does not conflict.
func (c *Client) settle(do *call, lost bool, err error) error {
	if err == nil {
		return nil
	}
	if do.reads() {
		if isLost(err) {
			return &UnreachableError{Entries: c.cfg.Entries, Err: err}
		}
		return err
	}
	var refusal *v1.Refusal
	if !lost || errors.As(err, &refusal) && refusal.Reason == state.ReasonConflict {
		return err
	}
	return &OutcomeUnknownError{Call: do.name(), Job: do.job, WriteID: do.write, Err: err}
}

func isLost(err error) bool {
	var lost *lostError
	return errors.As(err, &lost)
}

func isUnreachable(err error) bool {
	var unreachable *UnreachableError
	return errors.As(err, &unreachable)
}

// judgeHarmless repeats after anything but a refusal that does not say when to
// come back.
func judgeHarmless(err error) verdict {
	var refusal *v1.Refusal
	if errors.As(err, &refusal) {
		return verdict{again: refusal.RetryAfterMS > 0, after: refusal.RetryAfter()}
	}
	return verdict{again: isLost(err) || isUnreachable(err)}
}
