package state

import (
	"fmt"
	"time"
)

// Verdict says whether refused work has run.
type Verdict string

// The verdicts. NotRun is a promise: no task of the job ran or will run.
const (
	NotRun  Verdict = "true"
	HasRun  Verdict = "false"
	Unknown Verdict = "unknown"
)

// Reason is the typed cause of a refusal.
type Reason string

// The reasons, by verdict. Not run: all but ReasonOutcomeUnknown,
// ReasonDuplicate and ReasonTaskFailed.
const (
	// ReasonNeverRunnable: no VM of the service is large enough.
	ReasonNeverRunnable Reason = "never_runnable"
	// ReasonOverLimit: the job alone exceeds the team's upper limit.
	ReasonOverLimit Reason = "over_limit"
	// ReasonRateExceeded: the team submits faster than its contract allows.
	ReasonRateExceeded Reason = "rate_exceeded"
	// ReasonQueueFull: the team's queue in this domain is full.
	ReasonQueueFull Reason = "queue_full"
	// ReasonDeadline: the deadline passed or can't be met.
	ReasonDeadline Reason = "deadline"
	// ReasonNoOwner: no owner of the domain's upstreams can be reached.
	ReasonNoOwner Reason = "no_owner"
	// ReasonHomeUnreachable: a non-idempotent request's home can't be reached.
	ReasonHomeUnreachable Reason = "home_unreachable"
	// ReasonShuttingDown: the entry or owner is stopping.
	ReasonShuttingDown Reason = "shutting_down"
	// ReasonWithdrawn: the team's contract or key was withdrawn.
	ReasonWithdrawn Reason = "withdrawn"
	// ReasonNotPermitted: the contract does not cover this service, class or
	// queue.
	ReasonNotPermitted Reason = "not_permitted"
	// ReasonRetriesExhausted: every start was refused and the retry budget is
	// used up.
	ReasonRetriesExhausted Reason = "retries_exhausted"
	// ReasonConflict: the ID is in use for other content.
	ReasonConflict Reason = "conflict"
	// ReasonInvalid: a field of the message, or the ID, is not acceptable.
	ReasonInvalid Reason = "invalid"
	// ReasonCancelled: the caller cancelled the job before it started.
	ReasonCancelled Reason = "cancelled"
	// ReasonStorage: the job could not be recorded in the log service.
	ReasonStorage Reason = "storage_unavailable"
	// ReasonOutcomeUnknown: the job may or may not have run.
	ReasonOutcomeUnknown Reason = "outcome_unknown"
	// ReasonNotFound: the team has no job with this ID here. It says nothing
	// about whether the job ran.
	ReasonNotFound Reason = "not_found"
	// ReasonTaskFailed: the job ran and failed.
	ReasonTaskFailed Reason = "task_failed"
)

// Refusal is the typed answer to work that did not succeed.
type Refusal struct {
	Reason  Reason
	Verdict Verdict
	// Detail says what happened, with the figures that matter.
	Detail string
	// Remedy says what the caller can do.
	Remedy string
	// RetryAfter is when to come back; 0 when coming back is no use.
	RetryAfter time.Duration
}

// Error renders the refusal with its remedy.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (not run: %s): %s; %s", r.Reason, r.Verdict, r.Detail, r.Remedy)
}
