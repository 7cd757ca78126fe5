package rpc

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	metrics "github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// DialTimeout bounds the opening of a connection, including the handshake.
	DialTimeout time.Duration
	// CallTimeout bounds a call whose context has no deadline.
	CallTimeout time.Duration
	// WriteTimeout bounds the write of one call.
	WriteTimeout time.Duration
	// HeartbeatInterval is how long nothing may be read from a connection before it is
	// probed. HeartbeatTimeout is how long a probe may take before the connection is
	// closed.
	HeartbeatInterval time.Duration
	HeartbeatTimeout  time.Duration
	// IdleTimeout is how long a connection without calls stays open.
	IdleTimeout time.Duration
	// ConnectionsPerPeer is the maximum number of connections to one address.
	ConnectionsPerPeer int
	// LocalAddress is the source address of connections. If it is not valid, the
	// operating system chooses one.
	LocalAddress netip.Addr
	// MaxFrameBytes is the maximum size of a message.
	MaxFrameBytes int
	Logger        hclog.Logger
	Registry      metrics.Registry
	Tracer        trace.TracerProvider

	// version and noProbes are set only by tests.
	version  uint16
	noProbes bool
}

// DefaultClientConfig returns the default limits. The caller must set Logger, Registry
// and Tracer.
func DefaultClientConfig() ClientConfig {
	return ClientConfig{
		DialTimeout:        time.Second,
		CallTimeout:        30 * time.Second,
		WriteTimeout:       2 * time.Second,
		HeartbeatInterval:  time.Second,
		HeartbeatTimeout:   time.Second,
		IdleTimeout:        2 * time.Minute,
		ConnectionsPerPeer: 2,
		MaxFrameBytes:      DefaultMaxFrameBytes,
		version:            ProtocolVersion,
	}
}

