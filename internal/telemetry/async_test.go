package telemetry_test

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/telemetry"
)

// blockedWriter takes nothing until it is released, and then everything.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

func (w *blockedWriter) size() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Len()
}

// TestUnreadLogIsBoundedInBytes guards against long lines that fill the memory while nobody reads
// the log.
func TestUnreadLogIsBoundedInBytes(t *testing.T) {
	const lineBytes, lines, maxBytes = 16 << 10, 1000, 2 << 20
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	w := telemetry.NewAsyncWriter(out)
	line := append(bytes.Repeat([]byte("x"), lineBytes-1), '\n')
	for range lines {
		n, err := w.Write(line)
		is.NoErr(err)
		is.Equal(n, lineBytes)
	}
	close(out.release)
	last := []byte("last\n")
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		_, _ = w.Write(last)
		out.mu.Lock()
		text := out.written.Bytes()
		done := bytes.Contains(text, last) && bytes.Contains(text, []byte("log-lines-dropped"))
		out.mu.Unlock()
		if done {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the writer takes no lines after its output was blocked")
		}
	}
	if n := out.size(); n > maxBytes {
		t.Errorf("%d bytes were queued, want at most %d", n, maxBytes)
	}
}
