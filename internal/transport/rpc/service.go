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

// service has the methods that net/rpc offers on one connection. Errors travel
// in the Outcome of a reply, so that they keep their type.
type service struct {
	server *Server
	conn   *serverConn
}

// Ping answers, to show that the connection works.
func (s *service) Ping(EmptyArgs, *EmptyReply) error { return nil }

// Abandon cancels a call whose caller has given up.
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
	ctx, end := s.traced(&args.Header, "peer submit")
	defer end(&reply.Outcome)
	s.handle(ctx, &reply.Outcome, func(ctx context.Context) (err error) {
		reply.Status, err = s.server.peer.HandleSubmit(ctx, args.Shard, args.Submission)
		return err
	})
	s.limit(reply)
	return nil
}

// Get serves coordination.PeerServer.HandleGet. It waits no longer than the
// server takes submissions.
func (s *service) Get(args JobArgs, reply *StatusReply) error {
	reply.ID = args.ID
	ctx, end := s.traced(&args.Header, "peer get")
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
	s.limit(reply)
	return nil
}

// Cancel serves coordination.PeerServer.HandleCancel.
func (s *service) Cancel(args JobArgs, reply *StatusReply) error {
	reply.ID = args.ID
	ctx, end := s.traced(&args.Header, "peer cancel")
	defer end(&reply.Outcome)
	s.handle(ctx, &reply.Outcome, func(ctx context.Context) (err error) {
		reply.Status, err = s.server.peer.HandleCancel(ctx, args.Team, args.ID)
		return err
	})
	s.limit(reply)
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

// context returns the context of a call: it ends with the caller's deadline,
// with the connection, or when the caller gives up.
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

// traced is context with a span under the caller's trace.
func (s *service) traced(header *Header, name string) (context.Context, func(*Outcome)) {
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

// handle runs a call and stores its error. A panic ends the call, not the
// process.
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

// limit replaces a reply that would exceed the frame limit, which would cost
// every call on the connection its answer.
func (s *service) limit(reply *StatusReply) {
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
	// replyOverheadBytes is what a reply takes besides its outputs and tasks.
	replyOverheadBytes = 64 << 10
	// outputOverheadBytes is what one output takes besides its content.
	outputOverheadBytes = 16
)

// set stores an error so that it keeps its type.
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
