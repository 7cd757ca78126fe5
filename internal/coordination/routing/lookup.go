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

// callOwner makes an idempotent call to the owner of a shard. It retries until there is
// a response or the retry budget is exhausted.
func (r *Router) callOwner(ctx context.Context, shard coordination.ShardID, id state.JobID, wait time.Duration, local localCall, remote remoteCall) (coordination.JobStatus, error) {
	attempts := r.limiter.Begin(r.cfg.Retries)
	return r.callOwnerWith(ctx, attempts, shard, id, wait, local, remote)
}

func (r *Router) callOwnerWith(ctx context.Context, attempts *retry.Attempts, shard coordination.ShardID, id state.JobID, wait time.Duration, local localCall, remote remoteCall) (coordination.JobStatus, error) {
	search := r.newSearch(shard)
	for {
		status, err := r.callOwnerOnce(ctx, search, wait, local, remote)
		if err == nil {
			return status, nil
		}
		if refusal, ok := asRefusal(err); ok && !retryElsewhere(refusal) {
			return coordination.JobStatus{}, refusal
		}
		var final error
		switch {
		case errors.Is(err, errNoOwner):
			final = err
		case notAccepted(err):
			final = search.backOff(ctx)
		default:
			search.restart()
			final = attempts.Next(ctx)
		}
		if final != nil {
			return coordination.JobStatus{}, r.statusUnknown(shard, id, err)
		}
	}
}

func (r *Router) callOwnerOnce(ctx context.Context, search *ownerSearch, wait time.Duration, local localCall, remote remoteCall) (coordination.JobStatus, error) {
	loc, err := search.locate(ctx)
	if err != nil {
		return coordination.JobStatus{}, err
	}
	if loc.local {
		return local(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+r.cfg.CallTimeout)
	defer cancel()
	status, err := remote(ctx, loc.address)
	if err != nil {
		return status, wrap(err, "ask "+loc.address)
	}
	return status, nil
}

// statusUnknown is the refusal returned if no owner of the job's shard responds.
func (r *Router) statusUnknown(shard coordination.ShardID, id state.JobID, cause error) *state.Refusal {
	refusal := r.unreachable(shard, cause)
	refusal.Verdict = state.Unknown
	refusal.Remedy = "ask for job " + string(id) + " again"
	return refusal
}

// lookUp asks the owner for the outcome of a non-idempotent job after a call without a
// response. It never sends the job again, as that could run it twice.
func (r *Router) lookUp(ctx context.Context, c *call, cause error) (coordination.JobStatus, error) {
	ctx, span := r.tracer.Start(ctx, "look up outcome")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, r.cfg.LookupTimeout+c.submission.Wait)
	defer cancel()
	wait := max(c.submission.Wait-time.Since(c.started), 0)
	id, team := c.submission.ID, c.submission.Team
	local := func(ctx context.Context) (coordination.JobStatus, error) {
		return r.local.Get(ctx, c.shard, team, id, wait)
	}
	remote := func(ctx context.Context, address string) (coordination.JobStatus, error) {
		return r.peers.Get(ctx, address, team, id, wait)
	}
	attempts := r.limiter.Begin(max(c.attempts.Left(), 1))
	status, err := r.callOwnerWith(ctx, attempts, c.shard, id, wait, local, remote)
	if err == nil {
		return status, nil
	}
	if refusal, ok := asRefusal(err); ok && refusal.Verdict == state.HasRun {
		return coordination.JobStatus{}, refusal
	}
	return coordination.JobStatus{}, r.outcomeUnknown(id, cause)
}
