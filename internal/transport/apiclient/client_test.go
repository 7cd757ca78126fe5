package apiclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
)

// scriptedReply is the reaction of a fakeEntry to one call.
type scriptedReply string

const (
	accept         scriptedReply = "accept"
	loseResponse   scriptedReply = "close the connection after the call took effect"
	truncate       scriptedReply = "truncate the response"
	notJSON        scriptedReply = "respond with invalid JSON"
	html           scriptedReply = "respond with the error page of a load balancer"
	redirect       scriptedReply = "redirect"
	retryNow       scriptedReply = "refuse with a short retry time, not run"
	retryInAnHour  scriptedReply = "refuse with a retry time of an hour, not run"
	unknownOutcome scriptedReply = "refuse with a short retry time, outcome unknown"
	conflict       scriptedReply = "conflict"
	wrongKey       scriptedReply = "wrong key"
	neverRunnable  scriptedReply = "never runnable"
)

var refusals = map[scriptedReply]v1.Refusal{
	retryNow:       {Reason: state.ReasonRateExceeded, NotRun: state.NotRun, RetryAfterMS: 1},
	retryInAnHour:  {Reason: state.ReasonRateExceeded, NotRun: state.NotRun, RetryAfterMS: time.Hour.Milliseconds()},
	unknownOutcome: {Reason: state.ReasonNoOwner, NotRun: state.Unknown, RetryAfterMS: 1},
	conflict:       {Reason: state.ReasonConflict, NotRun: state.NotRun},
	wrongKey:       {Reason: v1.ReasonUnauthenticated, NotRun: state.NotRun},
	neverRunnable:  {Reason: state.ReasonNeverRunnable, NotRun: state.NotRun},
}

// fakeEntry responds to submissions and key withdrawals according to script, and
// accepts them once the script is used up. It records the IDs of the calls that took
// effect.
type fakeEntry struct {
	mu     sync.Mutex
	script []scriptedReply
	issued int
	received
}

// received holds what a fakeEntry has received.
type received struct {
	ids           []string
	firstAttempts []bool
	headers       []http.Header
	effects       map[string]bool
}

// snapshot returns a copy of what the entry has received, after any call in progress.
func (e *fakeEntry) snapshot() received {
	e.mu.Lock()
	defer e.mu.Unlock()
	seen := e.received
	seen.effects = maps.Clone(e.effects)
	return seen
}

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.headers = append(e.headers, r.Header.Clone())
	if r.URL.Path == pathIDs {
		e.issued++
		_ = json.NewEncoder(w).Encode(v1.IDBatch{IDs: []state.JobID{state.JobID(fmt.Sprintf("job%d", e.issued))}})
		return
	}
	id := r.URL.Query().Get(paramWriteID)
	if r.URL.Path == pathJobs {
		var request v1.SubmitRequest
		_ = json.NewDecoder(r.Body).Decode(&request)
		id = string(request.ID)
		e.firstAttempts = append(e.firstAttempts, request.FirstAttempt)
	}
	e.ids = append(e.ids, id)
	next := accept
	if len(e.script) > 0 {
		next, e.script = e.script[0], e.script[1:]
	}
	e.respond(w, next, id)
}

func (e *fakeEntry) respond(w http.ResponseWriter, next scriptedReply, id string) {
	if refusal, ok := refusals[next]; ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(refusal)
		return
	}
	body := `{"id":"` + id + `","state":"succeeded","version":7}`
	switch next {
	case html:
		http.Error(w, "<html>", http.StatusBadGateway)
		return
	case redirect:
		w.Header().Set("Location", "/elsewhere")
		w.WriteHeader(http.StatusTemporaryRedirect)
		return
	default:
		e.effects[id] = true
	}
	switch next {
	case loseResponse:
		connection, _, _ := w.(http.Hijacker).Hijack()
		_ = connection.Close()
	case truncate:
		w.Header().Set("Content-Length", fmt.Sprint(len(body)+1))
		_, _ = io.WriteString(w, body)
	case notJSON:
		_, _ = io.WriteString(w, body[:len(body)-1])
	default:
		_, _ = io.WriteString(w, body)
	}
}

func startEntry(t *testing.T, script ...scriptedReply) (*fakeEntry, string) {
	e := &fakeEntry{script: script, received: received{effects: make(map[string]bool)}}
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	return e, strings.TrimPrefix(server.URL, urlScheme)
}

