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

// TestMain fixes the seed of the property tests, unless
// SAMPHIRERAIL_RAPID_SEED has another, and prints it.
func TestMain(m *testing.M) {
	testseed.Set()
	goleak.VerifyTestMain(m)
}

// step is what happens to one submission.
type step int

const (
	stepAnswer step = iota
	stepLoseAnswer
	stepLoseCall
	stepCutAnswer
	// The entry refuses by itself: it only knows whether the caller promises
	// that this is the first attempt.
	stepEntryRefuses
	// The owner refuses: it knows whether the job ran, and never runs the ID
	// later.
	stepOwnerRefuses
	steps
)

// shard answers submissions by steps, and then runs them. Each ID runs once.
type shard struct {
	mu     sync.Mutex
	steps  []step
	issued int
	ran    map[state.JobID]bool
	never  map[state.JobID]bool
}

func (s *shard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.URL.Path == pathIDs {
		s.issued++
		_ = json.NewEncoder(w).Encode(v1.IDBatch{IDs: []state.JobID{state.JobID(fmt.Sprintf("job%d", s.issued))}})
		return
	}
	var request v1.SubmitRequest
	_ = json.NewDecoder(r.Body).Decode(&request)
	next := stepAnswer
	if len(s.steps) > 0 {
		next, s.steps = s.steps[0], s.steps[1:]
	}
	s.take(w, next, request)
}

func (s *shard) take(w http.ResponseWriter, next step, request v1.SubmitRequest) {
	switch {
	case next == stepLoseCall:
		hangUp(w)
		return
	case next == stepEntryRefuses && request.FirstAttempt:
		refuse(w, state.NotRun)
		return
	case next == stepEntryRefuses:
		refuse(w, state.Unknown)
		return
	case next == stepOwnerRefuses && !s.ran[request.ID]:
		s.never[request.ID] = true
	}
	if s.never[request.ID] {
		refuse(w, state.NotRun)
		return
	}
	s.ran[request.ID] = true
	if next == stepLoseAnswer {
		hangUp(w)
		return
	}
	body := `{"id":"` + string(request.ID) + `","state":"succeeded"}`
	if next == stepCutAnswer {
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		body = body[:len(body)/2]
	}
	_, _ = io.WriteString(w, body)
}

func hangUp(w http.ResponseWriter) {
	connection, _, _ := w.(http.Hijacker).Hijack()
	_ = connection.Close()
}

func refuse(w http.ResponseWriter, verdict state.Verdict) {
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(v1.Refusal{Reason: state.ReasonNoOwner, NotRun: verdict, RetryAfterMS: 1})
}

// submitUnder submits one job while the steps happen, and returns what the
// caller was told that is not true.
func submitUnder(ctx context.Context, script []step, adjust func(*Client)) string {
	s := &shard{steps: script, ran: make(map[state.JobID]bool), never: make(map[state.JobID]bool)}
	server := httptest.NewServer(s)
	defer server.Close()
	c, err := New(Config{
		Entries: []string{strings.TrimPrefix(server.URL, schemeAndSlash)},
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
		return "succeeded without having run"
	case errors.As(err, &refusal) && refusal.NotRun == state.NotRun && len(s.ran) > 0:
		return "ran in spite of the refusal"
	case isUnreachable(err):
		return "an entry that answers is unreachable"
	}
	return ""
}

func scripts() *rapid.Generator[[]step] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step(rapid.IntRange(0, int(steps)-1).Draw(t, "step"))
	}), 0, 2*DefaultTries)
}

func TestSubmitRunsOnceAndTellsTheTruth(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		script := scripts().Draw(r, "script")
		if wrong := submitUnder(t.Context(), script, func(*Client) {}); wrong != "" {
			r.Fatal(wrong)
		}
	})
}

// Without its mechanisms the client breaks the property.
func TestSubmitBreaksWithoutItsMechanisms(t *testing.T) {
	const examples = 200
	for _, tt := range []struct {
		name   string
		adjust func(*Client)
		want   string
	}{
		{name: "a new ID after a lost answer", adjust: func(c *Client) { c.newIDs = true }, want: "ran twice"},
		{name: "a first attempt promised again", adjust: func(c *Client) { c.keepPromise = true }, want: "ran in spite of the refusal"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			found := false
			for seed := 0; seed < examples && !found; seed++ {
				found = submitUnder(t.Context(), scripts().Example(seed), tt.adjust) == tt.want
			}
			is.True(found)
		})
	}
}
