package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
)

// asyncLines is how many log lines may wait to be written. At 200 bytes a line
// they take less than a megabyte.
const asyncLines = 4096

// AsyncWriter writes lines from a goroutine of its own, so that a slow reader
// of the output does not block the process. Lines beyond its queue are dropped
// and counted; the next line that is written says how many were.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewAsyncWriter returns a writer in front of out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, asyncLines)}
	go w.run(out)
	return w
}

// Write queues a copy of line. It never blocks and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// maxLogBatch is how many bytes are written with one call.
const maxLogBatch = 32 << 10

func (w *AsyncWriter) run(out io.Writer) {
	var batch []byte
	for line := range w.lines {
		batch = append(batch[:0], line...)
	fill:
		for len(batch) < maxLogBatch {
			select {
			case next := <-w.lines:
				batch = append(batch, next...)
			default:
				break fill
			}
		}
		if n := w.dropped.Swap(0); n > 0 {
			batch = fmt.Appendf(batch, "event=log-lines-dropped count=%d\n", n)
		}
		// There is nowhere left to report that the log itself can't be written.
		_, _ = out.Write(batch)
	}
}
