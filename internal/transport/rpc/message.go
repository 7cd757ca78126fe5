package rpc

import (
	"context"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/propagation"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
)

// Method names on the wire.
const (
	methodPing        = "Peer.Ping"
	methodAbandon     = "Peer.Abandon"
	methodHeartbeat   = "Peer.Heartbeat"
	methodSubmit      = "Peer.Submit"
	methodGet         = "Peer.Get"
	methodCancel      = "Peer.Cancel"
	methodConfigSince = "Peer.ConfigSince"
)

// Header is sent with the arguments of each call.
type Header struct {
	// Call identifies the call on its connection, for Abandon.
	Call uint64
	// Remaining is the time left until the caller's deadline when the call
	// was sent.
	Remaining time.Duration
	// Traceparent and Tracestate are the fields of the W3C trace context.
	Traceparent string
	Tracestate  string
}

// Get implements propagation.TextMapCarrier.
func (h *Header) Get(key string) string {
	switch key {
	case "traceparent":
		return h.Traceparent
	case "tracestate":
		return h.Tracestate
	}
	return ""
}

// Set implements propagation.TextMapCarrier.
func (h *Header) Set(key, value string) {
	switch key {
	case "traceparent":
		h.Traceparent = value
	case "tracestate":
		h.Tracestate = value
	}
}

// Keys implements propagation.TextMapCarrier.
func (h *Header) Keys() []string { return []string{"traceparent", "tracestate"} }

var _ propagation.TextMapCarrier = (*Header)(nil)

// header implements callArgs for the types that embed Header.
func (h *Header) header() *Header { return h }

// Outcome is sent with each reply. It is the zero value if the call succeeded.
type Outcome struct {
	Refusal *state.Refusal
	// Failure is the text of an error that is not a refusal.
	Failure string
	// NotSeen is set if the call was dropped and had no effect.
	NotSeen bool
}

// outcome implements callReply for the types that embed Outcome.
func (o *Outcome) outcome() *Outcome { return o }

// EmptyArgs are the arguments of Ping.
type EmptyArgs struct{ Header }

// EmptyReply is the reply of Ping and Abandon.
type EmptyReply struct{ Outcome }

// AbandonArgs names a call that its caller no longer waits for.
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
	// ID is the job ID of the call. With it, the client detects a reply to another call.
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

// callArgs is implemented by the arguments of every call.
type callArgs interface{ header() *Header }

// callReply is implemented by the reply of every call.
type callReply interface{ outcome() *Outcome }

// sendState says whether a request has been written to its connection.
type sendState int32

const (
	// sendPending: the request has not been written yet.
	sendPending sendState = iota
	// sendStarted: the request may reach the peer.
	sendStarted
	// sendPrevented: the request can no longer reach the peer as a complete frame.
	sendPrevented
)

// request is the body that is passed to the client's codec for one call. It tracks
// whether the call may have reached the peer.
type request struct {
	args  callArgs
	state atomic.Int32
}

// start returns true if the request may be written. From then on, prevent fails unless
// markNotSent is called.
func (r *request) start() bool {
	return r.state.CompareAndSwap(int32(sendPending), int32(sendStarted))
}

// prevent cancels the request if it has not been written yet. It reports whether the
// request can no longer reach the peer.
func (r *request) prevent() bool {
	return r.state.CompareAndSwap(int32(sendPending), int32(sendPrevented)) || r.prevented()
}

// markNotSent records that the write failed before the complete frame was sent, so that
// the peer can't decode the request.
func (r *request) markNotSent() { r.state.Store(int32(sendPrevented)) }

func (r *request) prevented() bool { return sendState(r.state.Load()) == sendPrevented }

// fillHeader sets the header of a call. Remaining is the time until the deadline of ctx,
// or fallback if ctx has none.
func fillHeader(ctx context.Context, header *Header, call uint64, fallback time.Duration) {
	header.Call = call
	header.Remaining = fallback
	if deadline, ok := ctx.Deadline(); ok {
		header.Remaining = max(time.Until(deadline), 1)
	}
	propagation.TraceContext{}.Inject(ctx, header)
}
