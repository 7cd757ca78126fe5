package peer

import (
	"bufio"
	"container/list"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// maxUnproven bounds the connections that have not made a call yet. Entries make one at once.
	maxUnproven = 64
	// maxBacklog bounds the connections that wait to be accepted. All entries may dial a new owner at
	// the same moment.
	maxBacklog = 512
	// unprovenTimeout bounds the time until the first call of a connection.
	unprovenTimeout = 3 * time.Second
	// maxUnprovenBytes bounds a message before the first call of a connection.
	maxUnprovenBytes = 4 << 10
	// largeMessageBytes is the size from which a message counts as large. Its bytes are in memory
	// messageCopies times: as read and as decoded.
	largeMessageBytes = 16 << 10
	messageCopies     = 2
)

var errNoCall = errors.New("peer: the connection carries no call of another entry; check which program connects to listen.internal")

// Limits bounds what other entries hold of a Server.
type Limits struct {
	// Connections is the number of open connections, MessageBytes the size of a call.
	Connections, MessageBytes int
	// CallBytes is the memory of large calls that are read or in work.
	CallBytes int64
}

// admission bounds the connections that others hold open. A connection is proven once it has made a
// call.
type admission struct {
	limits Limits
	// memory holds the memory of large calls. ctx ends with the server.
	memory *semaphore.Weighted
	ctx    context.Context

	mu   sync.Mutex
	open map[*serverConn]struct{}
	// unproven holds connections by their age.
	unproven list.List
}

// serverConn is a connection that was accepted.
type serverConn struct {
	net.Conn
	admission *admission
	// place is the element in admission.unproven; nil once the connection is proven or closed. It
	// belongs to admission.mu.
	place *list.Element
	// proven belongs to the goroutine that reads.
	proven bool
}

func newAdmission(ctx context.Context, limits Limits) *admission {
	return &admission{limits: limits, memory: semaphore.NewWeighted(limits.CallBytes), ctx: ctx, open: map[*serverConn]struct{}{}}
}

// admit takes a connection, or closes it and returns nil if there is no room for it.
func (a *admission) admit(conn net.Conn) *serverConn {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.unproven.Len() >= maxUnproven {
		_ = a.unproven.Front().Value.(*serverConn).closeLocked()
	}
	if len(a.open) >= a.limits.Connections {
		_ = conn.Close() // the other entry dials again after a pause
		return nil
	}
	c := &serverConn{Conn: conn, admission: a}
	_ = conn.SetReadDeadline(time.Now().Add(unprovenTimeout)) // a broken connection fails at its first read
	c.place = a.unproven.PushBack(c)
	a.open[c] = struct{}{}
	return c
}

// closeAll closes all connections.
func (a *admission) closeAll() (err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.open {
		// A connection that the other entry has just closed may already be closed here.
		if closeErr := c.closeLocked(); !errors.Is(closeErr, net.ErrClosed) {
			err = errors.Join(err, closeErr)
		}
	}
	return err
}

// Close implements net.Conn.
func (c *serverConn) Close() error {
	c.admission.mu.Lock()
	defer c.admission.mu.Unlock()
	return c.closeLocked()
}

func (c *serverConn) closeLocked() error {
	c.leaveUnprovenLocked()
	delete(c.admission.open, c)
	return c.Conn.Close()
}

func (c *serverConn) leaveUnprovenLocked() {
	if c.place != nil {
		c.admission.unproven.Remove(c.place)
		c.place = nil
	}
}

// prove notes the first call.
func (c *serverConn) prove() error {
	if c.proven {
		return nil
	}
	c.proven = true
	c.admission.mu.Lock()
	defer c.admission.mu.Unlock()
	c.leaveUnprovenLocked()
	return c.SetReadDeadline(time.Time{})
}

// messageReader reads a gob stream. It waits for the memory of a large message, and ends the stream
// before one that is larger than allowed: package gob reserves memory for what the sender announces.
// Each message follows its length: one byte up to maxShortLength, else the negated number of the
// big-endian bytes that follow.
type messageReader struct {
	*bufio.Reader
	// limit returns the size of the largest message. reserve is called before a message is read.
	limit   func() uint64
	reserve func(bytes uint64) error
	// width is the number of bytes of the length that are not read yet, length what is known of
	// it, rest the unread bytes of the message.
	width        int
	length, rest uint64
	// failed is the error that ended the stream.
	failed error
}

// Lengths in a gob stream.
const (
	maxShortLength = 0x7f
	maxLengthBytes = 8
)

