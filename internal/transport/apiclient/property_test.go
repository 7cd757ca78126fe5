package apiclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/testseed"
)

// TestMain seeds the property tests with SAMPHIRERAIL_RAPID_SEED or a fixed default,
// and prints the seed.
func TestMain(m *testing.M) {
	testseed.Set()
	goleak.VerifyTestMain(m)
}

// step is the handling of one submission by a fakeShard.
type step int

const (
	stepRespond step = iota
	stepLoseResponse
	stepLoseRequest
	stepTruncateResponse
	// The entry refuses the call. It does not know whether the job ran, and relies
	// on the first_attempt flag.
	stepEntryRefuses
	// The owner refuses the call. It knows whether the job ran, and never runs the
	// job ID afterwards.
	stepOwnerRefuses
	stepCount
)

// fakeShard handles submissions according to steps, and accepts them once the steps
// are used up. It runs each job ID at most once.
type fakeShard struct {
	mu      sync.Mutex
	steps   []step
	issued  int
	ran     map[state.JobID]bool
	refused map[state.JobID]bool
}

func (s *fakeShard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.URL.Path == pathIDs {
		s.issued++
		_ = json.NewEncoder(w).Encode(v1.IDBatch{IDs: []state.JobID{state.JobID(fmt.Sprintf("job%d", s.issued))}})
		return
	}
	var request v1.SubmitRequest
	_ = json.NewDecoder(r.Body).Decode(&request)
	next := stepRespond
	if len(s.steps) > 0 {
		next, s.steps = s.steps[0], s.steps[1:]
	}
	s.handle(w, next, request)
}

func (s *fakeShard) handle(w http.ResponseWriter, next step, request v1.SubmitRequest) {
	switch {
	case next == stepLoseRequest:
		closeConnection(w)
		return
	case next == stepEntryRefuses && request.FirstAttempt:
		refuse(w, state.NotRun)
		return
	case next == stepEntryRefuses:
		refuse(w, state.Unknown)
		return
	case next == stepOwnerRefuses && !s.ran[request.ID]:
		s.refused[request.ID] = true
	}
	if s.refused[request.ID] {
		refuse(w, state.NotRun)
		return
	}
	s.ran[request.ID] = true
	if next == stepLoseResponse {
		closeConnection(w)
		return
	}
	body := `{"id":"` + string(request.ID) + `","state":"succeeded"}`
	if next == stepTruncateResponse {
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		body = body[:len(body)/2]
	}
	_, _ = io.WriteString(w, body)
}

func closeConnection(w http.ResponseWriter) {
	connection, _, _ := w.(http.Hijacker).Hijack()
	_ = connection.Close()
}

func refuse(w http.ResponseWriter, verdict state.Verdict) {
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(v1.Refusal{Reason: state.ReasonNoOwner, NotRun: verdict, RetryAfterMS: 1})
}

// submitWithScript submits one job to a fakeShard that follows script. It returns a
// description of the violated guarantee, or "" if there is none.
func submitWithScript(ctx context.Context, script []step, adjust func(*Client)) string {
	s := &fakeShard{steps: script, ran: make(map[state.JobID]bool), refused: make(map[state.JobID]bool)}
	server := httptest.NewServer(s)
	defer server.Close()
	c, err := New(Config{
		Entries: []string{strings.TrimPrefix(server.URL, urlScheme)},
		Key:     "k.s", Backoff: time.Millisecond, Tracer: sdktrace.NewTracerProvider(),
	})
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	adjust(c)
	status, err := c.Submit(ctx, v1.SubmitRequest{Class: state.ClassBatch, Service: "fitting"})
	s.mu.Lock()
	defer s.mu.Unlock()
	var refusal *v1.Refusal
	switch {
	case len(s.ran) > 1:
		return "ran twice"
	case err == nil && !s.ran[status.ID]:
		return "reported as succeeded but did not run"
	case errors.As(err, &refusal) && refusal.NotRun == state.NotRun && len(s.ran) > 0:
		return "reported as not run but ran"
	case isUnreachable(err):
		return "reported as unreachable but the entry is listening"
	}
	return ""
}

func scripts() *rapid.Generator[[]step] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step(rapid.IntRange(0, int(stepCount)-1).Draw(t, "step"))
	}), 0, 2*DefaultMaxAttempts)
}

func TestSubmitRunsAtMostOnceAndReportsOutcome(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		script := scripts().Draw(r, "script")
		if violation := submitWithScript(t.Context(), script, func(*Client) {}); violation != "" {
			t.Logf("script %v: %s", script, violation) // package rapid drops the text if the failure does not repeat
			r.Fatal(violation)
		}
	})
}

// Verifies that each safeguard of the client is needed: without it the property test
// finds a violation.
func TestSubmitSafeguardsAreNecessary(t *testing.T) {
	const examples = 200
	for _, tt := range []struct {
		name   string
		adjust func(*Client)
		want   string
	}{
		{name: "new ID after a lost response", adjust: func(c *Client) { c.newIDOnRetry = true }, want: "ran twice"},
		{name: "first_attempt flag kept on a retry", adjust: func(c *Client) { c.keepFirstAttempt = true }, want: "reported as not run but ran"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			found := false
			for seed := 0; seed < examples && !found; seed++ {
				found = submitWithScript(t.Context(), scripts().Example(seed), tt.adjust) == tt.want
			}
			is.True(found)
		})
	}
}
