package ctl

import (
	"errors"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/transport/apiclient"
)

// The exit codes of samphirectl.
const (
	// ExitSuccess means that the command succeeded.
	ExitSuccess = 0
	// ExitInvalid means wrong usage or invalid input. Nothing was changed.
	ExitInvalid = 1
	// ExitNotRun means that the job or the write was refused and had no effect.
	ExitNotRun = 2
	// ExitUnknown means that it is unknown whether the job or the write took effect.
	ExitUnknown = 3
	// ExitJobFailed means that the job ran and did not succeed.
	ExitJobFailed = 4
	// ExitConflict means that the object has another version than the base version, or
	// that the ID is in use.
	ExitConflict = 5
	// ExitNotAuthorised means that the key is invalid or lacks the permission.
	ExitNotAuthorised = 6
	// ExitUnreachable means that no entry was reachable. Nothing was changed.
	ExitUnreachable = 7
	// ExitTimeout means that the timeout expired before the command was complete.
	ExitTimeout = 8
)

// exitCoder is implemented by errors that determine the exit code.
type exitCoder interface{ exitCode() int }

// exitCode returns the exit code for the error that a command returned.
func exitCode(err error) int {
	var (
		coder       exitCoder
		refusal     *v1.Refusal
		unknown     *apiclient.OutcomeUnknownError
		unreachable *apiclient.UnreachableError
		timeout     *apiclient.WaitTimeoutError
	)
	switch {
	case err == nil:
		return ExitSuccess
	case errors.As(err, &coder):
		return coder.exitCode()
	case errors.As(err, &unknown):
		return ExitUnknown
	case errors.As(err, &timeout):
		return ExitTimeout
	case errors.As(err, &unreachable):
		return ExitUnreachable
	case errors.As(err, &refusal):
		return refusalCode(refusal)
	}
	return ExitInvalid
}

// refusalCode returns the exit code of a refusal. If the refusal names a job, an
// unknown outcome takes precedence over the reason, so that a script does not treat
// a job that may have run as one that was refused.
func refusalCode(r *v1.Refusal) int {
	if r.ID != "" && r.NotRun == state.Unknown {
		return ExitUnknown
	}
	switch r.Reason {
	case v1.ReasonInvalid, v1.ReasonTooLarge, v1.ReasonMethod:
		return ExitInvalid
	case v1.ReasonUnauthenticated, state.ReasonNotPermitted, state.ReasonWithdrawn:
		return ExitNotAuthorised
	case state.ReasonConflict:
		return ExitConflict
	default:
		return verdictCode(r.NotRun)
	}
}

func verdictCode(verdict state.Verdict) int {
	switch verdict {
	case state.NotRun:
		return ExitNotRun
	case state.HasRun:
		return ExitJobFailed
	default:
		return ExitUnknown
	}
}

// usageError reports an invalid command line or an unreadable input file.
type usageError struct {
	problem string
	remedy  string
}

// Error returns the problem with its remedy.
func (e *usageError) Error() string { return e.problem + "; " + e.remedy }

func (e *usageError) exitCode() int { return ExitInvalid }

// jobError reports that a job ended without success.
type jobError struct {
	status v1.JobStatus
}

// Error returns the final state of the job with the refusal or a remedy.
func (e *jobError) Error() string {
	text := "job " + string(e.status.ID) + " is " + string(e.status.State)
	if e.status.Refusal == nil {
		return text + "; run samphirectl explain to see why"
	}
	return text + ": " + e.status.Refusal.Error()
}

func (e *jobError) exitCode() int {
	if e.status.State == state.JobUnknown {
		return ExitUnknown
	}
	if e.status.State == state.JobRefused && e.status.Refusal == nil {
		return ExitNotRun
	}
	if e.status.Refusal != nil && e.status.State != state.JobFailed {
		return verdictCode(e.status.Refusal.NotRun)
	}
	return ExitJobFailed
}

// jobOutcome returns a *jobError if the job ended without success, otherwise nil.
func jobOutcome(status v1.JobStatus) error {
	if !status.State.Ended() || status.State == state.JobSucceeded {
		return nil
	}
	return &jobError{status: status}
}
