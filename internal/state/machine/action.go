package machine

import "github.com/samphirerail/samphirerail/internal/state"

// Action is something that the owner of a shard must do, in the order given.
type Action interface{ action() }

// Start starts a task. Its capacity is already committed. Exactly one of Started,
// StartRefused, StartUnconfirmed or Ended must follow.
type Start struct {
	Task        state.TaskID
	VM          state.VMID
	Incarnation string
	Job         *state.Job
	Index       int
	// Wait requests that the worker responds to the start only when the task has ended.
	Wait bool
}

// ResolveStart resolves an unconfirmed start. It cancels the task, so that it can no
// longer start, and its fate is reported as Ended (or as Started when the task is
// kept). When Cancel is false, the worker is only asked what became of the task.
type ResolveStart struct {
	Task   state.TaskID
	VM     state.VMID
	Cancel bool
}

// StopVerb is the way in which a task is stopped.
type StopVerb string

// The verbs of a Stop, mildest first.
const (
	StopCheckpoint StopVerb = "checkpoint"
	StopThrottle   StopVerb = "throttle"
	StopCancel     StopVerb = "cancel"
)

// Stop stops or throttles a running task. Its capacity stays committed until Ended
// confirms the end.
type Stop struct {
	Task state.TaskID
	VM   state.VMID
	Verb StopVerb
}

// Accept reports that a job is queued or running. It is emitted in response to each
// accepted submission, also a repeated one.
type Accept struct {
	Job   state.JobID
	State state.JobState
}

// Answer is the final answer to a job. It is emitted once per job, and again for each
// later Submit or CancelJob of that job. An Answer with the reason conflict, or to a
// Submit that is refused at once, concerns that submission only: a known job of the
// same ID is not affected.
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
