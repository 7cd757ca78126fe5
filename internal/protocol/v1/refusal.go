package v1

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

// Refusal reasons that originate in the API layer.
const (
	// ReasonInvalid: a field of the message is invalid.
	ReasonInvalid = state.ReasonInvalid
	// ReasonTooLarge: the request body exceeds the size limit.
	ReasonTooLarge state.Reason = "too_large"
	// ReasonUnauthenticated: the key is missing or not valid.
	ReasonUnauthenticated state.Reason = "unauthenticated"
	// ReasonMethod: the path does not support the HTTP method.
	ReasonMethod state.Reason = "method_not_allowed"
	// ReasonNotReady: the entry has not loaded the configuration yet.
	ReasonNotReady state.Reason = "not_ready"
	// ReasonInternal: the entry failed while handling the call.
	ReasonInternal state.Reason = "internal"
)

// Refusal is the body of every response that is not 2xx, and a part of JobStatus.
type Refusal struct {
	Reason state.Reason `json:"reason"`
	// NotRun is "true" if no task of the job ran or will run, "false" if one ran,
	// "unknown" otherwise.
	NotRun state.Verdict `json:"not_run"`
	Detail string        `json:"detail"`
	Remedy string        `json:"remedy"`
	// RetryAfterMS is the time after which to retry; 0 if a retry would not help.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Field is the name of the invalid field.
	Field string `json:"field,omitempty"`
	// ID is the job that the refusal refers to.
	ID state.JobID `json:"id,omitempty"`
	// CurrentVersion is the current version of the object that a write conflicts
	// with.
	CurrentVersion *int64 `json:"current_version,omitempty"`
}

// Error returns the refusal as text, with its remedy.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (not run: %s): %s; %s", r.Reason, r.NotRun, r.Detail, r.Remedy)
}

// RetryAfter returns the time after which to retry; 0 if a retry would not help.
func (r *Refusal) RetryAfter() time.Duration { return milliseconds(r.RetryAfterMS) }

// NewRefusal converts a refusal of the state layer. The retry time is rounded up to
// whole milliseconds.
func NewRefusal(r *state.Refusal) Refusal {
	return Refusal{
		Reason:       r.Reason,
		NotRun:       r.Verdict,
		Detail:       r.Detail,
		Remedy:       r.Remedy,
		RetryAfterMS: (r.RetryAfter + time.Millisecond - 1).Milliseconds(),
	}
}

// State converts a refusal to the type of the state layer.
func (r *Refusal) State() *state.Refusal {
	return &state.Refusal{
		Reason:     r.Reason,
		Verdict:    r.NotRun,
		Detail:     r.Detail,
		Remedy:     r.Remedy,
		RetryAfter: r.RetryAfter(),
	}
}

// ConflictError reports that the base version of a write is not the current version
// of the object. Nothing was changed.
type ConflictError struct {
	// Object names the object of the write, such as "contract fitting-north".
	Object string
	// Current is the current version of the object; NoVersion if it does not exist.
	Current int64
}

// Error returns the conflict as text, with its remedy.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s has version %d now; read it again and repeat the write with that base version", e.Object, e.Current)
}

// RefusalOf converts an error of a service to a refusal. For an error of another type
// than state.Refusal, FieldError and ConflictError the outcome is unknown.
func RefusalOf(err error) Refusal {
	var refusal *state.Refusal
	if errors.As(err, &refusal) {
		return NewRefusal(refusal)
	}
	var field *FieldError
	if errors.As(err, &field) {
		return Refusal{Reason: ReasonInvalid, NotRun: state.NotRun, Field: field.Field, Detail: field.Field + " " + field.Problem, Remedy: field.Remedy}
	}
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return conflictRefusal(conflict)
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return Refusal{
			Reason: state.ReasonOutcomeUnknown,
			NotRun: state.Unknown,
			Detail: "the call ended before there was an answer",
			Remedy: "ask for the status of the job or object; repeat a write with the same write ID",
		}
	}
	return Refusal{
		Reason: ReasonInternal,
		NotRun: state.Unknown,
		Detail: "the entry failed while it handled the call",
		Remedy: "ask for the status of the job or object; repeat only what is idempotent; tell the operators the request ID",
	}
}

func conflictRefusal(e *ConflictError) Refusal {
	current := e.Current
	return Refusal{
		Reason:         state.ReasonConflict,
		NotRun:         state.NotRun,
		Detail:         fmt.Sprintf("%s has version %d now", e.Object, current),
		Remedy:         "read it again and repeat the write with that base version",
		CurrentVersion: &current,
	}
}