func newClient(t *testing.T, key string, entries ...string) *Client {
	c, err := New(Config{Entries: entries, Key: key, Backoff: time.Millisecond, Tracer: sdktrace.NewTracerProvider()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// errorKind returns a short name for the type of an error and its verdict.
func errorKind(err error) string {
	var refusal *v1.Refusal
	var unknown *OutcomeUnknownError
	var unreachable *UnreachableError
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &unknown):
		return "unknown"
	case errors.As(err, &unreachable):
		return "unreachable"
	case errors.As(err, &refusal):
		return string(refusal.Reason) + "/" + string(refusal.NotRun)
	}
	return err.Error()
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}

func distinct(ids []string) int { return len(slices.Compact(slices.Sorted(slices.Values(ids)))) }

func TestWriteRetriesKeepWriteID(t *testing.T) {
	always := slices.Repeat([]scriptedReply{loseResponse}, DefaultMaxAttempts)
	for _, tt := range []struct {
		name   string
		script []scriptedReply
		want   string
		calls  int
	}{
		{name: "accepted", want: "ok", calls: 1},
		{name: "response lost", script: []scriptedReply{loseResponse}, want: "ok", calls: 2},
		{name: "response truncated", script: []scriptedReply{truncate}, want: "ok", calls: 2},
		{name: "response not JSON", script: []scriptedReply{notJSON}, want: "ok", calls: 2},
		{name: "error page of a load balancer", script: []scriptedReply{html, html}, want: "ok", calls: 3},
		{name: "redirect is not followed", script: []scriptedReply{redirect}, want: "ok", calls: 2},
		{name: "every response lost", script: always, want: "unknown", calls: DefaultMaxAttempts},
		{name: "refused with a short retry time", script: []scriptedReply{retryNow, retryNow}, want: "ok", calls: 3},
		{name: "retry time after the deadline", script: []scriptedReply{retryInAnHour}, want: "rate_exceeded/true", calls: 1},
		{name: "conflict", script: []scriptedReply{conflict}, want: "conflict/true", calls: 1},
		{name: "conflict after a lost response", script: []scriptedReply{loseResponse, conflict}, want: "conflict/true", calls: 2},
		{name: "wrong key", script: []scriptedReply{wrongKey}, want: "unauthenticated/true", calls: 1},
		{name: "wrong key after a lost response", script: []scriptedReply{loseResponse, wrongKey}, want: "unknown", calls: 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e, address := startEntry(t, tt.script...)
			_, err := newClient(t, "k.s", address).WithdrawKey(testContext(t), "old", v1.Write{})
			is.Equal(errorKind(err), tt.want)
			is.Equal(len(e.snapshot().ids), tt.calls)
			is.Equal(distinct(e.snapshot().ids), 1) // every retry has the same ID
			is.True(len(e.snapshot().effects) <= 1)
		})
	}
}

func TestSubmitRetriesKeepJobID(t *testing.T) {
	always := slices.Repeat([]scriptedReply{loseResponse}, DefaultMaxAttempts)
	for _, tt := range []struct {
		name   string
		key    string
		id     state.JobID
		script []scriptedReply
		want   string
		ids    []string
		first  []bool
	}{
		{name: "accepted", key: "k.s", want: "ok", ids: []string{"job1"}, first: []bool{true}},
		{name: "response lost", key: "k.s", script: []scriptedReply{loseResponse}, want: "ok", ids: []string{"job1", "job1"}, first: []bool{true, false}},
		{name: "response truncated", key: "k.s", script: []scriptedReply{truncate}, want: "ok", ids: []string{"job1", "job1"}, first: []bool{true, false}},
		{name: "ID set by the caller", key: "k.s", id: "own", script: []scriptedReply{loseResponse}, want: "ok", ids: []string{"own", "own"}, first: []bool{false, false}},
		{name: "open queue without an ID", script: []scriptedReply{loseResponse}, want: "unknown", ids: []string{""}, first: []bool{false}},
		{name: "refused as not run: new ID", key: "k.s", script: []scriptedReply{retryNow}, want: "ok", ids: []string{"job1", "job2"}, first: []bool{true, true}},
		{name: "refused as unknown: same ID", key: "k.s", script: []scriptedReply{unknownOutcome}, want: "ok", ids: []string{"job1", "job1"}, first: []bool{true, false}},
		{name: "never runnable", key: "k.s", script: []scriptedReply{neverRunnable}, want: "never_runnable/true", ids: []string{"job1"}, first: []bool{true}},
		{name: "every response lost", key: "k.s", script: always, want: "unknown", ids: slices.Repeat([]string{"job1"}, DefaultMaxAttempts), first: append([]bool{true}, make([]bool, DefaultMaxAttempts-1)...)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e, address := startEntry(t, tt.script...)
			_, err := newClient(t, tt.key, address).Submit(testContext(t), v1.SubmitRequest{ID: tt.id, Class: state.ClassBatch, Service: "fitting"})
			is.Equal(errorKind(err), tt.want)
			is.Equal(e.snapshot().ids, tt.ids)
			is.Equal(e.snapshot().firstAttempts, tt.first)
			is.True(len(e.snapshot().effects) <= 1)
		})
	}
}

