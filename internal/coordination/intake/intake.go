// Package intake handles callers' requests to an entry: submissions, cancellations and
// queries of jobs. A job is accepted once the log holds it.
package intake

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"
	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/semaphore"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/coordination/replica"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

const (
	// maxReplicaAge is the replica age from which a job missing in the replica is not
	// proven to be unknown.
	maxReplicaAge = 2500 * time.Millisecond
	// ownerMargin is the part of a caller's time that remains after the wait for the
	// owner. The owner is waited for as long as it responds at all: on a slow log,
	// appends beside the owner's would only delay both.
	ownerMargin = 100 * time.Millisecond
	// retryInterval is the pause between two attempts to find the owner, or to reach a
	// log that is unreachable.
	retryInterval = 100 * time.Millisecond
	// phaseTimeout bounds a query to the owner.
	phaseTimeout = 250 * time.Millisecond
	// retryAfter is the time that a caller is told to wait when the log rejects a job.
	retryAfter = time.Second
	// largeRecordBytes is the size from which the record of a job is large. maxLargeInFlight bounds
	// the large records that are on their way at a time: the owner gets those of all entries.
	largeRecordBytes = 16 << 10
	maxLargeInFlight = 1 << 20
)

// NotAcceptedError means that a job was not accepted and will never run.
type NotAcceptedError struct {
	Reason     string
	RetryAfter time.Duration
	// Refused is set if the owner refused the job, and not set if no record could be made.
	Refused bool
}

func (e *NotAcceptedError) Error() string {
	return fmt.Sprintf("intake: not accepted: %s; submit again after %s", e.Reason, e.RetryAfter)
}

// Errors of an Intake. Any other error means that the outcome is not known.
var (
	ErrUnknownJob = errors.New("intake: no such job; check the ID")
	ErrNotReady   = errors.New("intake: the entry has no current view of the jobs; ask another entry")
)

// Log is the platform's log.
type Log interface {
	port.Log
	// Slow reports whether appends beside the owner's would delay both.
	Slow() bool
	// Unreachable reports whether other entries cannot reach the log either.
	Unreachable() bool
}

// Owner is the part of the placement owner that may run in this entry.
type Owner interface {
	// Phase returns the newest phase of a job from this entry's own scheduler.
	Phase(ctx context.Context, id workload.JobID) (ledger.Phase, bool)
	// Owning reports whether this entry is the owner.
	Owning() bool
	// Record returns port.ErrNotOwner unless this entry is the owner.
	Record(ctx context.Context, r ledger.Record) error
}

// Peers makes calls to the owner when it is another entry.
type Peers interface {
	Phase(ctx context.Context, address string, id workload.JobID) (ledger.Phase, bool, error)
	Record(ctx context.Context, address string, r ledger.Record) error
}

// Intake handles the requests of callers. It is safe for concurrent use.
type Intake struct {
	log     Log
	batch   *batcher
	replica *replica.Replica
	owner   Owner
	peers   Peers
	self    string
	// domain is the failure domain of this entry.
	domain state.DomainID
	// unconfirmed holds the submissions whose outcome is unknown.
	unconfirmed unconfirmedJobs
	// largeInFlight holds the bytes of large records that are on their way.
	largeInFlight *semaphore.Weighted
	logger        hclog.Logger
	accepted      metrics.Counter
	rejected      metrics.Counter
	unknown       metrics.Counter
	latency       metrics.Histogram
}

// New returns an Intake. self is the address at which other entries reach this one.
func New(log Log, r *replica.Replica, owner Owner, peers Peers, self string, logger hclog.Logger, registry metrics.Registry) *Intake {
	return &Intake{
		log: log, batch: &batcher{log: log, limits: ledger.Limits{}.WithDefaults()}, replica: r, owner: owner, peers: peers, self: self, logger: logger,
		largeInFlight: semaphore.NewWeighted(maxLargeInFlight),
		accepted:      metrics.GetOrRegisterCounter("intake.accepted", registry),
		rejected:      metrics.GetOrRegisterCounter("intake.rejected", registry),
		unknown:       metrics.GetOrRegisterCounter("intake.unanswered", registry),
		latency:       metrics.GetOrRegisterHistogram("intake.accept_us", registry, metrics.NewExpDecaySample(1028, 0.015)),
	}
}

