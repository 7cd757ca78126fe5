package rpc

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"
)

const (
	// DefaultMaxFrameBytes is the largest message unless set otherwise.
	DefaultMaxFrameBytes = 32 << 20
	// headerSize is the size of a frame's length prefix in bytes.
	headerSize = 4
	// keepBufferBytes is the largest buffer that is kept between messages.
	keepBufferBytes = 64 << 10
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
)

// errGoodbye ends reading: the peer promises that it ran no call that it has
// not answered, and never will.
var errGoodbye = errors.New("rpc: the peer is stopping and said goodbye; use another entry")

// frames reads and writes messages on a connection, each as one frame. One
// goroutine may read while another writes.
type frames struct {
	conn  net.Conn
	limit int
	// writeTimeout bounds one write.
	writeTimeout time.Duration

	in      *bufio.Reader
	message bytes.Buffer
	decoder *gob.Decoder

	out     bytes.Buffer
	encoder *gob.Encoder

	// opened is when the connection opened; lastRead is when a whole frame
	// last arrived, in nanoseconds of the monotonic clock since then.
	opened   time.Time
	lastRead atomic.Int64
}

func newFrames(conn net.Conn, limit int, writeTimeout time.Duration) *frames {
	f := &frames{conn: conn, limit: limit, writeTimeout: writeTimeout, in: bufio.NewReaderSize(conn, readBufferBytes), opened: time.Now()}
	f.decoder = gob.NewDecoder(&f.message)
	f.encoder = gob.NewEncoder(&f.out)
	return f
}

// next reads the next frame, for decode. It fails with errGoodbye on the
// peer's last frame and with ErrFrameTooLarge before it takes memory for one.
func (f *frames) next() error {
	var header [headerSize]byte
	if _, err := io.ReadFull(f.in, header[:]); err != nil {
		return err
	}
	size := int(binary.BigEndian.Uint32(header[:]))
	if size == 0 {
		return errGoodbye
	}
	if size > f.limit {
		return ErrFrameTooLarge
	}
	if f.message.Cap() > keepBufferBytes {
		f.message = bytes.Buffer{}
	}
	f.message.Reset()
	// The buffer grows with what arrives, not with what the prefix claims.
	n, err := io.CopyN(&f.message, f.in, int64(size))
	if err != nil {
		if n < int64(size) {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	f.lastRead.Store(int64(time.Since(f.opened)))
	return nil
}

// decode reads one value of the present frame; nil skips it.
func (f *frames) decode(value any) error { return f.decoder.Decode(value) }

// write sends two values as one frame and returns how many of its bytes were
// not handed to the connection: when that is not 0, the peer can't read the
// frame.
func (f *frames) write(header, body any) (unwritten int, err error) {
	if f.out.Cap() > keepBufferBytes {
		f.out = bytes.Buffer{}
	}
	f.out.Reset()
	f.out.Write(make([]byte, headerSize))
	if err := f.encoder.Encode(header); err != nil {
		return f.out.Len(), err
	}
	if err := f.encoder.Encode(body); err != nil {
		return f.out.Len(), err
	}
	size := f.out.Len() - headerSize
	if size > f.limit {
		return f.out.Len(), ErrFrameTooLarge
	}
	frame := f.out.Bytes()
	binary.BigEndian.PutUint32(frame[:headerSize], uint32(size))
	return f.send(frame)
}

// goodbye sends the last frame.
func (f *frames) goodbye() error {
	_, err := f.send(make([]byte, headerSize))
	return err
}

func (f *frames) send(frame []byte) (unwritten int, err error) {
	if err := f.conn.SetWriteDeadline(time.Now().Add(f.writeTimeout)); err != nil {
		return len(frame), err
	}
	n, err := f.conn.Write(frame)
	return len(frame) - n, err
}

// idle returns the time since the last whole frame arrived.
func (f *frames) idle() time.Duration {
	return time.Since(f.opened) - time.Duration(f.lastRead.Load())
}
