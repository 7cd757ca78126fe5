package machine

import "github.com/samphirerail/samphirerail/internal/state"

// Action is something that the owner of a shard must do, in the order given.
type Action interface{ action() }

// Start starts a task. Its capacity is already committed. Exactly one of
// Started, StartRefused, StartUnknown or Ended must follow.
type Start struct {
	Task        state.TaskID
	VM          state.VMID
	Incarnation string
	Job         *state.Job
	Index       int
	// Wait asks for the end of the task as the answer to the start.
	Wait bool
}

// ResolveStart cancels a task whose start had no answer, so that it can't start
// any more, and reports its fate as Ended (or as Started when it is kept).
// Cancel false only asks the worker what became of the task.
type ResolveStart struct {
	Task   state.TaskID
	VM     state.VMID
	Cancel bool
}

// StopVerb is how a task is ended.
type StopVerb string

// The verbs of a Stop, mildest first.
const (
	StopCheckpoint StopVerb = "checkpoint"
	StopThrottle   StopVerb = "throttle"
	StopCancel     StopVerb = "cancel"
)

// Stop ends or throttles a running task. Its capacity stays committed until
// Ended proves the end.
type Stop struct {
	Task state.TaskID
	VM   state.VMID
	Verb StopVerb
}

// Accept says that a job waits or runs; it is sent once per job.
type Accept struct {
	Job   state.JobID
	State state.JobState
}

// Answer is the final answer to a job; it is sent once per job, and once more
// for each Submit or CancelJob that comes after it. An Answer with the reason
// conflict, or to a Submit that is refused at once, is about that submission
// only: a job of the same ID that is known goes on.
type Answer struct {
	Job   state.JobID
	Team  state.TeamID
	State state.JobState
	// Outputs are by task index; set when State is succeeded.
	Outputs [][]byte
	// Refusal is set unless State is succeeded.
	Refusal *state.Refusal
}

func (Start) action()        {}
func (ResolveStart) action() {}
func (Stop) action()         {}
func (Accept) action()       {}
func (Answer) action()       {}
