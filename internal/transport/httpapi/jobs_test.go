package httpapi

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/coordination"
	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
)

const requestJob = `{"class":"request","service":"lease","payload":"aGk="}`

func TestSubmit(t *testing.T) {
	withID := `{"id":"` + string(jobA) + `","class":"request","service":"lease"}`
	firstID := `{"id":"` + string(jobA) + `","first_attempt":true,"class":"request","service":"lease"}`
	tests := []struct {
		name   string
		key    string
		body   string
		code   int
		reason state.Reason
		notRun state.Verdict
		field  string
		team   state.TeamID
		class  state.Class
	}{
		{name: "request", key: tideKey, body: requestJob, code: 200, team: "tide", class: state.ClassRequest},
		{name: "class defaults from the team's queue", key: tideKey, body: `{"queue":"tide-q","service":"lease"}`, code: 200, team: "tide", class: state.ClassGang},
		{name: "open queue without a key", body: `{"queue":"walk-in","service":"lease"}`, code: 200, team: "tide", class: state.ClassBatch},
		{name: "open queue with another team's key", key: braidKey, body: `{"queue":"walk-in","service":"lease"}`, code: 200, team: "tide", class: state.ClassBatch},
		{name: "open queue with a wrong key", key: "k1.wrong", body: `{"queue":"walk-in","service":"lease"}`, code: 401, reason: v1.ReasonUnauthenticated, notRun: state.NotRun},
		{name: "no key", body: requestJob, code: 401, reason: v1.ReasonUnauthenticated, notRun: state.NotRun},
		{name: "wrong key", key: "k1.wrong", body: requestJob, code: 401, reason: v1.ReasonUnauthenticated, notRun: state.NotRun},
		{name: "wrong key and malformed body", key: "k1.wrong", body: `{`, code: 401, reason: v1.ReasonUnauthenticated, notRun: state.NotRun},
		{name: "wrong key for an ID that may be in use", key: "k1.wrong", body: withID, code: 401, reason: v1.ReasonUnauthenticated, notRun: state.Unknown},
		{name: "wrong key and a long body", key: "k1.wrong", body: strings.Replace(firstID, "{", "{"+strings.Repeat(" ", 5000), 1), code: 401, reason: v1.ReasonUnauthenticated, notRun: state.Unknown},
		{name: "wrong key for a first attempt", key: "k1.wrong", body: firstID, code: 401, reason: v1.ReasonUnauthenticated, notRun: state.NotRun},
		{name: "no owner available for the team", key: noOwnerKey, body: requestJob, code: 503, reason: state.ReasonNoOwner, notRun: state.NotRun},
		{name: "operator's key", key: operatorKey, body: requestJob, code: 403, reason: state.ReasonNotPermitted, notRun: state.NotRun},
		{name: "another team's queue", key: braidKey, body: `{"queue":"tide-q","service":"lease"}`, code: 403, reason: state.ReasonNotPermitted, notRun: state.NotRun},
		{name: "no such queue", key: tideKey, body: `{"queue":"none","service":"lease"}`, code: 403, reason: state.ReasonNotPermitted, notRun: state.NotRun},
		{name: "no contract", body: `{"queue":"gone","service":"lease"}`, code: 403, reason: state.ReasonNotPermitted, notRun: state.NotRun},
		{name: "empty body", key: tideKey, code: 400, reason: v1.ReasonInvalid, notRun: state.NotRun, field: "body"},
		{name: "malformed body", key: tideKey, body: `{"class":`, code: 400, reason: v1.ReasonInvalid, notRun: state.NotRun, field: "body"},
		{name: "not an object", key: tideKey, body: `null`, code: 400, reason: v1.ReasonInvalid, notRun: state.NotRun, field: "body"},
		{name: "trailing data", key: tideKey, body: requestJob + `{}`, code: 400, reason: v1.ReasonInvalid, notRun: state.NotRun, field: "body"},
		{name: "unknown field", key: tideKey, body: `{"prio":1}`, code: 400, reason: v1.ReasonInvalid, notRun: state.NotRun, field: "prio"},
		{name: "wrong type", key: tideKey, body: `{"tasks":"3"}`, code: 400, reason: v1.ReasonInvalid, notRun: state.NotRun, field: "tasks"},
		{name: "no class", key: tideKey, body: `{"service":"lease"}`, code: 400, reason: v1.ReasonInvalid, notRun: state.NotRun, field: "class"},
		{name: "queue without a default class", key: tideKey, body: `{"queue":"no-default","service":"lease"}`, code: 400, reason: v1.ReasonInvalid, notRun: state.NotRun, field: "class"},
		{name: "invalid ID", key: tideKey, body: `{"id":"north.7","class":"request","service":"lease"}`, code: 400, reason: v1.ReasonInvalid, notRun: state.NotRun, field: "id"},
		{name: "negative demand", key: tideKey, body: `{"class":"batch","service":"lease","cpu_milli":-1}`, code: 400, reason: v1.ReasonInvalid, notRun: state.NotRun, field: "cpu_milli"},
		{name: "wait exceeds the limit", key: tideKey, body: `{"class":"batch","service":"lease","wait_ms":30001}`, code: 400, reason: v1.ReasonInvalid, notRun: state.NotRun, field: "wait_ms"},
		{name: "body too large", key: tideKey, body: `{"payload":"` + strings.Repeat("A", MaxBodyBytes) + `"}`, code: 413, reason: v1.ReasonTooLarge, notRun: state.NotRun, field: "body"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			got := f.do(call{method: "POST", path: "/v1/jobs", key: tt.key, body: tt.body})
			is.Equal(got.Code, tt.code)
			is.Equal(got.Header().Get("Content-Length"), strconv.Itoa(got.Body.Len()))
			if tt.code == http.StatusOK {
				is.Equal(decode[v1.JobStatus](t, got.Body).ID, issuedID)
				is.Equal(f.jobs.submitted[0].Team, tt.team)
				is.Equal(f.jobs.submitted[0].Class, tt.class)
				return
			}
			is.Equal(f.jobs.calls.Load(), int64(0))
			refusal := decode[v1.Refusal](t, got.Body)
			is.Equal(refusal.Reason, tt.reason)
			is.Equal(refusal.NotRun, tt.notRun)
			is.Equal(refusal.Field, tt.field)
			is.True(refusal.Remedy != "")
			is.Equal(got.Header().Get("WWW-Authenticate") != "", tt.code == http.StatusUnauthorized)
		})
	}
}

