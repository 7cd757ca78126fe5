package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
	"github.com/samphirerail/samphirerail/internal/transport/netopt"
)

// Client calls other entries. It keeps one connection per address and lane and is safe
// for concurrent use.
type Client struct {
	dialer net.Dialer
	mu     sync.Mutex
	conns  map[connKey]*connection
	// failedDials holds the last failed connection attempt of each address.
	failedDials map[string]failedDial
}

// connKey identifies a connection.
type connKey struct {
	address string
	lane    lane
}

// lane is a class of calls that share a connection. Replies on one connection are sent one
// after the other, and those to reads of the log may take long.
type lane int

// callLane is the lane of all calls but reads of the log.
const callLane lane = 0

// readLane returns the lane of the reads of a topic.
func readLane(topic port.Topic) lane { return callLane + 1 + lane(topic) }

// connection is a connection to another entry.
type connection struct {
	*rpc.Client
	// received counts the bytes that arrived.
	received *atomic.Int64
}

// countingConn counts the bytes that it receives.
type countingConn struct {
	net.Conn
	received *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

func newConnection(raw net.Conn) *connection {
	received := &atomic.Int64{}
	return &connection{rpc.NewClient(countingConn{raw, received}), received}
}

// failedDial is a failed connection attempt. No new attempt is made before
// retryAt.
type failedDial struct {
	err     error
	retryAt time.Time
}

// NewClient returns a client that dials from the address local, or from any local
// address if local is nil.
func NewClient(local net.Addr) *Client {
	return &Client{dialer: netopt.Dialer(local, dialTimeout), conns: map[connKey]*connection{}, failedDials: map[string]failedDial{}}
}

// Close closes all connections. Pending calls fail.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var err error
	for key, conn := range c.conns {
		err = errors.Join(err, conn.Close())
		delete(c.conns, key)
	}
	return err
}

func (c *Client) conn(ctx context.Context, key connKey) (*connection, error) {
	c.mu.Lock()
	existing := c.conns[key]
	failed := c.failedDials[key.address]
	c.mu.Unlock()
	if existing != nil {
		return existing, nil
	}
	if time.Now().Before(failed.retryAt) {
		return nil, &NotSentError{Address: key.address, Cause: fmt.Errorf("%w: %w", errRecentDialFailure, failed.err)}
	}
	raw, err := c.dialer.DialContext(ctx, "tcp4", key.address)
	if err != nil {
		c.mu.Lock()
		c.failedDials[key.address] = failedDial{err, time.Now().Add(redialBackoff)}
		c.mu.Unlock()
		return nil, &NotSentError{Address: key.address, Cause: err}
	}
	fresh := newConnection(raw)
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.conns[key]; other != nil {
		return other, fresh.Close()
	}
	c.conns[key] = fresh
	return fresh, nil
}

// errRecentDialFailure marks a call that was not attempted because a connection attempt
// to the address failed within redialBackoff.
var errRecentDialFailure = errors.New("no new connection attempt yet after a recent failure")

func (c *Client) drop(key connKey, conn *connection) {
	c.mu.Lock()
	if c.conns[key] == conn {
		delete(c.conns, key)
	}
	c.mu.Unlock()
	// The connection is discarded, so an error of Close has no consequence.
	_ = conn.Close()
}

// NotSentError reports that a call was not sent because no connection to the entry
// could be opened.
type NotSentError struct {
	Address string
	Cause   error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("peer: entry %s is unreachable: %v; the call was not sent", e.Address, e.Cause)
}

// NotSent reports that the call was not sent. It is always true; port.NotSent looks for
// this method.
func (e *NotSentError) NotSent() bool { return true }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

func (c *Client) call(ctx context.Context, address, method string, args, reply any) error {
	return c.callOn(ctx, connKey{address, callLane}, method, args, reply)
}

