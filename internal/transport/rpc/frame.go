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
	// DefaultMaxFrameBytes is the default maximum size of a message.
	DefaultMaxFrameBytes = 32 << 20
	// headerSize is the size of a frame's length prefix in bytes.
	headerSize = 4
	// maxRetainedBufferBytes is the largest buffer that is reused for the next message.
	maxRetainedBufferBytes = 64 << 10
	// readBufferBytes is the size of the read buffer of a connection.
	readBufferBytes = 4 << 10
)

// errGoAway is returned when a go-away frame is read. With it, the peer guarantees that
// it has not executed, and will not execute, any call that it has not answered.
var errGoAway = errors.New("rpc: the peer is stopping and said goodbye; use another entry")

// frameConn reads and writes messages on a connection, each as one frame. One goroutine
// may read while another one writes.
type frameConn struct {
	conn net.Conn
	// limit is the maximum size of a message in bytes.
	limit int
	// writeTimeout bounds the write of one frame.
	writeTimeout time.Duration

	in      *bufio.Reader
	message bytes.Buffer
	decoder *gob.Decoder

	out     bytes.Buffer
	encoder *gob.Encoder

	// opened is when the connection was opened. lastRead is when data last arrived, also a
	// part of a frame, in nanoseconds of the monotonic clock since opened.
	opened   time.Time
	lastRead atomic.Int64
}

func newFrameConn(conn net.Conn, limit int, writeTimeout time.Duration) *frameConn {
	f := &frameConn{conn: conn, limit: limit, writeTimeout: writeTimeout, opened: time.Now()}
	f.in = bufio.NewReaderSize(arrivalReader{f}, readBufferBytes)
	f.decoder = gob.NewDecoder(&f.message)
	f.encoder = gob.NewEncoder(&f.out)
	return f
}

// next reads the next frame, from which decode then reads. It returns errGoAway for a
// go-away frame, and ErrFrameTooLarge, before it allocates memory, for a frame above the
// limit.
func (f *frameConn) next() error {
	var header [headerSize]byte
	if _, err := io.ReadFull(f.in, header[:]); err != nil {
		return err
	}
	size := int(binary.BigEndian.Uint32(header[:]))
	if size == 0 {
		return errGoAway
	}
	if size > f.limit {
		return ErrFrameTooLarge
	}
	if f.message.Cap() > maxRetainedBufferBytes {
		f.message = bytes.Buffer{}
	}
	f.message.Reset()
	// CopyN grows the buffer with the bytes that arrive, so that a peer can't make
	// this end allocate memory by a large length prefix alone.
	n, err := io.CopyN(&f.message, f.in, int64(size))
	if err != nil {
		if n < int64(size) {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	return nil
}

// arrivalReader reads from the connection of frames and records when data arrives.
type arrivalReader struct{ frames *frameConn }

func (r arrivalReader) Read(p []byte) (int, error) {
	n, err := r.frames.conn.Read(p)
	if n > 0 {
		r.frames.lastRead.Store(int64(time.Since(r.frames.opened)))
	}
	return n, err
}

// decode reads the next value of the current frame into value; nil skips it.
func (f *frameConn) decode(value any) error { return f.decoder.Decode(value) }

// write sends two values as one frame. It returns the number of bytes of the frame that
// were not passed to the connection: if it is not 0, the peer can't decode the frame.
func (f *frameConn) write(header, body any) (unwritten int, err error) {
	if f.out.Cap() > maxRetainedBufferBytes {
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

// sendGoAway sends the go-away frame, an empty one, which must be the last.
func (f *frameConn) sendGoAway() error {
	_, err := f.send(make([]byte, headerSize))
	return err
}

func (f *frameConn) send(frame []byte) (unwritten int, err error) {
	if err := f.conn.SetWriteDeadline(time.Now().Add(f.writeTimeout)); err != nil {
		return len(frame), err
	}
	n, err := f.conn.Write(frame)
	return len(frame) - n, err
}

// idle returns the time since data last arrived.
func (f *frameConn) idle() time.Duration {
	return time.Since(f.opened) - time.Duration(f.lastRead.Load())
}
