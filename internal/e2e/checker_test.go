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

// told is what a caller was told of one job.
type told struct {
	request v1.SubmitRequest
	id      state.JobID
	status  int
	job     *v1.JobStatus
	refusal *v1.Refusal
	// err is set when the caller got no whole answer.
	err error
	at  time.Time
}

// callers submits jobs and keeps what it was told.
type callers struct {
	c    *cluster
	mu   sync.Mutex
	told []told
}

// submit makes one call and records its outcome.
func (cs *callers) submit(e *entryProcess, request v1.SubmitRequest) told {
	status, data, err := cs.c.call(http.MethodPost, e.callers, "/v1/jobs", cs.c.teamKey, request)
	t := told{request: request, id: request.ID, status: status, err: err, at: time.Now()}
	if err == nil {
		t.err = t.decode(data)
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.told = append(cs.told, t)
	return t
}

func (t *told) decode(data []byte) error {
	if t.status < http.StatusMultipleChoices {
		t.job = &v1.JobStatus{}
		err := json.Unmarshal(data, t.job)
		t.id = t.job.ID
		return err
	}
	t.refusal = &v1.Refusal{}
	err := json.Unmarshal(data, t.refusal)
	if t.id == "" {
		t.id = t.refusal.ID
	}
	return err
}

// all returns what callers were told so far.
func (cs *callers) all() []told {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return slices.Clone(cs.told)
}

// placed is one run with the worker that ran it.
type placed struct {
	worker.Run
	vm string
	// index is the task without its attempt.
	index string
}

// check judges from the workers' records of what they ran and the callers'
// records of what they were told.
func (c *cluster) check(cs *callers, limit int64) []string {
	c.t.Helper()
	var faults []string
	var runs []placed
	for vm := range c.upstreams {
		h := c.history(vm)
		for _, v := range h.Violations {
			faults = append(faults, fmt.Sprintf("%s was pushed past what it holds: %s", vm, v))
		}
		for _, r := range h.Runs {
			runs = append(runs, newPlaced(r, vm))
		}
	}
	faults = append(faults, checkPlaces(runs)...)
	faults = append(faults, checkLimit(runsOf(runs, team), limit)...)
	return append(faults, checkTold(runs, cs.all())...)
}

// runs returns what all workers ran.
func (c *cluster) runs() []placed {
	c.t.Helper()
	var runs []placed
	for vm := range c.upstreams {
		for _, r := range c.history(vm).Runs {
			runs = append(runs, newPlaced(r, vm))
		}
	}
	return runs
}

func newPlaced(r worker.Run, vm string) placed {
	return placed{Run: r, vm: vm, index: r.TaskID[:strings.LastIndex(r.TaskID, "/")]}
}

// runsOf returns the runs of a team.
func runsOf(runs []placed, id state.TeamID) []placed {
	return slices.DeleteFunc(slices.Clone(runs), func(r placed) bool { return r.Team != string(id) })
}

// since returns the parts of runs after a time.
func since(runs []placed, t time.Time) []placed {
	var rest []placed
	for _, r := range runs {
		if end(r) > t.UnixNano() {
			r.StartUnixNano = max(r.StartUnixNano, t.UnixNano())
			rest = append(rest, r)
		}
	}
	return rest
}

// checkPlaces finds tasks that ran in two places at once.
func checkPlaces(runs []placed) []string {
	var faults []string
	byIndex := map[string][]placed{}
	for _, r := range runs {
		byIndex[r.index] = append(byIndex[r.index], r)
	}
	for index, list := range byIndex {
		for i, a := range list {
			for _, b := range list[i+1:] {
				if a.StartUnixNano < end(b) && b.StartUnixNano < end(a) {
					faults = append(faults, fmt.Sprintf("task %s ran on %s and %s at once", index, a.vm, b.vm))
				}
			}
		}
	}
	return faults
}

func end(r placed) int64 {
	if r.EndUnixNano == 0 {
		return time.Now().UnixNano()
	}
	return r.EndUnixNano
}

// checkLimit finds moments at which the team had more tasks running than its
// upper limit.
func checkLimit(runs []placed, limit int64) []string {
	type edge struct {
		at    int64
		delta int64
	}
	var edges []edge
	for _, r := range runs {
		edges = append(edges, edge{r.StartUnixNano, 1}, edge{end(r), -1})
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
			return []string{fmt.Sprintf("%d tasks ran at once, the limit is %d", running, limit)}
		}
	}
	return nil
}

// checkTold compares what callers were told with what ran.
func checkTold(runs []placed, all []told) []string {
	var faults []string
	starts := map[string]int{}
	for _, r := range runs {
		starts[r.JobID]++
	}
	for _, t := range all {
		ran := starts[string(t.id)]
		if t.refusal != nil && t.refusal.NotRun == state.NotRun && ran > 0 && t.id != "" {
			faults = append(faults, fmt.Sprintf("job %s was said not to have run (%s) and ran %d times", t.id, t.refusal.Reason, ran))
		}
		if t.job != nil && t.job.Refusal != nil && t.job.Refusal.NotRun == state.NotRun && ran > 0 {
			faults = append(faults, fmt.Sprintf("job %s was %s as not run and ran %d times", t.id, t.job.State, ran))
		}
		if !t.request.Idempotent && t.request.Class == state.ClassRequest && ran > 1 {
			faults = append(faults, fmt.Sprintf("non-idempotent job %s ran %d times", t.id, ran))
		}
		if t.job != nil && t.job.State == state.JobSucceeded && t.request.Class == state.ClassRequest {
			if len(t.job.Outputs) != 1 || string(t.job.Outputs[0]) != wanted(t.request.Payload) {
				faults = append(faults, fmt.Sprintf("job %s got %q, not its own answer", t.id, t.job.Outputs))
			}
		}
	}
	return faults
}

// wanted is the answer of a stand-in worker to a payload.
func wanted(payload []byte) string {
	var p worker.Payload
	if json.Unmarshal(payload, &p) != nil {
		return string(payload)
	}
	return p.Output
}
