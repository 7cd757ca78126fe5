package rpc

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"
)

// serverConn is the server's end of a connection. It implements rpc.ServerCodec and counts
// the calls that have not been answered yet.
type serverConn struct {
	*frameConn
	server *Server
	// ctx is cancelled when the connection ends.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// handshakeDone is set after the handshake.
	handshakeDone bool
	// active is the number of calls that were read and not yet answered.
	active int
	// closing is set when the server stops: once active is 0, the connection is
	// finished.
	closing bool
	// finished is set before the go-away frame is sent. Calls read after that are
	// neither executed nor answered.
	finished bool
	// cancels holds the cancel functions of the calls in progress by call number.
	cancels map[uint64]context.CancelFunc
}

func newServerConn(s *Server, conn net.Conn) *serverConn {
	sc := &serverConn{
		frameConn: newFrameConn(conn, s.cfg.MaxFrameBytes, s.cfg.WriteTimeout),
		server:    s,
		cancels:   map[uint64]context.CancelFunc{},
	}
	sc.ctx, sc.cancel = context.WithCancel(s.ctx)
	return sc
}

// finishHandshake records that the handshake is complete. If the server began to stop
// during the handshake, it also closes the connection.
func (sc *serverConn) finishHandshake() {
	sc.mu.Lock()
	sc.handshakeDone = true
	finish := sc.finishIfIdle()
	sc.mu.Unlock()
	if finish {
		sc.halfClose()
	}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (sc *serverConn) ReadRequestHeader(request *rpc.Request) error {
	if err := sc.nextCall(); err != nil {
		sc.cancel()
		return err
	}
	if err := sc.decode(request); err != nil {
		sc.callAnswered()
		sc.cancel()
		return err
	}
	return nil
}

// nextCall reads the frame of the next call to execute and counts the call as active.
// Frames that arrive after the go-away frame was sent are discarded.
func (sc *serverConn) nextCall() error {
	for {
		if err := sc.next(); err != nil {
			return err
		}
		sc.mu.Lock()
		if !sc.finished {
			sc.active++
			sc.mu.Unlock()
			return nil
		}
		sc.mu.Unlock()
	}
}

// ReadRequestBody implements rpc.ServerCodec.
func (sc *serverConn) ReadRequestBody(body any) error { return sc.decode(body) }

// WriteResponse implements rpc.ServerCodec. If the reply can't be sent, the connection is
// closed, so that the caller's pending call fails.
func (sc *serverConn) WriteResponse(response *rpc.Response, body any) error {
	_, err := sc.write(response, body)
	if err != nil {
		_ = sc.conn.Close()
	}
	sc.callAnswered()
	return err
}

// Close implements rpc.ServerCodec.
func (sc *serverConn) Close() error {
	sc.cancel()
	return sc.conn.Close()
}

// callAnswered decrements the number of active calls.
func (sc *serverConn) callAnswered() {
	sc.mu.Lock()
	sc.active--
	finish := sc.finishIfIdle()
	sc.mu.Unlock()
	if finish {
		sc.halfClose()
	}
}

// closeWhenIdle closes the connection once all calls on it have been answered.
func (sc *serverConn) closeWhenIdle() {
	sc.mu.Lock()
	sc.closing = true
	finish := sc.finishIfIdle()
	sc.mu.Unlock()
	if finish {
		sc.halfClose()
	}
}

// finishIfIdle marks the connection as finished, and returns true, if it is closing and
// has no active calls. The caller holds mu and then must call halfClose without mu.
func (sc *serverConn) finishIfIdle() bool {
	if !sc.closing || !sc.handshakeDone || sc.finished || sc.active > 0 {
		return false
	}
	sc.finished = true
	return true
}

// halfClose sends the go-away frame and closes the sending side. The reading side stays
// open for LingerTimeout: if both sides were closed while calls are unread, the
// connection would be reset, and the go-away frame could be lost in transit.
func (sc *serverConn) halfClose() {
	if !sc.server.cfg.noGoAway {
		// If this fails, reading ends when the peer closes the connection, or after
		// LingerTimeout.
		_ = sc.sendGoAway()
	}
	if tcp, ok := sc.conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = sc.conn.SetReadDeadline(time.Now().Add(sc.server.cfg.LingerTimeout))
}

// track registers the cancel function of a call for abandon, until the returned function
// is called.
func (sc *serverConn) track(call uint64, cancel context.CancelFunc) (done func()) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.cancels[call] = cancel
	return func() {
		sc.mu.Lock()
		defer sc.mu.Unlock()
		delete(sc.cancels, call)
	}
}

// abandon cancels a call that its caller no longer waits for.
func (sc *serverConn) abandon(call uint64) {
	sc.mu.Lock()
	cancel := sc.cancels[call]
	sc.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}
