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

// errIdle is the cause for closing a connection without calls after IdleTimeout.
var errIdle = errors.New("rpc: the connection was idle; dial again")

// connection is the client's end of a connection. It multiplexes concurrent calls.
type connection struct {
	address string
	frames  *frameConn
	client  *rpc.Client
	cfg     *ClientConfig
	// inFlight is the number of calls, guarded by the client's mutex.
	inFlight int
	// number is the number of the last call.
	number atomic.Uint64

	closeOnce sync.Once
	closed    chan struct{}
	// cause says why the connection was closed. It is set before closed is closed.
	cause error
}

// trafficKind is the label of the byte counters for traffic between entries.
const trafficKind = "entries"

// dial opens a connection. An error means that no call was sent.
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
	if err := clientHandshake(conn, address, cfg.version, cfg.DialTimeout); err != nil {
		_ = conn.Close()
		return nil, err
	}
	c := &connection{
		address: address,
		frames:  newFrameConn(conn, cfg.MaxFrameBytes, cfg.WriteTimeout),
		cfg:     cfg,
		closed:  make(chan struct{}),
	}
	c.client = rpc.NewClientWithCodec(&clientCodec{frames: c.frames, connection: c})
	return c, nil
}

// close closes the connection and records the cause. Only the first call has an effect.
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

// call makes one call. It returns as soon as ctx ends, even if the write blocks; the error
// then wraps coordination.ErrNotSent if the call can no longer reach the peer.
func (c *connection) call(ctx context.Context, method string, args callArgs, reply callReply) error {
	header := args.header()
	fillHeader(ctx, header, c.number.Add(1), c.cfg.CallTimeout)
	req := &request{args: args}
	done := make(chan *rpc.Call, 1)
	// The write may block if the peer no longer reads, so it must not delay the return.
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

// abandon notifies the peer that the caller no longer waits for a call.
func (c *connection) abandon(call uint64) {
	args := &AbandonArgs{Abandoned: call}
	c.client.Go(methodAbandon, &request{args: args}, &EmptyReply{}, make(chan *rpc.Call, 1))
}

// result converts an error of net/rpc. The result wraps coordination.ErrNotSent if the
// peer has not executed the call and will not do so.
func (c *connection) result(req *request, err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, errGoAway) {
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

// ping probes the connection and closes it if the peer does not answer within
// HeartbeatTimeout and nothing else arrives meanwhile: the answer may be behind a large
// reply.
func (c *connection) ping() error {
	ctx, cancel := context.WithTimeout(context.Background(), c.cfg.HeartbeatTimeout)
	defer cancel()
	err := c.call(ctx, methodPing, &EmptyArgs{}, &EmptyReply{})
	if err == nil {
		return nil
	}
	if errors.Is(err, context.DeadlineExceeded) {
		if c.frames.idle() < c.cfg.HeartbeatTimeout {
			return nil
		}
		err = ErrProbeTimeout
	}
	c.close(err)
	return err
}

// fresh reports whether data arrived within the last HeartbeatInterval.
func (c *connection) fresh() bool { return c.frames.idle() < c.cfg.HeartbeatInterval }

// clientCodec implements rpc.ClientCodec.
type clientCodec struct {
	frames     *frameConn
	connection *connection
}

// errPrevented is returned for a request that was cancelled before it was written.
var errPrevented = errors.New("rpc: the caller gave up before the call was sent")

// WriteRequest implements rpc.ClientCodec. The connection is closed after a failed write.
// A request that was written only in part counts as not sent.
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
		req.markNotSent()
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

// failed closes the connection if err is not nil, and returns err.
func (cc *clientCodec) failed(err error) error {
	switch {
	case err == nil:
	case errors.Is(err, errGoAway), errors.Is(err, ErrFrameTooLarge):
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

// connStatus says whether a connection is in use.
type connStatus int

const (
	// connIdle: there are no calls in flight.
	connIdle connStatus = iota
	// connBusy: there are calls in flight.
	connBusy
	// connExpired: the connection was idle for longer than IdleTimeout and was closed.
	connExpired
)

// watch probes the connection every HeartbeatInterval while it has calls in flight and
// nothing is read from it. It returns when the connection is closed.
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
