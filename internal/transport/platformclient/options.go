// Package platformclient implements the service interfaces of package devplatform as
// clients over HTTP.
//
// Each call has one of three outcomes: a complete reply, a typed error of package
// devplatform which means that the call had no effect, or devplatform.ErrUnavailable,
// after which the outcome is unknown. devplatform.ErrNotSent means that the call was not
// sent.
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
	// bufferBytes is the size of the read and of the write buffer of a connection.
	// Most calls to a worker and their replies fit into it.
	bufferBytes = 1 << 10
	// maxIdleConnections is the number of idle connections kept per address when
	// Options.MaxConnections sets no limit.
	maxIdleConnections = 64
	tracerName         = "github.com/samphirerail/samphirerail/internal/transport/platformclient"
)

// Options configure a client. The zero value is usable.
type Options struct {
	// Timeout bounds a call, in addition to the time for which the call asks the
	// service to wait; 5 s when 0. A start that waits for the end of its task is
	// bounded by its context only.
	Timeout time.Duration
	// MaxConnections is the maximum number of connections to one address; 0 means
	// no limit. A call waits while all connections are in use.
	MaxConnections int
	// LocalAddress is the source address of connections; any address when invalid.
	LocalAddress netip.Addr
	// MaxReplyBytes is the largest reply accepted; 64 MiB when 0.
	MaxReplyBytes int64
	// TracerProvider creates the span of each call; the global provider when nil.
	TracerProvider trace.TracerProvider
	// Traffic counts the bytes of all connections; nil counts nothing.
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
