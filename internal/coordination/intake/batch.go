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
	// maxBatch is the most records of one append; each is at most a few kB and
	// an append may hold 2 MB.
	maxBatch = 256
)

// batch appends the records of concurrent callers together, with one append in
// flight: a slow log takes few appends a second, whatever their size.
type batch struct {
	log     port.Log
	mu      sync.Mutex
	waiting []*pending
	busy    bool
}

type pending struct {
	record ledger.Record
	done   chan error
}

// append waits until the record is appended or the context ends; in the latter
// case the record may still be appended, unless it still waits.
func (b *batch) append(ctx context.Context, record ledger.Record) error {
	if ctx.Err() != nil {
		return port.ErrNotDone
	}
	p := &pending{record, make(chan error, 1)}
	b.mu.Lock()
	b.waiting = append(b.waiting, p)
	start := !b.busy
	b.busy = true
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

// withdraw removes a record that still waits.
func (b *batch) withdraw(p *pending) bool {
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

// run appends until nothing waits.
func (b *batch) run() {
	for {
		b.mu.Lock()
		n := min(len(b.waiting), maxBatch)
		if n == 0 {
			b.busy = false
			b.mu.Unlock()
			return
		}
		now := b.waiting[:n:n]
		b.waiting = append([]*pending(nil), b.waiting[n:]...)
		b.mu.Unlock()
		records := make([]ledger.Record, n)
		for i, p := range now {
			records[i] = p.record
		}
		ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
		_, err := b.log.Append(ctx, port.Append{Topic: port.TopicJobs, Records: records, At: port.AnyOffset})
		cancel()
		for _, p := range now {
			p.done <- err
		}
	}
}
