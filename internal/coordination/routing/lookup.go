package routing

import (
	"context"
	"errors"
	"time"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/coordination/retry"
	"github.com/samphirerail/samphirerail/internal/state"
)

type localCall func(ctx context.Context) (coordination.JobStatus, error)

type remoteCall func(ctx context.Context, address string) (coordination.JobStatus, error)

// ask makes a call that may be repeated without harm, until there is an answer
// or the retry budget is used up.
func (r *Router) ask(ctx context.Context, shard coordination.ShardID, id state.JobID, wait time.Duration, local localCall, remote remoteCall) (coordination.JobStatus, error) {
	attempts := r.limiter.Begin(r.cfg.Retries)
	return r.askWith(ctx, attempts, shard, id, wait, local, remote)
}

func (r *Router) askWith(ctx context.Context, attempts *retry.Attempts, shard coordination.ShardID, id state.JobID, wait time.Duration, local localCall, remote remoteCall) (coordination.JobStatus, error) {
	search := r.newSearch(shard)
	for {
		status, err := r.askOnce(ctx, search, wait, local, remote)
		if err == nil {
			return status, nil
		}
		if refusal, ok := asRefusal(err); ok && !passing(refusal) {
			return coordination.JobStatus{}, refusal
		}
		var final error
		switch {
		case errors.Is(err, errNoOwner):
			final = err
		case notTaken(err):
			final = search.pause(ctx)
		default:
			search.restart()
			final = attempts.Next(ctx)
		}
		if final != nil {
			return coordination.JobStatus{}, r.statusUnknown(shard, id, err)
		}
	}
}

func (r *Router) askOnce(ctx context.Context, search *search, wait time.Duration, local localCall, remote remoteCall) (coordination.JobStatus, error) {
	p, err := search.locate(ctx)
	if err != nil {
		return coordination.JobStatus{}, err
	}
	if p.local {
		return local(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+r.cfg.CallTimeout)
	defer cancel()
	status, err := remote(ctx, p.address)
	if err != nil {
		return status, wrap(err, "ask "+p.address)
	}
	return status, nil
}

// statusUnknown is the answer when nobody can be asked about a job.
func (r *Router) statusUnknown(shard coordination.ShardID, id state.JobID, cause error) *state.Refusal {
	refusal := r.unreachable(shard, cause)
	refusal.Verdict = state.Unknown
	refusal.Remedy = "ask for job " + string(id) + " again"
	return refusal
}

// lookUp finds the outcome of a non-idempotent job whose answer was lost. It
// never sends the job again.
func (r *Router) lookUp(ctx context.Context, c *call, cause error) (coordination.JobStatus, error) {
	ctx, span := r.tracer.Start(ctx, "look up outcome")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, r.cfg.LookupTime+c.submission.Wait)
	defer cancel()
	wait := max(c.submission.Wait-time.Since(c.begun), 0)
	id, team := c.submission.ID, c.submission.Team
	local := func(ctx context.Context) (coordination.JobStatus, error) {
		return r.local.Get(ctx, c.shard, team, id, wait)
	}
	remote := func(ctx context.Context, address string) (coordination.JobStatus, error) {
		return r.peers.Get(ctx, address, team, id, wait)
	}
	attempts := r.limiter.Begin(max(c.attempts.Left(), 1))
	status, err := r.askWith(ctx, attempts, c.shard, id, wait, local, remote)
	if err == nil {
		return status, nil
	}
	if refusal, ok := asRefusal(err); ok && refusal.Verdict == state.HasRun {
		return coordination.JobStatus{}, refusal
	}
	return coordination.JobStatus{}, r.outcomeUnknown(id, cause)
}
