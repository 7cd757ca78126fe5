package callerlimit

import (
	"bytes"
	"container/list"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// maxServerHeaderBytes is the largest header that the settings of a listener may allow.
	maxServerHeaderBytes = 1 << 20
	// bufferedBytes is how much the server may read beyond a header.
	bufferedBytes = 4096
	// fieldBytes is the memory of a header field beside its text.
	fieldBytes = 256
	// textCopies is how often the text of a header is in memory: in the buffer and in its fields.
	textCopies = 2
)

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// errHeaderEnded ends the reading of a header. The server closes the connection without an answer.
var errHeaderEnded = io.EOF

const headerTooLargeReply = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// phase is what a connection is waiting for.
type phase int

const (
	idle phase = iota
	readingHeader
	readingBody
	// handling connections wait for this process and are never closed to make room.
	handling
)

// bodyState is what the handler has made of the body of a request.
type bodyState int

const (
	bodyUnread bodyState = iota
	bodyRead
	bodyFailed
)

// conn is a guarded connection.
type conn struct {
	net.Conn
	guard *Guard
	// ctx ends when the connection is closed or its request is evicted.
	ctx    context.Context
	cancel context.CancelFunc
	timer  *time.Timer
	// headerRead is the number of bytes read in the phase readingHeader. It and body belong to the
	// goroutine that serves the connection.
	headerRead int
	body       bodyState

	// The following belong to guard.mu.
	phase phase
	// place is the element in guard.waiting; nil while handling.
	place *list.Element
	// expires is when the phase must have ended; zero for never.
	expires time.Time
	// held is the memory reserved for the request in bytes.
	held      int64
	evicted   bool
	forgotten bool
}

type connKey struct{}

// connOf returns the guarded connection of a request, or nil.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// enter begins a phase. It reports whether the connection was evicted.
func (c *conn) enter(p phase) (evicted bool) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.enterLocked(p)
	return c.evicted
}

// enterLocked begins a phase and sets the time at which it must have ended.
func (c *conn) enterLocked(p phase) {
	if c.forgotten {
		return
	}
	c.phase = p
	if c.place != nil {
		c.guard.waiting.Remove(c.place)
		c.place = nil
	}
	if p != handling {
		c.place = c.guard.waiting.PushBack(c)
	}
	limits, timeout := c.guard.request(), time.Duration(0)
	switch p {
	case idle:
		timeout = limits.IdleTimeout
	case readingHeader:
		timeout = limits.HeaderTimeout
	case readingBody, handling: // their time is the caller's own
	}
	if timeout == 0 {
		c.expires = time.Time{}
		c.timer.Stop()
		return
	}
	c.expires = time.Now().Add(timeout)
	c.timer.Reset(timeout)
}

// expire closes the connection if its phase has lasted too long.
func (c *conn) expire() {
	c.guard.mu.Lock()
	expired := !c.forgotten && !c.expires.IsZero() && !time.Now().Before(c.expires)
	c.guard.mu.Unlock()
	if expired {
		c.guard.expiredTotal.Inc(1)
		_ = c.Close()
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.guard.mu.Lock()
	c.guard.forgetLocked(c)
	c.guard.mu.Unlock()
	return c.Conn.Close()
}

// Read implements net.Conn. It bounds headers and reserves the memory that they take.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || !c.inHeader() {
		return n, err
	}
	c.headerRead += n
	if limit := c.guard.request().HeaderBytes; c.headerRead > limit+bufferedBytes {
		_, _ = c.Write([]byte(headerTooLargeReply)) // the connection is closed in any case
		return 0, errHeaderEnded
	}
	memory := textCopies*n + fieldBytes*bytes.Count(p[:n], []byte{'\n'})
	if c.reserve(int64(memory)) != nil {
		return 0, errHeaderEnded
	}
	return n, err
}

// inHeader reports whether the bytes just read belong to a header, and begins its phase after an
// idle time.
func (c *conn) inHeader() bool {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.phase == idle {
		c.headerRead = 0
		c.enterLocked(readingHeader)
	}
	return c.phase == readingHeader
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// errFull means that there is no memory for a request.
var errFull = errors.New("callerlimit: requests in work take all the memory that callers may use; send the request again later")

func (c *conn) heldBytes() int64 {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return c.held
}

// reserve reserves n more bytes for the request. If they are in use, requests that wait for their
// caller and hold no less give them back. A request that is larger than all the memory may take
// all of it.
func (c *conn) reserve(n int64) error {
	g := c.guard
	if n = min(n, g.limits.RequestBytes-c.heldBytes()); n <= 0 {
		return nil
	}
	if !g.memory.TryAcquire(n) {
		if !g.evictHolders(c, n) {
			g.fullMemoryTotal.Inc(1)
			return errFull
		}
		ctx, cancel := context.WithTimeout(c.ctx, reserveTimeout)
		defer cancel()
		if g.memory.Acquire(ctx, n) != nil {
			g.fullMemoryTotal.Inc(1)
			return errFull
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	c.held += n
	return nil
}

// release gives back what the request holds beyond keep bytes.
func (c *conn) release(keep int64) {
	g := c.guard
	g.mu.Lock()
	n := max(0, c.held-keep)
	c.held -= n
	g.mu.Unlock()
	if n > 0 {
		g.memory.Release(n)
	}
}

// headerMemory returns the memory that the parsed header of a request takes.
func headerMemory(r *http.Request) (n int64) {
	for name, values := range r.Header {
		n += int64(len(name)) + fieldBytes
		for _, v := range values {
			n += int64(len(v))
		}
	}
	return n
}
