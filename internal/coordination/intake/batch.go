package intake

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
)

const (
	// batchTimeout bounds one append for callers of this entry.
	batchTimeout = 2 * time.Second
	// maxBatch is the maximum number of records in one append.
	maxBatch = 256
)

// batcher appends the records of concurrent callers together, with one append in flight:
// a slow log takes few appends per second, whatever their size.
type batcher struct {
	log     port.Log
	limits  ledger.Limits
	mu      sync.Mutex
	waiting []*pending
	running bool
}

// pending is a record that waits for an append.
type pending struct {
	record ledger.Record
	done   chan error
}

// check returns a *port.RejectedError for a record that the log does not take.
func (b *batcher) check(record ledger.Record) error {
	if b.limits.Fit([]ledger.Record{record}) > 0 {
		return nil
	}
	return &port.RejectedError{Reason: fmt.Sprintf("the record %q has %d bytes, of %d", record.Key, record.Size(), b.limits.RecordBytes)}
}

// append waits until the record is appended or the context ends. If the context ends
// while the record is in flight, it may still be appended; if it was not sent yet, append
// returns port.ErrNotDone.
func (b *batcher) append(ctx context.Context, record ledger.Record) error {
	if ctx.Err() != nil {
		return port.ErrNotDone
	}
	if err := b.check(record); err != nil {
		return err
	}
	p := &pending{record, make(chan error, 1)}
	b.mu.Lock()
	b.waiting = append(b.waiting, p)
	start := !b.running
	b.running = true
	b.mu.Unlock()
	if start {
		go b.run()
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		if b.withdraw(p) {
			return port.ErrNotDone
		}
		return ctx.Err()
	}
}

// withdraw removes a record that is not in flight yet, and reports whether it did.
func (b *batcher) withdraw(p *pending) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.waiting {
		if other == p {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// run appends batches until no record waits.
func (b *batcher) run() {
	for {
		b.mu.Lock()
		if len(b.waiting) == 0 {
			b.running = false
			b.mu.Unlock()
			return
		}
		records := make([]ledger.Record, 0, min(len(b.waiting), maxBatch))
		for _, p := range b.waiting[:cap(records)] {
			records = append(records, p.record)
		}
		n := b.limits.Fit(records) // at least 1, as each record fits by itself
		current := b.waiting[:n:n]
		b.waiting = append([]*pending(nil), b.waiting[n:]...)
		b.mu.Unlock()
		b.send(current, records[:n])
	}
}

// send appends the records of callers. If the log refuses them together for good, each is sent by
// itself, so that one cannot hold up the others.
func (b *batcher) send(callers []*pending, records []ledger.Record) {
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	_, err := b.log.Append(ctx, port.Append{Topic: port.TopicJobs, Records: records, At: port.AnyOffset})
	cancel()
	var rejected *port.RejectedError
	if len(callers) > 1 && errors.As(err, &rejected) {
		for i, p := range callers {
			b.send([]*pending{p}, records[i:i+1])
		}
		return
	}
	for _, p := range callers {
		p.done <- err
	}
}
