package worker

import (
	"context"
	"fmt"

	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// HistoryPath is the HTTP path where the history of a worker is read.
const HistoryPath = "/history"

// endLost is the Run.End of a task that was running when the worker restarted.
const endLost = "lost"

// Run is the record of one task that the worker ran.
type Run struct {
	TaskID      string                `json:"task_id"`
	JobID       string                `json:"job_id"`
	Team        string                `json:"team"`
	Class       string                `json:"class"`
	Resources   devplatform.Resources `json:"resources"`
	Epoch       devplatform.Epoch     `json:"epoch"`
	Incarnation string                `json:"incarnation"`
	// TraceParent is the W3C trace context of the start request.
	TraceParent string `json:"trace_parent,omitempty"`
	// StartUnixNano and EndUnixNano are wall clock times in Unix nanoseconds; EndUnixNano
	// is 0 while the task runs.
	StartUnixNano int64 `json:"start_unix_nano"`
	EndUnixNano   int64 `json:"end_unix_nano,omitempty"`
	// End is the devplatform.TaskState of an ended task, or "lost" if the worker was
	// restarted while the task ran.
	End string `json:"end,omitempty"`
}

// ViolationKind names the capacity that was exceeded.
type ViolationKind string

// The kinds of violations.
const (
	OverCPU          ViolationKind = "cpu_milli"
	OverMemory       ViolationKind = "memory_mb"
	OverAccelerators ViolationKind = "accelerators"
	OverSlots        ViolationKind = "slots"
	OverConnections  ViolationKind = "connections"
)

// Violation records that the load of a worker exceeded its capacity.
type Violation struct {
	Kind ViolationKind `json:"kind"`
	// Held is the load and Capacity its limit, in the unit of the kind.
	Held     int64 `json:"held"`
	Capacity int64 `json:"capacity"`
	// TaskID is the task whose start exceeded the capacity; empty for connections.
	TaskID   string `json:"task_id,omitempty"`
	UnixNano int64  `json:"unix_nano"`
}

// History holds the runs of a worker and the violations of its capacity.
type History struct {
	VMID        string               `json:"vm_id"`
	Domain      string               `json:"domain"`
	Incarnation string               `json:"incarnation"`
	Capacity    devplatform.Capacity `json:"capacity"`
	Runs        []Run                `json:"runs"`
	// DroppedRuns is the number of oldest runs that were dropped because of the limit.
	DroppedRuns int         `json:"dropped_runs"`
	Violations  []Violation `json:"violations"`
	// OpenConnections is the number of open connections that have carried calls of the
	// platform protocol, and LargestConnections the largest such number so far.
	OpenConnections    int `json:"open_connections"`
	LargestConnections int `json:"largest_connections"`
}

// journal records runs and violations, the newest limit runs if limit is not 0.
type journal struct {
	limit      int
	runs       []*Run
	dropped    int
	violations []Violation
}

func (j *journal) begin(run *Run) *Run {
	j.runs = append(j.runs, run)
	if j.limit > 0 && len(j.runs) > j.limit {
		j.runs = j.runs[1:]
		j.dropped++
	}
	return run
}

func (j *journal) finish(run *Run, end string, unixNano int64) {
	run.End = end
	run.EndUnixNano = unixNano
}

func (w *Worker) newRun(t *task, traceParent string) *Run {
	spec := t.status.Spec
	return &Run{
		TaskID: spec.TaskID, JobID: spec.JobID, Team: spec.Team, Class: spec.Class, Resources: spec.Resources,
		Epoch: t.epoch, Incarnation: w.incarnation, TraceParent: traceParent,
		StartUnixNano: w.unixNano(t.status.StartedAt),
	}
}

// History returns what the worker has run so far.
func (w *Worker) History() History {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	history := History{
		VMID: w.config.VMID, Domain: w.config.Domain, Incarnation: w.incarnation, Capacity: w.config.Capacity,
		Runs:        make([]Run, 0, len(w.journal.runs)),
		DroppedRuns: w.journal.dropped,
		Violations:  append([]Violation{}, w.journal.violations...),
	}
	for _, run := range w.journal.runs {
		history.Runs = append(history.Runs, *run)
	}
	history.OpenConnections, history.LargestConnections = w.gate.Connections()
	return history
}

// checkCapacity records a violation for each capacity that the running tasks exceed after
// the start of a task.
func (w *Worker) checkCapacity(started *task) {
	held := devplatform.Resources{}
	for _, t := range w.running {
		held.CPUMilli += t.status.Spec.Resources.CPUMilli
		held.MemoryMB += t.status.Spec.Resources.MemoryMB
		held.Accelerators += t.status.Spec.Resources.Accelerators
	}
	capacity := w.config.Capacity
	w.checkKind(OverCPU, held.CPUMilli, capacity.CPUMilli, started.id())
	w.checkKind(OverMemory, held.MemoryMB, capacity.MemoryMB, started.id())
	w.checkKind(OverAccelerators, held.Accelerators, capacity.Accelerators, started.id())
	w.checkKind(OverSlots, int64(len(w.running)), capacity.Slots, started.id())
}

// checkConnections records a violation if too many connections are open.
func (w *Worker) checkConnections() {
	open, _ := w.gate.Connections()
	if int64(open) <= w.config.Capacity.Connections {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkKind(OverConnections, int64(open), w.config.Capacity.Connections, "")
}

func (w *Worker) checkKind(kind ViolationKind, held, capacity int64, taskID string) {
	if held <= capacity {
		return
	}
	w.journal.violations = append(w.journal.violations, Violation{
		Kind: kind, Held: held, Capacity: capacity, TaskID: taskID, UnixNano: w.unixNano(w.clock()),
	})
}

// String formats a violation for test output.
func (v Violation) String() string {
	return fmt.Sprintf("%s: held %d of %d (task %q)", v.Kind, v.Held, v.Capacity, v.TaskID)
}

type traceParentKey struct{}

// traceParent returns the W3C trace context of a call, or "" if it had none.
func traceParent(ctx context.Context) string {
	value, _ := ctx.Value(traceParentKey{}).(string)
	return value
}