// Client calls other entries. It implements coordination.Peers and is safe for
// concurrent use. An error that is not a *state.Refusal means that the outcome of the
// call is unknown, unless it wraps coordination.ErrNotSent.
type Client struct {
	cfg     ClientConfig
	tracer  trace.Tracer
	metrics clientMetrics

	mu     sync.Mutex
	closed bool
	peers  map[string]*peerConns
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

var _ coordination.Peers = (*Client)(nil)

type clientMetrics struct{ calls, dials, notSent, unknown metrics.Counter }

// NewClient returns a client. It opens connections when they are first needed.
func NewClient(cfg ClientConfig) *Client {
	if cfg.version == 0 {
		cfg.version = ProtocolVersion
	}
	c := &Client{
		cfg:    cfg,
		tracer: cfg.Tracer.Tracer(tracerName),
		metrics: clientMetrics{
			calls:   metrics.GetOrRegisterCounter("rpc.client.calls", cfg.Registry),
			dials:   metrics.GetOrRegisterCounter("rpc.client.dials", cfg.Registry),
			notSent: metrics.GetOrRegisterCounter("rpc.client.not_sent", cfg.Registry),
			unknown: metrics.GetOrRegisterCounter("rpc.client.unknown", cfg.Registry),
		},
		peers: map[string]*peerConns{},
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Close closes all connections and waits for the goroutines of the client to end. Calls
// in flight fail.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	c.cancel()
	for _, peer := range c.peers {
		for _, conn := range peer.conns {
			conn.close(ErrClosed)
		}
	}
	c.mu.Unlock()
	c.wg.Wait()
	return nil
}

// Heartbeat implements coordination.Peers.
func (c *Client) Heartbeat(ctx context.Context, address string, hb coordination.Heartbeat) (coordination.Heartbeat, error) {
	var reply HeartbeatReply
	err := c.call(ctx, address, methodHeartbeat, &HeartbeatArgs{Heartbeat: hb}, &reply)
	return reply.Heartbeat, err
}

// Submit implements coordination.Peers. The time spent to get a connection is deducted
// from the submission's deadline and wait.
func (c *Client) Submit(ctx context.Context, address string, shard coordination.ShardID, s coordination.Submission) (coordination.JobStatus, error) {
	if len(s.Payload)+replyOverheadBytes > c.cfg.MaxFrameBytes {
		return coordination.JobStatus{}, notSent(ErrFrameTooLarge)
	}
	ctx, end := c.startSpan(ctx, "forward submit", address, s.ID)
	args := &SubmitArgs{Shard: shard, Submission: s}
	status, err := c.jobCall(ctx, address, methodSubmit, args, s.ID)
	end(err)
	return status, err
}

// Get implements coordination.Peers.
func (c *Client) Get(ctx context.Context, address string, team state.TeamID, id state.JobID, wait time.Duration) (coordination.JobStatus, error) {
	ctx, end := c.startSpan(ctx, "forward get", address, id)
	status, err := c.jobCall(ctx, address, methodGet, &JobArgs{Team: team, ID: id, Wait: wait}, id)
	end(err)
	return status, err
}

// Cancel implements coordination.Peers.
func (c *Client) Cancel(ctx context.Context, address string, team state.TeamID, id state.JobID) (coordination.JobStatus, error) {
	ctx, end := c.startSpan(ctx, "forward cancel", address, id)
	status, err := c.jobCall(ctx, address, methodCancel, &JobArgs{Team: team, ID: id}, id)
	end(err)
	return status, err
}

// ConfigSince implements coordination.Peers.
func (c *Client) ConfigSince(ctx context.Context, address string, from int64) (coordination.ConfigUpdate, error) {
	var reply ConfigReply
	err := c.call(ctx, address, methodConfigSince, &ConfigArgs{From: from}, &reply)
	return reply.Update, err
}

// jobCall makes a call about a job and checks that the reply is about the same job.
func (c *Client) jobCall(ctx context.Context, address, method string, args callArgs, id state.JobID) (coordination.JobStatus, error) {
	var reply StatusReply
	if err := c.call(ctx, address, method, args, &reply); err != nil {
		return coordination.JobStatus{}, err
	}
	if reply.ID != id || reply.Status.ID != id {
		c.metrics.unknown.Inc(1)
		return coordination.JobStatus{}, &MismatchError{Address: address, Want: id, Got: reply.Status.ID}
	}
	return reply.Status, nil
}

// call makes one call to an address and counts its outcome.
func (c *Client) call(ctx context.Context, address, method string, args callArgs, reply callReply) error {
	c.metrics.calls.Inc(1)
	err := c.attempt(ctx, address, method, args, reply)
	var refusal *state.Refusal
	switch {
	case err == nil, errors.As(err, &refusal):
	case errors.Is(err, coordination.ErrNotSent):
		c.metrics.notSent.Inc(1)
	default:
		c.metrics.unknown.Inc(1)
	}
	return err
}

func (c *Client) attempt(ctx context.Context, address, method string, args callArgs, reply callReply) error {
	ctx, cancel := c.withDeadline(ctx)
	defer cancel()
	start := time.Now()
	conn, err := c.acquire(ctx, address, method != methodHeartbeat)
	if err != nil {
		return notSent(err)
	}
	defer c.release(conn)
	if submit, ok := args.(*SubmitArgs); ok && !deductElapsed(&submit.Submission, time.Since(start)) {
		return notSent(context.DeadlineExceeded)
	}
	err = conn.call(ctx, method, args, reply)
	if method == methodHeartbeat && errors.Is(err, context.DeadlineExceeded) {
		conn.close(ErrProbeTimeout)
	}
	if err != nil {
		return err
	}
	return outcomeError(address, reply.outcome())
}

// withDeadline applies CallTimeout to a context that has no deadline.
func (c *Client) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.cfg.CallTimeout)
}

// deductElapsed deducts elapsed time from a submission's deadline and wait. It reports
// whether the deadline has not passed yet.
func deductElapsed(s *coordination.Submission, elapsed time.Duration) bool {
	s.Wait = max(s.Wait-elapsed, 0)
	if s.DeadlineIn == 0 {
		return true
	}
	s.DeadlineIn -= elapsed
	return s.DeadlineIn > 0
}

// outcomeError returns the error that the outcome of a reply carries, or nil.
func outcomeError(address string, o *Outcome) error {
	switch {
	case o.Refusal != nil:
		return o.Refusal
	case o.NotSeen:
		return notSent(errGoAway)
	case o.Failure != "":
		return &RemoteError{Address: address, Message: o.Failure}
	}
	return nil
}

// startSpan starts the span of a forwarded call. The returned function ends it.
func (c *Client) startSpan(ctx context.Context, name, address string, id state.JobID) (context.Context, func(error)) {
	ctx, span := c.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("server.address", address),
		attribute.String("samphirerail.job", string(id)),
	))
	return ctx, func(err error) {
		if err != nil {
			span.SetStatus(codes.Error, err.Error())
		}
		span.End()
	}
}

// checkAddress returns an error unless address is an IP:port.
func checkAddress(address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return fmt.Errorf("rpc: %q is not IP:port; correct the peer's address: %w", address, err)
	}
	return nil
}
