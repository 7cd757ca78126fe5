package apiclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
)

// maxReplyBytes is the maximum size of a response body.
const maxReplyBytes = 256 << 20

// apiCall describes one call of the API.
type apiCall struct {
	method string
	path   string
	query  url.Values
	body   any
	// writeID is the write ID of an operator's write.
	writeID string
	// jobID is the job that the call cancels.
	jobID state.JobID
	// serverWait is the time that the entry may hold the call open. It is added to
	// CallTimeout.
	serverWait time.Duration
}

func (c *apiCall) name() string { return c.method + " " + c.path }

// readOnly reports whether the call changes no state.
func (c *apiCall) readOnly() bool { return c.method == http.MethodGet || c.path == pathIDs }

func (c *apiCall) url(entry string) string {
	address := urlScheme + entry + c.path
	if len(c.query) > 0 {
		address += "?" + c.query.Encode()
	}
	return address
}

// sendToAnyEntry sends a call to the first entry that can be dialled, starting with
// the preferred one. It fails with a *v1.Refusal, with a *lostResponseError, or with
// an *UnreachableError if no entry can be dialled. After a lost response the next
// entry becomes the preferred one.
func (c *Client) sendToAnyEntry(ctx context.Context, call *apiCall, reply any) error {
	count := int64(len(c.cfg.Entries))
	first := c.preferred.Load()
	var lastErr error
	for i := range count {
		at := (first + i) % count
		err := c.send(ctx, c.cfg.Entries[at], call, reply)
		var notSent *notSentError
		if errors.As(err, &notSent) {
			lastErr = err
			continue
		}
		var lost *lostResponseError
		if errors.As(err, &lost) {
			at = (at + 1) % count
		}
		c.preferred.Store(at)
		return err
	}
	return &UnreachableError{Entries: c.cfg.Entries, Err: lastErr}
}

// send makes one attempt at one entry, within CallTimeout plus the call's
// serverWait.
func (c *Client) send(ctx context.Context, entry string, call *apiCall, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout+call.serverWait)
	defer cancel()
	ctx, span := c.tracer.Start(ctx, call.name(), trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	err := c.roundTrip(ctx, entry, call, reply)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	return err
}

func (c *Client) roundTrip(ctx context.Context, entry string, call *apiCall, reply any) error {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := c.request(ctx, entry, call)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil && !connected.Load() {
		return &notSentError{err: err}
	}
	if err != nil {
		return &lostResponseError{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readResponse(response)
	if err != nil {
		return &lostResponseError{err: err}
	}
	if response.StatusCode/100 != 2 {
		return refusalOf(response, body)
	}
	if err := json.Unmarshal(body, reply); err != nil {
		return &lostResponseError{err: eris.Wrap(err, "the response body is not a valid /v1 message")}
	}
	return nil
}

func (c *Client) request(ctx context.Context, entry string, call *apiCall) (*http.Request, error) {
	var body io.Reader
	if call.body != nil {
		encoded, err := json.Marshal(call.body)
		if err != nil {
			return nil, eris.Wrap(err, "apiclient: can't encode the request body; correct its values")
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, call.method, call.url(entry), body)
	if err != nil {
		return nil, eris.Wrap(err, "apiclient: can't build the request URL; correct the entry address or the object name")
	}
	if call.body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if c.cfg.Key != "" {
		request.Header.Set("Authorization", "Bearer "+c.cfg.Key)
	}
	c.propagator.Inject(ctx, propagation.HeaderCarrier(request.Header))
	return request, nil
}

func readResponse(response *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "the response body was truncated")
	}
	if len(body) > maxReplyBytes {
		return nil, eris.Errorf("the response body exceeds the limit of %d bytes", maxReplyBytes)
	}
	return body, nil
}

// refusalOf decodes the refusal in a response whose status is not 2xx. A response
// without a refusal comes from an intermediary between the client and the entry, so
// it counts as a lost response: the outcome of the call is unknown.
func refusalOf(response *http.Response, body []byte) error {
	refusal := &v1.Refusal{}
	err := json.Unmarshal(body, refusal)
	if err != nil || refusal.Reason == "" || refusal.NotRun == "" {
		return &lostResponseError{err: eris.Errorf("HTTP status %d without a refusal in the body", response.StatusCode)}
	}
	if refusal.RetryAfterMS == 0 {
		refusal.RetryAfterMS = retryAfterHeader(response).Milliseconds()
	}
	return refusal
}

func retryAfterHeader(response *http.Response) time.Duration {
	seconds, err := strconv.ParseInt(response.Header.Get("Retry-After"), 10, 32)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
