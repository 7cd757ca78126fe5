package devplatform

import (
	"cmp"
	"context"
	"time"
)

// Resources is an amount of what a worker has.
type Resources struct {
	CPUMilli     int64 `json:"cpu_milli"`
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators"`
}

// Capacity is what an upstream VM holds.
type Capacity struct {
	Resources
	// Slots is how many tasks may run at once.
	Slots int64 `json:"slots"`
	// Connections is how many connections the worker accepts, over all
	// entries together.
	Connections int64 `json:"connections"`
}

// Epoch orders the owners of a shard. Two epochs are never equal unless they
// are of the same claim: Number is compared first, then Owner.
type Epoch struct {
	Number uint64 `json:"number"`
	// Owner is the entry process (VM ID and incarnation) that claims.
	Owner string `json:"owner"`
}

// Compare returns a negative number when e is older than other, 0 when they
// are the same claim, a positive number when e is newer.
func (e Epoch) Compare(other Epoch) int {
	if c := cmp.Compare(e.Number, other.Number); c != 0 {
		return c
	}
	return cmp.Compare(e.Owner, other.Owner)
}

// WorkerClock is a reading of a worker's monotonic clock, counted from the
// start of its incarnation. Leases are stated on this clock, so that a renewal
// delayed in the network can't extend a lease past the time its sender meant.
type WorkerClock time.Duration

// TaskState is the worker's view of a task.
type TaskState string

// The states of a task on a worker. TaskUnknown means that the worker has no
// record of the task: it never started here, or its record has expired.
const (
	TaskUnknown   TaskState = "unknown"
	TaskRunning   TaskState = "running"
	TaskSucceeded TaskState = "succeeded"
	TaskFailed    TaskState = "failed"
	// TaskStopped ended by a stop, a cancel or a lapsed lease.
	TaskStopped TaskState = "stopped"
	// TaskRefused was cancelled before its start arrived: it never ran and
	// never will.
	TaskRefused TaskState = "refused"
)

// Ended reports whether a task in this state runs no more and never will.
func (s TaskState) Ended() bool {
	switch s {
	case TaskSucceeded, TaskFailed, TaskStopped, TaskRefused:
		return true
	case TaskUnknown, TaskRunning:
		return false
	}
	return false
}

// TaskSpec is what a worker needs to run a task. The worker keeps it and hands
// it to a new owner, who rebuilds its state from it.
type TaskSpec struct {
	TaskID    string    `json:"task_id"`
	JobID     string    `json:"job_id"`
	Team      string    `json:"team"`
	Class     string    `json:"class"`
	Resources Resources `json:"resources"`
	// RunTime is the declared run time; 0 when not declared.
	RunTime time.Duration `json:"run_time"`
	// Labels carries the owner's own notes (for adoption); the worker does
	// not read it.
	Labels []byte `json:"labels,omitempty"`
	// Payload is the input of the task, as the caller sent it.
	Payload []byte `json:"payload,omitempty"`
}

// TaskStatus is a worker's record of one task.
type TaskStatus struct {
	Spec  TaskSpec  `json:"spec"`
	State TaskState `json:"state"`
	// Output is the whole result of a succeeded task, or the error text of a
	// failed one.
	Output []byte `json:"output,omitempty"`
	// StartedAt and EndedAt are on the worker's clock.
	StartedAt WorkerClock `json:"started_at"`
	EndedAt   WorkerClock `json:"ended_at,omitempty"`
}

// FenceRequest raises the epoch of a worker.
type FenceRequest struct {
	Epoch Epoch `json:"epoch"`
}

// FenceReply is what runs on a worker at the moment it was fenced. From then on
// nothing of an older epoch starts, renews or stops there.
type FenceReply struct {
	VMID        string      `json:"vm_id"`
	Incarnation string      `json:"incarnation"`
	Clock       WorkerClock `json:"clock"`
	Capacity    Capacity    `json:"capacity"`
	// Tasks are those running and those ended within the worker's record
	// time. Payload and, for running tasks, Output are left out.
	Tasks []TaskStatus `json:"tasks"`
	// LeaseUntil is the current end of the lease of all tasks here.
	LeaseUntil WorkerClock `json:"lease_until"`
}

