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
	// freshReplica is the age up to which the replica answers for the owner.
	freshReplica = 30 * time.Millisecond
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

// Owner answers for the newest phase of a job.
type Owner interface {
	// Phase asks this entry's own scheduler.
	Phase(ctx context.Context, id workload.JobID) (ledger.Phase, bool)
}

// Peers asks the owner when it is another entry.
type Peers interface {
	Phase(ctx context.Context, address string, id workload.JobID) (ledger.Phase, bool, error)
}

// Intake serves callers.
type Intake struct {
	log      port.Log
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
func New(log port.Log, r *replica.Replica, owner Owner, peers Peers, self string, logger hclog.Logger, registry metrics.Registry) *Intake {
	return &Intake{
		log: log, replica: r, owner: owner, peers: peers, self: self, logger: logger,
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
	offset, err := in.log.Append(ctx, port.Append{Topic: port.TopicJobs, Records: []ledger.Record{record}, At: port.AnyOffset})
	took := time.Since(began)
	in.latency.Update(took.Microseconds())
	switch {
	case err == nil:
		in.accepted.Inc(1)
		in.logger.Info("job accepted", "job", job.ID, "queue", job.Queue, "workspace", job.Workspace, "offset", offset, "took_ms", took.Milliseconds())
		return nil
	case errors.Is(err, port.ErrNotDone):
		in.rejected.Inc(1)
		in.logger.Warn("job rejected", "job", job.ID, "queue", job.Queue, "workspace", job.Workspace, "reason", "log refused", "took_ms", took.Milliseconds())
		return &NotAcceptedError{Reason: "the log does not take new jobs now", RetryAfter: retryAfter}
	}
	in.unknown.Inc(1)
	in.logger.Warn("job outcome unknown", "job", job.ID, "queue", job.Queue, "took_ms", took.Milliseconds(), "error", err)
	return err
}

// Cancel cancels a job.
func (in *Intake) Cancel(ctx context.Context, id workload.JobID) error {
	row, ok := in.replica.Row(id)
	switch {
	case ok && (row.Cancelled || row.State.Phase.Final()):
		return nil
	case !ok:
		if in.replica.Health().Age > staleReplica {
			return ErrNotReady
		}
		return ErrUnknownJob
	}
	record, err := ledger.CancelRecord(id, time.Now().UnixMilli())
	if err != nil {
		return err
	}
	began := time.Now()
	_, err = in.log.Append(ctx, port.Append{Topic: port.TopicJobs, Records: []ledger.Record{record}, At: port.AnyOffset})
	in.logger.Info("cancellation", "job", id, "took_ms", time.Since(began).Milliseconds(), "error", err)
	return err
}

// Phase returns the newest phase of a job that this entry can learn.
func (in *Intake) Phase(ctx context.Context, id workload.JobID) (ledger.Phase, error) {
	row, ok := in.replica.Row(id)
	age := in.replica.Health().Age
	if !ok || row.Job == nil {
		if age > staleReplica || !in.replica.Health().Loaded {
			return 0, ErrNotReady
		}
		return 0, ErrUnknownJob
	}
	phase := row.Phase()
	if phase.Final() || age < freshReplica {
		return phase, nil
	}
	callCtx, cancel := context.WithTimeout(ctx, phaseTimeout)
	defer cancel()
	if newer, ok := in.ask(callCtx, id); ok && newer >= phase {
		return newer, nil
	}
	return phase, nil
}

func (in *Intake) ask(ctx context.Context, id workload.JobID) (ledger.Phase, bool) {
	if phase, ok := in.owner.Phase(ctx, id); ok {
		return phase, true
	}
	address := in.replica.Claim().Address
	if address == "" || address == in.self {
		return 0, false
	}
	phase, ok, err := in.peers.Phase(ctx, address, id)
	if err != nil {
		in.logger.Debug("owner not asked", "job", id, "owner", address, "error", err)
		return 0, false
	}
	return phase, ok
}

// Pending returns the number of jobs of a queue of which no task has started.
func (in *Intake) Pending(queue workload.QueueName) (n int) {
	in.replica.View(func(t *ledger.Table, _ int64) { n = t.Pending(queue) })
	return n
}
