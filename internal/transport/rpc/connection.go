package rpc

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samphirerail/samphirerail/internal/transport/netcount"
)

// errIdle closes a connection that nobody used for a while.
var errIdle = errors.New("rpc: the connection was idle; dial again")

// connection is the client's end of a connection. It carries many calls at
// once.
type connection struct {
	address string
	frames  *frames
	client  *rpc.Client
	cfg     *ClientConfig
	// inFlight is the number of calls, guarded by the client's mutex.
	inFlight int
	// number counts the calls.
	number atomic.Uint64

	closeOnce sync.Once
	closed    chan struct{}
	// cause is set before closed is closed.
	cause error
}

// trafficKind names the counters of the bytes between entries.
const trafficKind = "entries"

// dial opens a connection. Its errors mean that nothing was sent.
func dial(ctx context.Context, cfg *ClientConfig, address string) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, cfg.DialTimeout)
	defer cancel()
	var dialer net.Dialer
	if cfg.LocalAddress.IsValid() {
		dialer.LocalAddr = &net.TCPAddr{IP: cfg.LocalAddress.AsSlice()}
	}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn = netcount.New(cfg.Registry, trafficKind).Conn(conn)
	if err := greet(conn, address, cfg.version, cfg.DialTimeout); err != nil {
		_ = conn.Close()
		return nil, err
	}
	c := &connection{
		address: address,
		frames:  newFrames(conn, cfg.MaxFrameBytes, cfg.WriteTimeout),
		cfg:     cfg,
		closed:  make(chan struct{}),
	}
	c.client = rpc.NewClientWithCodec(&clientCodec{frames: c.frames, connection: c})
	return c, nil
}

// close closes the connection for the given cause; the first cause stays.
func (c *connection) close(cause error) {
	c.closeOnce.Do(func() {
		c.cause = cause
		close(c.closed)
		_ = c.frames.conn.Close()
	})
}

func (c *connection) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// call makes one call and answers at once when ctx ends.
func (c *connection) call(ctx context.Context, method string, args arguments, reply replies) error {
	header := args.head()
	stamp(ctx, header, c.number.Add(1), c.cfg.CallTimeout)
	req := &request{args: args}
	done := make(chan *rpc.Call, 1)
	// A write may block on a connection that went silent.
	go c.client.Go(method, req, reply, done)
	select {
	case call := <-done:
		return c.result(req, call.Error)
	case <-ctx.Done():
	}
	if len(done) > 0 {
		return c.result(req, (<-done).Error)
	}
	if req.prevent() {
		return notSent(ctx.Err())
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		go c.abandon(header.Call)
	}
	return ctx.Err()
}

// abandon tells the peer that the caller of a call has given up.
func (c *connection) abandon(call uint64) {
	args := &AbandonArgs{Abandoned: call}
	c.client.Go(methodAbandon, &request{args: args}, &EmptyReply{}, make(chan *rpc.Call, 1))
}

// result turns the error of net/rpc into one that tells whether the call may
// have been seen.
func (c *connection) result(req *request, err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, errGoodbye) {
		return notSent(err)
	}
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return &RemoteError{Address: c.address, Message: string(remote)}
	}
	if c.isClosed() {
		err = c.cause
	}
	if req.prevent() {
		return notSent(err)
	}
	return err
}

// ping closes the connection unless the peer answers in time.
func (c *connection) ping() error {
	ctx, cancel := context.WithTimeout(context.Background(), c.cfg.HeartbeatTimeout)
	defer cancel()
	err := c.call(ctx, methodPing, &EmptyArgs{}, &EmptyReply{})
	if err == nil {
		return nil
	}
	if errors.Is(err, context.DeadlineExceeded) {
		err = ErrSilent
	}
	c.close(err)
	return err
}

// fresh reports whether the peer was heard of lately.
func (c *connection) fresh() bool { return c.frames.idle() < c.cfg.HeartbeatInterval }

// clientCodec is the client's codec of net/rpc.
type clientCodec struct {
	frames     *frames
	connection *connection
}

var errPrevented = errors.New("rpc: the caller gave up before the call was sent")

// WriteRequest implements rpc.ClientCodec. A request that was not written whole
// can't be read by the peer.
func (cc *clientCodec) WriteRequest(header *rpc.Request, body any) error {
	req := body.(*request)
	if !req.start() {
		return errPrevented
	}
	unwritten, err := cc.frames.write(header, req.args)
	if err == nil {
		return nil
	}
	if unwritten > 0 {
		req.retract()
	}
	cc.connection.close(err)
	return err
}

// ReadResponseHeader implements rpc.ClientCodec.
func (cc *clientCodec) ReadResponseHeader(response *rpc.Response) error {
	err := cc.frames.next()
	if err == nil {
		err = cc.frames.decode(response)
	}
	return cc.failed(err)
}

// ReadResponseBody implements rpc.ClientCodec.
func (cc *clientCodec) ReadResponseBody(body any) error {
	return cc.failed(cc.frames.decode(body))
}

// failed closes the connection after a failed read.
func (cc *clientCodec) failed(err error) error {
	switch {
	case err == nil:
	case errors.Is(err, errGoodbye), errors.Is(err, ErrFrameTooLarge):
		cc.connection.close(err)
	default:
		cc.connection.close(ErrConnectionLost)
	}
	return err
}

// Close implements rpc.ClientCodec.
func (cc *clientCodec) Close() error {
	cc.connection.close(ErrClosed)
	return nil
}

// connStatus is what a connection's watcher must know.
type connStatus int

const (
	// connIdle connections have no calls in flight.
	connIdle connStatus = iota
	connBusy
	// connExpired connections were idle for too long.
	connExpired
)

// watch probes the connection while it has calls in flight. It returns when
// the connection is closed.
func (c *connection) watch(status func(*connection) connStatus) {
	ticker := time.NewTicker(c.cfg.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.closed:
			return
		case <-ticker.C:
		}
		if c.fresh() {
			continue
		}
		if status(c) == connBusy && !c.cfg.noProbes {
			_ = c.ping()
		}
	}
}
