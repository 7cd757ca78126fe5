// Package scheduler decides which task runs on which upstream. It is a state
// machine without clock, I/O or goroutines: events change its state, and Plan
// returns the orders that follow from it. Capacity is assumed taken from the
// moment an order is planned until the upstream shows that the run is over.
package scheduler

import (
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// Run names one run of a task.
type Run struct {
	Task     workload.TaskID
	Number   int64
	Upstream workload.UpstreamID
}

// Start is the order to start a run. It may be sent once the log holds the job's
// state that came with it, and Sent allows it.
type Start struct {
	Run
	Payload    string
	Checkpoint string
	Ticket     string
}

// StopReason says why a run is stopped.
type StopReason uint8

// The reasons for a stop.
const (
	// StopJobEnded: the run's job or task needs it no more.
	StopJobEnded StopReason = iota
	// StopStalled: the run made no progress.
	StopStalled
	// StopGangBroken: another member of the gang ended or never started.
	StopGangBroken
	// StopUnwanted: the upstream lists a run that this owner did not order.
	StopUnwanted
	// StopUnanswered: the start got no answer and the run is not listed; the
	// stop keeps a late start from being carried out.
	StopUnanswered
	// StopLeaving: the upstream leaves before the run could end.
	StopLeaving
)

// String names the reason in logs.
func (r StopReason) String() string {
	return [...]string{"job-ended", "stalled", "gang-broken", "unwanted", "unanswered", "leaving"}[r]
}

// Stop is the order to stop a run.
type Stop struct {
	Run
	Reason StopReason
	// Percent is the newest progress that the upstream gave.
	Percent int
}

// Ask is a call for advice about a step.
type Ask struct {
	Step      workload.StepID
	Upstreams []workload.UpstreamID
	Advice    workload.Advice
}

// Slow reports whether the call is one of those that would delay quick ones.
func (a *Ask) Slow() bool { return a.Advice.DecisionMS > quickAdviceMS }

// Pace is the order to let a run work at a share of its speed.
type Pace struct {
	Run
	Percent int
}

// Ended is a job that reached a final phase.
type Ended struct {
	Job   workload.JobID
	Phase ledger.Phase
}

// Plan is what follows from the state.
type Plan struct {
	Starts []Start
	Stops  []Stop
	Asks   []Ask
	Paces  []Pace
	Ended  []Ended
}

// phase is the progress of a run.
type phase uint8

const (
	// awaiting: capacity is reserved until a ticket arrives.
	awaiting phase = iota
	// planned: the order waits until the log holds it.
	planned
	// starting: the order was sent.
	starting
	// unsure: the order got no answer and may be carried out late.
	unsure
	// running: the upstream showed the run.
	running
	// stopping: a stop was ordered.
	stopping
	// over: the upstream listed the end.
	over
)

type run struct {
	Run
	task  *task
	phase phase
	// since is when the phase began.
	since state.Time
	// startedAt is when the order to start was sent.
	startedAt state.Time
	// ticketUntil is when the ticket of a planned start ends; 0 without one.
	ticketUntil state.Time
	// progress is the last figure that the upstream gave for the run, in
	// percent, progressAt is when it last changed.
	progress   int
	progressAt state.Time
	// figure is the tail in milliseconds of a serving run, and the processor
	// use of any other run.
	figure int64
	// pace is the share at which the run was ordered to work, in percent.
	pace int
	// pacedAt is when the pace was changed last.
	pacedAt state.Time
	// stopReason is why the run was ordered to stop.
	stopReason StopReason
	// stopAgain is when an unanswered stop is ordered again; 0 while one is
	// under way or was answered.
	stopAgain state.Time
	// stopAcked is when a stop was answered; 0 before.
	stopAcked state.Time
}

type task struct {
	step  *step
	index int
	done  bool
	// failed holds the runs whose failure is counted. Ends of several runs may
	// be listed in any order, and again after a takeover.
	failed     []int64
	lastRun    int64
	checkpoint string
	runs       []*run
	// avoid is the upstream on which the newest run ended badly.
	avoid workload.UpstreamID
	// heldAt is the upstream on which the log shows the newest run, which may be
	// alive there; "" once that upstream was looked at since the takeover. It
	// need not be listed.
	heldAt workload.UpstreamID
}

func (t *task) id() workload.TaskID {
	return workload.TaskID{Job: t.step.job.id, Occurrence: t.step.occurrence, Step: t.step.index, Index: t.index}
}

type ticket struct {
	token string
	until state.Time
	good  bool
}

type step struct {
	job        *job
	occurrence int
	index      int
	spec       *workload.Step
	tasks      []*task
	// left counts the tasks that have not ended well.
	left int
	// started is set once a task of the step was started.
	started bool
	// advised holds what the advice service said of each upstream.
	advised map[workload.UpstreamID]ticket
	asking  int
	// askAfter holds back the next search for upstreams to ask about,
	// failedUntil all calls for advice after a failed one.
	askAfter, failedUntil state.Time
	// perUpstream counts the runs of the step on each upstream.
	perUpstream map[workload.UpstreamID]int
}

func (s *step) id() workload.StepID {
	return workload.StepID{Job: s.job.id, Occurrence: s.occurrence, Step: s.index}
}

type job struct {
	id        workload.JobID
	spec      *workload.Job
	steps     [][]*step // by occurrence, then by step
	open      int       // steps that are not complete
	phase     ledger.Phase
	cancelled bool
	begun     bool
	// ghost jobs ended before the takeover; runs of theirs are still being
	// stopped. Nothing is recorded about them.
	ghost     bool
	arrived   state.Time
	dueBy     state.Time
	overShare bool
	dirty     bool
	finalAt   int64
}

type upstream struct {
	workload.Upstream
	// listed is false once the platform's list has dropped the upstream.
	listed bool
	// known is set once a look under the owner's token succeeded.
	known bool
	// silent is set while calls to the upstream fail.
	silent bool
	used   state.Vector
	// fillCPU is the processor share that filling runs asked for.
	fillCPU int64
	serving int
	runs    map[workload.TaskID]*run
	health  health
}

func (u *upstream) free() state.Vector { return u.Capacity.Sub(u.used) }
