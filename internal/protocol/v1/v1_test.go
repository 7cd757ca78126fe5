package v1_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/coordination"
	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

const jobID = state.JobID("north.0190b6c4-7a00-7000-8000-00000000000a")

func TestSubmission(t *testing.T) {
	full := v1.SubmitRequest{
		ID: jobID, Queue: "q", Class: state.ClassGang, Service: "design", Tasks: 4,
		CPUMilli: 1500, MemoryMB: 2048, Accelerators: 2, RunTimeMS: 1000, DeadlineMS: 2000,
		Urgent: true, Idempotent: true, Preemptible: true, Payload: []byte{0, 1}, WaitMS: 500,
	}
	tests := []struct {
		name    string
		request v1.SubmitRequest
		want    coordination.Submission
	}{
		{
			name:    "every field",
			request: full,
			want: coordination.Submission{
				ID: jobID, Team: "braid", Queue: "q", Class: state.ClassGang, Service: "design", Tasks: 4,
				Each:    state.Vector{CPUMilli: 1500, MemoryMB: 2048, Accelerators: 2, Slots: 1},
				RunTime: time.Second, DeadlineIn: 2 * time.Second, Wait: 500 * time.Millisecond,
				Urgent: true, Idempotent: true, Preemptible: true, Payload: []byte{0, 1},
			},
		},
		{
			name:    "request waits for its end",
			request: v1.SubmitRequest{Class: state.ClassRequest, Service: "design"},
			want:    coordination.Submission{Team: "braid", Class: state.ClassRequest, Service: "design", Tasks: 1, Each: state.Vector{Slots: 1}, Wait: v1.MaxWait, Fresh: true},
		},
		{
			name:    "batch does not wait",
			request: v1.SubmitRequest{Class: state.ClassBatch, Service: "design"},
			want:    coordination.Submission{Team: "braid", Class: state.ClassBatch, Service: "design", Tasks: 1, Each: state.Vector{Slots: 1}, Fresh: true},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.NoErr(tt.request.Validate())
			encoded, err := json.Marshal(tt.request)
			is.NoErr(err)
			var decoded v1.SubmitRequest
			is.NoErr(v1.Decode(encoded, &decoded))
			is.Equal(decoded.Submission("braid"), tt.want)
		})
	}
}

func TestCheckJobID(t *testing.T) {
	tests := []struct {
		name string
		id   state.JobID
		ok   bool
	}{
		{name: "issued", id: jobID, ok: true},
		{name: "domain with a dot", id: "south.east" + jobID[5:], ok: true},
		{name: "no domain", id: jobID[6:]},
		{name: "empty domain", id: jobID[5:]},
		{name: "random UUID", id: "north.0190b6c4-7a00-4000-8000-00000000000a"},
		{name: "upper case", id: "north.0190B6C4-7a00-7000-8000-00000000000a"},
		{name: "braces", id: "north.{0190b6c4-7a00-7000-8000-00000000000a}"},
		{name: "path", id: "north/../" + jobID[6:]},
		{name: "empty"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(v1.CheckJobID(tt.id) == nil, tt.ok)
		})
	}
}

func TestJobStatusRoundTrip(t *testing.T) {
	is := is.New(t)
	refusal := &state.Refusal{Reason: state.ReasonTaskFailed, Verdict: state.HasRun, Detail: "d", Remedy: "r", RetryAfter: 20 * time.Millisecond}
	status := coordination.JobStatus{
		ID: jobID, Team: "braid", Class: state.ClassBatch, State: state.JobFailed,
		Outputs: [][]byte{[]byte("out"), {}},
		Tasks:   []coordination.TaskPlace{{Task: "t", VM: "vm-1", State: devplatform.TaskFailed}},
		Refusal: refusal,
		Durable: true, Waiting: "w",
	}
	encoded, err := json.Marshal(v1.NewJobStatus(status))
	is.NoErr(err)
	var decoded v1.JobStatus
	is.NoErr(v1.Decode(encoded, &decoded))
	is.Equal(decoded.Refusal.State(), refusal)
	decoded.Refusal = nil
	is.Equal(decoded, v1.JobStatus{
		ID: jobID, Team: "braid", Class: state.ClassBatch, State: state.JobFailed,
		Outputs: [][]byte{[]byte("out"), {}},
		Tasks:   []v1.TaskPlace{{Task: "t", VM: "vm-1", State: "failed"}},
		Durable: true, Waiting: "w",
	})
}

