package apiclient

import (
	"fmt"
	"strings"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
)

// ConfigError says that a client can't be made from its configuration.
type ConfigError struct {
	Problem string
}

// Error renders the error with its remedy.
func (e *ConfigError) Error() string {
	return e.Problem + "; give the IP:port of one or more entries or of the balancer"
}

// UnreachableError says that no entry answered. Nothing was changed and no job
// was run by the call.
type UnreachableError struct {
	Entries []string
	// Err is the failure at the entry that was tried last.
	Err error
}

// Error renders the error with its remedy.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no entry answered at %s: %v; check the addresses and that an entry is ready", strings.Join(e.Entries, ", "), e.Err)
}

// Unwrap returns the failure at the entry that was tried last.
func (e *UnreachableError) Unwrap() error { return e.Err }

// OutcomeUnknownError says that a call may or may not have taken effect.
type OutcomeUnknownError struct {
	// Call is the method and path.
	Call string
	// Job is the job of a submission; empty when the call had no ID.
	Job state.JobID
	// WriteID identifies an operator's write.
	WriteID string
	// Err is how the last attempt ended.
	Err error
}

// Error renders the error with its remedy.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("the outcome of %s is unknown: %v; %s", e.Call, e.Err, e.remedy())
}

func (e *OutcomeUnknownError) remedy() string {
	switch {
	case e.Job != "":
		return "ask for the status of job " + string(e.Job)
	case e.WriteID != "":
		return "read the object again before repeating the write (write ID " + e.WriteID + ")"
	}
	return "submit again only if the work is idempotent"
}

// Unwrap returns how the last attempt ended.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// WaitTimeoutError says that the time to wait for a job was over first.
type WaitTimeoutError struct {
	// Last is the last status that was read; its ID is always set.
	Last v1.JobStatus
	Err  error
}

// Error renders the error with its remedy.
func (e *WaitTimeoutError) Error() string {
	last := string(e.Last.State)
	if last == "" {
		last = "not known"
	}
	return fmt.Sprintf("job %s has not ended in time, its state is %s; wait for it again with a longer timeout", e.Last.ID, last)
}

// Unwrap returns why the wait ended.
func (e *WaitTimeoutError) Unwrap() error { return e.Err }

// notSentError says that an entry could not be dialled.
type notSentError struct{ err error }

func (e *notSentError) Error() string { return e.err.Error() }

func (e *notSentError) Unwrap() error { return e.err }

// lostError says that the answer of a call that was sent is missing, cut short
// or not that of an entry.
type lostError struct{ err error }

func (e *lostError) Error() string { return "the answer was lost: " + e.err.Error() }

func (e *lostError) Unwrap() error { return e.err }
