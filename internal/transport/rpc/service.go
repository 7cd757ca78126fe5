package rpc

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"

	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/samphirerail/samphirerail/internal/state"
)

const tracerName = "github.com/samphirerail/samphirerail/internal/transport/rpc"

// service holds the methods that are exposed through net/rpc on one connection. Errors
// are returned in the Outcome of the reply, because net/rpc would reduce them to text.
type service struct {
	server *Server
	conn   *serverConn
}

// Ping answers a probe of the connection.
func (s *service) Ping(EmptyArgs, *EmptyReply) error { return nil }

// Abandon cancels a call that its caller no longer waits for.
func (s *service) Abandon(args AbandonArgs, _ *EmptyReply) error {
	s.conn.abandon(args.Abandoned)
	return nil
}

// Heartbeat serves coordination.PeerServer.HandleHeartbeat.
func (s *service) Heartbeat(args HeartbeatArgs, reply *HeartbeatReply) error {
	ctx, cancel := s.context(&args.Header)
	defer cancel()
	s.handle(ctx, &reply.Outcome, func(ctx context.Context) (err error) {
		reply.Heartbeat, err = s.server.peer.HandleHeartbeat(ctx, args.Heartbeat)
		return err
	})
	return nil
}

// Submit serves coordination.PeerServer.HandleSubmit.
func (s *service) Submit(args SubmitArgs, reply *StatusReply) error {
	reply.ID = args.Submission.ID
	if s.server.draining.Err() != nil {
		reply.NotSeen = true
		return nil
	}
	ctx, end := s.tracedContext(&args.Header, "peer submit")
	defer end(&reply.Outcome)
	s.handle(ctx, &reply.Outcome, func(ctx context.Context) (err error) {
		reply.Status, err = s.server.peer.HandleSubmit(ctx, args.Shard, args.Submission)
		return err
	})
	s.limitOutputs(reply)
	return nil
}

// Get serves coordination.PeerServer.HandleGet. Its wait ends when the server starts
// draining; the caller can then repeat the call at another entry.
func (s *service) Get(args JobArgs, reply *StatusReply) error {
	reply.ID = args.ID
	ctx, end := s.tracedContext(&args.Header, "peer get")
	defer end(&reply.Outcome)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(s.server.draining, cancel)
	defer stop()
	s.handle(ctx, &reply.Outcome, func(ctx context.Context) (err error) {
		reply.Status, err = s.server.peer.HandleGet(ctx, args.Team, args.ID, args.Wait)
		return err
	})
	if s.server.draining.Err() != nil && reply.failed() {
		reply.Outcome = Outcome{NotSeen: true}
	}
	s.limitOutputs(reply)
	return nil
}

// Cancel serves coordination.PeerServer.HandleCancel.
func (s *service) Cancel(args JobArgs, reply *StatusReply) error {
	reply.ID = args.ID
	ctx, end := s.tracedContext(&args.Header, "peer cancel")
	defer end(&reply.Outcome)
	s.handle(ctx, &reply.Outcome, func(ctx context.Context) (err error) {
		reply.Status, err = s.server.peer.HandleCancel(ctx, args.Team, args.ID)
		return err
	})
	s.limitOutputs(reply)
	return nil
}

// ConfigSince serves coordination.PeerServer.HandleConfigSince.
func (s *service) ConfigSince(args ConfigArgs, reply *ConfigReply) error {
	ctx, cancel := s.context(&args.Header)
	defer cancel()
	s.handle(ctx, &reply.Outcome, func(ctx context.Context) (err error) {
		reply.Update, err = s.server.peer.HandleConfigSince(ctx, args.From)
		return err
	})
	return nil
}

// context returns the context of a call. It ends at the caller's deadline, after
// MaxCallTime, with the connection, or when the caller abandons the call.
func (s *service) context(header *Header) (context.Context, context.CancelFunc) {
	limit := s.server.cfg.MaxCallTime
	if header.Remaining > 0 {
		limit = min(limit, header.Remaining)
	}
	ctx, cancel := context.WithTimeout(s.conn.ctx, limit)
	done := s.conn.track(header.Call, cancel)
	return ctx, func() {
		done()
		cancel()
	}
}

// tracedContext returns the context of a call with a span in the caller's trace. The
// returned function ends the span and the context.
func (s *service) tracedContext(header *Header, name string) (context.Context, func(*Outcome)) {
	ctx, cancel := s.context(header)
	ctx = propagation.TraceContext{}.Extract(ctx, header)
	ctx, span := s.server.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindServer))
	return ctx, func(outcome *Outcome) {
		if outcome.failed() {
			span.SetStatus(codes.Error, outcome.text())
		}
		span.End()
		cancel()
	}
}

// handle runs a call and stores its error in outcome. It recovers from a panic and
// reports it as a failure of the call.
func (s *service) handle(ctx context.Context, outcome *Outcome, call func(context.Context) error) {
	s.server.calls.Inc(1)
	defer func() {
		if value := recover(); value != nil {
			s.server.cfg.Logger.Error("handler panicked", "panic", fmt.Sprint(value), "stack", string(debug.Stack()))
			outcome.Failure = "the peer's handler panicked"
		}
	}()
	outcome.set(call(ctx))
}

// limitOutputs replaces the outputs of a reply by a refusal if the reply would exceed the
// frame limit. Failing to write the reply would close the connection, and every other call
// on it would lose its reply.
func (s *service) limitOutputs(reply *StatusReply) {
	size := replyOverheadBytes
	for _, output := range reply.Status.Outputs {
		size += len(output) + outputOverheadBytes
	}
	if size <= s.server.cfg.MaxFrameBytes {
		return
	}
	reply.Status.Outputs = nil
	reply.Refusal = &state.Refusal{
		Reason:  state.ReasonTaskFailed,
		Verdict: state.HasRun,
		Detail:  fmt.Sprintf("the outputs are %d bytes, above the limit of %d between entries", size, s.server.cfg.MaxFrameBytes),
		Remedy:  "let the tasks store large results elsewhere and return a reference",
	}
}

const (
	// replyOverheadBytes is an upper bound for the size of a reply without its outputs
	// and tasks.
	replyOverheadBytes = 64 << 10
	// outputOverheadBytes is an upper bound for the encoding overhead of one output.
	outputOverheadBytes = 16
)

// set stores an error. A refusal keeps its type; any other error is stored as text.
func (o *Outcome) set(err error) {
	var refusal *state.Refusal
	switch {
	case err == nil:
	case errors.As(err, &refusal):
		o.Refusal = refusal
	default:
		o.Failure = err.Error()
	}
}

func (o *Outcome) failed() bool { return o.Refusal != nil || o.Failure != "" || o.NotSeen }

func (o *Outcome) text() string {
	switch {
	case o.Refusal != nil:
		return o.Refusal.Error()
	case o.NotSeen:
		return "dropped before anything was done"
	}
	return o.Failure
}
