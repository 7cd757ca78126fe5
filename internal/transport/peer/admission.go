package peer

import (
	"bufio"
	"container/list"
	"encoding/gob"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"time"
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
)

var errNoCall = errors.New("peer: the connection carries no call of another entry; check which program connects to listen.internal")

// Limits bounds what other entries hold of a Server.
type Limits struct {
	// Connections is the number of open connections, MessageBytes the size of a call.
	Connections, MessageBytes int
}

// admission bounds the connections that others hold open. A connection is proven once it has made a
// call.
type admission struct {
	limits Limits

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

// messageReader reads a gob stream and ends it before a message that is larger than allowed, for
// which package gob would reserve memory. Each message follows its length: one byte up to
// maxShortLength, else the negated number of the big-endian bytes that follow.
type messageReader struct {
	*bufio.Reader
	// limit returns the size of the largest message.
	limit func() uint64
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
	return b, nil
}

// serverCodec is the gob codec of net/rpc, which also notes the first call of a connection.
type serverCodec struct {
	conn    *serverConn
	decoder *gob.Decoder
	encoder *gob.Encoder
	buffer  *bufio.Writer
}

func newServerCodec(conn *serverConn) *serverCodec {
	buffer := bufio.NewWriter(conn)
	limit := func() uint64 {
		if conn.proven {
			return uint64(conn.admission.limits.MessageBytes)
		}
		return maxUnprovenBytes
	}
	reader := &messageReader{Reader: bufio.NewReader(conn), limit: limit}
	return &serverCodec{conn: conn, decoder: gob.NewDecoder(reader), encoder: gob.NewEncoder(buffer), buffer: buffer}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	if err := c.decoder.Decode(r); err != nil {
		return err
	}
	if !strings.HasPrefix(r.ServiceMethod, serviceName+".") {
		return errNoCall
	}
	return c.conn.prove()
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error { return c.decoder.Decode(body) }

// WriteResponse implements rpc.ServerCodec. After an error the connection is closed, so that its
// calls fail.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	err := c.encoder.Encode(r)
	if err == nil {
		err = c.encoder.Encode(body)
	}
	if err == nil {
		err = c.buffer.Flush()
	}
	if err != nil {
		return errors.Join(err, c.Close())
	}
	return nil
}

// Close implements rpc.ServerCodec.
func (c *serverCodec) Close() error { return c.conn.Close() }
