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
	// DefaultCallTimeout bounds one attempt of a call at one entry.
	DefaultCallTimeout = 10 * time.Second
	// DefaultTries is the largest number of attempts of a call; the entries
	// that can't be dialled within one attempt are not counted.
	DefaultTries = 5
	// DefaultBackoff is the mean pause before the first repeat of a call. Each
	// further pause is twice as long, up to maxBackoff.
	DefaultBackoff = 100 * time.Millisecond

	maxBackoff     = 2 * time.Second
	dialTimeout    = 2 * time.Second
	idleTimeout    = 30 * time.Second
	tracerName     = "github.com/samphirerail/samphirerail/internal/transport/apiclient"
	schemeAndSlash = "http://"
)

// Config sets up a Client. Zero values of the durations and of Tries stand for
// the defaults.
type Config struct {
	// Entries are the IP:port of the entries, or of the balancer before them,
	// in the order in which they are tried.
	Entries []string
	// Key is "<key id>.<secret>"; empty for open queues.
	Key         string
	CallTimeout time.Duration
	Tries       uint
	Backoff     time.Duration
	// Tracer makes the span of each attempt, whose context goes with the call.
	Tracer trace.TracerProvider
}

// Client calls the /v1 interface. It may be used by several goroutines.
type Client struct {
	cfg        Config
	http       *http.Client
	transport  *http.Transport
	tracer     trace.Tracer
	propagator propagation.TraceContext
	// preferred is the index of the entry that is tried first.
	preferred atomic.Int64
	// newIDs makes a repeat after a lost answer take a new ID. Tests set it to
	// show what the same ID prevents.
	newIDs bool
	// keepPromise makes a repeat promise that it is the first attempt. Tests
	// set it to show what the withdrawn promise prevents.
	keepPromise bool
}

// New returns a client. It fails with a *ConfigError when there is no entry or
// an address is not IP:port.
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
	if cfg.Tries == 0 {
		cfg.Tries = DefaultTries
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

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// refuseRedirect keeps the key from being sent to an address that a reply names.
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
