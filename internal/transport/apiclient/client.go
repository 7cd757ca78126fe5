package apiclient

import (
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

const (
	// DefaultCallTimeout limits one attempt of a call at one entry.
	DefaultCallTimeout = 10 * time.Second
	// DefaultMaxAttempts is the maximum number of attempts of a call. Entries that
	// can't be dialled within an attempt do not count as attempts of their own.
	DefaultMaxAttempts = 5
	// DefaultBackoff is the mean backoff before the first retry of a call. Each
	// further backoff is twice as long, up to maxBackoff.
	DefaultBackoff = 100 * time.Millisecond

	maxBackoff  = 2 * time.Second
	dialTimeout = 2 * time.Second
	idleTimeout = 30 * time.Second
	tracerName  = "github.com/samphirerail/samphirerail/internal/transport/apiclient"
	urlScheme   = "http://"
)

// Config configures a Client. Zero values of CallTimeout, MaxAttempts and Backoff
// select the defaults.
type Config struct {
	// Entries are the addresses (IP:port) of the entries, or of the load balancer
	// in front of them, in the order in which they are tried.
	Entries []string
	// Key is "<key id>.<secret>"; empty for open queues.
	Key         string
	CallTimeout time.Duration
	MaxAttempts uint
	Backoff     time.Duration
	// Tracer creates a span for each attempt; the span context is sent with the
	// call. Required.
	Tracer trace.TracerProvider
}

// Client calls the /v1 API. It is safe for concurrent use.
type Client struct {
	cfg        Config
	http       *http.Client
	transport  *http.Transport
	tracer     trace.Tracer
	propagator propagation.TraceContext
	// preferred is the index of the entry that is tried first.
	preferred atomic.Int64
	// newIDOnRetry makes a retry after a lost response use a new job ID or write
	// ID. Tests set it to show that reusing the ID prevents a double effect.
	newIDOnRetry bool
	// keepFirstAttempt makes a retry keep the first_attempt flag. Tests set it to
	// show that clearing the flag prevents false refusals.
	keepFirstAttempt bool
}

// New returns a client. It fails with a *ConfigError if there is no entry or an
// address is not IP:port.
func New(cfg Config) (*Client, error) {
	if err := checkEntries(cfg.Entries); err != nil {
		return nil, err
	}
	if cfg.Tracer == nil {
		return nil, eris.New("apiclient: no tracer provider; set Config.Tracer")
	}
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = DefaultCallTimeout
	}
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = DefaultMaxAttempts
	}
	if cfg.Backoff == 0 {
		cfg.Backoff = DefaultBackoff
	}
	transport := &http.Transport{
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout:    idleTimeout,
		DisableCompression: true,
	}
	return &Client{
		cfg:       cfg,
		http:      &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
		transport: transport,
		tracer:    cfg.Tracer.Tracer(tracerName),
	}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// refuseRedirect prevents the key from being sent to an address given by a
// response.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func checkEntries(entries []string) error {
	if len(entries) == 0 {
		return &ConfigError{Problem: "no entry is given"}
	}
	for _, entry := range entries {
		if _, err := netip.ParseAddrPort(entry); err != nil {
			return &ConfigError{Problem: "entry " + entry + " is not an IP:port"}
		}
	}
	return nil
}
