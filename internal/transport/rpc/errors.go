package rpc

import (
	"errors"
	"fmt"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
)

// Errors of a call. The outcome of the call is unknown unless the error wraps
// coordination.ErrNotSent.
var (
	// ErrProbeTimeout is returned when a connection was closed because the peer did
	// not answer a probe within HeartbeatTimeout.
	ErrProbeTimeout = errors.New("rpc: the connection went silent; ask the owner what became of the call")
	// ErrConnectionLost is returned when the connection failed during the call.
	ErrConnectionLost = errors.New("rpc: the connection broke during the call; ask the owner what became of it")
	// ErrFrameTooLarge is returned when a message exceeds the size limit.
	ErrFrameTooLarge = errors.New("rpc: the message exceeds the frame limit; send less at once")
	// ErrClosed is returned when the client has been closed.
	ErrClosed = errors.New("rpc: the client is closed; the entry is stopping")
)

// VersionError reports that the two ends of a connection use different protocol versions.
// The call was not sent.
type VersionError struct {
	Address string
	Local   uint16
	Remote  uint16
}

// Error describes the mismatch and the remedy.
func (e *VersionError) Error() string {
	return fmt.Sprintf("rpc: %s speaks protocol version %d, not %d; finish the rolling upgrade of the entries", e.Address, e.Remote, e.Local)
}

// Unwrap returns coordination.ErrNotSent: no call is sent before the versions match.
func (e *VersionError) Unwrap() error { return coordination.ErrNotSent }

// RemoteError is an error returned by the peer that is not a refusal. The outcome of the
// call is unknown.
type RemoteError struct {
	Address string
	Message string
}

// Error returns the peer's message and the remedy.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("rpc: %s failed: %s; ask the owner what became of the call", e.Address, e.Message)
}

// MismatchError reports that a reply was about another job than the call. The outcome of
// the call is unknown.
type MismatchError struct {
	Address   string
	Want, Got state.JobID
}

// Error describes the mismatch and the remedy.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("rpc: %s answered about job %s, not %s; ask the owner what became of the call", e.Address, e.Got, e.Want)
}

// notSent wraps cause with coordination.ErrNotSent, unless it wraps that already.
func notSent(cause error) error {
	if errors.Is(cause, coordination.ErrNotSent) {
		return cause
	}
	return fmt.Errorf("%w: %w", coordination.ErrNotSent, cause)
}
