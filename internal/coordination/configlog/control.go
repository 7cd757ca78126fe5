package configlog

import (
	"context"
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/internal/state/config"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// control owns the fold. It is used only by the goroutine of its run method.
type control struct {
	f       *Follower
	fold    *config.Fold
	history history
	queue   writeQueue
	// nextBatch receives the next batch; nil if the writer has not requested one.
	nextBatch chan<- batch
	// waiters holds the writers that wait for the outcome of each write ID.
	waiters map[string][]chan writeOutcome
	// replies send outcomes to writers; they run once the fold is published.
	replies []func()
	// pendingConfirm is the ID of the confirmation that is queued or being
	// appended; empty if there is none.
	pendingConfirm string
	// confirmTimer fires when Options.Settle is called again after Draining.
	confirmTimer *time.Timer
	// budgetTimer fires when the rate limit allows another batch of own records.
	budgetTimer *time.Timer
	// snapshotTimer fires when the next snapshot is due. Entries whose snapshots are due
	// between the same two ticks would all write one.
	snapshotTimer *time.Timer
	snapshots     snapshotPlan
}

func newControl(f *Follower) *control {
	c := &control{f: f, fold: config.NewFold(), waiters: map[string][]chan writeOutcome{}}
	c.fold.SetHome(f.opts.Domain)
	return c
}

func (c *control) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	c.confirmTimer = time.NewTimer(tickInterval)
	defer c.confirmTimer.Stop()
	c.budgetTimer = time.NewTimer(tickInterval)
	defer c.budgetTimer.Stop()
	c.snapshotTimer = time.NewTimer(tickInterval)
	defer c.snapshotTimer.Stop()
	for {
		c.dispatchBatch()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-c.f.events:
			c.handle(e)
		case <-c.confirmTimer.C:
			c.confirmView()
		case <-c.budgetTimer.C:
		case <-c.snapshotTimer.C:
			c.snapshot()
		case <-ticker.C:
			c.confirmView()
			c.snapshot()
		}
	}
}

// dispatchBatch sends the writer a batch if it has requested one, records are queued
// and the rate limit of own records allows it. A batch with an operator's write is
// not subject to that limit.
func (c *control) dispatchBatch() {
	if c.nextBatch == nil || c.queue.len() == 0 {
		return
	}
	if len(c.queue.operatorWrites) == 0 && !c.f.ownLimiter.Allow() {
		c.budgetTimer.Reset(time.Duration(float64(time.Second) / c.f.opts.AppendsPerSecond))
		return
	}
	records := c.queue.pop()
	data, err := config.Encode(records)
	if err != nil {
		c.failWrites(records, err, notWritten)
		return
	}
	c.nextBatch <- batch{id: NewWriteID(), data: data, records: records}
	c.nextBatch = nil
}

func (c *control) handle(e event) {
	switch e := e.(type) {
	case recordsRead:
		c.applyAll(e.records)
		c.publish()
		if e.ready {
			c.f.markReady()
		}
		close(e.done)
	case adoptRequest:
		e.adopted <- c.adopt(e)
	case writeRequest:
		c.enqueueWrite(e)
	case writeAbandoned:
		e.sent <- c.abandon(e)
	case batchRequest:
		c.nextBatch = e.batch
	case batchResult:
		if e.err != nil {
			c.failWrites(e.batch.records, e.err, outcomeUnknown)
		}
	}
}

// applyAll folds the records that continue the fold and skips those already folded.
// It stops at a gap. It reports whether it folded any.
func (c *control) applyAll(records []devplatform.StoredRecord) bool {
	changed := false
	for _, stored := range records {
		if stored.Offset <= c.fold.Version() {
			continue
		}
		if stored.Offset != c.fold.Version()+1 {
			c.f.log.Error("configuration record is out of order", "offset", stored.Offset, "version", c.fold.Version())
			return changed
		}
		c.apply(stored)
		changed = true
	}
	return changed
}

func (c *control) apply(stored devplatform.StoredRecord) {
	records, err := config.Decode(stored.Data)
	if len(stored.Data) > 0 && err != nil {
		c.f.meters.malformed.Inc(1)
		c.f.log.Error("configuration record is malformed", "offset", stored.Offset, "error", singleLine(err))
	}
	c.fold.Skip(stored.Offset)
	hasSnapshot := false
	for _, record := range records {
		result := c.fold.Apply(stored.Offset, record)
		c.noteResult(stored.Offset, record, result)
		if part, ok := record.Body.(config.Snapshot); ok {
			hasSnapshot = true
			c.snapshots.notePart(part, record.At)
		} else {
			c.snapshots.noteRecord(record.At)
		}
	}
	if hasSnapshot {
		// Peers need the offset but not the snapshot data.
		stored.Data = nil
	}
	c.history.add(stored)
}

// noteResult logs a record that was not accepted and queues the reply to its writer.
func (c *control) noteResult(offset int64, record config.Record, result config.Result) {
	switch result.Outcome {
	case config.Conflict, config.Invalid:
		c.f.meters.rejected.Inc(1)
		c.f.log.Info("configuration record rejected", "offset", offset, "kind", record.Body.Kind(), "write", record.ID,
			"outcome", result.Outcome, "field", result.Field)
	case config.Skipped:
		c.f.meters.skipped.Inc(1)
		c.f.log.Warn("configuration record of unknown kind skipped", "offset", offset, "write", record.ID)
	case config.Accepted, config.Duplicate:
	}
	if record.ID == c.pendingConfirm {
		c.pendingConfirm = ""
	}
	if first, at, ok := c.fold.LookupWrite(record.ID); ok {
		c.queueReply(record.ID, writeOutcome{result: first, offset: at})
		return
	}
	c.queueReply(record.ID, writeOutcome{result: result, offset: offset})
}

