package v1

import (
	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
)

// JobStatus is the status of a job as returned to its caller.
type JobStatus struct {
	ID    state.JobID    `json:"id"`
	Team  state.TeamID   `json:"team"`
	Class state.Class    `json:"class"`
	State state.JobState `json:"state"`
	// Outputs holds the complete result of each task by task index, in base64, once
	// the job has succeeded.
	Outputs [][]byte    `json:"outputs,omitempty"`
	Tasks   []TaskPlace `json:"tasks,omitempty"`
	// Refusal is set if State is refused, unknown, failed or cancelled.
	Refusal *Refusal `json:"refusal,omitempty"`
	// Durable reports whether the job survives the loss of every entry.
	Durable bool `json:"durable"`
	// Waiting explains why a queued job is waiting.
	Waiting string `json:"waiting,omitempty"`
}

// TaskPlace is the state of a task of a job and the VM that runs it.
type TaskPlace struct {
	Task state.TaskID `json:"task"`
	VM   state.VMID   `json:"vm"`
	// State is running, succeeded, failed, stopped, refused or unknown.
	State string `json:"state"`
}

// NewJobStatus converts a job status of the coordination layer.
func NewJobStatus(s coordination.JobStatus) JobStatus {
	status := JobStatus{
		ID:      s.ID,
		Team:    s.Team,
		Class:   s.Class,
		State:   s.State,
		Outputs: s.Outputs,
		Durable: s.Durable,
		Waiting: s.Waiting,
	}
	if s.Refusal != nil {
		refusal := NewRefusal(s.Refusal)
		status.Refusal = &refusal
	}
	for _, placement := range s.Tasks {
		status.Tasks = append(status.Tasks, TaskPlace{Task: placement.Task, VM: placement.VM, State: string(placement.State)})
	}
	return status
}
