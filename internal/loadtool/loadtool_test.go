package loadtool_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/samphirerail/samphirerail/internal/loadtool"
	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func options() loadtool.Options {
	return loadtool.Options{
		Rate: 100, Duration: time.Second, Callers: 8, Seed: 7,
		Mix: []loadtool.ClassWeight{{Class: state.ClassRequest, Weight: 1}},
		Job: loadtool.Job{Service: "fitting", CPUMilli: 100},
	}
}

// slowTarget completes each call successfully after a fixed time.
type slowTarget time.Duration

func (s slowTarget) Do(context.Context, *loadtool.Call) loadtool.Outcome {
	time.Sleep(time.Duration(s))
	return loadtool.OutcomeSucceeded
}

// TestLatencyCountsFromTheDueTime checks on virtual time that the time a job waits for a
// free caller counts as latency: one caller that takes 100 ms per job can't sustain 100
// jobs per second.
func TestLatencyCountsFromTheDueTime(t *testing.T) {
	tests := []struct {
		name    string
		callers int
		low     float64
		high    float64
	}{
		{name: "enough callers", callers: 200, low: 100, high: 100.1},
		{name: "one caller", callers: 1, low: 8000, high: 13000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				opts := options()
				opts.Callers = tt.callers
				r, err := loadtool.Run(t.Context(), "slow", slowTarget(100*time.Millisecond), opts)
				is.NoErr(err)
				is.True(r.Sent > 0)
				is.Equal(r.Count(loadtool.OutcomeSucceeded), r.Sent)
				is.True(r.Latency.MaxMS >= tt.low)
				is.True(r.Latency.MaxMS <= tt.high)
			})
		})
	}
}

func TestRunEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err := loadtool.Run(ctx, "slow", slowTarget(time.Millisecond), options())
		is.True(errors.Is(err, context.DeadlineExceeded))
	})
}

// TestOutcomes checks the outcome that is recorded for each kind of reply of an entry.
func TestOutcomes(t *testing.T) {
	succeeded := func(outputs ...string) v1.JobStatus {
		s := v1.JobStatus{State: state.JobSucceeded}
		for _, out := range outputs {
			s.Outputs = append(s.Outputs, []byte(out))
		}
		return s
	}
	tests := []struct {
		name  string
		code  int
		reply any
		want  loadtool.Outcome
	}{
		{name: "output of another job", code: 200, reply: succeeded("other"), want: loadtool.OutcomeWrong},
		{name: "no output", code: 200, reply: succeeded(), want: loadtool.OutcomeWrong},
		{name: "too many outputs", code: 200, reply: succeeded("a", "b"), want: loadtool.OutcomeWrong},
		{name: "reply is no status", code: 200, reply: "nonsense", want: loadtool.OutcomeWrong},
		{name: "job still running", code: 202, reply: v1.JobStatus{State: state.JobRunning}, want: loadtool.OutcomeUnfinished},
		{name: "refused", code: 429, reply: v1.Refusal{Reason: state.ReasonQueueFull}, want: loadtool.Outcome(state.ReasonQueueFull)},
		{name: "failed", code: 200, reply: v1.JobStatus{State: state.JobFailed, Refusal: &v1.Refusal{Reason: state.ReasonTaskFailed}}, want: loadtool.Outcome(state.ReasonTaskFailed)},
		{name: "error without a reason", code: 500, reply: "", want: loadtool.OutcomeWrong},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := runAgainst(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tt.code)
				_ = json.NewEncoder(w).Encode(tt.reply)
			})
			is.Equal(r.Count(tt.want), r.Sent)
		})
	}
}

// TestCompleteOutputs checks that calls succeed when the entry returns the output that each
// payload specifies, and that the configured key is sent.
func TestCompleteOutputs(t *testing.T) {
	is := is.New(t)
	var keys atomic.Int64
	r := runAgainst(t, func(w http.ResponseWriter, request *http.Request) {
		if request.Header.Get("Authorization") == "Bearer k1.secret" {
			keys.Add(1)
		}
		var submitted v1.SubmitRequest
		var payload struct{ Output string }
		_ = json.NewDecoder(request.Body).Decode(&submitted)
		_ = json.Unmarshal(submitted.Payload, &payload)
		_ = json.NewEncoder(w).Encode(v1.JobStatus{State: state.JobSucceeded, Outputs: [][]byte{[]byte(payload.Output)}})
	})
	is.Equal(r.Count(loadtool.OutcomeSucceeded), r.Sent)
	is.Equal(int(keys.Load()), r.Sent)
}

// runAgainst runs a load of 100 ms against an entry with the given handler.
func runAgainst(t *testing.T, handle http.HandlerFunc) *loadtool.Report {
	t.Helper()
	is := is.New(t)
	server := httptest.NewServer(handle)
	defer server.Close()
	target, err := loadtool.NewEntries([]string{server.Listener.Addr().String()}, []string{"k1.secret"}, 8)
	is.NoErr(err)
	defer target.Close()
	opts := options()
	opts.Duration = 100 * time.Millisecond
	r, err := loadtool.Run(t.Context(), "entries", target, opts)
	is.NoErr(err)
	is.True(r.Sent > 0)
	return r
}

func TestOptionsAreChecked(t *testing.T) {
	tests := []struct {
		name   string
		check  func() error
		option string
	}{
		{name: "other host", check: func() error { return loadtool.CheckLoopback("192.0.2.7:80") }, option: "address"},
		{name: "host name", check: func() error { return loadtool.CheckLoopback("localhost:80") }, option: "address"},
		{name: "no port", check: func() error { return loadtool.CheckLoopback("127.0.0.1") }, option: "address"},
		{name: "class without an end", check: func() error { _, err := loadtool.ParseMix("standing=1"); return err }, option: "mix"},
		{name: "zero weight", check: func() error { _, err := loadtool.ParseMix("request=0"); return err }, option: "mix"},
		{name: "no key", check: func() error { _, err := loadtool.NewEntries([]string{"127.0.0.1:1"}, nil, 1); return err }, option: "key"},
		{name: "no rate", check: func() error { o := options(); o.Rate = 0; return o.Validate() }, option: "rate"},
		{name: "no callers", check: func() error { o := options(); o.Callers = 0; return o.Validate() }, option: "callers"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var optionError *loadtool.OptionError
			is.True(errors.As(tt.check(), &optionError))
			is.Equal(optionError.Option, tt.option)
		})
	}
}