func (c *control) queueReply(id string, outcome writeOutcome) {
	for _, done := range c.waiters[id] {
		c.replies = append(c.replies, func() { done <- outcome })
	}
	delete(c.waiters, id)
}

// sendReplies sends the queued outcomes to the writers.
func (c *control) sendReplies() {
	for _, send := range c.replies {
		send()
	}
	c.replies = nil
}

// publish makes the fold visible to other goroutines, then queues a confirmation if
// one is due and sends the replies to the writers.
func (c *control) publish() {
	defer c.sendReplies()
	old := c.f.current.Load()
	view := c.fold.View()
	if view.Version() <= old.view.Version() && !c.f.adoptOlder {
		return
	}
	c.f.current.Store(&published{view: view, history: c.history.records, superseded: make(chan struct{})})
	c.f.meters.version.Update(view.Version())
	close(old.superseded)
	c.confirmView()
}

// adopt replaces the fold by a newer one, if the request has one, and applies the
// records that follow it. The version never decreases. It reports whether the fold
// changed.
func (c *control) adopt(request adoptRequest) bool {
	changed := false
	if request.fold != nil && (request.fold.Version() > c.fold.Version() || c.f.adoptOlder) {
		c.fold = request.fold
		c.fold.SetHome(c.f.opts.Domain)
		c.history = history{}
		c.pendingConfirm = ""
		c.snapshots.noteAdopted()
		changed = true
		for id := range c.waiters {
			if result, at, ok := c.fold.LookupWrite(id); ok {
				c.queueReply(id, writeOutcome{result: result, offset: at})
			}
		}
	}
	changed = c.applyAll(request.records) || changed
	if !changed {
		return false
	}
	c.f.log.Info("configuration adopted", "version", c.fold.Version())
	c.publish()
	if request.ready {
		c.f.markReady()
	}
	return true
}

// enqueueWrite queues a write, unless its record was already folded; the writer then
// gets the outcome of that fold. A write whose ID is already waiting for its outcome
// gets the same one and is not queued again.
func (c *control) enqueueWrite(request writeRequest) {
	id := request.record.ID
	if result, at, ok := c.fold.LookupWrite(id); ok {
		request.done <- writeOutcome{result: result, offset: at}
		return
	}
	if len(c.waiters[id]) > 0 {
		c.waiters[id] = append(c.waiters[id], request.done)
		return
	}
	if c.queue.len() >= maxQueuedWrites {
		request.done <- writeOutcome{err: ErrQueueFull}
		return
	}
	bytes, err := encodeOne(request.record)
	if err != nil {
		request.done <- writeOutcome{err: err}
		return
	}
	c.waiters[id] = []chan writeOutcome{request.done}
	c.queue.push(request.record, bytes)
}

// abandon drops a write whose caller no longer waits, and reports whether it has been or
// may still be sent. The write stays queued while another caller waits for it.
func (c *control) abandon(e writeAbandoned) bool {
	c.waiters[e.id] = slices.DeleteFunc(c.waiters[e.id], func(done chan writeOutcome) bool { return done == e.done })
	if len(c.waiters[e.id]) > 0 {
		return true
	}
	delete(c.waiters, e.id)
	return !c.queue.remove(e.id)
}

// failWrites reports the failure of a batch to the writers of its records; asError makes
// the error of each from its write ID and the cause. The failure of one part of a
// snapshot cancels the parts that are still queued.
func (c *control) failWrites(records []config.Record, cause error, asError func(id string, cause error) error) {
	for _, record := range records {
		if record.ID == c.pendingConfirm {
			c.pendingConfirm = ""
		}
		if _, ok := record.Body.(config.Snapshot); ok {
			c.queue.removeSnapshots()
			c.snapshots.noteFailure(c.f.opts)
		}
		c.queueReply(record.ID, writeOutcome{err: asError(record.ID, cause)})
	}
	c.sendReplies()
}

// confirmView writes a confirmation that this entry has applied its view, if its
// domain waits for one.
func (c *control) confirmView() {
	if c.pendingConfirm != "" {
		return
	}
	view := c.fold.View()
	due, settle := view.ConfirmDue(c.f.opts.Entry)
	if !due && !settle {
		return
	}
	settlement := c.f.opts.Settle(view)
	if settlement == Draining {
		c.confirmTimer.Reset(settlePollInterval)
		return
	}
	if !due && settlement != Settled {
		return
	}
	c.pendingConfirm = c.enqueueOwn(config.Confirm{
		Entry:   c.f.opts.Entry,
		Version: view.Version(),
		Settled: settlement == Settled,
	})
}

// enqueueOwn queues a record of this process, for whose outcome no caller waits. It
// returns the record's ID, or "" if it can't be encoded.
func (c *control) enqueueOwn(body config.Body) string {
	record := config.Record{ID: NewWriteID(), Base: config.AnyVersion, At: time.Now().UnixMilli(), Body: body}
	bytes, err := encodeOne(record)
	if err != nil {
		c.f.log.Error("configuration record can't be encoded", "kind", body.Kind(), "error", singleLine(err))
		return ""
	}
	c.queue.push(record, bytes)
	return record.ID
}
