package v1

import (
	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
)

// JobStatus is what a caller is told of its job.
type JobStatus struct {
	ID    state.JobID    `json:"id"`
	Team  state.TeamID   `json:"team"`
	Class state.Class    `json:"class"`
	State state.JobState `json:"state"`
	// Outputs are the whole results by task index, in base64, once the job
	// has succeeded.
	Outputs [][]byte    `json:"outputs,omitempty"`
	Tasks   []TaskPlace `json:"tasks,omitempty"`
	// Refusal is set when State is refused, unknown, failed or cancelled.
	Refusal *Refusal `json:"refusal,omitempty"`
	// Durable says that the job survives the loss of every entry.
	Durable bool `json:"durable"`
	// Waiting explains why a queued job waits.
	Waiting string `json:"waiting,omitempty"`
}

// TaskPlace tells where a task of a job is.
type TaskPlace struct {
	Task state.TaskID `json:"task"`
	VM   state.VMID   `json:"vm"`
	// State is running, succeeded, failed, stopped, refused or unknown.
	State string `json:"state"`
}

// NewJobStatus converts a status of the coordination layer.
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
	for _, place := range s.Tasks {
		status.Tasks = append(status.Tasks, TaskPlace{Task: place.Task, VM: place.VM, State: string(place.State)})
	}
	return status
}