func TestRefusalsKeepReasonAndVerdict(t *testing.T) {
	tests := []struct {
		name    string
		reason  state.Reason
		verdict state.Verdict
		code    int
	}{
		{name: "not permitted", reason: state.ReasonNotPermitted, verdict: state.NotRun, code: 403},
		{name: "withdrawn", reason: state.ReasonWithdrawn, verdict: state.NotRun, code: 403},
		{name: "conflict", reason: state.ReasonConflict, verdict: state.Unknown, code: 409},
		{name: "never runnable", reason: state.ReasonNeverRunnable, verdict: state.NotRun, code: 422},
		{name: "over limit", reason: state.ReasonOverLimit, verdict: state.NotRun, code: 422},
		{name: "rate", reason: state.ReasonRateExceeded, verdict: state.NotRun, code: 429},
		{name: "queue full", reason: state.ReasonQueueFull, verdict: state.NotRun, code: 429},
		{name: "no owner", reason: state.ReasonNoOwner, verdict: state.NotRun, code: 503},
		{name: "home unreachable", reason: state.ReasonHomeUnreachable, verdict: state.NotRun, code: 503},
		{name: "shutting down", reason: state.ReasonShuttingDown, verdict: state.NotRun, code: 503},
		{name: "storage", reason: state.ReasonStorage, verdict: state.NotRun, code: 503},
		{name: "retries exhausted", reason: state.ReasonRetriesExhausted, verdict: state.NotRun, code: 503},
		{name: "not ready", reason: v1.ReasonNotReady, verdict: state.NotRun, code: 503},
		{name: "deadline", reason: state.ReasonDeadline, verdict: state.NotRun, code: 504},
		{name: "outcome unknown", reason: state.ReasonOutcomeUnknown, verdict: state.Unknown, code: 504},
		{name: "unknown reason from a later release", reason: "later", verdict: state.Unknown, code: 500},
	}
	for _, tt := range tests {
		for _, asStatus := range []bool{false, true} {
			t.Run(tt.name+"/status="+strconv.FormatBool(asStatus), func(t *testing.T) {
				is := is.New(t)
				f := newFixture()
				cause := refusal(tt.reason, tt.verdict)
				cause.RetryAfter = 1500 * time.Millisecond
				f.jobs.submit = func(_ context.Context, s coordination.Submission) (coordination.JobStatus, error) {
					if asStatus {
						return coordination.JobStatus{ID: s.ID, State: state.JobRefused, Refusal: cause}, nil
					}
					return coordination.JobStatus{}, cause
				}
				got := f.do(call{method: "POST", path: "/v1/jobs", key: tideKey, body: requestJob})
				is.Equal(got.Code, tt.code)
				is.Equal(got.Header().Get("Retry-After"), "2")
				is.Equal(decode[v1.Refusal](t, got.Body), v1.Refusal{
					Reason: tt.reason, NotRun: tt.verdict, Detail: "detail", Remedy: "remedy", RetryAfterMS: 1500, ID: issuedID,
				})
			})
		}
	}
}

