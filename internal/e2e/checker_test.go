package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/standin/worker"
)

// outcome is what a caller received for one request.
type outcome struct {
	request v1.SubmitRequest
	id      state.JobID
	status  int
	job     *v1.JobStatus
	refusal *v1.Refusal
	// err is set when the caller received no complete response.
	err error
	at  time.Time
}

// recordingClient submits jobs and records their outcomes. It is safe for concurrent
// use.
type recordingClient struct {
	c        *cluster
	mu       sync.Mutex
	outcomes []outcome
}

// submit submits a job through an entry and records the outcome.
func (client *recordingClient) submit(e *entryProcess, request v1.SubmitRequest) outcome {
	status, data, err := client.c.call(http.MethodPost, e.callerAddr, "/v1/jobs", client.c.teamKey, request)
	o := outcome{request: request, id: request.ID, status: status, err: err, at: time.Now()}
	if err == nil {
		o.err = o.decode(data)
	}
	client.mu.Lock()
	defer client.mu.Unlock()
	client.outcomes = append(client.outcomes, o)
	return o
}

// decode stores a response body as the status of a job or as a refusal.
func (o *outcome) decode(data []byte) error {
	if o.status < http.StatusMultipleChoices {
		o.job = &v1.JobStatus{}
		err := json.Unmarshal(data, o.job)
		o.id = o.job.ID
		return err
	}
	o.refusal = &v1.Refusal{}
	err := json.Unmarshal(data, o.refusal)
	if o.id == "" {
		o.id = o.refusal.ID
	}
	return err
}

// all returns a copy of the outcomes recorded so far.
func (client *recordingClient) all() []outcome {
	client.mu.Lock()
	defer client.mu.Unlock()
	return slices.Clone(client.outcomes)
}

// workerRun is one run with the VM of the worker that ran it.
type workerRun struct {
	worker.Run
	vm string
	// task is the task ID without its attempt.
	task string
}

// check compares the workers' records of their runs with the callers' records of
// their outcomes, and returns the faults found.
func (c *cluster) check(client *recordingClient, limit int64) []string {
	c.t.Helper()
	var faults []string
	var runs []workerRun
	for vm := range c.upstreams {
		h := c.history(vm)
		for _, v := range h.Violations {
			faults = append(faults, fmt.Sprintf("%s was loaded beyond its capacity: %s", vm, v))
		}
		for _, r := range h.Runs {
			runs = append(runs, newWorkerRun(r, vm))
		}
	}
	faults = append(faults, checkOverlap(runs)...)
	faults = append(faults, checkLimit(runsOf(runs, team), limit)...)
	return append(faults, checkOutcomes(runs, client.all())...)
}

// runs returns the recorded runs of all workers.
func (c *cluster) runs() []workerRun {
	c.t.Helper()
	var runs []workerRun
	for vm := range c.upstreams {
		for _, r := range c.history(vm).Runs {
			runs = append(runs, newWorkerRun(r, vm))
		}
	}
	return runs
}

func newWorkerRun(r worker.Run, vm string) workerRun {
	return workerRun{Run: r, vm: vm, task: r.TaskID[:strings.LastIndex(r.TaskID, "/")]}
}

// runsOf returns the runs of a team.
func runsOf(runs []workerRun, id state.TeamID) []workerRun {
	return slices.DeleteFunc(slices.Clone(runs), func(r workerRun) bool { return r.Team != string(id) })
}

// runsAfter returns the parts of the runs that lie after a time.
func runsAfter(runs []workerRun, t time.Time) []workerRun {
	var rest []workerRun
	for _, r := range runs {
		if endTime(r) > t.UnixNano() {
			r.StartUnixNano = max(r.StartUnixNano, t.UnixNano())
			rest = append(rest, r)
		}
	}
	return rest
}

// checkOverlap finds tasks of which two attempts ran at the same time.
func checkOverlap(runs []workerRun) []string {
	var faults []string
	byTask := map[string][]workerRun{}
	for _, r := range runs {
		byTask[r.task] = append(byTask[r.task], r)
	}
	for task, list := range byTask {
		for i, a := range list {
			for _, b := range list[i+1:] {
				if a.StartUnixNano < endTime(b) && b.StartUnixNano < endTime(a) {
					faults = append(faults, fmt.Sprintf("task %s ran on %s and %s at the same time", task, a.vm, b.vm))
				}
			}
		}
	}
	return faults
}

// endTime returns the end of a run, or the current time if it is still running.
func endTime(r workerRun) int64 {
	if r.EndUnixNano == 0 {
		return time.Now().UnixNano()
	}
	return r.EndUnixNano
}

// checkLimit reports the first moment at which more tasks were running than the limit
// allows.
func checkLimit(runs []workerRun, limit int64) []string {
	type edge struct {
		at    int64
		delta int64
	}
	var edges []edge
	for _, r := range runs {
		edges = append(edges, edge{r.StartUnixNano, 1}, edge{endTime(r), -1})
	}
	slices.SortFunc(edges, func(a, b edge) int {
		if a.at != b.at {
			return int(min(max(a.at-b.at, -1), 1))
		}
		return int(a.delta - b.delta)
	})
	running := int64(0)
	for _, e := range edges {
		running += e.delta
		if running > limit {
			return []string{fmt.Sprintf("%d tasks ran at the same time, the limit is %d", running, limit)}
		}
	}
	return nil
}

// checkOutcomes compares the outcomes that callers received with the recorded runs.
func checkOutcomes(runs []workerRun, all []outcome) []string {
	var faults []string
	starts := map[string]int{}
	for _, r := range runs {
		starts[r.JobID]++
	}
	for _, o := range all {
		runCount := starts[string(o.id)]
		if o.refusal != nil && o.refusal.NotRun == state.NotRun && runCount > 0 && o.id != "" {
			faults = append(faults, fmt.Sprintf("job %s was refused as not run (%s), but ran %d times", o.id, o.refusal.Reason, runCount))
		}
		if o.job != nil && o.job.Refusal != nil && o.job.Refusal.NotRun == state.NotRun && runCount > 0 {
			faults = append(faults, fmt.Sprintf("job %s was reported as %s and not run, but ran %d times", o.id, o.job.State, runCount))
		}
		if !o.request.Idempotent && o.request.Class == state.ClassRequest && runCount > 1 {
			faults = append(faults, fmt.Sprintf("non-idempotent job %s ran %d times", o.id, runCount))
		}
		if o.job != nil && o.job.State == state.JobSucceeded && o.request.Class == state.ClassRequest {
			if len(o.job.Outputs) != 1 || string(o.job.Outputs[0]) != expectedOutput(o.request.Payload) {
				faults = append(faults, fmt.Sprintf("job %s got output %q instead of its own", o.id, o.job.Outputs))
			}
		}
	}
	return faults
}

// expectedOutput returns the output of a stand-in worker for a payload.
func expectedOutput(payload []byte) string {
	var p worker.Payload
	if json.Unmarshal(payload, &p) != nil {
		return string(payload)
	}
	return p.Output
}
