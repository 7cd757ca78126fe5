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
	// compactionCheckInterval is the longest time between two checks of the
	// base's age.
	compactionCheckInterval = time.Second
)

// writer is the state that only the goroutine of Run uses.
type writer struct {
	// next is the expected offset of the next append.
	next int64
	// sequence is the Sequence of the last batch.
	sequence uint64
	base     int64
	baseTime time.Time
	// bytesSinceBase is the size of the records that a reader would read from
	// the base on.
	bytesSinceBase int
	compaction     *compaction
	// noCompactionUntil is when the next pass may begin after one that was given up.
	noCompactionUntil time.Time
}

// Run takes the stream over, passes the unfinished jobs to OnRecovered and then
// writes events until ctx ends. It fails with ErrFenced once a newer owner writes.
// When it returns, the commits of all events that are not stored have failed.
func (j *Journal) Run(ctx context.Context) error {
	defer j.stopWriting()
	jobs, err := j.takeOver(ctx)
	if err != nil {
		return err
	}
	j.restore(jobs)
	if j.cfg.OnRecovered != nil {
		j.cfg.OnRecovered(jobs)
	}
	for {
		if err := j.waitForWork(ctx); err != nil {
			return err
		}
		if err := j.flush(ctx); err != nil {
			return err
		}
	}
}

// waitForWork returns when there are events to write and the rate limit allows an
// append.
func (j *Journal) waitForWork(ctx context.Context) error {
	poll := time.NewTicker(compactionCheckInterval)
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
	return eris.Wrap(j.limiter.Wait(ctx), "journal: wait for the append rate limit")
}

func (j *Journal) hasWork() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.startCompaction(time.Now())
	return len(j.groups) > 0 || j.writer.compaction != nil
}

// flush writes the first group.
func (j *Journal) flush(ctx context.Context) error {
	g, b := j.buildBatch()
	if len(b.Events) == 0 {
		j.completeGroup(g)
		j.updateBase(0)
		return nil
	}
	size, stored, err := j.store(ctx, &b)
	switch {
	case errors.Is(err, devplatform.ErrTooLarge):
		j.log.Error("the log refuses a batch of the journal for good; its jobs are not stored", "bytes", size, "limit", devplatform.MaxRecordBytes, "events", len(b.Events))
		j.rejectGroup(g)
		return nil
	case stored:
		j.completeGroup(g)
		j.updateBase(size)
	}
	return err
}

// rejectGroup removes the first group, whose batch the log refuses for good, and fails its commit.
// A compaction in progress, whose jobs the batch may have held, is given up; the next one begins
// anew.
func (j *Journal) rejectGroup(g *group) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.writer.compaction, j.writer.noCompactionUntil = nil, time.Now().Add(j.cfg.CompactAfter)
	if g == nil {
		return
	}
	j.groups = j.groups[1:]
	j.pending -= g.bytes
	for _, e := range g.events {
		if !e.end {
			e.job.written = false
		}
	}
	g.commit.resolve(false)
}

// buildBatch returns the first group, and a batch of its events and of the next
// jobs to compact. The group is nil if none waits or it does not fit.
func (j *Journal) buildBatch() (*group, batch) {
	j.mu.Lock()
	defer j.mu.Unlock()
	w := &j.writer
	b := batch{Epoch: j.cfg.Epoch, Base: w.base, BaseUnixMS: w.baseTime.UnixMilli()}
	var g *group
	used := 0
	available := devplatform.MaxRecordBytes - batchOverhead
	if len(j.groups) > 0 && j.nextCompactedSize()+j.groups[0].bytes <= available {
		g = j.groups[0]
		g.sent = true
		used = g.bytes
	}
	b.Events = j.compactedEvents(available - used)
	if g != nil {
		for _, o := range g.events {
			b.Events = appendEvent(b.Events, o)
		}
	}
	if len(b.Events) > 0 {
		w.sequence++
		b.Sequence = w.sequence
	}
	return g, b
}

// appendEvent adds an event to a batch. The acceptance of a job is left out if the
// job ended before it was written, or is already in the log.
func appendEvent(events []event, o pendingEvent) []event {
	switch {
	case o.end:
		return append(events, event{Ended: &endEvent{ID: o.job.job.ID, State: o.job.finalState}})
	case o.job.written || o.job.finalState != "":
		return events
	}
	o.job.written = true
	return append(events, event{Accepted: &o.job.job})
}

// completeGroup removes the first group, which is stored, and resolves its commit.
func (j *Journal) completeGroup(g *group) {
	if g == nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.groups = j.groups[1:]
	j.pending -= g.bytes
	for _, o := range g.events {
		if id := o.job.job.ID; o.end && j.endCommits[id] == g.commit {
			delete(j.endCommits, id)
		}
	}
	g.commit.resolve(true)
}

// stopWriting fences the journal and fails the commits of all groups that are not
// stored.
func (j *Journal) stopWriting() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.fenced = true
	for _, g := range j.groups {
		g.commit.resolve(false)
	}
	j.groups, j.pending = nil, 0
}

// store appends a batch, with retries until it is known to be in the log. After an
// append with an unknown outcome it looks for the record before it appends again,
// so that the batch is stored once. It may return stored together with ErrFenced. It returns
// devplatform.ErrTooLarge at once for a batch that the log refuses for good.
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
		if errors.Is(err, devplatform.ErrTooLarge) {
			return len(data), false, err
		}
		if !errors.Is(err, devplatform.ErrOffsetMismatch) {
			j.log.Warn("journal append failed", "bytes", len(data), "error", err.Error())
			if err := sleep(ctx, delays.NextBackOff()); err != nil {
				return 0, false, err
			}
		}
		found, err := j.findRecord(ctx, id)
		if found || errors.Is(err, ErrFenced) {
			return len(data), found, err
		}
	}
	return 0, false, ctx.Err()
}

func (j *Journal) append(ctx context.Context, id string, data []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, j.cfg.CallTimeout)
	defer cancel()
	req := devplatform.AppendRequest{Stream: Stream(j.cfg.Domain), Record: devplatform.Record{ID: id, Data: data}}
	if !j.cfg.unconditional {
		req.ExpectedOffset = &j.writer.next
	}
	return j.cfg.Log.Append(ctx, req)
}

// findRecord reads the stream past the known tail and reports whether it has a
// record with the ID. It fails with ErrFenced when a newer owner has written, or
// may have written records that the log no longer keeps.
func (j *Journal) findRecord(ctx context.Context, id string) (found bool, err error) {
	for {
		reply, err := j.read(ctx, j.writer.next, 0)
		switch {
		case errors.Is(err, devplatform.ErrOffsetExpired) && !j.cfg.unconditional:
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
	ctx, cancel := context.WithTimeout(ctx, j.cfg.CallTimeout)
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
