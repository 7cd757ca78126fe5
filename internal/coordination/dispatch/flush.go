package dispatch

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/scheduler"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

const (
	// flushGap is the minimum time between two appends of the owner, since each append
	// is billed. urgentFlushGap applies when a caller or a start waits for the append.
	flushGap       = 25 * time.Millisecond
	urgentFlushGap = 8 * time.Millisecond
	// heartbeatInterval is the maximum time between two appends of the owner.
	heartbeatInterval = 500 * time.Millisecond
	// appendTimeout bounds one attempt at an append of the owner.
	appendTimeout = 4 * time.Second
	// expireInterval is how often the owner checks for ended jobs to drop.
	expireInterval = 5 * time.Second
)

// request is a caller's record that waits for the next append.
type request struct {
	record ledger.Record
	job    *workload.Job
	cancel workload.JobID
	done   chan error
}

// jobID returns the ID of the submitted job, or "" for another record.
func (r *request) jobID() workload.JobID {
	if r.job == nil {
		return ""
	}
	return r.job.ID
}

// finalPhase is the phase in which a job ended, and when that was recorded.
type finalPhase struct {
	phase ledger.Phase
	at    time.Time
}

// ack is a run end that the upstream may drop once the log holds it.
type ack struct {
	link        *link
	incarnation int
	number      int64
}

// flush appends pending changes if the minimum gap has passed. At most one append
// is in flight.
func (o *owner) flush(now time.Time) {
	if o.flushing || o.releasing {
		return
	}
	dirty, urgent := o.sched.Dirty()
	recordDue, leaseWaits := o.leaseEndsDue(now)
	dirty = dirty || recordDue || len(o.acks) > 0
	urgent = urgent || leaseWaits || len(o.requests) > 0 || len(o.pendingStarts) > 0
	dirty = dirty || urgent
	elapsed := now.Sub(o.flushedAt)
	gap := heartbeatInterval
	switch {
	case urgent:
		gap = urgentFlushGap
	case dirty:
		gap = flushGap
	}
	if elapsed < gap {
		if dirty {
			time.AfterFunc(gap-elapsed, func() { o.post(func() {}) })
		}
		return
	}
	o.startFlush(now)
}

// startFlush appends everything that waits to be recorded, or a heartbeat if nothing
// does.
func (o *owner) startFlush(now time.Time) {
	records := o.drops
	o.drops = nil
	requests := o.requests
	o.requests = nil
	for i := range requests {
		records = append(records, requests[i].record)
	}
	var ended []scheduler.EndedJob
	ids, states := o.sched.Changed(now.UnixMilli())
	for i := range ids {
		record, ok := o.stateRecord(ids[i], &states[i])
		if !ok {
			continue
		}
		records = append(records, record)
		if states[i].Phase.Final() {
			o.logEnded(ids[i], states[i].Phase)
			ended = append(ended, scheduler.EndedJob{Job: ids[i], Phase: states[i].Phase})
		}
	}
	if now.Sub(o.expiredAt) > expireInterval {
		o.expiredAt = now
		maps.DeleteFunc(o.final, func(_ workload.JobID, f finalPhase) bool { return now.Sub(f.at) > expireInterval })
		o.expire(now)
		o.expireUnknownEnds(now)
	}
	list := o.updateStartList(now)
	if len(records) == 0 || list != nil {
		record, err := ledger.ClaimRecord(&o.claim)
		if err != nil {
			o.logger.Error("claim not encoded", "error", err)
			list = nil
		} else {
			records = append(records, record)
		}
	}
	if len(records) == 0 {
		return
	}
	records = o.appendRunTimes(now, records)
	records, leaseEnds := o.appendLeaseEnds(now, records)
	acks, starts := o.acks, o.pendingStarts
	o.acks, o.pendingStarts = nil, nil
	o.unrecorded.inFlight = slices.Clone(starts)
	o.flushing, o.flushedAt = true, now
	o.spawn(func() {
		rejected, ok := o.appendAll(records)
		if !ok {
			for i := range requests {
				requests[i].done <- errNotRecorded
			}
			return
		}
		for _, a := range acks {
			a.link.acknowledge(a.incarnation, a.number)
		}
		o.post(func() {
			o.finishStartList(now, list)
			o.finishLeaseEnds(leaseEnds, rejected)
			o.finishFlush(o.dropRejected(requests, rejected), ended, starts)
		})
	})
}

