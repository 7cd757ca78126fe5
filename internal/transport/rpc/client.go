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

// ClientConfig sets the limits of a Client.
type ClientConfig struct {
	// DialTimeout bounds the opening of a connection, hello included.
	DialTimeout time.Duration
	// CallTimeout bounds a call whose context has no deadline.
	CallTimeout time.Duration
	// WriteTimeout bounds the write of one call.
	WriteTimeout time.Duration
	// HeartbeatInterval is how long a connection may be quiet before it is
	// probed; HeartbeatTimeout is how long a probe may take.
	HeartbeatInterval time.Duration
	HeartbeatTimeout  time.Duration
	// IdleTimeout closes a connection without calls.
	IdleTimeout time.Duration
	// ConnectionsPerPeer is the most connections to one address.
	ConnectionsPerPeer int
	// LocalAddress is the source address of connections; any when invalid.
	LocalAddress  netip.Addr
	MaxFrameBytes int
	Logger        hclog.Logger
	Registry      metrics.Registry
	Tracer        trace.TracerProvider

	// version and noProbes are changed by tests.
	version  uint16
	noProbes bool
}

// DefaultClientConfig returns the usual limits. Logger, Registry and Tracer are
// left to the caller.
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

// Client carries calls to other entries. It implements coordination.Peers and
// is safe for concurrent use.
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

// NewClient returns a client without connections.
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

// Close closes every connection; calls in flight end with an error.
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

// Submit implements coordination.Peers. The time spent on the way to the
// connection is taken off the submission's deadline and wait.
func (c *Client) Submit(ctx context.Context, address string, shard coordination.ShardID, s coordination.Submission) (coordination.JobStatus, error) {
	if len(s.Payload)+replyOverheadBytes > c.cfg.MaxFrameBytes {
		return coordination.JobStatus{}, notSent(ErrFrameTooLarge)
	}
	ctx, end := c.traced(ctx, "forward submit", address, s.ID)
	args := &SubmitArgs{Shard: shard, Submission: s}
	status, err := c.jobCall(ctx, address, methodSubmit, args, s.ID)
	end(err)
	return status, err
}

// Get implements coordination.Peers.
func (c *Client) Get(ctx context.Context, address string, team state.TeamID, id state.JobID, wait time.Duration) (coordination.JobStatus, error) {
	ctx, end := c.traced(ctx, "forward get", address, id)
	status, err := c.jobCall(ctx, address, methodGet, &JobArgs{Team: team, ID: id, Wait: wait}, id)
	end(err)
	return status, err
}

// Cancel implements coordination.Peers.
func (c *Client) Cancel(ctx context.Context, address string, team state.TeamID, id state.JobID) (coordination.JobStatus, error) {
	ctx, end := c.traced(ctx, "forward cancel", address, id)
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

// jobCall makes a call about a job and checks that the reply is about it.
func (c *Client) jobCall(ctx context.Context, address, method string, args arguments, id state.JobID) (coordination.JobStatus, error) {
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

// call makes one call on a connection to an address.
func (c *Client) call(ctx context.Context, address, method string, args arguments, reply replies) error {
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

func (c *Client) attempt(ctx context.Context, address, method string, args arguments, reply replies) error {
	ctx, cancel := c.bounded(ctx)
	defer cancel()
	start := time.Now()
	conn, err := c.acquire(ctx, address, method != methodHeartbeat)
	if err != nil {
		return notSent(err)
	}
	defer c.release(conn)
	if submit, ok := args.(*SubmitArgs); ok && !spend(&submit.Submission, time.Since(start)) {
		return notSent(context.DeadlineExceeded)
	}
	err = conn.call(ctx, method, args, reply)
	if method == methodHeartbeat && errors.Is(err, context.DeadlineExceeded) {
		conn.close(ErrSilent)
	}
	if err != nil {
		return err
	}
	return outcomeError(address, reply.outcome())
}

// bounded gives a context a deadline when it has none.
func (c *Client) bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.cfg.CallTimeout)
}

// spend takes time off a submission's deadline and wait. It reports whether the
// deadline still lies ahead.
func spend(s *coordination.Submission, spent time.Duration) bool {
	s.Wait = max(s.Wait-spent, 0)
	if s.DeadlineIn == 0 {
		return true
	}
	s.DeadlineIn -= spent
	return s.DeadlineIn > 0
}

// outcomeError turns the outcome of a reply into an error.
func outcomeError(address string, o *Outcome) error {
	switch {
	case o.Refusal != nil:
		return o.Refusal
	case o.NotSeen:
		return notSent(errGoodbye)
	case o.Failure != "":
		return &RemoteError{Address: address, Message: o.Failure}
	}
	return nil
}

// traced starts the span of a forwarded call.
func (c *Client) traced(ctx context.Context, name, address string, id state.JobID) (context.Context, func(error)) {
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

// checkAddress accepts IP:port.
func checkAddress(address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return fmt.Errorf("rpc: %q is not IP:port; correct the peer's address: %w", address, err)
	}
	return nil
}
