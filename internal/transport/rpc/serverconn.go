package rpc

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"
)

// serverConn is the server's end of a connection. It is the codec of net/rpc
// and counts the calls that are not answered yet.
type serverConn struct {
	*frames
	server *Server
	// ctx ends with the connection.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// opened says that the hello is over.
	opened bool
	// active is the number of calls read and not answered.
	active int
	// closing connections read no more calls once active is 0.
	closing bool
	// finished connections have said goodbye: they run and answer nothing.
	finished bool
	// calls are the calls that may be abandoned, by number.
	calls map[uint64]context.CancelFunc
}

func newServerConn(s *Server, conn net.Conn) *serverConn {
	sc := &serverConn{
		frames: newFrames(conn, s.cfg.MaxFrameBytes, s.cfg.WriteTimeout),
		server: s,
		calls:  map[uint64]context.CancelFunc{},
	}
	sc.ctx, sc.cancel = context.WithCancel(s.ctx)
	return sc
}

// open says that the hello is over.
func (sc *serverConn) open() {
	sc.mu.Lock()
	sc.opened = true
	finish := sc.finishIfIdle()
	sc.mu.Unlock()
	if finish {
		sc.farewell()
	}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (sc *serverConn) ReadRequestHeader(request *rpc.Request) error {
	if err := sc.admit(); err != nil {
		sc.cancel()
		return err
	}
	if err := sc.decode(request); err != nil {
		sc.answered()
		sc.cancel()
		return err
	}
	return nil
}

// admit reads frames until there is one to run, and counts it. Frames that
// arrive after the goodbye are dropped.
func (sc *serverConn) admit() error {
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

// WriteResponse implements rpc.ServerCodec. When the reply can't be sent the
// connection is closed, so that the caller learns of it.
func (sc *serverConn) WriteResponse(response *rpc.Response, body any) error {
	_, err := sc.write(response, body)
	if err != nil {
		_ = sc.conn.Close()
	}
	sc.answered()
	return err
}

// Close implements rpc.ServerCodec.
func (sc *serverConn) Close() error {
	sc.cancel()
	return sc.conn.Close()
}

// answered counts a call as answered.
func (sc *serverConn) answered() {
	sc.mu.Lock()
	sc.active--
	finish := sc.finishIfIdle()
	sc.mu.Unlock()
	if finish {
		sc.farewell()
	}
}

// closeWhenIdle closes the connection once every call on it is answered.
func (sc *serverConn) closeWhenIdle() {
	sc.mu.Lock()
	sc.closing = true
	finish := sc.finishIfIdle()
	sc.mu.Unlock()
	if finish {
		sc.farewell()
	}
}

// finishIfIdle reports whether the connection is to be closed now. The caller
// holds mu.
func (sc *serverConn) finishIfIdle() bool {
	if !sc.closing || !sc.opened || sc.finished || sc.active > 0 {
		return false
	}
	sc.finished = true
	return true
}

// farewell promises that no unanswered call was run. It closes the sending
// side and leaves the reading side open for a while: closing both with calls
// unread would reset the connection and could destroy the promise on its way.
func (sc *serverConn) farewell() {
	if !sc.server.cfg.noGoodbye {
		// A failure shows when the other end closes, or after the linger.
		_ = sc.goodbye()
	}
	if tcp, ok := sc.conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = sc.conn.SetReadDeadline(time.Now().Add(sc.server.cfg.LingerTimeout))
}

// track lets a call be abandoned until the returned function is called.
func (sc *serverConn) track(call uint64, cancel context.CancelFunc) (done func()) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.calls[call] = cancel
	return func() {
		sc.mu.Lock()
		defer sc.mu.Unlock()
		delete(sc.calls, call)
	}
}

// abandon cancels a call whose caller has given up.
func (sc *serverConn) abandon(call uint64) {
	sc.mu.Lock()
	cancel := sc.calls[call]
	sc.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}
