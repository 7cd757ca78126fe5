package apiclient

import (
	"fmt"
	"strings"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
)

// ConfigError reports an invalid client configuration.
type ConfigError struct {
	Problem string
}

// Error returns the problem and its remedy.
func (e *ConfigError) Error() string {
	return e.Problem + "; give the IP:port of one or more entries or of the balancer"
}

// UnreachableError reports that no entry responded. The call changed nothing and ran
// no job.
type UnreachableError struct {
	Entries []string
	// Err is the failure at the entry that was tried last.
	Err error
}

// Error returns the addresses, the last failure and the remedy.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no entry responded at %s: %v; check the addresses and that an entry is ready", strings.Join(e.Entries, ", "), e.Err)
}

// Unwrap returns the failure at the entry that was tried last.
func (e *UnreachableError) Unwrap() error { return e.Err }

// OutcomeUnknownError reports that a call may or may not have taken effect.
type OutcomeUnknownError struct {
	// Call is the HTTP method and path of the call.
	Call string
	// Job is the ID of the submitted or cancelled job; empty if the call had none.
	Job state.JobID
	// WriteID is the write ID of an operator's write; empty for other calls.
	WriteID string
	// Err is how the last attempt ended.
	Err error
}

// Error returns the call, the last failure and the remedy.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("the outcome of %s is unknown: %v; %s", e.Call, e.Err, e.remedy())
}

func (e *OutcomeUnknownError) remedy() string {
	switch {
	case e.Job != "":
		return "ask for the status of job " + string(e.Job)
	case e.WriteID != "":
		return "read the object again before retrying the write (write ID " + e.WriteID + ")"
	}
	return "submit again only if the job is idempotent"
}

// Unwrap returns the error of the last attempt.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// WaitTimeoutError reports that the wait for a job ended before the job did.
type WaitTimeoutError struct {
	// Last is the last status that was read; only its ID is set if there is none.
	Last v1.JobStatus
	Err  error
}

// Error returns the job, its last known state and the remedy.
func (e *WaitTimeoutError) Error() string {
	last := string(e.Last.State)
	if last == "" {
		last = "not known"
	}
	return fmt.Sprintf("timed out waiting for job %s to end, its last known state is %s; wait again with a longer timeout", e.Last.ID, last)
}

// Unwrap returns the error that ended the wait.
func (e *WaitTimeoutError) Unwrap() error { return e.Err }

// notSentError reports that an entry could not be dialled, so that nothing was sent.
type notSentError struct{ err error }

func (e *notSentError) Error() string { return e.err.Error() }

func (e *notSentError) Unwrap() error { return e.err }

// lostResponseError reports that a call was sent, but its response is missing,
// truncated, or not from an entry.
type lostResponseError struct{ err error }

func (e *lostResponseError) Error() string { return "the response was lost: " + e.err.Error() }

func (e *lostResponseError) Unwrap() error { return e.err }
