// Package port states what the coordination layer needs of the platform: a
// log, upstreams that run tasks, and the advice service. The adapter in
// platform/ implements these interfaces.
package port

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/scheduler"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// Topic is a keyed topic of the platform's log.
type Topic uint8

// The topics.
const (
	// TopicJobs is the ledger; only samphirerail writes it.
	TopicJobs Topic = iota
	// TopicOperators holds the configuration and the upkeep waves.
	TopicOperators
	// TopicUpstreams holds the registrations of upstreams.
	TopicUpstreams
	// TopicStatus holds what samphirerail reports to operators.
	TopicStatus
)

// Fence makes an append conditional on the writer's epoch.
type Fence struct {
	Epoch int64
	// Seq numbers the appends of an epoch from 0.
	Seq int64
}

// AnyOffset lets an append go to the end of the log, wherever that is.
const AnyOffset = -1

// Append adds records to a topic, all or none.
type Append struct {
	Topic   Topic
	Records []ledger.Record
	// Fence is nil for appends of entries that are not the owner.
	Fence *Fence
	// At is the offset at which the log must end, or AnyOffset.
	At int64
}

// Batch is a part of a topic.
type Batch struct {
	Records []ledger.Record
	// Next is where reading continues.
	Next int64
}

// ReadQuery asks for a part of a topic, or for its newest records.
type ReadQuery struct {
	Topic  Topic
	From   int64
	Wait   time.Duration
	Newest bool
}

// Log is the platform's log. Its errors are the typed ones of this package.
type Log interface {
	// Append returns the offset of the first record.
	Append(ctx context.Context, a Append) (offset int64, err error)
	// Read returns the records from an offset on. It waits up to wait for one.
	Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (Batch, error)
	// Newest returns the newest record of each key, and the offset from which
	// Read sees everything that it may have missed.
	Newest(ctx context.Context, topic Topic) (Batch, error)
}

// Errors of the log. Every other error of a Log means that the call may have
// been carried out, or may be carried out later.
var (
	// ErrNotDone: nothing was done; try again.
	ErrNotDone = errors.New("port: the log refused the call and did nothing; try again later")
	// ErrFenced: a larger epoch was seen; stop acting as the owner.
	ErrFenced = errors.New("port: a newer owner holds the log; give up ownership")
	// ErrNotOwner: another entry must be asked; nothing was done.
	ErrNotOwner = errors.New("port: the entry does not own the placement; ask the owner")
	// ErrExpired: the records from the offset on are gone; read Newest.
	ErrExpired = errors.New("port: the log has dropped the records at this offset; load the newest of each key")
)

// RelayedError says that another entry was reached and got no answer from the
// log; the call may have been carried out.
type RelayedError struct{ Cause string }

func (e *RelayedError) Error() string {
	return "port: the log gave no answer to the relaying entry: " + e.Cause
}

// NotSent reports whether a call never reached the other side.
func NotSent(err error) bool {
	var call interface{ NotSent() bool }
	return errors.As(err, &call) && call.NotSent()
}

// Refused reports whether a call failed because no process listens at the
// address of the other side.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// ConflictError says that the log does not end where the append required.
type ConflictError struct{ End int64 }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("port: the log ends at %d; read up to there and append again", e.End)
}

// Target is one life of an upstream.
type Target struct {
	ID      workload.UpstreamID
	Address string
}

// LookOrder renews the lease of all runs on an upstream and asks what runs.
type LookOrder struct {
	Epoch int64
	// LastSeen is the number of the newest end that is recorded; the upstream
	// forgets the ends up to it.
	LastSeen int64
	// DeadlineMS is the end of the lease on the upstream's clock; 0 renews nothing.
	DeadlineMS int64
	// Wait lets the upstream hold the answer until a run ends.
	Wait time.Duration
}

// Ended is an end with its number on the upstream.
type Ended struct {
	Number int64
	scheduler.EndedRow
}

// LookReply is what an upstream said about its runs.
type LookReply struct {
	// ClockMS is the upstream's clock.
	ClockMS int64
	// BornUnixMS tells lives of an upstream apart; 0 when it did not say.
	BornUnixMS int64
	Running    []scheduler.RunningRow
	Ended      []Ended
	// Partial says that more ends are listed than fit one reply.
	Partial bool
}

// StartOrder starts a run.
type StartOrder struct {
	scheduler.Start
	Epoch      int64
	DeadlineMS int64
}

// Reply is the answer to an order.
type Reply struct {
	// ClockMS is the upstream's clock; 0 when it did not say.
	ClockMS int64
	Outcome scheduler.Outcome
	// Reason is the upstream's own word for a refusal, for logs.
	Reason string
	// Fenced says that the upstream has seen a larger epoch.
	Fenced bool
	// OtherLife says that the address is served by another upstream, or by
	// another life of this one.
	OtherLife bool
}

// Upstreams carries orders to upstreams. An error means that no answer came:
// the order may have been carried out, or may be later.
type Upstreams interface {
	Start(ctx context.Context, to Target, order StartOrder) (Reply, error)
	Stop(ctx context.Context, to Target, run scheduler.Run, epoch int64) (Reply, error)
	Pace(ctx context.Context, to Target, pace scheduler.Pace, epoch int64) (Reply, error)
	Look(ctx context.Context, to Target, order LookOrder) (LookReply, Reply, error)
}

// Tickets is the answer of the advice service.
type Tickets struct {
	// Good holds the ticket for each upstream that may run the step.
	Good  map[workload.UpstreamID]string
	Valid time.Duration
}

// Advisor asks the advice service. It serves the calls of one machine one
// after the other.
type Advisor interface {
	Advise(ctx context.Context, step workload.StepID, upstreams []workload.UpstreamID) (Tickets, error)
}

// Decoder reads what operators and upstreams wrote into the log.
type Decoder interface {
	// Config returns nil when the record does not hold the configuration.
	Config(r ledger.Record) (*workload.Config, error)
	Upstream(r ledger.Record) (workload.Upstream, error)
}