// SetDomain sets the failure domain of the entry, which accepted jobs are marked with. It
// must be called before the first request.
func (in *Intake) SetDomain(d state.DomainID) { in.domain = d }

// SetLimits sets the limits of the log's appends. It must be called before the first request.
func (in *Intake) SetLimits(l ledger.Limits) { in.batch.limits = l.WithDefaults() }

// Submit accepts a job. Submitting a job with a known ID again succeeds without effect.
func (in *Intake) Submit(ctx context.Context, job *workload.Job) error {
	if row, ok := in.replica.Row(job.ID); ok && row.Job != nil {
		in.logger.Info("duplicate submission ignored", "job", job.ID, "phase", row.Phase())
		return nil
	}
	job.Domain = in.domain
	record, err := ledger.JobRecord(job)
	if err != nil {
		return err
	}
	began := time.Now()
	via, err := "", in.batch.check(record)
	if err == nil && !in.hasRoomFor(job) {
		err = port.NoRoomForLargeJob()
	}
	if err == nil {
		via, err = in.recordJob(ctx, record)
	}
	took := time.Since(began)
	in.latency.Update(took.Microseconds())
	var refused *port.RefusedError
	var rejected *port.RejectedError
	if (errors.As(err, &refused) || errors.As(err, &rejected) || errors.Is(err, port.ErrNotDone)) && in.unconfirmed.has(job.ID, began) {
		err = unconfirmedError(errRepeated)
	}
	switch {
	case err == nil:
		in.accepted.Inc(1)
		in.logger.Info("job accepted", "job", job.ID, "queue", job.Queue, "workspace", job.Workspace, "via", via, "took_ms", took.Milliseconds())
		return nil
	case errors.As(err, &refused):
		in.rejected.Inc(1)
		in.logger.Info("job refused", "job", job.ID, "queue", job.Queue, "workspace", job.Workspace, "via", via, "retry_after_ms", refused.RetryAfter.Milliseconds(), "cause", refused.Cause, "reason", refused.Reason)
		return &NotAcceptedError{Reason: refused.Reason, RetryAfter: refused.RetryAfter, Refused: true}
	case errors.As(err, &rejected):
		in.rejected.Inc(1)
		in.logger.Warn("job refused: the log does not take its record", "job", job.ID, "queue", job.Queue, "workspace", job.Workspace, "via", via, "bytes", record.Size(), "error", err)
		return &NotAcceptedError{Reason: "the log does not take a job of this size; split it", Refused: true}
	case errors.Is(err, port.ErrNotDone):
		in.rejected.Inc(1)
		in.logger.Warn("job rejected", "job", job.ID, "queue", job.Queue, "workspace", job.Workspace, "via", via, "took_ms", took.Milliseconds(), "error", err)
		return &NotAcceptedError{Reason: "the log does not take new jobs now", RetryAfter: retryAfter}
	}
	in.unknown.Inc(1)
	in.unconfirmed.add(job.ID, time.Now())
	in.logger.Warn("submission outcome unknown", "job", job.ID, "queue", job.Queue, "via", via, "took_ms", took.Milliseconds(), "error", err)
	return err
}

// recordJob is record for a job. A large one waits until few others are on their way.
func (in *Intake) recordJob(ctx context.Context, record ledger.Record) (via string, err error) {
	if size := record.Size(); size > largeRecordBytes {
		bytes := int64(min(size, maxLargeInFlight))
		if in.largeInFlight.Acquire(ctx, bytes) != nil {
			return "", port.ErrNotDone
		}
		defer in.largeInFlight.Release(bytes)
	}
	return in.record(ctx, record)
}

