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

// reply is how the scripted entry answers one call.
type reply string

const (
	accept     reply = "accept"
	lose       reply = "lose the answer after the call took effect"
	truncate   reply = "cut the answer short"
	notJSON    reply = "answer with something else"
	html       reply = "answer as a balancer"
	redirect   reply = "redirect"
	busy       reply = "refuse for now, not run"
	busyLong   reply = "refuse for an hour, not run"
	uncertain  reply = "refuse for now, unknown"
	conflict   reply = "conflict"
	wrongKey   reply = "wrong key"
	impossible reply = "never runnable"
)

var refusals = map[reply]v1.Refusal{
	busy:       {Reason: state.ReasonRateExceeded, NotRun: state.NotRun, RetryAfterMS: 1},
	busyLong:   {Reason: state.ReasonRateExceeded, NotRun: state.NotRun, RetryAfterMS: time.Hour.Milliseconds()},
	uncertain:  {Reason: state.ReasonNoOwner, NotRun: state.Unknown, RetryAfterMS: 1},
	conflict:   {Reason: state.ReasonConflict, NotRun: state.NotRun},
	wrongKey:   {Reason: v1.ReasonUnauthenticated, NotRun: state.NotRun},
	impossible: {Reason: state.ReasonNeverRunnable, NotRun: state.NotRun},
}

// entry answers submissions and withdrawals of keys by a script, and then
// accepts. It counts what took effect by ID.
type entry struct {
	mu     sync.Mutex
	script []reply
	issued int
	record
}

// record is what an entry has seen.
type record struct {
	ids     []string
	first   []bool
	headers []http.Header
	effects map[string]bool
}

// seen returns the record once no call is in progress.
func (e *entry) seen() record {
	e.mu.Lock()
	defer e.mu.Unlock()
	seen := e.record
	seen.effects = maps.Clone(e.effects)
	return seen
}

func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
		e.first = append(e.first, request.FirstAttempt)
	}
	e.ids = append(e.ids, id)
	next := accept
	if len(e.script) > 0 {
		next, e.script = e.script[0], e.script[1:]
	}
	e.answer(w, next, id)
}

func (e *entry) answer(w http.ResponseWriter, next reply, id string) {
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
	case lose:
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

func start(t *testing.T, script ...reply) (*entry, string) {
	e := &entry{script: script, record: record{effects: make(map[string]bool)}}
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	return e, strings.TrimPrefix(server.URL, schemeAndSlash)
}

func client(t *testing.T, key string, entries ...string) *Client {
	c, err := New(Config{Entries: entries, Key: key, Backoff: time.Millisecond, Tracer: sdktrace.NewTracerProvider()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// kind names the type of an error, with what it says of the outcome.
func kind(err error) string {
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

func limited(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}

func distinct(ids []string) int { return len(slices.Compact(slices.Sorted(slices.Values(ids)))) }

func TestWriteIsRepeatedWithItsID(t *testing.T) {
	always := slices.Repeat([]reply{lose}, DefaultTries)
	for _, tt := range []struct {
		name   string
		script []reply
		want   string
		calls  int
	}{
		{name: "accepted", want: "ok", calls: 1},
		{name: "answer lost", script: []reply{lose}, want: "ok", calls: 2},
		{name: "answer cut short", script: []reply{truncate}, want: "ok", calls: 2},
		{name: "answer not JSON", script: []reply{notJSON}, want: "ok", calls: 2},
		{name: "answer of a balancer", script: []reply{html, html}, want: "ok", calls: 3},
		{name: "redirect is not followed", script: []reply{redirect}, want: "ok", calls: 2},
		{name: "always lost", script: always, want: "unknown", calls: DefaultTries},
		{name: "refused for now", script: []reply{busy, busy}, want: "ok", calls: 3},
		{name: "refused for longer than the time limit", script: []reply{busyLong}, want: "rate_exceeded/true", calls: 1},
		{name: "conflict", script: []reply{conflict}, want: "conflict/true", calls: 1},
		{name: "conflict after a lost answer", script: []reply{lose, conflict}, want: "conflict/true", calls: 2},
		{name: "wrong key", script: []reply{wrongKey}, want: "unauthenticated/true", calls: 1},
		{name: "wrong key after a lost answer", script: []reply{lose, wrongKey}, want: "unknown", calls: 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e, address := start(t, tt.script...)
			_, err := client(t, "k.s", address).WithdrawKey(limited(t), "old", v1.Write{})
			is.Equal(kind(err), tt.want)
			is.Equal(len(e.seen().ids), tt.calls)
			is.Equal(distinct(e.seen().ids), 1) // every repeat has the same ID
			is.True(len(e.seen().effects) <= 1)
		})
	}
}

func TestSubmitIsRepeatedWithItsID(t *testing.T) {
	always := slices.Repeat([]reply{lose}, DefaultTries)
	for _, tt := range []struct {
		name   string
		key    string
		id     state.JobID
		script []reply
		want   string
		ids    []string
		first  []bool
	}{
		{name: "accepted", key: "k.s", want: "ok", ids: []string{"job1"}, first: []bool{true}},
		{name: "answer lost", key: "k.s", script: []reply{lose}, want: "ok", ids: []string{"job1", "job1"}, first: []bool{true, false}},
		{name: "answer cut short", key: "k.s", script: []reply{truncate}, want: "ok", ids: []string{"job1", "job1"}, first: []bool{true, false}},
		{name: "ID of the caller", key: "k.s", id: "own", script: []reply{lose}, want: "ok", ids: []string{"own", "own"}, first: []bool{false, false}},
		{name: "open queue without an ID", script: []reply{lose}, want: "unknown", ids: []string{""}, first: []bool{false}},
		{name: "not run: a fresh ID", key: "k.s", script: []reply{busy}, want: "ok", ids: []string{"job1", "job2"}, first: []bool{true, true}},
		{name: "unknown: the same ID", key: "k.s", script: []reply{uncertain}, want: "ok", ids: []string{"job1", "job1"}, first: []bool{true, false}},
		{name: "never runnable", key: "k.s", script: []reply{impossible}, want: "never_runnable/true", ids: []string{"job1"}, first: []bool{true}},
		{name: "always lost", key: "k.s", script: always, want: "unknown", ids: slices.Repeat([]string{"job1"}, DefaultTries), first: append([]bool{true}, make([]bool, DefaultTries-1)...)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e, address := start(t, tt.script...)
			_, err := client(t, tt.key, address).Submit(limited(t), v1.SubmitRequest{ID: tt.id, Class: state.ClassBatch, Service: "fitting"})
			is.Equal(kind(err), tt.want)
			is.Equal(e.seen().ids, tt.ids)
			is.Equal(e.seen().first, tt.first)
			is.True(len(e.seen().effects) <= 1)
		})
	}
}

// A repeat with a new ID doubles what the same ID keeps single.
func TestNewIDsDoubleTheEffect(t *testing.T) {
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
			jobs, address := start(t, lose)
			c := client(t, "k.s", address)
			c.newIDs = tt.newIDs
			_, err := c.Submit(limited(t), v1.SubmitRequest{Class: state.ClassBatch, Service: "fitting"})
			is.NoErr(err)
			is.Equal(len(jobs.seen().effects), tt.effects)

			writes, address := start(t, lose)
			c = client(t, "k.s", address)
			c.newIDs = tt.newIDs
			_, err = c.WithdrawKey(limited(t), "old", v1.Write{})
			is.NoErr(err)
			is.Equal(len(writes.seen().effects), tt.effects)
		})
	}
}

