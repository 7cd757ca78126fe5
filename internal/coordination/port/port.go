// Package port defines the interfaces through which the coordination layer uses the
// platform: a log, upstreams that run tasks, and the advice service. The adapter in
// platform/ implements these interfaces.
package port

import (
	"context"
	"errors"
	"fmt"
	"io"
	"syscall"
	"time"

	"github.com/samphirerail/samphirerail/internal/state/evacuation"
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
	// TopicOperators holds the configuration, the maintenance waves and the requests to
	// evacuate failure domains.
	TopicOperators
	// TopicUpstreams holds the registrations of upstreams.
	TopicUpstreams
	// TopicStatus holds what samphirerail reports to operators.
	TopicStatus
)

func (t Topic) String() string {
	switch t {
	case TopicJobs:
		return "jobs"
	case TopicOperators:
		return "operators"
	case TopicUpstreams:
		return "upstreams"
	case TopicStatus:
		return "status"
	}
	return fmt.Sprintf("topic %d", uint8(t))
}

// Fence makes an append conditional on the writer's epoch.
type Fence struct {
	Epoch int64
	// Seq numbers the appends of an epoch from 0. A retry carries the same number.
	Seq int64
}

// AnyOffset is the value of Append.At that accepts any end of the log.
const AnyOffset = -1

// Append is a request to add records to a topic, all or none.
type Append struct {
	Topic   Topic
	Records []ledger.Record
	// Fence is nil for appends of entries that are not the owner.
	Fence *Fence
	// At is the offset at which the log must end, or AnyOffset.
	At int64
}

// Batch is a range of the records of a topic.
type Batch struct {
	Records []ledger.Record
	// Next is the offset at which reading continues.
	Next int64
	// End is the offset at which the topic ended when it was read; 0 if not known. More
	// records remain to be read if it is larger than Next.
	End int64
	// After is set in a page of the newest records that is not the last one: the next page
	// begins after this key.
	After string
}

// ReadQuery requests a range of a topic, or a page of the newest record of each key.
type ReadQuery struct {
	Topic Topic
	// From is the offset of the first record to return, and Wait how long the log may
	// wait for one. Both are unused if Newest is set.
	From int64
	Wait time.Duration
	// Newest requests a page of the newest record of each key, which begins after the key
	// After, or with the first key if it is empty.
	Newest bool
	After  string
}

// Log is the platform's log. It returns the error types and values of this package. A read
// fails if its reply does not begin or continue in time. The time that a whole reply takes
// depends on its size, so callers need no time limit of their own on reads.
type Log interface {
	// Append returns the offset of the first record.
	Append(ctx context.Context, a Append) (offset int64, err error)
	// Read returns the records from an offset on. If there is none, it waits up to wait
	// for one.
	Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (Batch, error)
	// NewestPage returns a page of the newest record of each key in the order of the keys.
	// It begins after a key, or with the first one if after is empty. From the offset Next
	// of the first page on, Read returns every record that the pages may have missed.
	NewestPage(ctx context.Context, topic Topic, after string) (Batch, error)
}

// ReadNewest returns the newest record of each key, and the offset from which Read returns
// every record that it may have missed. It returns the errors of Log.NewestPage.
func ReadNewest(ctx context.Context, log Log, topic Topic) (Batch, error) {
	batch, err := log.NewestPage(ctx, topic, "")
	for err == nil && batch.After != "" {
		var page Batch
		page, err = log.NewestPage(ctx, topic, batch.After)
		batch.Records, batch.After = append(batch.Records, page.Records...), page.After
	}
	if err != nil {
		return Batch{}, err
	}
	return batch, nil
}

// Errors of a Log. Any other error means that the call may have been carried out, or may
// still be carried out later.
var (
	// ErrNotDone means that nothing was done; the call may be retried.
	ErrNotDone = errors.New("port: the log refused the call and did nothing; try again later")
	// ErrFenced means that the log has seen a larger epoch; the caller must stop acting
	// as the owner.
	ErrFenced = errors.New("port: a newer owner holds the log; give up ownership")
	// ErrNotOwner means that nothing was done and another entry must be asked.
	ErrNotOwner = errors.New("port: the entry does not own the placement; ask the owner")
	// ErrExpired means that the records from the offset on are gone; use Newest.
	ErrExpired = errors.New("port: the log has dropped the records at this offset; load the newest of each key")
)

// RefusedError means that the owner does not accept a job now. Nothing was done.
type RefusedError struct {
	// Cause is the kind of the refusal, as in the metric owner.refused.CAUSE.
	Cause  string
	Reason string
	// RetryAfter is when the job may be submitted again.
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("port: job refused: %s; submit it again after %s", e.Reason, e.RetryAfter)
}

// largeJobRetryAfter is the time after which a refused large job may be submitted again. Jobs give
// their memory back some minutes after their end, and much of it at once.
const largeJobRetryAfter = 30 * time.Second

// NoRoomForLargeJob returns the refusal of a job for which other large jobs leave no memory.
func NoRoomForLargeJob() *RefusedError {
	return &RefusedError{
		Cause: "large_jobs", Reason: "large jobs: those that are accepted take the memory for them; split the job, or submit it later", RetryAfter: largeJobRetryAfter,
	}
}