// hasRoomFor reports whether large jobs leave memory for a further job. The owner knows better, but
// may not be asked.
func (in *Intake) hasRoomFor(job *workload.Job) (room bool) {
	in.replica.View(func(t *ledger.Table, _ int64) { room = t.HasRoomFor(job, 0) })
	return room
}

// MayRun reports whether a job may have been accepted, as far as this entry knows. A refusal of its
// submission would not be true then.
func (in *Intake) MayRun(id workload.JobID) bool {
	_, known := in.replica.Row(id)
	return known || in.unconfirmed.has(id, time.Now())
}

// record has the owner record something, in one append with other records. If the owner
// cannot be asked, it appends the record itself; writing the same record twice has no
// effect. On a slow log it waits for an owner instead. While the log is unreachable from
// all entries it retries, because a retry of the caller at another entry would fail too.
func (in *Intake) record(ctx context.Context, record ledger.Record) (via string, err error) {
	ownerCtx, cancel := ctx, func() {}
	if deadline, ok := ctx.Deadline(); ok {
		ownerCtx, cancel = context.WithDeadline(ctx, deadline.Add(-ownerMargin))
	}
	defer cancel()
	var unconfirmed error // the error of an attempt that may have been carried out
	for {
		via, err = in.recordAtOwner(ownerCtx, record)
		if err == nil {
			return via, nil
		}
		var refused *port.RefusedError
		var rejected *port.RejectedError
		switch refusal := errors.As(err, &refused) || errors.As(err, &rejected); {
		case refusal && unconfirmed == nil:
			return via, err
		case refusal:
			return via, unconfirmedError(unconfirmed)
		case !errors.Is(err, port.ErrNotOwner) && !port.NotSent(err):
			unconfirmed = err
		}
		if !in.log.Slow() {
			via, err = "log", in.batch.append(ctx, record)
			if err == nil {
				return via, nil
			}
			switch {
			case errors.As(err, &rejected) && unconfirmed == nil:
				return via, err
			case !errors.Is(err, port.ErrNotDone):
				unconfirmed = err
			}
		}
		switch unreachable := in.log.Unreachable(); {
		case unconfirmed != nil && (!unreachable || ownerCtx.Err() != nil):
			return via, unconfirmedError(unconfirmed)
		case ownerCtx.Err() != nil || (!unreachable && !in.log.Slow()):
			return via, port.ErrNotDone
		}
		select {
		case <-ownerCtx.Done():
		case <-time.After(retryInterval):
		}
	}
}

// errRepeated is the cause of an unknown outcome if a job is not accepted now, but an
// earlier submission of it may still be recorded.
var errRepeated = errors.New("the job is not accepted now, but an earlier submission had no answer")

func unconfirmedError(cause error) error {
	return fmt.Errorf("intake: unconfirmed append, the record may still be written: %w", cause)
}

// recordAtOwner asks the owner to record something. via is the name of the owner, or
// empty if it is this entry or not known.
func (in *Intake) recordAtOwner(ctx context.Context, record ledger.Record) (via string, err error) {
	err = in.owner.Record(ctx, record)
	if !errors.Is(err, port.ErrNotOwner) {
		return "", err
	}
	claim := in.replica.Claim()
	if claim.Address == "" || claim.Address == in.self || claim.Released {
		return "", err
	}
	return claim.Entry, in.peers.Record(ctx, claim.Address, record)
}

