// Package intake takes in what callers ask of an entry: jobs, cancellations
// and questions about them. A job is accepted once the log holds it.
package intake

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/coordination/replica"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

const (
	// staleReplica is the age from which the replica does not prove that a job
	// is unknown.
	staleReplica = 2500 * time.Millisecond
	// ownerMargin is left of a caller's time after the wait for the owner. While
	// the owner answers at all it is waited for: on a slow log, appends beside
	// the owner's would only delay both.
	ownerMargin = 100 * time.Millisecond
	// ownerRetry is the pause between two questions who the owner is, or between
	// two attempts to reach a log that is away.
	ownerRetry = 100 * time.Millisecond
	// phaseTimeout bounds a question to the owner.
	phaseTimeout = 250 * time.Millisecond
	// retryAfter is what a caller is told when the log refuses a job.
	retryAfter = time.Second
)

// NotAcceptedError says that a job was not accepted and never runs.
type NotAcceptedError struct {
	Reason     string
	RetryAfter time.Duration
}

func (e *NotAcceptedError) Error() string {
	return fmt.Sprintf("intake: not accepted: %s; submit again after %s", e.Reason, e.RetryAfter)
}

// Errors of the intake. Any other error means that the outcome is not known.
var (
	ErrUnknownJob = errors.New("intake: no such job; check the ID")
	ErrNotReady   = errors.New("intake: the entry has no current view of the jobs; ask another entry")
)

// Log is the platform's log.
type Log interface {
	port.Log
	// Slow reports whether appends beside the owner's would delay both.
	Slow() bool
	// Away reports whether other entries do not reach the log either.
	Away() bool
}

// Owner answers for the newest phase of a job.
type Owner interface {
	// Phase asks this entry's own scheduler.
	Phase(ctx context.Context, id workload.JobID) (ledger.Phase, bool)
	// Owning reports whether this entry is the owner.
	Owning() bool
	// Record returns port.ErrNotOwner unless this entry is the owner.
	Record(ctx context.Context, r ledger.Record) error
}

// Peers asks the owner when it is another entry.
type Peers interface {
	Phase(ctx context.Context, address string, id workload.JobID) (ledger.Phase, bool, error)
	Record(ctx context.Context, address string, r ledger.Record) error
}

// Intake serves callers.
type Intake struct {
	log      Log
	batch    *batch
	replica  *replica.Replica
	owner    Owner
	peers    Peers
	self     string
	logger   hclog.Logger
	accepted metrics.Counter
	rejected metrics.Counter
	unknown  metrics.Counter
	latency  metrics.Histogram
}

// New returns an intake. self is the address of this entry for other entries.
func New(log Log, r *replica.Replica, owner Owner, peers Peers, self string, logger hclog.Logger, registry metrics.Registry) *Intake {
	return &Intake{
		log: log, batch: &batch{log: log}, replica: r, owner: owner, peers: peers, self: self, logger: logger,
		accepted: metrics.GetOrRegisterCounter("intake.accepted", registry),
		rejected: metrics.GetOrRegisterCounter("intake.rejected", registry),
		unknown:  metrics.GetOrRegisterCounter("intake.unanswered", registry),
		latency:  metrics.GetOrRegisterHistogram("intake.accept_us", registry, metrics.NewExpDecaySample(1028, 0.015)),
	}
}

// Submit accepts a job. A job with a known ID is accepted again without effect.
func (in *Intake) Submit(ctx context.Context, job *workload.Job) error {
	if row, ok := in.replica.Row(job.ID); ok && row.Job != nil {
		in.logger.Info("submission repeated", "job", job.ID, "phase", row.Phase())
		return nil
	}
	record, err := ledger.JobRecord(job)
	if err != nil {
		return err
	}
	began := time.Now()
	via, err := in.record(ctx, record)
	took := time.Since(began)
	in.latency.Update(took.Microseconds())
	switch {
	case err == nil:
		in.accepted.Inc(1)
		in.logger.Info("job accepted", "job", job.ID, "queue", job.Queue, "workspace", job.Workspace, "via", via, "took_ms", took.Milliseconds())
		return nil
	case errors.Is(err, port.ErrNotDone):
		in.rejected.Inc(1)
		in.logger.Warn("job rejected", "job", job.ID, "queue", job.Queue, "workspace", job.Workspace, "via", via, "took_ms", took.Milliseconds(), "error", err)
		return &NotAcceptedError{Reason: "the log does not take new jobs now", RetryAfter: retryAfter}
	}
	in.unknown.Inc(1)
	in.logger.Warn("job outcome unknown", "job", job.ID, "queue", job.Queue, "via", via, "took_ms", took.Milliseconds(), "error", err)
	return err
}

