package machine

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

// Event is something that the owner of a shard has learnt. Events are applied
// one at a time by Machine.Step.
type Event interface{ event() }

// Submit brings a job. The answer is an Accept or an Answer action.
type Submit struct{ Job state.Job }

// CancelJob ends a job of a team. The answer is an Answer action once every
// task of it is proved to have ended.
type CancelJob struct {
	Job  state.JobID
	Team state.TeamID
}

// Started says that a worker runs the task.
type Started struct{ Task state.TaskID }

// StartRefused says that the task did not start and never will: the start
// never left the owner, or the worker refused it.
type StartRefused struct {
	Task state.TaskID
	// VMFault says that the refusal tells something about the VM (leaving,
	// restarted, unreachable) and that it takes no new work for now.
	VMFault bool
}

// StartUnknown says that the answer to a start was lost.
type StartUnknown struct{ Task state.TaskID }

// TaskEnd tells how a task ended.
type TaskEnd string

// The ends of a task. EndNotRun means that the task never ran and never will.
const (
	EndSucceeded TaskEnd = "succeeded"
	EndFailed    TaskEnd = "failed"
	EndStopped   TaskEnd = "stopped"
	EndNotRun    TaskEnd = "not_run"
)

// Ended says that the task runs no more; it is proof that frees capacity.
type Ended struct {
	Task   state.TaskID
	End    TaskEnd
	Output []byte
	// Ran is how long the task ran, on the worker's clock.
	Ran time.Duration
}

// UpstreamJoined makes an upstream known. Until it is Fenced it counts as full
// for every team.
type UpstreamJoined struct {
	VM       state.VMID
	Rack     string
	Service  state.Service
	Capacity state.Vector
}

// AdoptedTask is a task that a fenced worker reported.
type AdoptedTask struct {
	Task state.TaskID
	// Job is the job as its labels describe it, without payload.
	Job    state.Job
	Ended  bool
	End    TaskEnd
	Output []byte
}

// Fenced says that the worker obeys this owner and runs exactly what is listed.
type Fenced struct {
	VM          state.VMID
	Incarnation string
	Capacity    state.Vector
	Tasks       []AdoptedTask
}

// UpstreamSilent says that a worker does not answer; it takes no new work, and
// what it runs still counts. UpstreamBack ends that.
type UpstreamSilent struct{ VM state.VMID }

// UpstreamBack says that a silent worker answers again.
type UpstreamBack struct{ VM state.VMID }

// LeaseLapsed says that the lease of everything on a worker has ended for
// certain: its tasks were stopped. The worker must be fenced again before use.
type LeaseLapsed struct{ VM state.VMID }

// UpstreamLeaving says that a worker takes no new work. UpstreamStays ends that.
type UpstreamLeaving struct{ VM state.VMID }

// UpstreamStays says that a worker that was leaving takes work again.
type UpstreamStays struct{ VM state.VMID }

// UpstreamGone says that the VM no longer exists, so nothing runs on it.
type UpstreamGone struct{ VM state.VMID }

// Usage is a lagging measurement of running tasks.
type Usage struct {
	VM    state.VMID
	Tasks []TaskUsage
}

// TaskUsage is the measured use of one task.
type TaskUsage struct {
	Task state.TaskID
	Used state.Vector
}

// Quota is what a team may do in the shard.
type Quota struct {
	Team state.TeamID
	// Limit is the team's allotment in this shard.
	Limit state.Vector
	// Weight is the team's share when the shard is full, 1 or more.
	Weight int
	// MaxQueued is the most jobs that may wait.
	MaxQueued int
}

// QuotasChanged replaces all quotas. A team that is missing has none: its
// queued jobs are refused and its running work is stopped.
type QuotasChanged struct{ Quotas []Quota }

// Resign says that the owner stops: nothing new starts, queued jobs are
// refused as not run with the reason shutting_down, running work goes on.
type Resign struct{}

// Tick lets time pass: deadlines, retries and probes are looked at.
type Tick struct{}

func (Submit) event()          {}
func (CancelJob) event()       {}
func (Started) event()         {}
func (StartRefused) event()    {}
func (StartUnknown) event()    {}
func (Ended) event()           {}
func (UpstreamJoined) event()  {}
func (Fenced) event()          {}
func (UpstreamSilent) event()  {}
func (UpstreamBack) event()    {}
func (LeaseLapsed) event()     {}
func (UpstreamLeaving) event() {}
func (UpstreamStays) event()   {}
func (UpstreamGone) event()    {}
func (Usage) event()           {}
func (QuotasChanged) event()   {}
func (Resign) event()          {}
func (Tick) event()            {}
