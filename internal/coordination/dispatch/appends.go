package dispatch

import (
	"context"
	"errors"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// recordMetrics counts what does not fit the log. They stay 0 unless a job of a former release is
// too large, or the log's limits are lower than the settings say.
type recordMetrics struct {
	// rejected counts the records that the log refuses for good, cut those that were cut to fit.
	rejected, cut metrics.Counter
	// refused counts the jobs that were refused because they can't be held, setAside those that
	// were set aside.
	refused, setAside metrics.Counter
}

func newRecordMetrics(registry metrics.Registry) recordMetrics {
	return recordMetrics{
		rejected: metrics.GetOrRegisterCounter("owner.records_rejected", registry),
		cut:      metrics.GetOrRegisterCounter("owner.records_cut", registry),
		refused:  metrics.GetOrRegisterCounter("owner.refused.too_large", registry),
		setAside: metrics.GetOrRegisterCounter("owner.jobs_set_aside", registry),
	}
}

// refuseTooLarge returns the refusal of a submitted job that the owner can't hold or record, or nil.
// An entry of a former release accepts such a job from its caller.
func (o *owner) refuseTooLarge(r *request) error {
	err := r.job.Validate()
	if err == nil && o.limits.Fit([]ledger.Record{r.record}) > 0 {
		return nil
	}
	reason := "too large: the job's record exceeds that of the log; split the job"
	if err != nil {
		reason = "too large: " + err.Error()
	}
	o.metrics.records.refused.Inc(1)
	o.logger.Info("job refused by the owner", "job", r.job.ID, "queue", r.job.Queue, "workspace", r.job.Workspace, "cause", "too_large", "bytes", r.record.Size(), "error", err)
	return &port.RefusedError{Cause: "too_large", Reason: reason}
}

// stateRecord returns the record of a job's state, cut if it does not fit one otherwise. If it does
// not fit at all, the job is set aside and ok is false.
func (o *owner) stateRecord(id workload.JobID, s *ledger.JobState) (record ledger.Record, ok bool) {
	record, cut, err := ledger.FitState(id, s, o.limits)
	var tooLarge *ledger.TooLargeError
	switch {
	case errors.As(err, &tooLarge):
		o.putAside(id, err)
		return record, false
	case err != nil:
		o.logger.Error("job state not encoded", "job", id, "error", err)
		return record, false
	case cut != ledger.Cut{}:
		o.metrics.records.cut.Inc(1)
		o.logger.Warn("job state cut to fit a record", "job", id, "bytes", record.Size(), "limit", o.limits.RecordBytes, "crashes", cut.Crashes, "checkpoints", cut.Checkpoints, "failed_runs", cut.Failed)
	}
	return record, true
}

// canHold reports whether the owner can hold a job, which is set aside otherwise.
func (o *owner) canHold(job *workload.Job, cancelled bool) bool {
	err := job.CheckHeld()
	if err == nil {
		return true
	}
	o.putAside(job.ID, err)
	if cancelled {
		o.endSetAside(job.ID)
	}
	return false
}

// putAside takes a job that can't be held or recorded out of the placement, so that the others go
// on. The log keeps its newest record.
func (o *owner) putAside(id workload.JobID, cause error) {
	if _, known := o.setAside[id]; known {
		return
	}
	o.setAside[id] = struct{}{}
	o.sched.Drop(o.now(), id)
	o.metrics.records.setAside.Inc(1)
	o.logger.Error("job set aside: nothing of it is started; cancel it and submit it in parts", "job", id, "error", cause)
}

// endSetAside records the end of a job that was set aside and is cancelled, so that its records are
// dropped like those of others.
func (o *owner) endSetAside(id workload.JobID) {
	if _, ok := o.setAside[id]; !ok {
		return
	}
	delete(o.setAside, id)
	record, err := ledger.StateRecord(id, &ledger.JobState{Phase: ledger.Cancelled, FinalUnixMS: time.Now().UnixMilli()})
	if err != nil {
		o.logger.Error("job state not encoded", "job", id, "error", err)
		return
	}
	o.drops = append(o.drops, record)
}

// dropRejected reports the records that the log refuses for good and sets their jobs aside. It
// answers the requests among them and returns the others.
func (o *owner) dropRejected(requests []request, rejected []ledger.Record) []request {
	if len(rejected) == 0 {
		return requests
	}
	o.logRejected(rejected)
	keys := map[string]struct{}{}
	for _, r := range rejected {
		keys[r.Key] = struct{}{}
		if id, ok := ledger.StateOf(r); ok {
			o.putAside(id, errRejected)
		}
	}
	kept := requests[:0]
	for _, r := range requests {
		if _, ok := keys[r.record.Key]; !ok {
			kept = append(kept, r)
			continue
		}
		if r.job != nil {
			delete(o.submitted, r.job.ID)
			delete(o.unreadLarge, r.job.ID)
			o.sched.Drop(o.now(), r.job.ID)
		}
		r.done <- &port.RejectedError{Reason: "record " + r.record.Key}
	}
	return kept
}

// errRejected is the cause if the log refuses a record within the limits of the settings.
var errRejected = errors.New("dispatch: the log refuses the job's state for good; compare platform.record_bytes with its limit")

func (o *owner) logRejected(rejected []ledger.Record) {
	o.metrics.records.rejected.Inc(int64(len(rejected)))
	for i := range rejected {
		o.logger.Error("the log refuses a record for good; it is left out", "key", rejected[i].Key, "bytes", rejected[i].Size(), "limit", o.limits.RecordBytes)
	}
}

// appendAll appends records in order, each call within the log's limits. It returns the records
// that the log refuses for good, and false if the term ends first. Only one call may be in progress.
func (o *owner) appendAll(records []ledger.Record) (rejected []ledger.Record, ok bool) {
	for len(records) > 0 {
		n := o.limits.Fit(records)
		if n == 0 {
			rejected, records = append(rejected, records[0]), records[1:]
			continue
		}
		refused, ok := o.appendParted(records[:n])
		if !ok {
			return nil, false
		}
		rejected, records = append(rejected, refused...), records[n:]
	}
	return rejected, true
}

// appendParted appends records together, or in ever smaller parts if the log refuses them for good.
func (o *owner) appendParted(records []ledger.Record) (rejected []ledger.Record, ok bool) {
	refused, ok := o.append(records)
	switch {
	case !ok || !refused:
		return nil, ok
	case len(records) == 1:
		return records, true
	}
	half := len(records) / 2
	first, ok := o.appendParted(records[:half])
	if !ok {
		return nil, false
	}
	second, ok := o.appendParted(records[half:])
	return append(first, second...), ok
}

// append retries an append until the log answers it or the owner is fenced, which is when ok is
// false. rejected says that the log refuses it for good. Retries carry the same sequence number, so
// they have no effect if an earlier attempt succeeded. A refused append uses up no number.
func (o *owner) append(records []ledger.Record) (rejected, ok bool) {
	args := port.Append{Topic: port.TopicJobs, Records: records, Fence: &port.Fence{Epoch: o.epoch, Seq: o.seq}, At: port.AnyOffset}
	for o.ctx.Err() == nil {
		began := o.clock()
		ctx, cancel := context.WithTimeout(o.ctx, appendTimeout)
		_, err := o.log.Append(ctx, args)
		cancel()
		var refusal *port.RejectedError
		switch {
		case err == nil:
			o.seq++
			o.metrics.appends.Inc(1)
			o.appendedAt.Store(int64(o.now()))
			o.contactAt.Store(int64(began))
			return false, true
		case errors.Is(err, port.ErrFenced):
			o.loseOwnership("the log")
			return false, false
		case errors.As(err, &refusal):
			o.logger.Warn("append refused by the log for good", "records", len(records), "seq", o.seq, "error", err)
			return true, true
		}
		if o.ctx.Err() == nil {
			o.metrics.appendFails.Inc(1)
			o.logger.Warn("append to the log failed; retrying", "records", len(records), "seq", o.seq, "error", err)
		}
		select {
		case <-o.ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
	return false, false
}