// callOn makes a call on the connection of a lane.
func (c *Client) callOn(ctx context.Context, key connKey, method string, args, reply any) error {
	conn, err := c.conn(ctx, key)
	if err != nil {
		return err
	}
	call := conn.Go(serviceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	probe := time.NewTicker(probeInterval)
	defer probe.Stop()
	var ping *rpc.Call
	received := conn.received.Load()
	for {
		select {
		case <-call.Done:
			var serverErr rpc.ServerError
			if call.Error != nil && !errors.As(call.Error, &serverErr) {
				c.drop(key, conn)
			}
			return call.Error
		case <-probe.C:
			before := received
			received = conn.received.Load()
			if ping != nil && !isDone(ping) {
				if received == before {
					c.drop(key, conn)
					return errNoResponse
				}
				continue // the reply to the probe is behind another one that is arriving
			}
			ping = conn.Go(serviceName+".Ping", struct{}{}, &struct{}{}, make(chan *rpc.Call, 1))
		case <-ctx.Done():
			if key.lane != callLane {
				c.drop(key, conn) // otherwise the next read waits until the reply to this one was sent
			}
			return ctx.Err()
		}
	}
}

func isDone(call *rpc.Call) bool { return len(call.Done) > 0 }

// errNoResponse is returned when a probe of the connection was not answered in time. The
// outcome of the call is unknown.
var errNoResponse = errors.New("peer: the entry is not responding; the call may have been executed")

// Phase asks the owner at an address for the phase of a job. It returns false if the
// owner does not know the job.
func (c *Client) Phase(ctx context.Context, address string, id workload.JobID) (ledger.Phase, bool, error) {
	reply := &PhaseReply{}
	if err := c.call(ctx, address, "Phase", PhaseArgs{id}, reply); err != nil {
		return 0, false, err
	}
	return reply.Phase, reply.Known, nil
}

// Owning asks the entry at an address whether it is the owner.
func (c *Client) Owning(ctx context.Context, address string) (owning bool, err error) {
	err = c.call(ctx, address, "Owning", struct{}{}, &owning)
	return owning, err
}

// Watch waits until the process of the entry at an address ends, which is an error, or ctx
// does. It returns nil if the entry ends the call.
func (c *Client) Watch(ctx context.Context, address string) error {
	key := connKey{address, callLane}
	conn, err := c.conn(ctx, key)
	if err != nil {
		return err
	}
	call := conn.Go(serviceName+".Watch", struct{}{}, &struct{}{}, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		var serverErr rpc.ServerError
		if call.Error == nil || errors.As(call.Error, &serverErr) { // an older build has no such call
			return nil
		}
		c.drop(key, conn)
		return call.Error
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Nominate makes the entry at an address claim the ownership that was released to it.
func (c *Client) Nominate(ctx context.Context, address string, released ledger.Claim) error {
	return c.call(ctx, address, "Nominate", released, &struct{}{})
}

// Advise calls the advice service through the entry at an address.
func (c *Client) Advise(ctx context.Context, address string, step workload.StepID, upstreams []workload.UpstreamID) (port.Tickets, error) {
	timeout := maxRelayTime
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	reply := &port.Tickets{}
	if err := c.call(ctx, address, "Advise", AdviseArgs{step, upstreams, timeout}, reply); err != nil {
		return port.Tickets{}, err
	}
	return *reply, nil
}

// Record makes the owner at an address write a caller's record to the ledger.
func (c *Client) Record(ctx context.Context, address string, r ledger.Record) error {
	reply := &AppendReply{}
	if err := c.call(ctx, address, "Record", r, reply); err != nil {
		return err
	}
	return reply.Fault.Err()
}

// Append appends to the log through the entry at an address.
func (c *Client) Append(ctx context.Context, address string, a port.Append) (int64, error) {
	reply := &AppendReply{}
	if err := c.call(ctx, address, "Append", a, reply); err != nil {
		return 0, err
	}
	return reply.Offset, reply.Fault.Err()
}

// Read reads the log through the entry at an address.
func (c *Client) Read(ctx context.Context, address string, args port.ReadQuery) (port.Batch, error) {
	reply := &ReadReply{}
	if err := c.callOn(ctx, connKey{address, readLane(args.Topic)}, "Read", args, reply); err != nil {
		return port.Batch{}, err
	}
	return reply.Batch, reply.Fault.Err()
}