// closedAddress returns an address that nobody listens on.
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
	e, address := start(t)
	c := client(t, "k.s", closedAddress(t), address)
	_, err := c.Submit(limited(t), v1.SubmitRequest{Class: state.ClassBatch, Service: "fitting"})
	is.NoErr(err)
	is.Equal(e.seen().first, []bool{true}) // a failed dial is no attempt

	_, err = client(t, "k.s", closedAddress(t)).WithdrawKey(limited(t), "old", v1.Write{})
	is.Equal(kind(err), "unreachable") // nothing was sent, so nothing was changed
}

func TestSilentEntryIsLeft(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0") // takes connections and never answers
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	e, address := start(t)
	c := client(t, "k.s", listener.Addr().String(), address)
	c.cfg.CallTimeout = time.Second
	_, err = c.WithdrawKey(limited(t), "old", v1.Write{})
	is.NoErr(err)
	is.Equal(len(e.seen().effects), 1)
}

func TestCallCarriesKeyAndTrace(t *testing.T) {
	is := is.New(t)
	e, address := start(t)
	parent := trace.NewSpanContext(trace.SpanContextConfig{TraceID: trace.TraceID{1}, SpanID: trace.SpanID{2}, TraceFlags: trace.FlagsSampled})
	_, err := client(t, "k.s", address).Status(trace.ContextWithSpanContext(limited(t), parent))
	is.NoErr(err)
	is.Equal(e.seen().headers[0].Get("Authorization"), "Bearer k.s")
	is.True(strings.HasPrefix(e.seen().headers[0].Get("traceparent"), "00-"+parent.TraceID().String()+"-"))
}

func TestReadWithoutAnswerIsUnreachable(t *testing.T) {
	is := is.New(t)
	_, address := start(t, slices.Repeat([]reply{truncate}, DefaultTries)...)
	_, err := client(t, "k.s", address).Status(limited(t))
	is.Equal(kind(err), "unreachable")
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
	_, err := client(t, "k.s", strings.TrimPrefix(server.URL, schemeAndSlash)).Wait(ctx, "job1")
	var timeout *WaitTimeoutError
	is.True(errors.As(err, &timeout))
	is.Equal(timeout.Last.State, state.JobQueued)
}

func TestConfigIsChecked(t *testing.T) {
	for _, tt := range []struct {
		name    string
		entries []string
	}{
		{name: "none"},
		{name: "name in place of an address", entries: []string{"localhost:80"}},
		{name: "no port", entries: []string{"127.0.0.1"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := New(Config{Entries: tt.entries, Tracer: sdktrace.NewTracerProvider()})
			var wrong *ConfigError
			is.True(errors.As(err, &wrong))
		})
	}
}
