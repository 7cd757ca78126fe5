package machine

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/evacuation"
)

// Event is something that the owner of a shard has observed. Events are applied one at a
// time by Machine.Step.
type Event interface{ event() }

// Submit submits a job. The reply is an Accept or an Answer action.
type Submit struct{ Job state.Job }

// CancelJob cancels a job of a team. The reply is an Answer action once the end of
// every task of the job has been confirmed.
type CancelJob struct {
	Job  state.JobID
	Team state.TeamID
}

// Started reports that a worker runs the task.
type Started struct{ Task state.TaskID }

// StartRefused reports that the task did not start and never will: the start was not
// sent, or the worker refused it.
type StartRefused struct {
	Task state.TaskID
	// VMFault is set when the refusal is due to the state of the VM (leaving,
	// restarted, unreachable). The VM then gets no new tasks for Config.FaultPause.
	VMFault bool
}

// StartUnconfirmed reports that the response to a start was lost.
type StartUnconfirmed struct{ Task state.TaskID }

// TaskEnd is how a task ended.
type TaskEnd string

// The ends of a task. EndNotRun means that the task never ran and never will.
const (
	EndSucceeded TaskEnd = "succeeded"
	EndFailed    TaskEnd = "failed"
	EndStopped   TaskEnd = "stopped"
	EndNotRun    TaskEnd = "not_run"
)

// Ended reports that the task is no longer running. Only this confirmation frees its
// capacity.
type Ended struct {
	Task   state.TaskID
	End    TaskEnd
	Output []byte
	// Ran is how long the task ran, measured by the worker's clock.
	Ran time.Duration
}

// UpstreamJoined adds an upstream. Until it is Fenced, its whole capacity counts as
// used by every team.
type UpstreamJoined struct {
	VM       state.VMID
	Rack     string
	Service  state.Service
	Capacity state.Vector
}

// AdoptedTask is a task that a worker reported when it was fenced.
type AdoptedTask struct {
	Task state.TaskID
	// Job is rebuilt from the labels of the task and has no payload.
	Job    state.Job
	Ended  bool
	End    TaskEnd
	Output []byte
}

// Fenced reports that the worker accepted this owner's fencing token. It runs exactly
// the listed tasks that have not ended.
type Fenced struct {
	VM          state.VMID
	Incarnation string
	Capacity    state.Vector
	Tasks       []AdoptedTask
}

// UpstreamUnreachable reports that a worker is not responding. It gets no new tasks, and
// the tasks that it runs stay committed. UpstreamReachable reverts this.
type UpstreamUnreachable struct {
	VM state.VMID
	// Closed says that the worker's process closed or refused the connections, as it does when
	// it ends; otherwise it is silent and may go on.
	Closed bool
}

// UpstreamReachable reports that a worker that was not responding responds again.
type UpstreamReachable struct{ VM state.VMID }

// LeaseExpired reports that the lease of all tasks on a worker has expired with
// certainty, so that they were stopped. The worker must be fenced again before use.
type LeaseExpired struct{ VM state.VMID }

// UpstreamLeaving reports that a worker accepts no new tasks. UpstreamLeavingCancelled
// reverts this.
type UpstreamLeaving struct{ VM state.VMID }

// UpstreamLeavingCancelled reports that a worker that was leaving accepts new tasks
// again.
type UpstreamLeavingCancelled struct{ VM state.VMID }

// UpstreamRemoved reports that the VM no longer exists, so nothing runs on it.
type UpstreamRemoved struct{ VM state.VMID }

// Usage is a measurement of running tasks. It lags behind their actual use.
type Usage struct {
	VM    state.VMID
	Tasks []TaskUsage
}

// TaskUsage is the measured use of one task.
type TaskUsage struct {
	Task state.TaskID
	Used state.Vector
}

// Quota is the allotment and the queue limit of a team in the shard.
type Quota struct {
	Team state.TeamID
	// Limit is the team's allotment in this shard.
	Limit state.Vector
	// Weight is the team's weight in fair sharing when the shard is full, at least 1.
	Weight int
	// MaxQueued is the maximum number of queued jobs.
	MaxQueued int
}

// QuotasChanged replaces all quotas. A team that is not listed has none: its queued
// jobs are refused and its running tasks are stopped.
type QuotasChanged struct{ Quotas []Quota }

// EvacuationChanged replaces the evacuated failure domains.
type EvacuationChanged struct{ Evacuated evacuation.Set }

// Resign reports that the owner is shutting down. Nothing new starts, queued jobs are
// refused as not run with the reason shutting_down, and running tasks continue.
type Resign struct{}

// Tick only advances the time, which runs the deadline, retry and probe timers that are
// due.
type Tick struct{}

func (Submit) event()                   {}
func (CancelJob) event()                {}
func (Started) event()                  {}
func (StartRefused) event()             {}
func (StartUnconfirmed) event()         {}
func (Ended) event()                    {}
func (UpstreamJoined) event()           {}
func (Fenced) event()                   {}
func (UpstreamUnreachable) event()      {}
func (UpstreamReachable) event()        {}
func (LeaseExpired) event()             {}
func (UpstreamLeaving) event()          {}
func (UpstreamLeavingCancelled) event() {}
func (UpstreamRemoved) event()          {}
func (Usage) event()                    {}
func (QuotasChanged) event()            {}
func (EvacuationChanged) event()        {}
func (Resign) event()                   {}
func (Tick) event()                     {}
