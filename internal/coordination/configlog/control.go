package configlog

import (
	"context"
	"time"

	"github.com/samphirerail/samphirerail/internal/state/config"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// control owns the fold. Only its run method's goroutine uses it.
type control struct {
	f       *Follower
	fold    *config.Fold
	history history
	queue   writeQueue
	// wanted receives the next batch; nil when the writer asks for none.
	wanted  chan<- batch
	waiters map[string]chan writeOutcome
	// answers are outcomes that are told once the fold is published.
	answers []func()
	// confirming is the ID of the confirmation on its way.
	confirming string
	// again fires when a process that drains is to be asked once more.
	again *time.Timer
	// budget fires when the next batch of own records may be handed out.
	budget    *time.Timer
	snapshots snapshotPlan
}

func newControl(f *Follower) *control {
	c := &control{f: f, fold: config.NewFold(), waiters: map[string]chan writeOutcome{}}
	c.fold.SetHome(f.opts.Domain)
	return c
}

func (c *control) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	c.again = time.NewTimer(tickInterval)
	defer c.again.Stop()
	c.budget = time.NewTimer(tickInterval)
	defer c.budget.Stop()
	for {
		c.handOut()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-c.f.events:
			c.handle(e)
		case <-c.again.C:
			c.confirm()
		case <-c.budget.C:
		case <-ticker.C:
			c.confirm()
			c.snapshot()
		}
	}
}

// handOut gives the writer a batch when it asks for one, records wait and the
// budget allows it.
func (c *control) handOut() {
	if c.wanted == nil || c.queue.len() == 0 {
		return
	}
	if len(c.queue.operators) == 0 && !c.f.ownLimiter.Allow() {
		c.budget.Reset(time.Duration(float64(time.Second) / c.f.opts.AppendsPerSecond))
		return
	}
	records := c.queue.pop()
	data, err := config.Encode(records)
	if err != nil {
		c.fail(records, err)
		return
	}
	c.wanted <- batch{id: NewWriteID(), data: data, records: records}
	c.wanted = nil
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
	case foldOffered:
		e.taken <- c.adopt(e)
	case writeAsked:
		c.ask(e)
	case writeGivenUp:
		e.sent <- c.forget(e.id)
	case batchWanted:
		c.wanted = e.batch
	case batchDone:
		if e.err != nil {
			c.fail(e.batch.records, e.err)
		}
	}
}

// applyAll folds records that continue the fold and skips those that it has.
func (c *control) applyAll(records []devplatform.StoredRecord) bool {
	moved := false
	for _, stored := range records {
		if stored.Offset <= c.fold.Version() {
			continue
		}
		if stored.Offset != c.fold.Version()+1 {
			c.f.log.Error("configuration record is out of order", "offset", stored.Offset, "version", c.fold.Version())
			return moved
		}
		c.apply(stored)
		moved = true
	}
	return moved
}

func (c *control) apply(stored devplatform.StoredRecord) {
	records, err := config.Decode(stored.Data)
	if len(stored.Data) > 0 && err != nil {
		c.f.meters.malformed.Inc(1)
		c.f.log.Error("configuration record is malformed", "offset", stored.Offset, "error", oneLine(err))
	}
	c.fold.Skip(stored.Offset)
	bulky := false
	for _, record := range records {
		result := c.fold.Apply(stored.Offset, record)
		c.noteResult(stored.Offset, record, result)
		if part, ok := record.Body.(config.Snapshot); ok {
			bulky = true
			c.snapshots.notePart(part, record.At)
		} else {
			c.snapshots.noteRecord(record.At)
		}
	}
	if bulky {
		// Peers need the offset, not the snapshot.
		stored.Data = nil
	}
	c.history.add(stored)
}

// noteResult logs a record that was not accepted and prepares the answer to its
// writer.
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
	if record.ID == c.confirming {
		c.confirming = ""
	}
	if first, at, ok := c.fold.Written(record.ID); ok {
		c.answer(record.ID, writeOutcome{result: first, offset: at})
		return
	}
	c.answer(record.ID, writeOutcome{result: result, offset: offset})
}

