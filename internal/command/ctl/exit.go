package ctl

import (
	"errors"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/transport/apiclient"
)

// The exit codes of samphirectl.
const (
	// ExitSuccess: the command did what it was asked.
	ExitSuccess = 0
	// ExitInvalid: wrong usage or invalid input. Nothing was changed.
	ExitInvalid = 1
	// ExitNotRun: the work or the write was refused and did not take effect.
	ExitNotRun = 2
	// ExitUnknown: the work or the write may or may not have taken effect.
	ExitUnknown = 3
	// ExitJobFailed: the job ran and did not succeed.
	ExitJobFailed = 4
	// ExitConflict: the object has another version, or the ID is in use.
	ExitConflict = 5
	// ExitNotAuthorised: the key is not valid or not allowed to do this.
	ExitNotAuthorised = 6
	// ExitUnreachable: no entry answered. Nothing was changed.
	ExitUnreachable = 7
	// ExitTimeout: the time to wait was over first.
	ExitTimeout = 8
)

// exitCoder is an error that knows its exit code.
type exitCoder interface{ exitCode() int }

// exitCode returns the exit code of an error that a command ended with.
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

// refusalCode returns the exit code of a refusal. The verdict comes first for
// whatever names a job: a script must not take an unknown outcome for less.
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

// usageError says that a command line or an input file is wrong.
type usageError struct {
	problem string
	remedy  string
}

// Error renders the error with its remedy.
func (e *usageError) Error() string { return e.problem + "; " + e.remedy }

func (e *usageError) exitCode() int { return ExitInvalid }

// jobError says that a job ended without success.
type jobError struct {
	status v1.JobStatus
}

// Error renders the end of the job with its remedy.
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

// jobOutcome returns the error of a job that ended without success.
func jobOutcome(status v1.JobStatus) error {
	if !status.State.Ended() || status.State == state.JobSucceeded {
		return nil
	}
	return &jobError{status: status}
}