func TestRefusalOf(t *testing.T) {
	tests := []struct {
		name   string
		err    error
		reason state.Reason
		notRun state.Verdict
	}{
		{name: "refusal", err: fmt.Errorf("wrapped: %w", &state.Refusal{Reason: state.ReasonDeadline, Verdict: state.NotRun}), reason: state.ReasonDeadline, notRun: state.NotRun},
		{name: "field", err: &v1.FieldError{Field: "f"}, reason: v1.ReasonInvalid, notRun: state.NotRun},
		{name: "conflict", err: &v1.ConflictError{Current: v1.NoVersion}, reason: state.ReasonConflict, notRun: state.NotRun},
		{name: "timeout", err: fmt.Errorf("wrapped: %w", context.DeadlineExceeded), reason: state.ReasonOutcomeUnknown, notRun: state.Unknown},
		{name: "other", err: errors.New("x"), reason: v1.ReasonInternal, notRun: state.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			refusal := v1.RefusalOf(tt.err)
			is.Equal(refusal.Reason, tt.reason)
			is.Equal(refusal.NotRun, tt.notRun)
			is.Equal(refusal.State().Reason, tt.reason)
			is.True(refusal.Error() != "" && tt.err.Error() != "")
		})
	}
	is.New(t).Equal(v1.NewRefusal(&state.Refusal{RetryAfter: time.Microsecond}).RetryAfterMS, int64(1))
}

func TestContractValidate(t *testing.T) {
	valid := v1.Contract{
		Team: "braid", Services: []state.Service{"design"}, Classes: []state.Class{state.ClassBatch},
		SubmitRate: 0.5, SubmitBurst: 1, Weight: 1, PartitionPolicy: v1.PartitionHold,
	}
	tests := []struct {
		name   string
		change func(*v1.Contract)
		field  string
	}{
		{name: "valid", change: func(*v1.Contract) {}},
		{name: "no team", change: func(c *v1.Contract) { c.Team = "" }, field: "team"},
		{name: "no services", change: func(c *v1.Contract) { c.Services = nil }, field: "services"},
		{name: "invalid service", change: func(c *v1.Contract) { c.Services = []state.Service{"a", "B"} }, field: "services[1]"},
		{name: "no classes", change: func(c *v1.Contract) { c.Classes = nil }, field: "classes"},
		{name: "invalid class", change: func(c *v1.Contract) { c.Classes = []state.Class{"x"} }, field: "classes[0]"},
		{name: "no rate", change: func(c *v1.Contract) { c.SubmitRate = 0 }, field: "submit_rate"},
		{name: "no burst", change: func(c *v1.Contract) { c.SubmitBurst = 0 }, field: "submit_burst"},
		{name: "negative queue length", change: func(c *v1.Contract) { c.MaxQueued = -1 }, field: "max_queued"},
		{name: "limit too large", change: func(c *v1.Contract) { c.Limit.Slots = v1.MaxLimit + 1 }, field: "limit.slots"},
		{name: "no weight", change: func(c *v1.Contract) { c.Weight = 0 }, field: "weight"},
		{name: "invalid on_cut value", change: func(c *v1.Contract) { c.PartitionPolicy = "x" }, field: "on_cut"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			contract := valid
			tt.change(&contract)
			err := contract.Validate()
			var field *v1.FieldError
			is.Equal(errors.As(err, &field), tt.field != "")
			if field != nil {
				is.Equal(field.Field, tt.field)
			}
		})
	}
}

// FuzzDecode decodes and validates arbitrary request bodies. An accepted body must be
// within the limits and survive a round trip; any other must fail with a FieldError.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		``, `null`, `[]`, `{}`, `{"class":"batch","service":"s"}`, `{"class":"batch","service":"s"}{}`,
		`{"tasks":1e99}`, `{"tasks":-1}`, `{"payload":"!"}`, `{"payload":"aGk="}`, `{"id":"a.b"}`, `{"x":1}`, `{"":""}`,
		`{"class":"request","class":"gang","service":"s"}`, "\xff\xfe", `{"service":"\u0000"}`, `{"CLASS":"batch","service":"s"}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		is := is.New(t)
		var request v1.SubmitRequest
		err := v1.Decode(data, &request)
		if err == nil {
			err = request.Validate()
		}
		if err != nil {
			var field *v1.FieldError
			is.True(errors.As(err, &field))
			is.True(field.Field != "" && field.Remedy != "")
			return
		}
		s := request.Submission("braid")
		is.True(s.Tasks >= 1 && s.Tasks <= v1.MaxTasks)
		is.True(!s.Each.Negative() && !s.Each.Scale(int64(s.Tasks)).Negative())
		is.True(s.Wait >= 0 && s.Wait <= v1.MaxWait && s.DeadlineIn >= 0)
		encoded, err := json.Marshal(request)
		is.NoErr(err)
		var redecoded v1.SubmitRequest
		is.NoErr(v1.Decode(encoded, &redecoded))
		is.Equal(redecoded.Submission("braid").ID, s.ID)
	})
}