// Cancel cancels a job.
func (in *Intake) Cancel(ctx context.Context, id workload.JobID) error {
	row, ok := in.replica.Row(id)
	switch {
	case ok && (row.Cancelled || row.State.Phase.Final()):
		return nil
	case !ok:
		if answer := in.queryOwner(ctx, id); !answer.known {
			held, err := in.logHolds(ctx, id)
			switch {
			case err != nil:
				in.logger.Warn("cancellation not decided: the log is not readable", "job", id, "error", err)
				return ErrNotReady
			case !held:
				return in.absenceError(answer)
			}
		}
	}
	record, err := ledger.CancelRecord(id, time.Now().UnixMilli())
	if err != nil {
		return err
	}
	began := time.Now()
	via, err := in.record(ctx, record)
	in.logger.Info("cancellation", "job", id, "via", via, "took_ms", time.Since(began).Milliseconds(), "error", err)
	return err
}

// logHolds reports whether the log holds a job now. An entry that did not reach the owner may have
// appended the job since this entry and the owner last read the log.
func (in *Intake) logHolds(ctx context.Context, id workload.JobID) (held bool, err error) {
	if !in.replica.Health().Loaded {
		return false, ErrNotReady
	}
	from := int64(0)
	in.replica.View(func(t *ledger.Table, next int64) {
		held = t.Row(id) != nil
		from = next
	})
	for !held {
		batch, err := in.log.Read(ctx, port.TopicJobs, from, 0)
		if err != nil {
			return false, err
		}
		for _, r := range batch.Records {
			job, err := ledger.JobOf(r)
			held = held || err == nil && job != nil && job.ID == id
		}
		if batch.Next >= batch.End || batch.Next <= from {
			break
		}
		from = batch.Next
	}
	return held, nil
}

// absenceError returns the error for a job that the replica does not hold. Only an answer
// of the owner proves that there is no such job.
func (in *Intake) absenceError(a ownerAnswer) error {
	if h := in.replica.Health(); !a.answered || h.Age > maxReplicaAge || !h.Loaded {
		return ErrNotReady
	}
	return ErrUnknownJob
}

// Phase returns the newest phase of a job that is available to this entry.
func (in *Intake) Phase(ctx context.Context, id workload.JobID) (ledger.Phase, error) {
	row, ok := in.replica.Row(id)
	// A table that is being loaded may hold a job without its state.
	ok = ok && row.Job != nil && in.replica.Health().Loaded
	phase := row.Phase()
	if ok && phase.Final() {
		return phase, nil
	}
	newest := in.queryOwner(ctx, id)
	if newest.known && (!ok || newest.phase >= phase) {
		return newest.phase, nil
	}
	if !ok {
		return 0, in.absenceError(newest)
	}
	return phase, nil
}

// ownerAnswer is the owner's answer to a query of a job.
type ownerAnswer struct {
	phase ledger.Phase
	// known says that the owner knows the job, answered that the owner responded.
	known, answered bool
}

// queryOwner asks the owner for the phase of a job.
func (in *Intake) queryOwner(ctx context.Context, id workload.JobID) ownerAnswer {
	ctx, cancel := context.WithTimeout(ctx, phaseTimeout)
	defer cancel()
	if in.owner.Owning() {
		phase, known := in.owner.Phase(ctx, id)
		return ownerAnswer{phase, known, ctx.Err() == nil}
	}
	address := in.replica.Claim().Address
	if address == "" || address == in.self {
		return ownerAnswer{}
	}
	phase, known, err := in.peers.Phase(ctx, address, id)
	if err != nil {
		in.logger.Debug("query to the owner failed", "job", id, "owner", address, "error", err)
		return ownerAnswer{}
	}
	return ownerAnswer{phase, known, true}
}

// Pending returns the number of jobs of a queue of which no task has started. It returns
// ErrNotReady if this entry has no current view of the jobs.
func (in *Intake) Pending(queue workload.QueueName) (n int, err error) {
	if h := in.replica.Health(); !h.Loaded || h.Age > maxReplicaAge {
		return 0, ErrNotReady
	}
	in.replica.View(func(t *ledger.Table, _ int64) { n = t.Pending(queue) })
	return n, nil
}
