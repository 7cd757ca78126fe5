package platformclient

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// errReplyTooLarge means that a reply exceeded Options.MaxReplyBytes.
var errReplyTooLarge = errors.New("the reply exceeds the size limit; raise MaxReplyBytes")

// httpClient calls a service that is available at each of its addresses. It is safe
// for concurrent use.
type httpClient struct {
	options   Options
	addresses []string
	// preferred is the index of the address to try first.
	preferred  atomic.Int64
	transport  *http.Transport
	tracer     trace.Tracer
	propagator propagation.TextMapPropagator
}

func newHTTPClient(addresses []string, options Options) *httpClient {
	options = options.withDefaults()
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	if options.LocalAddress.IsValid() {
		dialer.LocalAddr = &net.TCPAddr{IP: options.LocalAddress.AsSlice()}
	}
	return &httpClient{
		options:   options,
		addresses: addresses,
		transport: &http.Transport{
			DialContext:         options.Traffic.Dialer(dialer.DialContext),
			MaxConnsPerHost:     options.MaxConnections,
			MaxIdleConnsPerHost: cmp.Or(options.MaxConnections, maxIdleConnections),
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
			ReadBufferSize:      bufferBytes,
			WriteBufferSize:     bufferBytes,
		},
		tracer:     options.TracerProvider.Tracer(tracerName),
		propagator: propagation.TraceContext{},
	}
}

// close closes the idle connections.
func (c *httpClient) close() { c.transport.CloseIdleConnections() }

// call is one request to a service.
type call struct {
	// name is the name of the call's span.
	name   string
	method string
	path   string
	body   any
	// timeout bounds the call in addition to the context; 0 sets no bound.
	timeout time.Duration
}

// do makes a call and decodes its reply. It tries the next address only if the call
// was not sent. A failed call returns the error body of the reply, if there is one.
func (c *httpClient) do(ctx context.Context, cl call, reply any) (*devplatform.ErrorBody, error) {
	ctx, span := c.tracer.Start(ctx, cl.name, trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	body, err := c.tryAddresses(ctx, cl, reply, span)
	if err != nil {
		span.RecordError(err)
		span.SetStatus(codes.Error, err.Error())
	}
	return body, err
}

// tryAddresses tries the addresses in turn, beginning with the preferred one, until the
// call is sent or ctx ends.
func (c *httpClient) tryAddresses(ctx context.Context, cl call, reply any, span trace.Span) (*devplatform.ErrorBody, error) {
	data, err := encode(cl.body)
	if err != nil {
		return nil, eris.Wrapf(devplatform.ErrNotSent, "%s: %v", cl.name, err)
	}
	parent := ctx
	if cl.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, cl.timeout)
		defer cancel()
	}
	first := int(c.preferred.Load())
	err = eris.Wrapf(devplatform.ErrNotSent, "%s: no address is configured", cl.name)
	for i := range c.addresses {
		index := (first + i) % len(c.addresses)
		span.SetAttributes(attribute.String("server.address", c.addresses[index]))
		var body *devplatform.ErrorBody
		body, err = c.exchange(ctx, cl, c.addresses[index], data, reply)
		if !errors.Is(err, devplatform.ErrNotSent) || ctx.Err() != nil {
			c.updatePreferred(parent, index, body, err)
			return body, err
		}
	}
	return nil, err
}

// updatePreferred sets the address that the next call tries first. It is the following
// address after a call without a complete reply, unless parent was cancelled, and after
// a reply that the service is unavailable. Without a complete reply, the idle connections
// are closed too, since their peer may be as unresponsive as that of the connection in
// use.
func (c *httpClient) updatePreferred(parent context.Context, index int, body *devplatform.ErrorBody, err error) {
	replied := err == nil || body != nil
	cancelled := errors.Is(parent.Err(), context.Canceled)
	if !replied && !cancelled {
		c.transport.CloseIdleConnections()
		index++
	}
	if body != nil && errors.Is(err, devplatform.ErrUnavailable) {
		index++
	}
	c.preferred.Store(int64(index % len(c.addresses)))
}

// exchange sends one request and reads its complete reply.
func (c *httpClient) exchange(ctx context.Context, cl call, address string, data []byte, reply any) (*devplatform.ErrorBody, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, cl.method, "http://"+address+cl.path, bytes.NewReader(data))
	if err != nil {
		return nil, eris.Wrapf(devplatform.ErrNotSent, "%s to %s: %v", cl.name, address, err)
	}
	req.Header.Set("Content-Type", "application/json")
	c.propagator.Inject(ctx, propagation.HeaderCarrier(req.Header))
	res, err := c.transport.RoundTrip(req)
	if err != nil {
		return nil, eris.Wrapf(noReplyError(connected.Load()), "%s to %s: %v", cl.name, address, err)
	}
	defer func() { _ = res.Body.Close() }()
	received, err := readAll(res.Body, c.options.MaxReplyBytes)
	if err != nil {
		return nil, eris.Wrapf(devplatform.ErrUnavailable, "%s to %s: %v", cl.name, address, err)
	}
	return decode(cl, address, res.StatusCode, received, reply)
}

// noReplyError returns the error for a call without a reply: ErrUnavailable if it may
// have been sent on a connection, ErrNotSent if there was no connection.
func noReplyError(connected bool) error {
	if connected {
		return devplatform.ErrUnavailable
	}
	return devplatform.ErrNotSent
}

func encode(body any) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	return json.Marshal(body)
}

// readAll reads a body to its end. A truncated body and one larger than limit bytes are
// errors.
func readAll(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, errReplyTooLarge
	}
	return data, nil
}

// decode decodes a complete reply into reply, or into the error body and the error that
// it stands for. A reply that cannot be decoded is ErrUnavailable, since the outcome of
// the call is then unknown.
func decode(cl call, address string, status int, data []byte, reply any) (*devplatform.ErrorBody, error) {
	if status == http.StatusOK {
		if err := json.Unmarshal(data, reply); err != nil {
			return nil, eris.Wrapf(devplatform.ErrUnavailable, "%s to %s: cannot decode the reply: %v", cl.name, address, err)
		}
		return nil, nil
	}
	var body devplatform.ErrorBody
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, eris.Wrapf(devplatform.ErrUnavailable, "%s to %s: status %d", cl.name, address, status)
	}
	return &body, eris.Wrap(body.Err(), fmt.Sprintf("%s to %s", cl.name, address))
}