// errNotRecorded is returned to callers when ownership ends before the log responds.
var errNotRecorded = errors.New("dispatch: ownership ended before the log answered; the record may still be written")

// finishFlush handles a completed append: it sends the recorded starts and answers
// the callers.
func (o *owner) finishFlush(requests []request, ended []scheduler.EndedJob, starts []scheduler.Start) {
	o.flushing = false
	o.sendStarts(starts)
	for _, e := range ended {
		o.final[e.Job] = finalPhase{e.Phase, time.Now()}
	}
	for _, r := range requests {
		switch {
		case r.job != nil:
			delete(o.submitted, r.job.ID)
		case r.cancel != "":
			o.sched.Cancel(o.now(), r.cancel)
			o.endSetAside(r.cancel)
			o.logger.Info("job cancelled", "job", r.cancel)
		}
		r.done <- nil
	}
}

// addRequest queues a caller's record for the next append. It must be called from the
// control loop. A job that an earlier call has submitted is not refused, although the log
// does not hold it yet: the earlier call's record will make it run.
func (o *owner) addRequest(r request) {
	_, waiting := o.submitted[r.jobID()]
	if r.job != nil && !waiting && o.hasJob(r.job.ID) {
		r.done <- nil
		return
	}
	if o.releasing {
		r.done <- port.ErrNotOwner
		return
	}
	if r.job != nil && !waiting {
		if err := o.refuseTooLarge(&r); err != nil {
			r.done <- err
			return
		}
		if err := o.refuseLarge(r.job); err != nil {
			r.done <- err
			return
		}
		if retryAfter, refused := o.refuseEvacuated(r.job); refused {
			r.done <- &port.RefusedError{Reason: "only upstreams of evacuated failure domains could run the job", RetryAfter: retryAfter}
			return
		}
		if retryAfter, admitted := o.sched.Admit(o.now(), r.job); !admitted {
			r.done <- o.refusal(r.job, retryAfter)
			return
		}
	}
	o.requests = append(o.requests, r)
	if r.job != nil && !waiting {
		// Placing the job need not wait for the append that records it: the starts are recorded
		// by the same append or a later one, so none is sent before the log holds the job.
		o.submitted[r.job.ID] = struct{}{}
		o.noteLarge(r.job)
		o.addNewJob(r.job, &ledger.JobState{}, false)
	}
}

// hasJob reports whether a job was accepted before.
func (o *owner) hasJob(id workload.JobID) bool {
	_, ok := o.phase(id)
	return ok
}

// phase returns the newest recorded phase of a job, and whether the job is known. A job that
// the log does not hold yet is not.
func (o *owner) phase(id workload.JobID) (ledger.Phase, bool) {
	if f, ok := o.final[id]; ok {
		return f.phase, true
	}
	if _, unrecorded := o.submitted[id]; !unrecorded {
		if p, ok := o.sched.Phase(id); ok {
			return p, true
		}
	}
	if row, ok := o.replica.Row(id); ok && row.Job != nil {
		return row.Phase(), true
	}
	return 0, false
}

// expire drops the records of jobs that ended longer ago than the retention period.
func (o *owner) expire(now time.Time) {
	before := now.Add(-o.retention).UnixMilli()
	o.replica.View(func(t *ledger.Table, _ int64) {
		t.Rows(func(row *ledger.Row) {
			if row.State.Phase.Final() && row.State.FinalUnixMS > 0 && row.State.FinalUnixMS < before {
				o.drops = append(o.drops, ledger.DropRecords(row.Job.ID)...)
				delete(o.addedJobs, row.Job.ID)
				delete(o.setAside, row.Job.ID)
			}
		})
	})
}
