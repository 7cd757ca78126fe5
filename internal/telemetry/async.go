package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
)

// maxQueuedLines and maxQueuedBytes bound the log lines that are queued. Lines may hold
// what callers sent.
const (
	maxQueuedLines = 4096
	maxQueuedBytes = 1 << 20
)

// AsyncWriter writes lines from a separate goroutine, so that a slow reader of the
// output does not block the process. Lines that do not fit into the queue are dropped
// and counted; the next write reports their number. It is safe for concurrent use.
type AsyncWriter struct {
	lines chan []byte
	// queued is the number of bytes in lines.
	queued  atomic.Int64
	dropped atomic.Int64
}

// NewAsyncWriter returns an AsyncWriter for out and starts its goroutine, which runs
// until the process exits.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, maxQueuedLines)}
	go w.run(out)
	return w
}

// Write queues a copy of line, or drops it if the queue is full. It never blocks and
// always returns len(line) and a nil error.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	size := int64(len(line))
	if w.queued.Add(size) > maxQueuedBytes {
		w.queued.Add(-size)
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.queued.Add(-size)
		w.dropped.Add(1)
	}
	return len(line), nil
}

// maxBatchBytes is the size at which a batch of lines is written in one call.
const maxBatchBytes = 32 << 10

func (w *AsyncWriter) run(out io.Writer) {
	var batch []byte
	for line := range w.lines {
		w.queued.Add(-int64(len(line)))
		batch = append(batch[:0], line...)
	fill:
		for len(batch) < maxBatchBytes {
			select {
			case next := <-w.lines:
				w.queued.Add(-int64(len(next)))
				batch = append(batch, next...)
			default:
				break fill
			}
		}
		if n := w.dropped.Swap(0); n > 0 {
			batch = fmt.Appendf(batch, "event=log-lines-dropped count=%d\n", n)
		}
		// A failed write of the log itself can't be reported anywhere.
		_, _ = out.Write(batch)
	}
}
