package owner

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/machine"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// labels are stored by the worker together with a task, so that a new owner can rebuild
// the job from the tasks that its workers report.
type labels struct {
	Job state.Job `json:"job"`
	// DeadlineUnixMS is the deadline in milliseconds of Unix time; 0 means none. It
	// replaces Job.Deadline, which is on the monotonic clock of the old owner.
	DeadlineUnixMS int64 `json:"deadline_unix_ms,omitempty"`
}

// maxLabelPayload is the largest payload, in bytes, that is stored in the labels of a
// task. A larger one reaches the next owner through the journal only.
const maxLabelPayload = 8 << 10

func encodeLabels(job *state.Job, now state.Time, wall time.Time) ([]byte, error) {
	l := labels{Job: *job}
	if job.Class == state.ClassRequest || len(job.Payload) > maxLabelPayload {
		l.Job.Payload = nil
	}
	if job.Class == state.ClassRequest {
		l.Job.Idempotent = false
	}
	if job.Deadline > 0 {
		l.DeadlineUnixMS = wall.Add(job.Deadline - now).UnixMilli()
		l.Job.Deadline = 0
	}
	return json.Marshal(l)
}

func decodeLabels(data []byte, now state.Time, wall time.Time) (state.Job, error) {
	var l labels
	if err := json.Unmarshal(data, &l); err != nil {
		return state.Job{}, eris.Wrap(err, "owner: a worker returned task labels in an unknown format; drain the worker before use")
	}
	if l.DeadlineUnixMS > 0 {
		l.Job.Deadline = max(now+time.UnixMilli(l.DeadlineUnixMS).Sub(wall), 1)
	}
	return l.Job, nil
}

// adopt converts a worker's record of a task into the machine's. When the labels cannot
// be decoded it returns an error together with a task that still accounts for the
// resources in use.
func adopt(status devplatform.TaskStatus, now state.Time, wall time.Time) (machine.AdoptedTask, error) {
	job, err := decodeLabels(status.Spec.Labels, now, wall)
	if err != nil {
		job = state.Job{
			ID:    state.JobID(status.Spec.JobID),
			Team:  state.TeamID(status.Spec.Team),
			Class: state.Class(status.Spec.Class),
			Tasks: 1,
			Each:  usageVector(status.Spec.Resources),
		}
	}
	return machine.AdoptedTask{
		Task:   state.TaskID(status.Spec.TaskID),
		Job:    job,
		Ended:  status.State.Ended(),
		End:    taskEnd(status.State),
		Output: status.Output,
	}, err
}

func taskEnd(s devplatform.TaskState) machine.TaskEnd {
	switch s {
	case devplatform.TaskSucceeded:
		return machine.EndSucceeded
	case devplatform.TaskFailed:
		return machine.EndFailed
	case devplatform.TaskRefused:
		return machine.EndNotRun
	case devplatform.TaskStopped, devplatform.TaskRunning, devplatform.TaskUnknown:
		return machine.EndStopped
	}
	return machine.EndStopped
}

func resourcesOf(v state.Vector) devplatform.Resources {
	return devplatform.Resources{CPUMilli: v.CPUMilli, MemoryMB: v.MemoryMB, Accelerators: v.Accelerators}
}

// CapacityVector converts a worker's capacity to a state.Vector.
func CapacityVector(c devplatform.Capacity) state.Vector {
	return state.Vector{CPUMilli: c.CPUMilli, MemoryMB: c.MemoryMB, Accelerators: c.Accelerators, Slots: c.Slots}
}

func usageVector(r devplatform.Resources) state.Vector {
	return state.Vector{CPUMilli: r.CPUMilli, MemoryMB: r.MemoryMB, Accelerators: r.Accelerators, Slots: 1}
}
