package rpc

import (
	"errors"
	"fmt"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
)

// The errors of a call. Unless errors.Is(err, coordination.ErrNotSent), the
// outcome of the call is unknown.
var (
	// ErrSilent says that a connection was closed because the peer did not
	// answer a probe in time.
	ErrSilent = errors.New("rpc: the connection went silent; ask the owner what became of the call")
	// ErrConnectionLost says that a connection broke during the call.
	ErrConnectionLost = errors.New("rpc: the connection broke during the call; ask the owner what became of it")
	// ErrFrameTooLarge says that a message exceeds the size limit.
	ErrFrameTooLarge = errors.New("rpc: the message exceeds the frame limit; send less at once")
	// ErrClosed says that the client was closed.
	ErrClosed = errors.New("rpc: the client is closed; the entry is stopping")
)

// VersionError says that the two ends speak different protocol versions. The
// call was not sent.
type VersionError struct {
	Address string
	Local   uint16
	Remote  uint16
}

// Error renders the mismatch with its remedy.
func (e *VersionError) Error() string {
	return fmt.Sprintf("rpc: %s speaks protocol version %d, not %d; finish the rolling upgrade of the entries", e.Address, e.Remote, e.Local)
}

// Unwrap marks the call as not sent.
func (e *VersionError) Unwrap() error { return coordination.ErrNotSent }

// RemoteError is an error of the peer that is not a refusal. The outcome of the
// call is unknown.
type RemoteError struct {
	Address string
	Message string
}

// Error renders the peer's message.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("rpc: %s failed: %s; ask the owner what became of the call", e.Address, e.Message)
}

// MismatchError says that a reply was about another job than the call. The
// outcome of the call is unknown.
type MismatchError struct {
	Address   string
	Want, Got state.JobID
}

// Error renders the mismatch with its remedy.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("rpc: %s answered about job %s, not %s; ask the owner what became of the call", e.Address, e.Got, e.Want)
}

// notSent joins a cause with coordination.ErrNotSent.
func notSent(cause error) error {
	if errors.Is(cause, coordination.ErrNotSent) {
		return cause
	}
	return fmt.Errorf("%w: %w", coordination.ErrNotSent, cause)
}
