package v1

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/jobid"
)

// Limits of the fields of a submission and of an ID request.
const (
	// MaxTasks is the maximum number of tasks of a job.
	MaxTasks = 10_000
	// MaxCPUMilli is the maximum CPU demand of a task, in thousandths of a CPU.
	MaxCPUMilli = 1_000_000
	// MaxMemoryMB is the maximum memory demand of a task, in mebibytes.
	MaxMemoryMB = 16 << 20
	// MaxAccelerators is the maximum number of accelerators of a task.
	MaxAccelerators = 1_024
	// MaxRunTime is the maximum declared run time of a task.
	MaxRunTime = 365 * 24 * time.Hour
	// MaxDeadline is the maximum time until the deadline of a job.
	MaxDeadline = 30 * 24 * time.Hour
	// MaxWait is the maximum time that a call waits for a job to end.
	MaxWait = 30 * time.Second
	// MaxIDBatch is the maximum number of IDs issued by one call.
	MaxIDBatch = 1_000
)

// SubmitRequest is the request body of POST /v1/jobs.
type SubmitRequest struct {
	// ID is "<home domain>.<UUIDv7>", from POST /v1/ids. If it is empty, the entry
	// issues an ID.
	ID state.JobID `json:"id,omitempty"`
	// FirstAttempt asserts that no earlier call carried this ID, so that a refusal
	// by the entry itself can state that the job did not run.
	FirstAttempt bool          `json:"first_attempt,omitempty"`
	Queue        state.QueueID `json:"queue,omitempty"`
	// Class may be omitted if the queue has a default class.
	Class   state.Class   `json:"class,omitempty"`
	Service state.Service `json:"service"`
	// Tasks is the number of identical tasks; 0 means 1.
	Tasks        int   `json:"tasks,omitempty"`
	CPUMilli     int64 `json:"cpu_milli,omitempty"`
	MemoryMB     int64 `json:"memory_mb,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty"`
	// RunTimeMS is the declared run time of a task; 0 if not declared.
	RunTimeMS int64 `json:"run_time_ms,omitempty"`
	// DeadlineMS is the time from now after which the result is of no use; 0 if
	// there is no deadline.
	DeadlineMS  int64  `json:"deadline_ms,omitempty"`
	Urgent      bool   `json:"urgent,omitempty"`
	Idempotent  bool   `json:"idempotent,omitempty"`
	Preemptible bool   `json:"preemptible,omitempty"`
	Payload     []byte `json:"payload,omitempty"`
	// WaitMS is the maximum time that the call waits for the job to end.
	WaitMS int64 `json:"wait_ms,omitempty"`
}

// Validate checks each field independently. It fails with a *FieldError.
func (r *SubmitRequest) Validate() error {
	return firstError(
		r.checkID(),
		r.checkQueue(),
		r.checkClass(),
		checkName("service", string(r.Service)),
		checkRange("tasks", int64(r.Tasks), 0, MaxTasks),
		checkRange("cpu_milli", r.CPUMilli, 0, MaxCPUMilli),
		checkRange("memory_mb", r.MemoryMB, 0, MaxMemoryMB),
		checkRange("accelerators", r.Accelerators, 0, MaxAccelerators),
		checkRange("run_time_ms", r.RunTimeMS, 0, MaxRunTime.Milliseconds()),
		checkRange("deadline_ms", r.DeadlineMS, 0, MaxDeadline.Milliseconds()),
		checkRange("wait_ms", r.WaitMS, 0, MaxWait.Milliseconds()),
	)
}

func (r *SubmitRequest) checkID() error {
	if r.ID == "" {
		return nil
	}
	return CheckJobID(r.ID)
}

func (r *SubmitRequest) checkQueue() error {
	if r.Queue == "" {
		return nil
	}
	return CheckQueueID(r.Queue)
}

func (r *SubmitRequest) checkClass() error {
	if r.Class == "" && r.Queue != "" {
		return nil
	}
	return checkClass("class", r.Class)
}

// Submission converts a valid request to a submission of a team. A job of class
// request with a WaitMS of 0 waits for MaxWait.
func (r *SubmitRequest) Submission(team state.TeamID) coordination.Submission {
	s := coordination.Submission{
		ID:          r.ID,
		Team:        team,
		Queue:       r.Queue,
		Class:       r.Class,
		Service:     r.Service,
		Tasks:       max(r.Tasks, 1),
		Each:        state.Vector{CPUMilli: r.CPUMilli, MemoryMB: r.MemoryMB, Accelerators: r.Accelerators, Slots: 1},
		RunTime:     milliseconds(r.RunTimeMS),
		DeadlineIn:  milliseconds(r.DeadlineMS),
		Urgent:      r.Urgent,
		Idempotent:  r.Idempotent,
		Preemptible: r.Preemptible,
		Payload:     r.Payload,
		Wait:        milliseconds(r.WaitMS),
		Fresh:       r.ID == "" || r.FirstAttempt,
	}
	if s.Class == state.ClassRequest && s.Wait == 0 {
		s.Wait = MaxWait
	}
	return s
}

// CheckJobID checks that an ID has the form "<home domain>.<UUIDv7>". It fails with a
// *FieldError.
func CheckJobID(id state.JobID) error {
	parts, err := jobid.Parse(id)
	if err == nil && len(id) <= 2*MaxNameLength && namePattern.MatchString(string(parts.Home)) {
		return nil
	}
	return &FieldError{Field: "id", Problem: `is not "<home domain>.<UUIDv7>"`, Remedy: "use an ID from POST /v1/ids"}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// IDRequest is the request body of POST /v1/ids.
type IDRequest struct {
	Count int `json:"count"`
}

// Validate checks the count. It fails with a *FieldError.
func (r *IDRequest) Validate() error {
	return checkRange("count", int64(r.Count), 1, MaxIDBatch)
}

// IDBatch is the response to POST /v1/ids.
type IDBatch struct {
	IDs []state.JobID `json:"ids"`
}
