package dispatch

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/scheduler"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

const (
	// flushGap is the least time between two appends of the owner; each is
	// priced. finalFlushGap holds when a caller or a start waits for it.
	flushGap      = 25 * time.Millisecond
	finalFlushGap = 8 * time.Millisecond
	// heartbeat is the longest time between two appends of the owner.
	heartbeat = 500 * time.Millisecond
	// appendTimeout bounds an append of the owner.
	appendTimeout = 4 * time.Second
	// expireInterval is how often ended jobs are looked for.
	expireInterval = 5 * time.Second
)

// request is a caller's record that waits to be recorded.
type request struct {
	record ledger.Record
	job    *workload.Job
	cancel workload.JobID
	done   chan error
}

type finalPhase struct {
	phase ledger.Phase
	at    time.Time
}

// ack is an end that a link may forget once the log holds it.
type ack struct {
	link   *link
	life   int
	number int64
}

// flush records what changed, one append at a time.
func (o *owner) flush(now time.Time) {
	if o.flushing || o.releasing {
		return
	}
	dirty, final := o.sched.Dirty()
	dirty = dirty || len(o.acks) > 0
	final = final || len(o.requests) > 0 || len(o.planned) > 0
	dirty = dirty || final
	since := now.Sub(o.flushedAt)
	gap := heartbeat
	switch {
	case final:
		gap = finalFlushGap
	case dirty:
		gap = flushGap
	}
	if since < gap {
		if dirty {
			time.AfterFunc(gap-since, func() { o.post(func() {}) })
		}
		return
	}
	o.startFlush(now)
}

// startFlush appends everything that waits to be recorded.
func (o *owner) startFlush(now time.Time) {
	records := o.drops
	o.drops = nil
	requests := o.requests
	o.requests = nil
	for i := range requests {
		records = append(records, requests[i].record)
	}
	var ended []scheduler.Ended
	ids, states := o.sched.Changed(now.UnixMilli())
	for i := range ids {
		record, err := ledger.StateRecord(ids[i], &states[i])
		if err != nil {
			o.logger.Error("job state not encoded", "job", ids[i], "error", err)
			continue
		}
		records = append(records, record)
		if states[i].Phase.Final() {
			o.logger.Info("job ended", "job", ids[i], "phase", states[i].Phase)
			ended = append(ended, scheduler.Ended{Job: ids[i], Phase: states[i].Phase})
		}
	}
	if now.Sub(o.expiredAt) > expireInterval {
		o.expiredAt = now
		maps.DeleteFunc(o.final, func(_ workload.JobID, f finalPhase) bool { return now.Sub(f.at) > expireInterval })
		o.expire(now)
	}
	if len(records) == 0 {
		record, err := ledger.ClaimRecord(&o.claim)
		if err != nil {
			o.logger.Error("heartbeat not encoded", "error", err)
			return
		}
		records = append(records, record)
	}
	acks, starts := o.acks, o.planned
	o.acks, o.planned = nil, nil
	o.flushing, o.flushedAt = true, now
	entry := port.Append{Topic: port.TopicJobs, Records: records, Fence: &port.Fence{Epoch: o.epoch, Seq: o.seq}, At: port.AnyOffset}
	o.seq++
	o.group.Go(func() {
		if !o.append(entry) {
			for i := range requests {
				requests[i].done <- errNotRecorded
			}
			return
		}
		for _, a := range acks {
			a.link.acknowledge(a.life, a.number)
		}
		o.post(func() { o.flushed(requests, ended, starts) })
	})
}

// errNotRecorded: the term ended before the log answered.
var errNotRecorded = errors.New("dispatch: ownership ended before the log answered; the record may still be written")

// flushed takes in that an append is done.
func (o *owner) flushed(requests []request, ended []scheduler.Ended, starts []scheduler.Start) {
	o.flushing = false
	o.sendAll(starts)
	for _, e := range ended {
		o.final[e.Job] = finalPhase{e.Phase, time.Now()}
	}
	for _, r := range requests {
		switch {
		case r.job != nil:
			o.takeNew(r.job, &ledger.JobState{}, false)
		case r.cancel != "":
			o.sched.Cancel(o.now(), r.cancel)
			o.logger.Info("job cancelled", "job", r.cancel)
		}
		r.done <- nil
	}
}

// record takes in a caller's record. The control loop calls it.
func (o *owner) record(r request) {
	if r.job != nil && o.knows(r.job.ID) {
		r.done <- nil
		return
	}
	if o.releasing {
		r.done <- port.ErrNotOwner
		return
	}
	o.requests = append(o.requests, r)
}

// knows reports whether a job was accepted before.
func (o *owner) knows(id workload.JobID) bool {
	_, ok := o.phase(id)
	return ok
}

// phase returns the newest recorded phase of a job.
func (o *owner) phase(id workload.JobID) (ledger.Phase, bool) {
	if f, ok := o.final[id]; ok {
		return f.phase, true
	}
	if p, ok := o.sched.Phase(id); ok {
		return p, true
	}
	if row, ok := o.replica.Row(id); ok && row.Job != nil {
		return row.Phase(), true
	}
	return 0, false
}

// append repeats an append until it is done or the owner is fenced. A repeat
// with the same sequence number changes nothing if the first one was done.
func (o *owner) append(entry port.Append) bool {
	for o.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(o.ctx, appendTimeout)
		_, err := o.log.Append(ctx, entry)
		cancel()
		switch {
		case err == nil:
			o.metrics.appends.Inc(1)
			o.contactAt.Store(int64(o.now()))
			return true
		case errors.Is(err, port.ErrFenced):
			o.post(func() { o.fenced("the log") })
			return false
		}
		if o.ctx.Err() == nil {
			o.metrics.appendFails.Inc(1)
			o.logger.Warn("state not recorded yet", "records", len(entry.Records), "seq", entry.Fence.Seq, "error", err)
		}
		select {
		case <-o.ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
	return false
}

// expire drops jobs that ended long ago from the log.
func (o *owner) expire(now time.Time) {
	before := now.Add(-o.retention).UnixMilli()
	o.replica.View(func(t *ledger.Table, _ int64) {
		t.Rows(func(row *ledger.Row) {
			if row.State.Phase.Final() && row.State.FinalUnixMS > 0 && row.State.FinalUnixMS < before {
				o.drops = append(o.drops, ledger.DropRecords(row.Job.ID)...)
				delete(o.taken, row.Job.ID)
			}
		})
	})
}