func TestSubmitStates(t *testing.T) {
	tests := []struct {
		name  string
		state state.JobState
		code  int
	}{
		{name: "queued", state: state.JobQueued, code: 202},
		{name: "running", state: state.JobRunning, code: 202},
		{name: "succeeded", state: state.JobSucceeded, code: 200},
		{name: "failed", state: state.JobFailed, code: 200},
		{name: "cancelled", state: state.JobCancelled, code: 200},
		{name: "refused without a reason", state: state.JobRefused, code: 500},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.jobs.submit = func(_ context.Context, s coordination.Submission) (coordination.JobStatus, error) {
				return coordination.JobStatus{ID: s.ID, State: tt.state}, nil
			}
			got := f.do(call{method: "POST", path: "/v1/jobs", key: tideKey, body: requestJob})
			is.Equal(got.Code, tt.code)
			is.Equal(got.Header().Get("Location") != "", tt.code == http.StatusAccepted)
		})
	}
}

func TestHandlerFailureLeavesOutcomeUnknown(t *testing.T) {
	tests := []struct {
		name   string
		submit func(context.Context, coordination.Submission) (coordination.JobStatus, error)
	}{
		{name: "untyped error", submit: func(context.Context, coordination.Submission) (coordination.JobStatus, error) {
			return coordination.JobStatus{}, errors.New("disk failure")
		}},
		{name: "panic", submit: func(context.Context, coordination.Submission) (coordination.JobStatus, error) { panic("boom") }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.jobs.submit = tt.submit
			got := f.do(call{method: "POST", path: "/v1/jobs", key: tideKey, body: requestJob})
			is.Equal(got.Code, http.StatusInternalServerError)
			is.True(!strings.Contains(got.Body.String(), "disk failure"))
			is.Equal(decode[v1.Refusal](t, got.Body).NotRun, state.Unknown)
		})
	}
}