// RejectedError means that the log refuses an append for what it holds, such as a record that is
// too large. Nothing was done, and the same append would be refused again.
type RejectedError struct {
	// Reason is the log's answer.
	Reason string
}

func (e *RejectedError) Error() string {
	return "port: the log refuses the append for good: " + e.Reason + "; append less, or compare platform.record_bytes and platform.request_bytes with the log's limits"
}

// RelayedError means that a relaying entry was reached but got no response from the log;
// the call may have been carried out.
type RelayedError struct{ Cause string }

func (e *RelayedError) Error() string {
	return "port: the log gave no answer to the relaying entry: " + e.Cause
}

// NotSent reports whether a call failed before it reached the other side.
func NotSent(err error) bool {
	var call interface{ NotSent() bool }
	return errors.As(err, &call) && call.NotSent()
}

// ConnectionRefused reports whether a call failed because no process listens at the
// address of the other side.
func ConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// ConnectionClosed reports whether a call failed because the other side closed the connection or
// refused it, as the system of a process does that has ended. A silent network shows neither.
func ConnectionClosed(err error) bool {
	for _, closed := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.ECONNREFUSED, syscall.EPIPE} {
		if errors.Is(err, closed) {
			return true
		}
	}
	return false
}

// ConflictError means that the log does not end at the offset that the append required.
// End is the offset at which it ends.
type ConflictError struct{ End int64 }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("port: the log ends at %d; read up to there and append again", e.End)
}

// Target identifies one incarnation of an upstream.
type Target struct {
	ID      workload.UpstreamID
	Address string
}

// PollCommand is a poll: it renews the lease of all runs on an upstream and requests a
// report of its runs.
type PollCommand struct {
	// Token is the fencing token: an upstream that has seen a larger one does nothing.
	Token int64
	// LastRecorded is the number of the newest run end that is recorded; the upstream
	// drops the ends up to it.
	LastRecorded int64
	// DeadlineMS is the end of the lease on the upstream's clock, in milliseconds; 0
	// renews no lease.
	DeadlineMS int64
	// Wait is how long the upstream may hold the response until a run ends.
	Wait time.Duration
}

// RunEnd is a run end with its number on the upstream.
type RunEnd struct {
	Number int64
	scheduler.EndedRun
}

// RunReport is an upstream's report of its runs.
type RunReport struct {
	// ClockMS is the upstream's clock, in milliseconds.
	ClockMS int64
	// StartedUnixMS is the start time of the upstream's incarnation, which distinguishes
	// incarnations; 0 if not reported.
	StartedUnixMS int64
	Running       []scheduler.RunningRun
	Ended         []RunEnd
	// Partial says that the report may lack runs: there are more ends than fit one report,
	// or rows of it are invalid.
	Partial bool
	// Invalid describes the rows that could not be decoded; they are left out of the report.
	// It is nil if there are none.
	Invalid error
}

// StartCommand is the command to start a run.
type StartCommand struct {
	scheduler.Start
	// Token is the fencing token; see PollCommand.
	Token int64
	// DeadlineMS is the end of the lease on the upstream's clock, in milliseconds; see
	// PollCommand.
	DeadlineMS int64
}

// Reply is the response to a command.
type Reply struct {
	// ClockMS is the upstream's clock, in milliseconds; 0 if not reported.
	ClockMS int64
	Outcome scheduler.Outcome
	// Reason is the upstream's own reason for a refusal, for logs.
	Reason string
	// Fenced says that the upstream has seen a larger fencing token and has done nothing.
	Fenced bool
	// OtherIncarnation says that the address is served by another upstream, or by another
	// incarnation of this one.
	OtherIncarnation bool
	// NotListening says that the connection was refused, because no process listens at the
	// address of the upstream.
	NotListening bool
}

// Upstreams sends commands to upstreams. An error means that there was no response: the
// command may have been carried out, or may still be carried out later.
type Upstreams interface {
	Start(ctx context.Context, to Target, command StartCommand) (Reply, error)
	Stop(ctx context.Context, to Target, run scheduler.Run, epoch int64) (Reply, error)
	Pace(ctx context.Context, to Target, pace scheduler.Pace, epoch int64) (Reply, error)
	Poll(ctx context.Context, to Target, command PollCommand) (RunReport, Reply, error)
}

// Tickets is the response of the advice service.
type Tickets struct {
	// Good holds the ticket for each upstream that may run the step.
	Good map[workload.UpstreamID]string
	// Valid is how long the tickets are valid.
	Valid time.Duration
}

// Advisor sends requests to the advice service, which serves the requests of one machine
// one after the other.
type Advisor interface {
	Advise(ctx context.Context, step workload.StepID, upstreams []workload.UpstreamID) (Tickets, error)
}

// Decoder decodes the records that operators and upstreams write to the log.
type Decoder interface {
	// Config returns nil if the record does not hold the configuration.
	Config(r ledger.Record) (*workload.Config, error)
	// Evacuation returns the request to evacuate a failure domain, or to take it into use
	// again, that the record holds. ok is false if the record is of another kind.
	Evacuation(r ledger.Record) (request evacuation.Request, ok bool, err error)
	Upstream(r ledger.Record) (workload.Upstream, error)
}
