package intake

import (
	"context"
	"sync"
	"time"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
)

const (
	// batchTimeout bounds one append for callers of this entry.
	batchTimeout = 2 * time.Second
	// maxBatch is the maximum number of records in one append; each is at most a few kB
	// and an append may hold 2 MB.
	maxBatch = 256
)

// batcher appends the records of concurrent callers together, with one append in flight:
// a slow log takes few appends per second, whatever their size.
type batcher struct {
	log     port.Log
	mu      sync.Mutex
	waiting []*pending
	running bool
}

// pending is a record that waits for an append.
type pending struct {
	record ledger.Record
	done   chan error
}

// append waits until the record is appended or the context ends. If the context ends
// while the record is in flight, it may still be appended; if it was not sent yet, append
// returns port.ErrNotDone.
func (b *batcher) append(ctx context.Context, record ledger.Record) error {
	if ctx.Err() != nil {
		return port.ErrNotDone
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
		n := min(len(b.waiting), maxBatch)
		if n == 0 {
			b.running = false
			b.mu.Unlock()
			return
		}
		current := b.waiting[:n:n]
		b.waiting = append([]*pending(nil), b.waiting[n:]...)
		b.mu.Unlock()
		records := make([]ledger.Record, n)
		for i, p := range current {
			records[i] = p.record
		}
		ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
		_, err := b.log.Append(ctx, port.Append{Topic: port.TopicJobs, Records: records, At: port.AnyOffset})
		cancel()
		for _, p := range current {
			p.done <- err
		}
	}
}
