package callerlimit

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

// Errors of ReadBody. Any other error means that the connection broke or the body is malformed.
var (
	// ErrFull means that the memory for requests is in use.
	ErrFull = errFull
	// ErrTimeout means that the body was not complete at its deadline.
	ErrTimeout = errors.New("callerlimit: the body was not complete in time; send it faster or set a later deadline")
)

// TooLargeError means that a body is larger than allowed.
type TooLargeError struct {
	// Limit is in bytes.
	Limit int64
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("callerlimit: the body has more than %d bytes; send less in one request", e.Limit)
}

const (
	// firstBodyBytes is the room for a body at first, if it is not known to be shorter.
	firstBodyBytes = 4096
	// shortBodyBytes is the length of a body that mostly arrives with its header.
	shortBodyBytes = 4096
	// bodyCopies is how often a body is in memory: the buffer, the one that it replaces when it
	// grows, the decoder's, and what is decoded.
	bodyCopies = 4
)

// ReadBody reads the body of a request of up to limit bytes until a deadline; zero for the time that
// the limits of a request allow. The memory is reserved as the bytes arrive, and given back after the answer.
func ReadBody(r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	c := connOf(r)
	if c == nil {
		return readAll(r, limit, func(int64) error { return nil })
	}
	if deadline.IsZero() {
		deadline = time.Now().Add(c.guard.request().BodyTimeout)
	}
	if err := c.awaitBody(deadline); err != nil {
		return nil, err
	}
	body, err := readAll(r, limit, func(n int64) error { return c.reserve(bodyCopies * n) })
	c.body = bodyFailed
	switch evicted := c.endBody(); {
	case evicted:
		return nil, ErrFull
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, ErrTimeout
	case err == nil:
		c.body = bodyRead
	}
	return body, err
}

// awaitBody begins the phase of reading a body, or of waiting for what is left of it, until a
// deadline. An eviction from then on sets another one.
func (c *conn) awaitBody(deadline time.Time) error {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.enterLocked(readingBody)
	return c.SetReadDeadline(deadline)
}

// endBody ends the phase of reading a body. It reports whether the request was evicted.
func (c *conn) endBody() (evicted bool) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.evicted {
		return true
	}
	c.enterLocked(handling)
	_ = c.SetReadDeadline(time.Time{}) // fails only on a closed connection
	return false
}

// shortBody reports whether a request has no body or a short one of known length.
func shortBody(r *http.Request) bool {
	return r.ContentLength >= 0 && r.ContentLength <= shortBodyBytes
}

// LongBody reports whether a request has a body that may be long, so that it should not be read
// before the key.
func LongBody(r *http.Request) bool { return !shortBody(r) }

// Decoded tells that the body of a request was decoded and is not in use any more.
func Decoded(r *http.Request, body []byte) {
	if c := connOf(r); c != nil {
		c.release(headerMemory(r) + int64(len(body)))
	}
}

// readAll reads a body into a buffer that doubles when it is full. reserve is called with the
// bytes by which it grows.
func readAll(r *http.Request, limit int64, reserve func(int64) error) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, &TooLargeError{limit}
	}
	most := limit + 1
	if r.ContentLength >= 0 {
		most = r.ContentLength + 1 // one more, to see the end
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			if int64(len(body)) > limit {
				return nil, &TooLargeError{limit}
			}
			size := min(max(2*int64(cap(body)), firstBodyBytes), most)
			if err := reserve(size - int64(cap(body))); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			if int64(len(body)) > limit {
				return nil, &TooLargeError{limit}
			}
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}