// Verifies that reusing the ID is what prevents a double effect: a retry with a new
// ID after a lost response takes effect twice.
func TestRetryWithNewIDTakesEffectTwice(t *testing.T) {
	for _, tt := range []struct {
		name    string
		newIDs  bool
		effects int
	}{
		{name: "same ID", effects: 1},
		{name: "new ID", newIDs: true, effects: 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			jobs, address := startEntry(t, loseResponse)
			c := newClient(t, "k.s", address)
			c.newIDOnRetry = tt.newIDs
			_, err := c.Submit(testContext(t), v1.SubmitRequest{Class: state.ClassBatch, Service: "fitting"})
			is.NoErr(err)
			is.Equal(len(jobs.snapshot().effects), tt.effects)

			writes, address := startEntry(t, loseResponse)
			c = newClient(t, "k.s", address)
			c.newIDOnRetry = tt.newIDs
			_, err = c.WithdrawKey(testContext(t), "old", v1.Write{})
			is.NoErr(err)
			is.Equal(len(writes.snapshot().effects), tt.effects)
		})
	}
}

// closedAddress returns an address on which nothing listens.
func closedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func TestEntriesAreTriedInOrder(t *testing.T) {
	is := is.New(t)
	e, address := startEntry(t)
	c := newClient(t, "k.s", closedAddress(t), address)
	_, err := c.Submit(testContext(t), v1.SubmitRequest{Class: state.ClassBatch, Service: "fitting"})
	is.NoErr(err)
	is.Equal(e.snapshot().firstAttempts, []bool{true}) // a failed dial does not count as an attempt

	_, err = newClient(t, "k.s", closedAddress(t)).WithdrawKey(testContext(t), "old", v1.Write{})
	is.Equal(errorKind(err), "unreachable") // nothing was sent, so nothing was changed
}

func TestUnresponsiveEntryIsSkipped(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never responds
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	e, address := startEntry(t)
	c := newClient(t, "k.s", listener.Addr().String(), address)
	c.cfg.CallTimeout = time.Second
	_, err = c.WithdrawKey(testContext(t), "old", v1.Write{})
	is.NoErr(err)
	is.Equal(len(e.snapshot().effects), 1)
}

func TestCallCarriesKeyAndTrace(t *testing.T) {
	is := is.New(t)
	e, address := startEntry(t)
	parent := trace.NewSpanContext(trace.SpanContextConfig{TraceID: trace.TraceID{1}, SpanID: trace.SpanID{2}, TraceFlags: trace.FlagsSampled})
	_, err := newClient(t, "k.s", address).Status(trace.ContextWithSpanContext(testContext(t), parent))
	is.NoErr(err)
	is.Equal(e.snapshot().headers[0].Get("Authorization"), "Bearer k.s")
	is.True(strings.HasPrefix(e.snapshot().headers[0].Get("traceparent"), "00-"+parent.TraceID().String()+"-"))
}

func TestReadWithoutResponseIsUnreachable(t *testing.T) {
	is := is.New(t)
	_, address := startEntry(t, slices.Repeat([]scriptedReply{truncate}, DefaultMaxAttempts)...)
	_, err := newClient(t, "k.s", address).Status(testContext(t))
	is.Equal(errorKind(err), "unreachable")
}

func TestWaitEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var reads atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if reads.Add(1) == 2 {
			cancel()
		}
		_, _ = io.WriteString(w, `{"id":"job1","state":"queued"}`)
	}))
	defer server.Close()
	_, err := newClient(t, "k.s", strings.TrimPrefix(server.URL, urlScheme)).Wait(ctx, "job1")
	var timeout *WaitTimeoutError
	is.True(errors.As(err, &timeout))
	is.Equal(timeout.Last.State, state.JobQueued)
}

func TestConfigValidation(t *testing.T) {
	for _, tt := range []struct {
		name    string
		entries []string
	}{
		{name: "no entries"},
		{name: "host name instead of an IP address", entries: []string{"localhost:80"}},
		{name: "no port", entries: []string{"127.0.0.1"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := New(Config{Entries: tt.entries, Tracer: sdktrace.NewTracerProvider()})
			var configErr *ConfigError
			is.True(errors.As(err, &configErr))
		})
	}
}
