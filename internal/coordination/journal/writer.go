package journal

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel"

	"github.com/samphirerail/samphirerail/standin/devplatform"
)

var tracer = otel.Tracer("samphirerail/journal")

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// carryPoll is the interval at which the age of the base is looked at.
	carryPoll = time.Second
)

// writer is what belongs to the goroutine of Run.
type writer struct {
	// next is the offset that the next append must get.
	next     int64
	sequence uint64
	base     int64
	baseAt   time.Time
	// sinceBase is what a reader would read from the base on, in bytes.
	sinceBase int
	carry     *carry
}

// Run takes the stream over, reports the unfinished jobs and then writes until
// ctx ends. It fails with ErrFenced once a newer owner writes.
func (j *Journal) Run(ctx context.Context) error {
	defer j.stopWriting()
	jobs, err := j.takeOver(ctx)
	if err != nil {
		return err
	}
	j.reopen(jobs)
	if j.cfg.OnRecovered != nil {
		j.cfg.OnRecovered(jobs)
	}
	for {
		if err := j.awaitWork(ctx); err != nil {
			return err
		}
		if err := j.flush(ctx); err != nil {
			return err
		}
	}
}

// awaitWork returns when there is something to write and an append is within
// the budget.
func (j *Journal) awaitWork(ctx context.Context) error {
	poll := time.NewTicker(carryPoll)
	defer poll.Stop()
	for !j.hasWork() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-j.wake:
		case <-poll.C:
		}
	}
	if err := sleep(ctx, j.cfg.MaxDelay); err != nil {
		return err
	}
	return eris.Wrap(j.limiter.Wait(ctx), "journal: wait for the append budget")
}

func (j *Journal) hasWork() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.beginCarry(time.Now())
	return len(j.groups) > 0 || j.writer.carry != nil
}

// flush writes the group in front.
func (j *Journal) flush(ctx context.Context) error {
	g, b := j.build()
	if len(b.Entries) == 0 {
		j.settleGroup(g)
		j.afterStore(0)
		return nil
	}
	size, stored, err := j.store(ctx, &b)
	if stored {
		j.settleGroup(g)
		j.afterStore(size)
	}
	return err
}

// build takes the group in front and what is to be carried forward.
func (j *Journal) build() (*group, batch) {
	j.mu.Lock()
	defer j.mu.Unlock()
	w := &j.writer
	b := batch{Epoch: j.cfg.Epoch, Base: w.base, BaseUnixMS: w.baseAt.UnixMilli()}
	var g *group
	used := 0
	room := devplatform.MaxRecordBytes - batchOverhead
	if len(j.groups) > 0 && j.nextCarried()+j.groups[0].bytes <= room {
		g = j.groups[0]
		g.sent = true
		used = g.bytes
	}
	b.Entries = j.carried(room - used)
	if g != nil {
		for _, o := range g.ops {
			b.Entries = appendEntry(b.Entries, o)
		}
	}
	if len(b.Entries) > 0 {
		w.sequence++
		b.Sequence = w.sequence
	}
	return g, b
}

// appendEntry adds an entry. A job that ended before it was written and one that
// is in the log already need none.
func appendEntry(entries []entry, o op) []entry {
	switch {
	case o.end:
		return append(entries, entry{Ended: &ended{ID: o.job.job.ID, State: o.job.ended}})
	case o.job.written || o.job.ended != "":
		return entries
	}
	o.job.written = true
	return append(entries, entry{Accepted: &o.job.job})
}

// settleGroup takes in that the group in front is stored.
func (j *Journal) settleGroup(g *group) {
	if g == nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.groups = j.groups[1:]
	j.pending -= g.bytes
	for _, o := range g.ops {
		if id := o.job.job.ID; o.end && j.ending[id] == g.commit {
			delete(j.ending, id)
		}
	}
	g.commit.settle(true)
}

// stopWriting fails what is not stored.
func (j *Journal) stopWriting() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.fenced = true
	for _, g := range j.groups {
		g.commit.settle(false)
	}
	j.groups, j.pending = nil, 0
}

// store appends a batch until it is in the log once. It may be stored and the
// writer fenced all the same.
func (j *Journal) store(ctx context.Context, b *batch) (size int, stored bool, err error) {
	ctx, span := tracer.Start(ctx, "journal.append")
	defer span.End()
	data, err := b.encode()
	if err != nil {
		return 0, false, err
	}
	id := uuid.NewString()
	delays := newBackoff()
	for ctx.Err() == nil {
		offset, err := j.append(ctx, id, data)
		if err == nil {
			j.writer.next = offset + 1
			return len(data), true, nil
		}
		if !errors.Is(err, devplatform.ErrOffsetMismatch) {
			j.log.Warn("journal append failed", "bytes", len(data), "error", err.Error())
			if err := sleep(ctx, delays.NextBackOff()); err != nil {
				return 0, false, err
			}
		}
		found, err := j.lookFor(ctx, id)
		if found || errors.Is(err, ErrFenced) {
			return len(data), found, err
		}
	}
	return 0, false, ctx.Err()
}

func (j *Journal) append(ctx context.Context, id string, data []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, j.cfg.Call)
	defer cancel()
	req := devplatform.AppendRequest{Stream: Stream(j.cfg.Domain), Record: devplatform.Record{ID: id, Data: data}}
	if !j.cfg.unconditional {
		req.ExpectedOffset = &j.writer.next
	}
	return j.cfg.Log.Append(ctx, req)
}

// lookFor reads what the stream holds past the known tail, and reports whether a
// record with the ID is there. It fails with ErrFenced when a newer owner wrote,
// or may have written what the log keeps no longer.
func (j *Journal) lookFor(ctx context.Context, id string) (found bool, err error) {
	for {
		reply, err := j.read(ctx, j.writer.next, 0)
		switch {
		case errors.Is(err, devplatform.ErrForgotten) && !j.cfg.unconditional:
			return found, ErrFenced
		case err != nil:
			return found, err
		}
		for _, r := range reply.Records {
			j.writer.next = r.Offset + 1
			found = found || r.ID == id
			b, err := decode(r.Data)
			if err == nil && b.Epoch.Compare(j.cfg.Epoch) > 0 && !j.cfg.unconditional {
				return found, ErrFenced
			}
		}
		if len(reply.Records) == 0 || j.writer.next >= reply.Tail {
			return found, nil
		}
	}
}

func (j *Journal) read(ctx context.Context, from int64, limit int) (devplatform.ReadReply, error) {
	ctx, cancel := context.WithTimeout(ctx, j.cfg.Call)
	defer cancel()
	return j.cfg.Log.Read(ctx, devplatform.ReadRequest{Stream: Stream(j.cfg.Domain), From: from, Limit: limit})
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minBackoff
	b.MaxInterval = maxBackoff
	return b
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
