package configlog

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

// ErrStopped is returned when the follower no longer runs.
var ErrStopped = errors.New("configlog: the follower has stopped; write through another entry")

// ErrQueueFull is returned by Write when too many records are queued for an append.
var ErrQueueFull = errors.New("configlog: too many writes wait for the log; repeat the write later with the same ID")

// UnavailableError is returned by Write when the record was not read back from the
// stream within the write timeout.
type UnavailableError struct {
	// WriteID is the ID with which to repeat the write.
	WriteID string
	// Written is NotRun if the record was never sent to the log, and Unknown if it
	// may still take effect.
	Written state.Verdict
	// RetryAfter is how long to wait before repeating the write.
	RetryAfter time.Duration
	// Cause is the last error of the log service, or the error that ended the wait.
	Cause error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("configlog: write %s was not read back from the log in time (written: %s); repeat it with the same ID after %s: %v",
		e.WriteID, e.Written, e.RetryAfter, e.Cause)
}

// Unwrap returns Cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// singleLine returns the text of an error with line breaks escaped, so that it stays
// on one line of the log.
func singleLine(err error) string {
	return strings.NewReplacer("\n", `\n`, "\r", `\r`).Replace(err.Error())
}