// StartRequest starts one task. It is idempotent by Spec.TaskID: a repeat
// returns the state of the first.
type StartRequest struct {
	Epoch Epoch `json:"epoch"`
	// Incarnation is that of the worker meant; another one refuses.
	Incarnation string   `json:"incarnation"`
	Spec        TaskSpec `json:"spec"`
	// LeaseUntil extends the lease of the worker as in SyncRequest.
	LeaseUntil WorkerClock `json:"lease_until"`
	// Wait holds the reply until the task has ended.
	Wait bool `json:"wait"`
}

// StartReply tells the state of the task after the call.
type StartReply struct {
	Status TaskStatus  `json:"status"`
	Clock  WorkerClock `json:"clock"`
}

// SyncRequest renews the lease of all tasks on a worker and waits for news.
type SyncRequest struct {
	Epoch       Epoch  `json:"epoch"`
	Incarnation string `json:"incarnation"`
	// LeaseUntil is the end of the lease on the worker's clock. The worker
	// keeps the largest it has seen from the newest epoch; when it passes,
	// the worker stops every task of the shard.
	LeaseUntil WorkerClock `json:"lease_until"`
	// AckEvent is the highest event sequence number that the caller has seen.
	AckEvent int64 `json:"ack_event"`
	// Wait is how long the worker may hold the call when it has no event.
	Wait time.Duration `json:"wait"`
	// SkipUsage asks for a reply without usage.
	SkipUsage bool `json:"skip_usage,omitempty"`
}

// TaskEvent tells of a task that ended. Tasks started with Wait under the
// current epoch bring no event: their StartReply tells.
type TaskEvent struct {
	Sequence int64      `json:"sequence"`
	Status   TaskStatus `json:"status"`
}

// TaskUsage is the measured use of one running task; it lags.
type TaskUsage struct {
	TaskID    string    `json:"task_id"`
	Resources Resources `json:"resources"`
}

// SyncReply carries the news of a worker.
type SyncReply struct {
	Incarnation string      `json:"incarnation"`
	Clock       WorkerClock `json:"clock"`
	Events      []TaskEvent `json:"events,omitempty"`
	Usage       []TaskUsage `json:"usage,omitempty"`
	// Leaving says that the VM is about to go: it takes no new work.
	Leaving bool `json:"leaving"`
	// Running is the number of tasks that run now.
	Running int `json:"running"`
}

// ControlVerb is what to do to a task.
type ControlVerb string

// The verbs of Control. Cancel also refuses a start of the task that is still
// on its way. Checkpoint saves the state and ends the task as stopped.
// Throttle slows the task down and lets it run on.
const (
	VerbStop       ControlVerb = "stop"
	VerbCancel     ControlVerb = "cancel"
	VerbCheckpoint ControlVerb = "checkpoint"
	VerbThrottle   ControlVerb = "throttle"
)

// ControlRequest applies a verb to tasks of a worker, 1,000 at most.
type ControlRequest struct {
	Epoch       Epoch       `json:"epoch"`
	Incarnation string      `json:"incarnation"`
	Verb        ControlVerb `json:"verb"`
	TaskIDs     []string    `json:"task_ids"`
}

// ControlReply gives the state of each task after the call, in the order of
// the request.
type ControlReply struct {
	Tasks []TaskStatus `json:"tasks"`
	Clock WorkerClock  `json:"clock"`
}

// InspectRequest asks for the record of one task.
type InspectRequest struct {
	TaskID string `json:"task_id"`
}

// Worker is the port to one upstream's runner.
//
// Every call but Inspect carries the owner's epoch. Errors: *FencedError (a
// newer epoch was seen; nothing was done), ErrWrongIncarnation (the VM was
// restarted; nothing was done), ErrLeaving (Start only: nothing was done),
// ErrUnavailable (nothing is known), ErrNotSent (the call never left the
// process: nothing was done), ErrInvalid (nothing was done).
//
// A Start whose LeaseUntil has already passed on the worker's clock, while no
// other lease holds there, is recorded as TaskRefused.
type Worker interface {
	Fence(ctx context.Context, req FenceRequest) (FenceReply, error)
	Start(ctx context.Context, req StartRequest) (StartReply, error)
	Sync(ctx context.Context, req SyncRequest) (SyncReply, error)
	Control(ctx context.Context, req ControlRequest) (ControlReply, error)
	Inspect(ctx context.Context, req InspectRequest) (StartReply, error)
}
