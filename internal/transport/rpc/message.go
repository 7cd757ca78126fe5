package rpc

import (
	"context"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/propagation"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
)

// The names of the methods on the wire.
const (
	methodPing        = "Peer.Ping"
	methodAbandon     = "Peer.Abandon"
	methodHeartbeat   = "Peer.Heartbeat"
	methodSubmit      = "Peer.Submit"
	methodGet         = "Peer.Get"
	methodCancel      = "Peer.Cancel"
	methodConfigSince = "Peer.ConfigSince"
)

// Header is what each call carries besides its arguments.
type Header struct {
	// Call identifies the call on its connection, for Abandon.
	Call uint64
	// Remaining is the time left until the caller's deadline when the call
	// was sent.
	Remaining time.Duration
	// Traceparent and Tracestate are those of W3C trace context.
	Traceparent string
	Tracestate  string
}

// Get returns a field of the trace context.
func (h *Header) Get(key string) string {
	switch key {
	case "traceparent":
		return h.Traceparent
	case "tracestate":
		return h.Tracestate
	}
	return ""
}

// Set sets a field of the trace context.
func (h *Header) Set(key, value string) {
	switch key {
	case "traceparent":
		h.Traceparent = value
	case "tracestate":
		h.Tracestate = value
	}
}

// Keys lists the fields of the trace context.
func (h *Header) Keys() []string { return []string{"traceparent", "tracestate"} }

var _ propagation.TextMapCarrier = (*Header)(nil)

// head lets a client reach the header of any arguments.
func (h *Header) head() *Header { return h }

// Outcome is what each reply carries when the call failed.
type Outcome struct {
	Refusal *state.Refusal
	// Failure is the text of an error that is not a refusal.
	Failure string
	// NotSeen says that the call was dropped before anything was done.
	NotSeen bool
}

func (o *Outcome) outcome() *Outcome { return o }

// EmptyArgs are the arguments of Ping.
type EmptyArgs struct{ Header }

// EmptyReply is the reply of Ping and Abandon.
type EmptyReply struct{ Outcome }

// AbandonArgs names a call that its caller has given up on.
type AbandonArgs struct {
	Header
	Abandoned uint64
}

// HeartbeatArgs are the arguments of Heartbeat.
type HeartbeatArgs struct {
	Header
	Heartbeat coordination.Heartbeat
}

// HeartbeatReply is the reply of Heartbeat.
type HeartbeatReply struct {
	Outcome
	Heartbeat coordination.Heartbeat
}

// SubmitArgs are the arguments of Submit.
type SubmitArgs struct {
	Header
	Shard      coordination.ShardID
	Submission coordination.Submission
}

// JobArgs are the arguments of Get and Cancel.
type JobArgs struct {
	Header
	Team state.TeamID
	ID   state.JobID
	Wait time.Duration
}

// StatusReply is the reply of Submit, Get and Cancel.
type StatusReply struct {
	Outcome
	// ID is that of the call, so that a reply can't be taken for another's.
	ID     state.JobID
	Status coordination.JobStatus
}

// ConfigArgs are the arguments of ConfigSince.
type ConfigArgs struct {
	Header
	From int64
}

// ConfigReply is the reply of ConfigSince.
type ConfigReply struct {
	Outcome
	Update coordination.ConfigUpdate
}

// arguments are the arguments of any call.
type arguments interface{ head() *Header }

// replies are the replies of any call.
type replies interface{ outcome() *Outcome }

// sendState says whether a request was handed to its connection.
type sendState int32

const (
	// sendPending requests are not written yet.
	sendPending sendState = iota
	// sendStarted requests may reach the peer.
	sendStarted
	// sendPrevented requests never reach the peer.
	sendPrevented
)

// request is a call as the client's codec sees it.
type request struct {
	args  arguments
	state atomic.Int32
}

// start claims the right to write the request.
func (r *request) start() bool {
	return r.state.CompareAndSwap(int32(sendPending), int32(sendStarted))
}

// prevent reports whether the request never reaches the peer, and makes sure
// of it when it is not written yet.
func (r *request) prevent() bool {
	return r.state.CompareAndSwap(int32(sendPending), int32(sendPrevented)) || r.prevented()
}

// retract says that the write failed before the whole frame was out.
func (r *request) retract() { r.state.Store(int32(sendPrevented)) }

func (r *request) prevented() bool { return sendState(r.state.Load()) == sendPrevented }

// stamp fills in the header of a call. A ctx without a deadline gets fallback.
func stamp(ctx context.Context, header *Header, call uint64, fallback time.Duration) {
	header.Call = call
	header.Remaining = fallback
	if deadline, ok := ctx.Deadline(); ok {
		header.Remaining = max(time.Until(deadline), 1)
	}
	propagation.TraceContext{}.Inject(ctx, header)
}