func TestJobCalls(t *testing.T) {
	path := "/v1/jobs/" + string(jobA)
	tests := []struct {
		name string
		call call
		code int
		// body is a substring of the response body.
		body string
	}{
		{name: "get", call: call{method: "GET", path: path, key: tideKey}, code: 200, body: `"state":"running"`},
		{name: "get and wait", call: call{method: "GET", path: path + "?wait_ms=5", key: tideKey}, code: 200, body: `"state":"running"`},
		{name: "cancel", call: call{method: "DELETE", path: path, key: tideKey}, code: 200, body: `"state":"cancelled"`},
		{name: "another team's job", call: call{method: "GET", path: path, key: braidKey}, code: 404, body: `"not_run":"unknown"`},
		{name: "get with a wrong key", call: call{method: "GET", path: path, key: "k1.x"}, code: 401, body: `"not_run":"unknown"`},
		{name: "cancel without a key", call: call{method: "DELETE", path: path}, code: 401, body: `"not_run":"unknown"`},
		{name: "operator's key", call: call{method: "GET", path: path, key: operatorKey}, code: 403, body: `"not_run":"unknown"`},
		{name: "not a job ID", call: call{method: "GET", path: "/v1/jobs/7", key: tideKey}, code: 400, body: `"field":"id"`},
		{name: "invalid wait", call: call{method: "GET", path: path + "?wait_ms=-1", key: tideKey}, code: 400, body: `"field":"wait_ms"`},
		{name: "IDs", call: call{method: "POST", path: "/v1/ids", key: tideKey, body: `{"count":2}`}, code: 200, body: `{"ids":["` + string(issuedID) + `","` + string(issuedID) + `"]}`},
		{name: "zero IDs", call: call{method: "POST", path: "/v1/ids", key: tideKey, body: `{"count":0}`}, code: 400, body: `"field":"count"`},
		{name: "IDs without a key", call: call{method: "POST", path: "/v1/ids", body: `{"count":2}`}, code: 401, body: `"reason":"unauthenticated"`},
		{name: "wrong scheme", call: call{method: "GET", path: path, header: http.Header{"Authorization": {"Basic azE6c2VjcmV0"}}}, code: 401, body: "Bearer"},
		{name: "unknown path", call: call{method: "GET", path: "/v2/jobs"}, code: 404, body: `"reason":"not_found"`},
		{name: "wrong method", call: call{method: "PATCH", path: "/v1/jobs"}, code: 405, body: `"reason":"method_not_allowed"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got := newFixture().do(tt.call)
			is.Equal(got.Code, tt.code)
			is.True(strings.Contains(got.Body.String(), tt.body))
			is.Equal(got.Header().Get("Content-Type"), contentTypeJSON)
		})
	}
}

func TestCallTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture()
		f.jobs.submit = func(ctx context.Context, _ coordination.Submission) (coordination.JobStatus, error) {
			<-ctx.Done()
			return coordination.JobStatus{}, ctx.Err()
		}
		start := time.Now()
		got := f.do(call{method: "POST", path: "/v1/jobs", key: tideKey, body: requestJob})
		is.Equal(got.Code, http.StatusGatewayTimeout)
		is.Equal(decode[v1.Refusal](t, got.Body).NotRun, state.Unknown)
		is.Equal(time.Since(start), MaxCallTime)
	})
}

func TestSubmitRate(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.auth.quota = Quota{SubmitRate: 0.01, Burst: 2}
	submit := call{method: "POST", path: "/v1/jobs", key: tideKey, body: requestJob}
	is.Equal(f.do(submit).Code, 200)
	is.Equal(f.do(submit).Code, 200)
	refused := f.do(submit)
	is.Equal(refused.Code, 429)
	is.True(refused.Header().Get("Retry-After") != "")
	is.Equal(decode[v1.Refusal](t, refused.Body).Reason, state.ReasonRateExceeded)
	submit.key = braidKey
	is.Equal(f.do(submit).Code, 200) // other teams are not affected
	is.Equal(f.jobs.calls.Load(), int64(3))
}

func TestLimiterAppliesQuotaChange(t *testing.T) {
	is := is.New(t)
	l := newSubmitLimiter()
	now := time.Unix(1000, 0)
	slow := Quota{SubmitRate: 1, Burst: 1}
	is.Equal(l.reserve("tide", slow, now), time.Duration(0))
	is.Equal(l.reserve("tide", slow, now), time.Second)
	is.Equal(l.reserve("tide", slow, now), time.Second) // a refused submission takes no token
	is.Equal(l.reserve("tide", Quota{SubmitRate: 10, Burst: 1}, now), 100*time.Millisecond)
	is.Equal(l.reserve("tide", slow, now.Add(time.Second)), time.Duration(0))
	is.Equal(l.reserve("tide", Quota{}, now), time.Second)
	l.remove("tide")
	is.Equal(len(l.teams), 0)
}

func TestTraceAndRequestID(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	trace := "0af7651916cd43dd8448eb211c80319c"
	got := f.do(call{method: "GET", path: "/v1/jobs/" + string(jobA), key: tideKey, header: http.Header{
		"Traceparent": {"00-" + trace + "-b7ad6b7169203331-01"},
	}})
	is.True(strings.Contains(got.Header().Get("Traceparent"), trace))
	is.Equal(got.Header().Get(HeaderRequestID), trace)
	got = f.do(call{method: "GET", path: "/v1/jobs/1", header: http.Header{HeaderRequestID: {"mine"}}})
	is.Equal(got.Header().Get(HeaderRequestID), "mine")
	got = f.do(call{method: "GET", path: "/v1/jobs/1", header: http.Header{HeaderRequestID: {"two words"}}})
	is.True(got.Header().Get(HeaderRequestID) != "two words")
}
