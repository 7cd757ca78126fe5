package routing

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
)

// NotOwner returns the refusal of an entry that was called for a shard it does not own.
// The work was not run.
func NotOwner(shard coordination.ShardID, retryAfter time.Duration) *state.Refusal {
	return &state.Refusal{
		Reason:     state.ReasonNoOwner,
		Verdict:    state.NotRun,
		Detail:     "this entry does not own shard " + string(shard),
		Remedy:     "ask the shard's owner",
		RetryAfter: retryAfter,
	}
}

func invalidID(id state.JobID) *state.Refusal {
	return &state.Refusal{
		Reason:  state.ReasonInvalid,
		Verdict: state.NotRun,
		Detail:  "job ID " + string(id) + " has no home domain and UUIDv7",
		Remedy:  "ask an entry for IDs, or submit without one",
	}
}

func deadlinePassed() *state.Refusal {
	return &state.Refusal{
		Reason:  state.ReasonDeadline,
		Verdict: state.NotRun,
		Detail:  "the deadline passes before the job can reach its owner",
		Remedy:  "submit with a later deadline",
	}
}

// unreachable is the refusal of work that no owner has accepted.
func (r *Router) unreachable(shard coordination.ShardID, cause error) *state.Refusal {
	refusal := &state.Refusal{
		Reason:     state.ReasonNoOwner,
		Verdict:    state.NotRun,
		Detail:     "no owner of shard " + string(shard) + " can be reached: " + cause.Error(),
		Remedy:     "submit again with the same ID",
		RetryAfter: r.cfg.RetryAfter,
	}
	if shard.Domain() != r.domain {
		refusal.Reason = state.ReasonHomeUnreachable
		refusal.Remedy = "submit again later, or with an ID of domain " + string(r.domain)
	}
	return refusal
}

// outcomeUnknown is the refusal of work that was sent without getting a response.
func (r *Router) outcomeUnknown(id state.JobID, cause error) *state.Refusal {
	return &state.Refusal{
		Reason:     state.ReasonOutcomeUnknown,
		Verdict:    state.Unknown,
		Detail:     "the answer of the owner was lost: " + cause.Error(),
		Remedy:     "ask for the status of job " + string(id),
		RetryAfter: r.cfg.RetryAfter,
	}
}

// asRefusal returns the refusal in the chain of an error, if there is one.
func asRefusal(err error) (*state.Refusal, bool) {
	var refusal *state.Refusal
	ok := errors.As(err, &refusal)
	return refusal, ok
}

// retryElsewhere reports whether a refusal concerns the called entry rather than the
// job, so that another owner may accept the job.
func retryElsewhere(refusal *state.Refusal) bool {
	if refusal.Verdict != state.NotRun {
		return false
	}
	return refusal.Reason == state.ReasonNoOwner || refusal.Reason == state.ReasonShuttingDown
}

func wrap(err error, what string) error { return eris.Wrap(err, what) }
