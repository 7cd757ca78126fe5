package state

import "time"

// JobID identifies a job. IDs are issued in the form "<home domain>.<UUIDv7>".
type JobID string

// TaskID identifies one attempt of a task: "<job>/<index>/<attempt>".
type TaskID string

// TeamID identifies a customer team.
type TeamID string

// VMID identifies a VM during the VM's existence.
type VMID string

// DomainID identifies a failure domain.
type DomainID string

// QueueID identifies a queue to which jobs are submitted.
type QueueID string

// Service is the customer service (fitting, design, lease, sanitation) whose
// upstreams may run a job.
type Service string

// Class is the scheduling class of a job.
type Class string

// The classes of a job.
const (
	// ClassRequest is a short job whose result is returned on the submitting
	// call.
	ClassRequest Class = "request"
	// ClassBatch is a job of independent tasks that runs to completion.
	ClassBatch Class = "batch"
	// ClassGang is a job whose tasks are started all together or not at all.
	ClassGang Class = "gang"
	// ClassStanding is a long-running job that is restarted when it ends early.
	ClassStanding Class = "standing"
)

// Valid reports whether c is a known class.
func (c Class) Valid() bool {
	switch c {
	case ClassRequest, ClassBatch, ClassGang, ClassStanding:
		return true
	}
	return false
}

// Job is an accepted unit of work.
type Job struct {
	ID      JobID
	Team    TeamID
	Queue   QueueID
	Class   Class
	Service Service
	// Tasks is the number of tasks, 1 or more.
	Tasks int
	// Each is the resource request of one task; its Slots is 1.
	Each Vector
	// RunTime is the declared run time of a task, or 0 if none was declared.
	RunTime time.Duration
	// Deadline is the time after which the caller has no use for the result, or
	// 0 if there is none.
	Deadline Time
	// Urgent gives the job priority over the team's other jobs and allows it to
	// preempt Preemptible ones.
	Urgent bool
	// Idempotent allows a task to be started again when the outcome of an
	// earlier attempt is unknown.
	Idempotent bool
	// Preemptible allows tasks to be checkpointed or stopped in favor of urgent
	// work.
	Preemptible bool
	// IssuedBeforeTakeover is set if the job's ID was issued earlier than the
	// current owner's takeover of the shard minus the clock margin.
	IssuedBeforeTakeover bool
	// Payload is the input that is passed to each task.
	Payload []byte
}

// Total returns the resource request of all tasks of the job together.
func (j *Job) Total() Vector { return j.Each.Scale(int64(j.Tasks)) }

// JobState is the state of a job as reported to its caller.
type JobState string

// The states of a job.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobSucceeded JobState = "succeeded"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
	// JobRefused means that the job was not run; JobUnknown, that it may have
	// run.
	JobRefused JobState = "refused"
	JobUnknown JobState = "unknown"
)

// Ended reports whether the state is final.
func (s JobState) Ended() bool { return s != JobQueued && s != JobRunning }
