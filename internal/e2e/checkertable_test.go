package e2e

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/standin/worker"
)

// ran returns a run of an attempt of a job's task on a worker.
func ran(vm, task string, from, to int64) placed {
	return newPlaced(worker.Run{TaskID: task, JobID: task[:1], Team: string(team), StartUnixNano: from, EndUnixNano: to, End: "succeeded"}, vm)
}

// answered returns what a caller was told of job a.
func answered(idempotent bool, status v1.JobStatus) told {
	status.ID = "a"
	return told{id: "a", job: &status, request: v1.SubmitRequest{Class: state.ClassRequest, Idempotent: idempotent, Payload: []byte("own")}}
}

// TestCheckerFindsFaults gives the checker records with one fault of each kind,
// and records that come close to one.
func TestCheckerFindsFaults(t *testing.T) {
	whole := v1.JobStatus{State: state.JobSucceeded, Outputs: [][]byte{[]byte("own")}}
	other := v1.JobStatus{State: state.JobSucceeded, Outputs: [][]byte{[]byte("other")}}
	part := v1.JobStatus{State: state.JobSucceeded, Outputs: [][]byte{[]byte("ow")}}
	none := v1.JobStatus{State: state.JobSucceeded}
	cancelled := v1.JobStatus{State: state.JobCancelled, Refusal: &v1.Refusal{NotRun: state.NotRun}}
	refused := told{id: "a", refusal: &v1.Refusal{NotRun: state.NotRun}}
	unknown := told{id: "a", refusal: &v1.Refusal{NotRun: state.Unknown}}
	one := []placed{ran("up1", "a/0/1", 1, 5)}
	after := []placed{ran("up1", "a/0/1", 1, 5), ran("up2", "a/0/2", 5, 9)}
	overlap := []placed{ran("up1", "a/0/1", 1, 5), ran("up2", "a/0/2", 4, 9)}
	tests := []struct {
		name  string
		check func() []string
		found bool
	}{
		{name: "a task in two places at once", check: func() []string { return checkPlaces(overlap) }, found: true},
		{name: "a task in two places, one still running", check: func() []string {
			return checkPlaces([]placed{ran("up1", "a/0/1", 1, 0), ran("up2", "a/0/2", 4, 9)})
		}, found: true},
		{name: "a task in two places one after the other", check: func() []string { return checkPlaces(after) }},
		{name: "two tasks at once", check: func() []string {
			return checkPlaces([]placed{ran("up1", "a/0/1", 1, 5), ran("up2", "a/1/1", 1, 5)})
		}},
		{name: "a team over its limit", check: func() []string { return checkLimit(overlap, 1) }, found: true},
		{name: "a team at its limit", check: func() []string { return checkLimit(after, 1) }},
		{name: "a refusal as not run of a job that ran", check: func() []string { return checkTold(one, []told{refused}) }, found: true},
		{name: "a refusal as unknown of a job that ran", check: func() []string { return checkTold(one, []told{unknown}) }},
		{name: "a refusal as not run of a job that did not run", check: func() []string { return checkTold(nil, []told{refused}) }},
		{name: "a cancel as not run of a job that ran", check: func() []string { return checkTold(one, []told{answered(true, cancelled)}) }, found: true},
		{name: "a non-idempotent job that ran twice", check: func() []string { return checkTold(after, []told{answered(false, whole)}) }, found: true},
		{name: "an idempotent job that ran twice", check: func() []string { return checkTold(after, []told{answered(true, whole)}) }},
		{name: "the answer of another request", check: func() []string { return checkTold(one, []told{answered(true, other)}) }, found: true},
		{name: "a part of an answer", check: func() []string { return checkTold(one, []told{answered(true, part)}) }, found: true},
		{name: "no answer in a success", check: func() []string { return checkTold(one, []told{answered(true, none)}) }, found: true},
		{name: "its own answer", check: func() []string { return checkTold(one, []told{answered(true, whole)}) }},
		{name: "a success that never ran", check: func() []string { return lostAndDoubled(nil, []told{answered(true, whole)}) }, found: true},
		{name: "a success that ran twice to its end", check: func() []string { return lostAndDoubled(after, []told{answered(true, whole)}) }, found: true},
		{name: "a success that ran once", check: func() []string { return lostAndDoubled(one, []told{answered(true, whole)}) }},
		{name: "a call without an answer", check: func() []string { return checkTold(one, []told{{id: "a", err: errors.New("reset")}}) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(len(tt.check()) > 0, tt.found)
		})
	}
}
