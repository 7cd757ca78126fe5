package devplatform

import (
	"cmp"
	"context"
	"time"
)

// Resources is an amount of each resource: thousandths of a processor, megabytes of memory,
// and accelerators.
type Resources struct {
	CPUMilli     int64 `json:"cpu_milli"`
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators"`
}

// Capacity is the capacity of an upstream VM.
type Capacity struct {
	Resources
	// Slots is the number of tasks that may run at the same time.
	Slots int64 `json:"slots"`
	// Connections is the number of connections that the worker accepts from all entries
	// together.
	Connections int64 `json:"connections"`
}

// Epoch orders the claims to a shard and serves as the fencing token of its owner. Epochs
// are compared by Number first, then by Owner; they are equal only if they belong to the
// same claim.
type Epoch struct {
	Number uint64 `json:"number"`
	// Owner is the entry process (VM ID and incarnation) that made the claim.
	Owner string `json:"owner"`
}

// Compare returns a negative number if e is older than other, 0 if both belong to the same
// claim, and a positive number if e is newer.
func (e Epoch) Compare(other Epoch) int {
	if c := cmp.Compare(e.Number, other.Number); c != 0 {
		return c
	}
	return cmp.Compare(e.Owner, other.Owner)
}

// WorkerClock is a time on a worker's monotonic clock, counted from the start of its
// incarnation. Ends of leases are times on this clock, so that a lease renewal that is
// delayed in the network can't extend the lease beyond the time that its sender meant.
type WorkerClock time.Duration

// TaskState is the state of a task according to the worker.
type TaskState string

// The states of a task on a worker. TaskUnknown means that the worker has no record of the
// task: it was never started here, or its record has expired.
const (
	TaskUnknown   TaskState = "unknown"
	TaskRunning   TaskState = "running"
	TaskSucceeded TaskState = "succeeded"
	TaskFailed    TaskState = "failed"
	// TaskStopped means that the task was ended by a control call or by the expiry of the
	// lease.
	TaskStopped TaskState = "stopped"
	// TaskRefused means that the start was revoked before it arrived, or arrived after the
	// expiry of its lease: the task never ran and never will.
	TaskRefused TaskState = "refused"
)

// Ended reports whether a task in this state is not running and will never run again.
func (s TaskState) Ended() bool {
	switch s {
	case TaskSucceeded, TaskFailed, TaskStopped, TaskRefused:
		return true
	case TaskUnknown, TaskRunning:
		return false
	}
	return false
}

// TaskSpec describes a task to a worker. The worker keeps it and returns it to a new owner,
// which rebuilds its state from it.
type TaskSpec struct {
	TaskID    string    `json:"task_id"`
	JobID     string    `json:"job_id"`
	Team      string    `json:"team"`
	Class     string    `json:"class"`
	Resources Resources `json:"resources"`
	// RunTime is the declared run time; 0 if none was declared.
	RunTime time.Duration `json:"run_time"`
	// Labels holds data that a new owner needs to adopt the task; the worker does not
	// interpret it.
	Labels []byte `json:"labels,omitempty"`
	// Payload is the input of the task as submitted by the caller.
	Payload []byte `json:"payload,omitempty"`
}

// TaskStatus is a worker's record of one task.
type TaskStatus struct {
	Spec  TaskSpec  `json:"spec"`
	State TaskState `json:"state"`
	// Output is the complete result of a succeeded task, or the error text of a failed
	// one.
	Output []byte `json:"output,omitempty"`
	// StartedAt and EndedAt are times on the worker's clock.
	StartedAt WorkerClock `json:"started_at"`
	EndedAt   WorkerClock `json:"ended_at,omitempty"`
}

// FenceRequest raises the epoch of a worker, so that it refuses calls of older epochs.
type FenceRequest struct {
	Epoch Epoch `json:"epoch"`
}

// FenceReply is the state of a worker at the time it was fenced. From then on, no call of
// an older epoch starts or stops a task or renews the lease.
type FenceReply struct {
	VMID        string      `json:"vm_id"`
	Incarnation string      `json:"incarnation"`
	Clock       WorkerClock `json:"clock"`
	Capacity    Capacity    `json:"capacity"`
	// Tasks holds the running tasks and those that ended within the worker's record time.
	// Payload and, for running tasks, Output are left out.
	Tasks []TaskStatus `json:"tasks"`
	// LeaseUntil is the current end of the lease of all tasks on the worker.
	LeaseUntil WorkerClock `json:"lease_until"`
}