// record has the owner record something, in one append with other records. An
// entry that can't ask the owner appends itself; writing the same record twice
// changes nothing. On a slow log it waits for an owner instead. While the log is
// away from all entries it goes on trying; the caller would only try in vain at
// another entry.
func (in *Intake) record(ctx context.Context, record ledger.Record) (via string, err error) {
	ownerCtx, cancel := ctx, func() {}
	if deadline, ok := ctx.Deadline(); ok {
		ownerCtx, cancel = context.WithDeadline(ctx, deadline.Add(-ownerMargin))
	}
	defer cancel()
	var unclear error // of an attempt that may have been carried out
	for {
		via, err = in.askOwner(ownerCtx, record)
		if err == nil {
			return via, nil
		}
		if !errors.Is(err, port.ErrNotOwner) && !port.NotSent(err) {
			unclear = err
		}
		if !in.log.Slow() {
			via, err = "log", in.batch.append(ctx, record)
			if err == nil {
				return via, nil
			}
			if !errors.Is(err, port.ErrNotDone) {
				unclear = err
			}
		}
		switch away := in.log.Away(); {
		case unclear != nil && (!away || ownerCtx.Err() != nil):
			return via, fmt.Errorf("intake: it may still be recorded: %w", unclear)
		case ownerCtx.Err() != nil || (!away && !in.log.Slow()):
			return via, port.ErrNotDone
		}
		select {
		case <-ownerCtx.Done():
		case <-time.After(ownerRetry):
		}
	}
}

// askOwner asks the owner to record something.
func (in *Intake) askOwner(ctx context.Context, record ledger.Record) (via string, err error) {
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
		if answer := in.ask(ctx, id); !answer.known {
			return in.absent(answer)
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

// absent returns the error for a job that the replica does not hold. Only the
// owner's word proves that there is no such job.
func (in *Intake) absent(a answer) error {
	if h := in.replica.Health(); !a.asked || h.Age > staleReplica || !h.Loaded {
		return ErrNotReady
	}
	return ErrUnknownJob
}

// Phase returns the newest phase of a job that this entry can learn.
func (in *Intake) Phase(ctx context.Context, id workload.JobID) (ledger.Phase, error) {
	row, ok := in.replica.Row(id)
	ok = ok && row.Job != nil
	phase := row.Phase()
	if ok && phase.Final() {
		return phase, nil
	}
	newest := in.ask(ctx, id)
	if newest.known && (!ok || newest.phase >= phase) {
		return newest.phase, nil
	}
	if !ok {
		return 0, in.absent(newest)
	}
	return phase, nil
}

// answer is what the owner said about a job.
type answer struct {
	phase ledger.Phase
	// known says that the owner knows the job, asked that it answered.
	known, asked bool
}

// ask asks the owner for the phase of a job.
func (in *Intake) ask(ctx context.Context, id workload.JobID) answer {
	ctx, cancel := context.WithTimeout(ctx, phaseTimeout)
	defer cancel()
	if in.owner.Owning() {
		phase, known := in.owner.Phase(ctx, id)
		return answer{phase, known, ctx.Err() == nil}
	}
	address := in.replica.Claim().Address
	if address == "" || address == in.self {
		return answer{}
	}
	phase, known, err := in.peers.Phase(ctx, address, id)
	if err != nil {
		in.logger.Debug("owner not asked", "job", id, "owner", address, "error", err)
		return answer{}
	}
	return answer{phase, known, true}
}

// Pending returns the number of jobs of a queue of which no task has started.
func (in *Intake) Pending(queue workload.QueueName) (n int) {
	in.replica.View(func(t *ledger.Table, _ int64) { n = t.Pending(queue) })
	return n
}