func (c *control) answer(id string, outcome writeOutcome) {
	if done, ok := c.waiters[id]; ok {
		delete(c.waiters, id)
		c.answers = append(c.answers, func() { done <- outcome })
	}
}

// tell sends the outcomes to the writers.
func (c *control) tell() {
	for _, send := range c.answers {
		send()
	}
	c.answers = nil
}

// publish shows the fold to other goroutines, answers the writers, and confirms
// what it must.
func (c *control) publish() {
	defer c.tell()
	old := c.f.current.Load()
	view := c.fold.View()
	if view.Version() <= old.view.Version() && !c.f.adoptOlder {
		return
	}
	c.f.current.Store(&published{view: view, history: c.history.records, next: make(chan struct{})})
	c.f.meters.version.Update(view.Version())
	close(old.next)
	c.confirm()
}

// adopt takes a newer fold and the records that follow it. The version never
// falls.
func (c *control) adopt(offered foldOffered) bool {
	moved := false
	if offered.fold != nil && (offered.fold.Version() > c.fold.Version() || c.f.adoptOlder) {
		c.fold = offered.fold
		c.fold.SetHome(c.f.opts.Domain)
		c.history = history{}
		c.confirming = ""
		c.snapshots.noteAdopted()
		moved = true
		for id := range c.waiters {
			if result, at, ok := c.fold.Written(id); ok {
				c.answer(id, writeOutcome{result: result, offset: at})
			}
		}
	}
	moved = c.applyAll(offered.records) || moved
	if !moved {
		return false
	}
	c.f.log.Info("configuration adopted", "version", c.fold.Version())
	c.publish()
	if offered.ready {
		c.f.markReady()
	}
	return true
}

// ask queues a write, unless its record was folded before.
func (c *control) ask(asked writeAsked) {
	id := asked.record.ID
	if result, at, ok := c.fold.Written(id); ok {
		asked.done <- writeOutcome{result: result, offset: at}
		return
	}
	if c.queue.len() >= maxQueuedWrites {
		asked.done <- writeOutcome{err: ErrQueueFull}
		return
	}
	bytes, err := encodeOne(asked.record)
	if err != nil {
		asked.done <- writeOutcome{err: err}
		return
	}
	c.waiters[id] = asked.done
	c.queue.push(asked.record, bytes)
}

// forget drops a write that nobody waits for, and reports whether it was sent.
func (c *control) forget(id string) bool {
	delete(c.waiters, id)
	return !c.queue.remove(id)
}

// fail tells the writers of records that the log did not take them.
func (c *control) fail(records []config.Record, cause error) {
	for _, record := range records {
		if record.ID == c.confirming {
			c.confirming = ""
		}
		if _, ok := record.Body.(config.Snapshot); ok {
			c.queue.removeSnapshots()
			c.snapshots.noteFailure(c.f.opts)
		}
		c.answer(record.ID, writeOutcome{err: unknownWrite(record.ID, cause)})
	}
	c.tell()
}

// confirm tells the stream that this entry acts on its view, when its domain
// waits for that.
func (c *control) confirm() {
	if c.confirming != "" {
		return
	}
	view := c.fold.View()
	due, settle := view.ConfirmDue(c.f.opts.Entry)
	if !due && !settle {
		return
	}
	settlement := c.f.opts.Settle(view)
	if settlement == Draining {
		c.again.Reset(drainInterval)
		return
	}
	if !due && settlement != Settled {
		return
	}
	c.confirming = c.enqueueOwn(config.Confirm{
		Entry:   c.f.opts.Entry,
		Version: view.Version(),
		Settled: settlement == Settled,
	})
}

// enqueueOwn queues a record that nobody waits for and returns its ID.
func (c *control) enqueueOwn(body config.Body) string {
	record := config.Record{ID: NewWriteID(), Base: config.AnyVersion, At: time.Now().UnixMilli(), Body: body}
	bytes, err := encodeOne(record)
	if err != nil {
		c.f.log.Error("configuration record can't be encoded", "kind", body.Kind(), "error", oneLine(err))
		return ""
	}
	c.queue.push(record, bytes)
	return record.ID
}