// StartRequest starts one task. It is idempotent by Spec.TaskID: a repeated request returns
// the state of the task that the first one started.
type StartRequest struct {
	Epoch Epoch `json:"epoch"`
	// Incarnation is the expected incarnation of the worker; any other one refuses the
	// call.
	Incarnation string   `json:"incarnation"`
	Spec        TaskSpec `json:"spec"`
	// LeaseUntil renews the lease of the worker as in SyncRequest.
	LeaseUntil WorkerClock `json:"lease_until"`
	// Wait delays the reply until the task has ended.
	Wait bool `json:"wait"`
}

// StartReply holds the state of the task after the call.
type StartReply struct {
	Status TaskStatus  `json:"status"`
	Clock  WorkerClock `json:"clock"`
}

// SyncRequest renews the lease of all tasks on a worker and waits for events.
type SyncRequest struct {
	Epoch       Epoch  `json:"epoch"`
	Incarnation string `json:"incarnation"`
	// LeaseUntil is the end of the lease on the worker's clock. The worker keeps the
	// latest one received from the newest epoch. When that time has passed, it stops every
	// task of the shard.
	LeaseUntil WorkerClock `json:"lease_until"`
	// AckEvent is the highest event sequence number that the caller has received. The
	// worker drops the events up to it.
	AckEvent int64 `json:"ack_event"`
	// Wait is how long the worker may wait for an event before it replies without one
	// (long poll).
	Wait time.Duration `json:"wait"`
	// SkipUsage requests a reply without Usage.
	SkipUsage bool `json:"skip_usage,omitempty"`
}

// TaskEvent reports that a task has ended. There is no event for tasks started with Wait
// under the current epoch: their StartReply reports the end.
type TaskEvent struct {
	Sequence int64      `json:"sequence"`
	Status   TaskStatus `json:"status"`
}

// TaskUsage is the measured resource usage of one running task. It is reported with a
// delay.
type TaskUsage struct {
	TaskID    string    `json:"task_id"`
	Resources Resources `json:"resources"`
}

// SyncReply holds the events and the state of a worker.
type SyncReply struct {
	Incarnation string      `json:"incarnation"`
	Clock       WorkerClock `json:"clock"`
	Events      []TaskEvent `json:"events,omitempty"`
	Usage       []TaskUsage `json:"usage,omitempty"`
	// Leaving is set if the VM is about to be removed; it starts no new tasks.
	Leaving bool `json:"leaving"`
	// Running is the number of running tasks.
	Running int `json:"running"`
}

// ControlVerb is an operation on a task.
type ControlVerb string

// The verbs of Control. Cancel also revokes a start of the task that has not arrived yet.
// Checkpoint saves the state of the task and ends it as stopped. Throttle slows the task
// down without ending it.
const (
	VerbStop       ControlVerb = "stop"
	VerbCancel     ControlVerb = "cancel"
	VerbCheckpoint ControlVerb = "checkpoint"
	VerbThrottle   ControlVerb = "throttle"
)

// ControlRequest applies a verb to at most 1,000 tasks of a worker.
type ControlRequest struct {
	Epoch       Epoch       `json:"epoch"`
	Incarnation string      `json:"incarnation"`
	Verb        ControlVerb `json:"verb"`
	TaskIDs     []string    `json:"task_ids"`
}

// ControlReply holds the state of each task after the call, in the order of the request.
type ControlReply struct {
	Tasks []TaskStatus `json:"tasks"`
	Clock WorkerClock  `json:"clock"`
}

// InspectRequest requests the record of one task.
type InspectRequest struct {
	TaskID string `json:"task_id"`
}

// Worker is the interface to the runner of one upstream.
//
// Every call except Inspect carries the owner's epoch. Errors: *FencedError (the worker has
// received a newer epoch), ErrWrongIncarnation (the VM was restarted), ErrLeaving (Start
// only), ErrNotSent (the call never left the process), ErrInvalid, ErrUnavailable. After
// ErrUnavailable it is unknown whether the call took effect; all other errors mean that it
// did not.
//
// A Start whose LeaseUntil has already passed on the worker's clock, while no other lease
// is valid there, is recorded as TaskRefused.
type Worker interface {
	Fence(ctx context.Context, req FenceRequest) (FenceReply, error)
	Start(ctx context.Context, req StartRequest) (StartReply, error)
	Sync(ctx context.Context, req SyncRequest) (SyncReply, error)
	Control(ctx context.Context, req ControlRequest) (ControlReply, error)
	Inspect(ctx context.Context, req InspectRequest) (StartReply, error)
}
