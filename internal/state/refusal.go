package state

import (
	"fmt"
	"time"
)

// Verdict states whether refused work has run. Its values are those of the
// message field not_run.
type Verdict string

// The verdicts. NotRun guarantees that no task of the job has run or will run.
const (
	NotRun  Verdict = "true"
	HasRun  Verdict = "false"
	Unknown Verdict = "unknown"
)

// Reason is the typed cause of a refusal.
type Reason string

// The reasons of a refusal. All but ReasonOutcomeUnknown, ReasonNotFound and
// ReasonTaskFailed usually come with the verdict NotRun; the verdict of the
// refusal itself is decisive.
const (
	// ReasonNeverRunnable: no VM of the service is large enough for a task.
	ReasonNeverRunnable Reason = "never_runnable"
	// ReasonOverLimit: the job by itself exceeds the team's limit.
	ReasonOverLimit Reason = "over_limit"
	// ReasonRateExceeded: the team submits faster than its contract allows.
	ReasonRateExceeded Reason = "rate_exceeded"
	// ReasonQueueFull: the team's queue in this domain is full.
	ReasonQueueFull Reason = "queue_full"
	// ReasonDeadline: the deadline has passed or can't be met.
	ReasonDeadline Reason = "deadline"
	// ReasonNoOwner: no owner of the domain's upstreams is reachable.
	ReasonNoOwner Reason = "no_owner"
	// ReasonHomeUnreachable: the home domain of a non-idempotent request is
	// unreachable.
	ReasonHomeUnreachable Reason = "home_unreachable"
	// ReasonShuttingDown: the entry or the owner is shutting down.
	ReasonShuttingDown Reason = "shutting_down"
	// ReasonWithdrawn: the team's contract or key was withdrawn.
	ReasonWithdrawn Reason = "withdrawn"
	// ReasonNotPermitted: the contract does not cover this service, class or
	// queue.
	ReasonNotPermitted Reason = "not_permitted"
	// ReasonRetriesExhausted: every start was rejected and the retry budget is
	// exhausted.
	ReasonRetriesExhausted Reason = "retries_exhausted"
	// ReasonConflict: the ID is already in use with different content.
	ReasonConflict Reason = "conflict"
	// ReasonInvalid: a field of the message, or the ID, is invalid.
	ReasonInvalid Reason = "invalid"
	// ReasonEvacuated: the failure domain is evacuated.
	ReasonEvacuated Reason = "evacuated"
	// ReasonCancelled: the caller cancelled the job before it started.
	ReasonCancelled Reason = "cancelled"
	// ReasonStorage: the job could not be written to the log service.
	ReasonStorage Reason = "storage_unavailable"
	// ReasonOutcomeUnknown: the job may or may not have run.
	ReasonOutcomeUnknown Reason = "outcome_unknown"
	// ReasonNotFound: the team has no job with this ID here. It does not say
	// whether the job ran.
	ReasonNotFound Reason = "not_found"
	// ReasonTaskFailed: the job ran and failed.
	ReasonTaskFailed Reason = "task_failed"
)

// Refusal is the error returned for work that did not succeed.
type Refusal struct {
	Reason  Reason
	Verdict Verdict
	// Detail describes what happened, including the relevant values.
	Detail string
	// Remedy describes what the caller can do.
	Remedy string
	// RetryAfter is how long to wait before a retry, or 0 if a retry can't help.
	RetryAfter time.Duration
}

// Error returns the reason, verdict, detail and remedy as one line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (not run: %s): %s; %s", r.Reason, r.Verdict, r.Detail, r.Remedy)
}