// Read implements io.Reader.
func (m *messageReader) Read(p []byte) (int, error) {
	if m.failed != nil {
		return 0, m.failed
	}
	if m.rest == 0 && len(p) > 0 {
		b, err := m.ReadByte()
		if err != nil {
			return 0, err
		}
		p[0] = b
		return 1, nil
	}
	n, err := m.Reader.Read(p[:min(uint64(len(p)), m.rest)])
	m.rest -= uint64(n)
	return n, err
}

// ReadByte implements io.ByteReader, which makes package gob read from m without a buffer of its own.
func (m *messageReader) ReadByte() (byte, error) {
	b, err := m.Reader.ReadByte()
	switch {
	case err != nil:
		return 0, err
	case m.rest > 0:
		m.rest--
		return b, nil
	case m.width == 0 && b <= maxShortLength:
		m.rest = uint64(b)
	case m.width == 0:
		m.width, m.length = 0x100-int(b), 0
	default:
		m.width, m.length = m.width-1, m.length<<8|uint64(b)
		if m.width == 0 {
			m.rest = m.length
		}
	}
	if m.width > maxLengthBytes || m.rest > m.limit() {
		m.failed = fmt.Errorf("peer: a message of %d bytes exceeds the limit of %d; make smaller calls", m.rest, m.limit())
		m.rest = 0
		return 0, m.failed
	}
	if m.rest > largeMessageBytes {
		if m.failed = m.reserve(m.rest); m.failed != nil {
			return 0, m.failed
		}
	}
	return b, nil
}

// serverCodec is the gob codec of net/rpc. It also notes the first call of a connection, and holds
// the memory of large calls until they are answered.
type serverCodec struct {
	conn    *serverConn
	decoder *gob.Decoder
	encoder *gob.Encoder
	buffer  *bufio.Writer
	// reading is the memory reserved for the call that is being read, seq its number. They belong to
	// the goroutine that reads.
	reading int64
	seq     uint64

	mu sync.Mutex
	// held is the memory of calls in work, by their numbers; nil once the codec is closed.
	held map[uint64]int64
}

func newServerCodec(conn *serverConn) *serverCodec {
	buffer := bufio.NewWriter(conn)
	c := &serverCodec{conn: conn, encoder: gob.NewEncoder(buffer), buffer: buffer, held: map[uint64]int64{}}
	limit := func() uint64 {
		if conn.proven {
			return uint64(conn.admission.limits.MessageBytes)
		}
		return maxUnprovenBytes
	}
	c.decoder = gob.NewDecoder(&messageReader{Reader: bufio.NewReader(conn), limit: limit, reserve: c.reserve})
	return c
}

// reserve waits for the memory of a message. Other calls of the connection wait, too.
func (c *serverCodec) reserve(bytes uint64) error {
	a := c.conn.admission
	n := min(messageCopies*int64(bytes), a.limits.CallBytes-c.reading)
	ctx, cancel := context.WithTimeout(a.ctx, maxRelayTime)
	defer cancel()
	if err := a.memory.Acquire(ctx, n); err != nil {
		return fmt.Errorf("peer: no memory for a call of %d bytes; calls of other entries take all of %d: %w", bytes, a.limits.CallBytes, err)
	}
	c.reading += n
	return nil
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	if err := c.decoder.Decode(r); err != nil {
		c.release(c.reading)
		c.reading = 0
		return err
	}
	if !strings.HasPrefix(r.ServiceMethod, serviceName+".") {
		return errNoCall
	}
	c.seq = r.Seq
	return c.conn.prove()
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error {
	err := c.decoder.Decode(body)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held == nil || c.reading == 0 {
		return err
	}
	c.held[c.seq] += c.reading
	c.reading = 0
	return err
}

// WriteResponse implements rpc.ServerCodec. After an error the connection is closed, so that its
// calls fail.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	c.mu.Lock()
	held := c.held[r.Seq]
	delete(c.held, r.Seq)
	c.mu.Unlock()
	c.release(held)
	err := c.encoder.Encode(r)
	if err == nil {
		err = c.encoder.Encode(body)
	}
	if err == nil {
		err = c.buffer.Flush()
	}
	if err != nil {
		return errors.Join(err, c.conn.Close()) // net/rpc closes the codec when its reading ends
	}
	return nil
}

// Close implements rpc.ServerCodec. net/rpc calls it after the last call was answered.
func (c *serverCodec) Close() error {
	c.mu.Lock()
	left := c.reading
	for _, n := range c.held {
		left += n
	}
	c.held, c.reading = nil, 0
	c.mu.Unlock()
	c.release(left)
	return c.conn.Close()
}

func (c *serverCodec) release(n int64) {
	if n > 0 {
		c.conn.admission.memory.Release(n)
	}
}
