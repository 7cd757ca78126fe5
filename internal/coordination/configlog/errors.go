package configlog

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

// ErrStopped says that the follower does not run.
var ErrStopped = errors.New("configlog: the follower has stopped; write through another entry")

// ErrQueueFull says that too many writes wait for the log.
var ErrQueueFull = errors.New("configlog: too many writes wait for the log; repeat the write later with the same ID")

// UnavailableError says that a write was not seen in the stream in time.
type UnavailableError struct {
	// WriteID is the ID to repeat the write with.
	WriteID string
	// Written is NotRun when the record was never sent to the log, and
	// Unknown when it may yet take effect.
	Written state.Verdict
	// RetryAfter is when to repeat the write.
	RetryAfter time.Duration
	// Cause is the last error of the log service.
	Cause error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("configlog: write %s did not reach the log in time (not written: %s); repeat it with the same ID after %s: %v",
		e.WriteID, e.Written, e.RetryAfter, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// oneLine keeps a value on the line of its log event.
func oneLine(err error) string {
	return strings.NewReplacer("\n", `\n`, "\r", `\r`).Replace(err.Error())
}
