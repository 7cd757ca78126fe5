package owner

import (
	"fmt"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/machine"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

func statusOfAnswer(a machine.Answer) coordination.JobStatus {
	return coordination.JobStatus{ID: a.Job, Team: a.Team, State: a.State, Outputs: a.Outputs, Refusal: a.Refusal}
}

func statusOfView(v machine.JobView) coordination.JobStatus {
	status := coordination.JobStatus{
		ID: v.ID, Team: v.Team, Class: v.Class, State: v.State,
		Outputs: v.Outputs, Refusal: v.Refusal, Waiting: v.Waiting,
	}
	for _, t := range v.Tasks {
		status.Tasks = append(status.Tasks, coordination.TaskPlace{Task: t.Task, VM: t.VM, State: taskState(t.State)})
	}
	return status
}

// taskState converts a task's state to the one shown to callers, which is TaskUnknown
// unless the task is known to have started.
func taskState(s machine.TaskState) devplatform.TaskState {
	switch s {
	case machine.TaskRunning, machine.TaskStopping:
		return devplatform.TaskRunning
	case machine.TaskDone:
		return devplatform.TaskSucceeded
	case machine.TaskWaiting, machine.TaskStarting, machine.TaskResolving:
		return devplatform.TaskUnknown
	}
	return devplatform.TaskUnknown
}

func unknownJob(id state.JobID) *state.Refusal {
	return &state.Refusal{
		Reason:  state.ReasonNotFound,
		Verdict: state.Unknown,
		Detail:  fmt.Sprintf("no job %s of this team is on record", id),
		Remedy:  "check the ID and the key; ended jobs are kept for a limited time",
	}
}
