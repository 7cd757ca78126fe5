// Package peer carries calls between entries over net/rpc: queries to the owner, advice
// requests, and relayed calls to the log for entries that cannot reach the log
// themselves.
package peer

import (
	"context"
	"errors"
	"time"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

const (
	// serviceName is the net/rpc service name.
	serviceName = "Entry"
	// dialTimeout bounds a connection attempt. Peers are in the same region.
	dialTimeout = 500 * time.Millisecond
	// probeInterval is how often a pending call probes its connection. If a probe has
	// not been answered by the time the next one is due, and nothing else has arrived
	// meanwhile, the connection is closed.
	probeInterval = 400 * time.Millisecond
	// redialBackoff is how long calls to an address fail at once after a failed
	// connection attempt, so that callers do not wait for an unreachable entry.
	redialBackoff = 400 * time.Millisecond
	// acceptPause is the pause after a failed accept. Most such errors last until another
	// connection is closed.
	acceptPause = 100 * time.Millisecond
	// maxRelayTime bounds a call that is made on behalf of another entry. It is also the
	// default timeout of an advice request.
	maxRelayTime = 5 * time.Second
	// maxWatchTime bounds a call that watches this entry.
	maxWatchTime = 30 * time.Second
)

// Backend handles the calls of other entries. Its methods are called concurrently.
type Backend interface {
	// Phase returns the phase of a job, and false if the job is not known.
	Phase(ctx context.Context, id workload.JobID) (ledger.Phase, bool)
	// Advise requests advice for a step and returns the tickets.
	Advise(ctx context.Context, step workload.StepID, upstreams []workload.UpstreamID) (port.Tickets, error)
	// Owning reports whether this entry is the owner and can reach the log.
	Owning() bool
	// Nominate is called when the owner has released the ownership to this entry.
	Nominate(released ledger.Claim)
	// Record writes a record on behalf of another entry's caller. It returns
	// port.ErrNotOwner unless this entry is the owner.
	Record(ctx context.Context, r ledger.Record) error
	// Log returns the log as reached directly by this entry, without relaying.
	Log() port.Log
}

// Messages of the service, encoded with gob.
type (
	// PhaseArgs requests the phase of a job.
	PhaseArgs struct{ Job workload.JobID }
	// PhaseReply holds the phase of a job. Phase is valid only if Known is set.
	PhaseReply struct {
		Phase ledger.Phase
		Known bool
	}
	// AdviseArgs requests a call to the advice service, bounded by Timeout.
	AdviseArgs struct {
		Step      workload.StepID
		Upstreams []workload.UpstreamID
		Timeout   time.Duration
	}
	// AppendReply is the result of an append.
	AppendReply struct {
		Offset int64
		Fault  Fault
	}
	// ReadReply is the result of a read.
	ReadReply struct {
		Batch port.Batch
		Fault Fault
	}
)

// Fault carries a typed error across the wire. End is the end of the log, set for a
// conflict; RetryAfter is set for a refused job, and Text is its reason, or the error text
// of an error without a kind of its own.
type Fault struct {
	Kind       faultKind
	End        int64
	Text       string
	Cause      string
	RetryAfter time.Duration
}

type faultKind uint8

const (
	faultNone faultKind = iota
	faultNotDone
	faultFenced
	faultExpired
	faultConflict
	faultNotOwner
	faultUnknown
	faultRefused
	faultRejected
)

func faultOf(err error) Fault {
	var conflict *port.ConflictError
	var refused *port.RefusedError
	var rejected *port.RejectedError
	switch {
	case err == nil:
		return Fault{}
	case errors.As(err, &rejected):
		return Fault{Kind: faultRejected, Text: rejected.Reason}
	case errors.As(err, &refused):
		return Fault{Kind: faultRefused, Cause: refused.Cause, Text: refused.Reason, RetryAfter: refused.RetryAfter}
	case errors.Is(err, port.ErrNotDone):
		return Fault{Kind: faultNotDone}
	case errors.Is(err, port.ErrNotOwner):
		return Fault{Kind: faultNotOwner}
	case errors.Is(err, port.ErrFenced):
		return Fault{Kind: faultFenced}
	case errors.Is(err, port.ErrExpired):
		return Fault{Kind: faultExpired}
	case errors.As(err, &conflict):
		return Fault{Kind: faultConflict, End: conflict.End}
	}
	return Fault{Kind: faultUnknown, Text: err.Error()}
}

// Err returns the error that f was made from, or nil. An error without a kind of its own
// becomes a *port.RelayedError.
func (f Fault) Err() error {
	switch f.Kind {
	case faultNone:
		return nil
	case faultNotDone:
		return port.ErrNotDone
	case faultNotOwner:
		return port.ErrNotOwner
	case faultFenced:
		return port.ErrFenced
	case faultExpired:
		return port.ErrExpired
	case faultConflict:
		return &port.ConflictError{End: f.End}
	case faultRefused:
		return &port.RefusedError{Cause: f.Cause, Reason: f.Text, RetryAfter: f.RetryAfter}
	case faultRejected:
		return &port.RejectedError{Reason: f.Text}
	case faultUnknown:
	}
	return &port.RelayedError{Cause: f.Text}
}
