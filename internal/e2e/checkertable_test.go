package e2e

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/standin/worker"
)

// newRun returns a successful run of a task attempt on a worker. The first letter of
// the task ID is the job ID; start and end are in Unix nanoseconds.
func newRun(vm, task string, start, end int64) workerRun {
	return newWorkerRun(worker.Run{TaskID: task, JobID: task[:1], Team: string(team), StartUnixNano: start, EndUnixNano: end, End: "succeeded"}, vm)
}

// jobOutcome returns the outcome of a request for job a with the given status.
func jobOutcome(idempotent bool, status v1.JobStatus) outcome {
	status.ID = "a"
	return outcome{id: "a", job: &status, request: v1.SubmitRequest{Class: state.ClassRequest, Idempotent: idempotent, Payload: []byte("own")}}
}

// TestCheckerFindsFaults gives the checks records with one fault of each kind, and
// valid records that are close to one.
func TestCheckerFindsFaults(t *testing.T) {
	ownOutput := v1.JobStatus{State: state.JobSucceeded, Outputs: [][]byte{[]byte("own")}}
	other := v1.JobStatus{State: state.JobSucceeded, Outputs: [][]byte{[]byte("other")}}
	part := v1.JobStatus{State: state.JobSucceeded, Outputs: [][]byte{[]byte("ow")}}
	none := v1.JobStatus{State: state.JobSucceeded}
	cancelled := v1.JobStatus{State: state.JobCancelled, Refusal: &v1.Refusal{NotRun: state.NotRun}}
	refused := outcome{id: "a", refusal: &v1.Refusal{NotRun: state.NotRun}}
	unknown := outcome{id: "a", refusal: &v1.Refusal{NotRun: state.Unknown}}
	one := []workerRun{newRun("up1", "a/0/1", 1, 5)}
	after := []workerRun{newRun("up1", "a/0/1", 1, 5), newRun("up2", "a/0/2", 5, 9)}
	overlap := []workerRun{newRun("up1", "a/0/1", 1, 5), newRun("up2", "a/0/2", 4, 9)}
	tests := []struct {
		name  string
		check func() []string
		found bool
	}{
		{name: "overlapping runs of one task", check: func() []string { return checkOverlap(overlap) }, found: true},
		{name: "overlapping runs of one task, one still running", check: func() []string {
			return checkOverlap([]workerRun{newRun("up1", "a/0/1", 1, 0), newRun("up2", "a/0/2", 4, 9)})
		}, found: true},
		{name: "consecutive runs of one task", check: func() []string { return checkOverlap(after) }},
		{name: "overlapping runs of two tasks", check: func() []string {
			return checkOverlap([]workerRun{newRun("up1", "a/0/1", 1, 5), newRun("up2", "a/1/1", 1, 5)})
		}},
		{name: "team over its limit", check: func() []string { return checkLimit(overlap, 1) }, found: true},
		{name: "team at its limit", check: func() []string { return checkLimit(after, 1) }},
		{name: "refused as not run, but ran", check: func() []string { return checkOutcomes(one, []outcome{refused}) }, found: true},
		{name: "refused as unknown, and ran", check: func() []string { return checkOutcomes(one, []outcome{unknown}) }},
		{name: "refused as not run, and did not run", check: func() []string { return checkOutcomes(nil, []outcome{refused}) }},
		{name: "cancelled as not run, but ran", check: func() []string { return checkOutcomes(one, []outcome{jobOutcome(true, cancelled)}) }, found: true},
		{name: "non-idempotent job ran twice", check: func() []string { return checkOutcomes(after, []outcome{jobOutcome(false, ownOutput)}) }, found: true},
		{name: "idempotent job ran twice", check: func() []string { return checkOutcomes(after, []outcome{jobOutcome(true, ownOutput)}) }},
		{name: "output of another request", check: func() []string { return checkOutcomes(one, []outcome{jobOutcome(true, other)}) }, found: true},
		{name: "truncated output", check: func() []string { return checkOutcomes(one, []outcome{jobOutcome(true, part)}) }, found: true},
		{name: "succeeded without output", check: func() []string { return checkOutcomes(one, []outcome{jobOutcome(true, none)}) }, found: true},
		{name: "output of its own request", check: func() []string { return checkOutcomes(one, []outcome{jobOutcome(true, ownOutput)}) }},
		{name: "succeeded, but never ran", check: func() []string { return checkSucceededOnce(nil, []outcome{jobOutcome(true, ownOutput)}) }, found: true},
		{name: "succeeded, but two runs completed", check: func() []string { return checkSucceededOnce(after, []outcome{jobOutcome(true, ownOutput)}) }, found: true},
		{name: "succeeded and ran once", check: func() []string { return checkSucceededOnce(one, []outcome{jobOutcome(true, ownOutput)}) }},
		{name: "call without a response", check: func() []string { return checkOutcomes(one, []outcome{{id: "a", err: errors.New("reset")}}) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(len(tt.check()) > 0, tt.found)
		})
	}
}
