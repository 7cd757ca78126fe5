package state

import "time"

// JobID is issued as "<home domain>.<UUIDv7>".
type JobID string

// TaskID is "<job>/<index>/<attempt>".
type TaskID string

// TeamID names a customer team.
type TeamID string

// VMID names a VM for as long as it exists.
type VMID string

// DomainID names a failure domain.
type DomainID string

// QueueID names a queue that jobs are submitted to.
type QueueID string

// Service is the customer service (fitting, design, lease, sanitation) whose
// upstreams may run a job.
type Service string

// Class is the kind of a job.
type Class string

// The classes of a job.
const (
	// ClassRequest is quick and answered on the same call.
	ClassRequest Class = "request"
	// ClassBatch runs to its end; its tasks are independent.
	ClassBatch Class = "batch"
	// ClassGang starts all its tasks at once or none.
	ClassGang Class = "gang"
	// ClassStanding is long-lived and is started again when it ends early.
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

// Job is an accepted piece of work.
type Job struct {
	ID      JobID
	Team    TeamID
	Queue   QueueID
	Class   Class
	Service Service
	// Tasks is the number of tasks, 1 or more.
	Tasks int
	// Each is what one task takes; its Slots is 1.
	Each Vector
	// RunTime is the declared run time of a task; 0 when not declared.
	RunTime time.Duration
	// Deadline is when the answer is worth nothing any more; 0 when none.
	Deadline Time
	// Urgent work goes before the team's other work and may preempt work
	// that is Preemptible.
	Urgent bool
	// Idempotent work may be started again after an unknown outcome.
	Idempotent bool
	// Preemptible work may be checkpointed or stopped for urgent work.
	Preemptible bool
	// IssuedBeforeTakeover marks a job whose ID is older than the takeover
	// of the shard by its current owner, less the clock margin.
	IssuedBeforeTakeover bool
	// Payload is the input, handed to each task.
	Payload []byte
}

// Total returns what all tasks of the job take together.
func (j *Job) Total() Vector { return j.Each.Scale(int64(j.Tasks)) }

// JobState is the progress of a job as its caller sees it.
type JobState string

// The states of a job.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobSucceeded JobState = "succeeded"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
	// JobRefused was not run; JobUnknown may have run.
	JobRefused JobState = "refused"
	JobUnknown JobState = "unknown"
)

// Ended reports whether the state is final.
func (s JobState) Ended() bool { return s != JobQueued && s != JobRunning }
