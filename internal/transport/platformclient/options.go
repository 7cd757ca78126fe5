// Package platformclient implements the platform's ports over HTTP.
//
// Each call ends in one of three ways: a whole reply, a typed error of package
// platform that says that nothing was done, or platform.ErrUnavailable, after
// which nothing is known. platform.ErrNotSent says that the call never left
// the process.
package platformclient

import (
	"net/netip"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"

	"github.com/samphirerail/samphirerail/internal/transport/netcount"
)

const (
	defaultTimeout       = 5 * time.Second
	defaultMaxReplyBytes = 64 << 20
	dialTimeout          = 2 * time.Second
	idleTimeout          = 90 * time.Second
	keepAliveInterval    = 15 * time.Second
	// bufferBytes is the size of each of a connection's two buffers. Most calls
	// and replies of a worker fit into it.
	bufferBytes = 1 << 10
	// maxIdleConnections is kept per address when there is no limit.
	maxIdleConnections = 64
	tracerName         = "github.com/samphirerail/samphirerail/internal/transport/platformclient"
)

// Options configure a client. The zero value is usable.
type Options struct {
	// Timeout bounds a call beyond the time that the call itself asks the
	// other side to wait; 5 s when 0. A start that waits for the end of its
	// task is bounded by its context alone.
	Timeout time.Duration
	// MaxConnections is the most connections to one address; 0 means no
	// limit. A call that finds none free waits for one.
	MaxConnections int
	// LocalAddress is the source address of connections; any when invalid.
	LocalAddress netip.Addr
	// MaxReplyBytes is the largest reply accepted; 64 MiB when 0.
	MaxReplyBytes int64
	// TracerProvider makes the span of each call; the global one when nil.
	TracerProvider trace.TracerProvider
	// Traffic counts the bytes of all connections; nil counts none.
	Traffic *netcount.Counter
}

func (o Options) withDefaults() Options {
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.MaxReplyBytes <= 0 {
		o.MaxReplyBytes = defaultMaxReplyBytes
	}
	if o.TracerProvider == nil {
		o.TracerProvider = otel.GetTracerProvider()
	}
	return o
}
