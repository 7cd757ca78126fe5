// Package scheduler decides which task runs on which upstream. It is a deterministic
// state machine without clock, I/O or goroutines: events change its state, and Plan
// returns the commands that follow from it. A Scheduler is not safe for concurrent use.
// Capacity counts as used from the moment a start is planned until the upstream reports
// that the run has ended.
package scheduler

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/crashes"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/runtimes"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// Run identifies one run (attempt) of a task on an upstream. Numbers of a task's runs
// increase.
type Run struct {
	Task     workload.TaskID
	Number   int64
	Upstream workload.UpstreamID
}

// Start is the command to start a run. It may be sent only after MarkSent has returned
// true, and after the log holds the job state that was recorded with it or MayStartUnrecorded
// has returned true.
type Start struct {
	Run
	Payload    string
	Checkpoint string
	Ticket     string
	// Priority is that of the task's queue, and Gang is set for a member of a gang.
	Priority int
	Gang     bool
}

// StopReason is the reason why a run is stopped.
type StopReason uint8

// Reasons for stopping a run.
const (
	// StopJobEnded: the job ended or no longer needs the run.
	StopJobEnded StopReason = iota
	// StopStalled: the run made no progress.
	StopStalled
	// StopGangBroken: another member of the gang ended or never started.
	StopGangBroken
	// StopUnwanted: the upstream reports a run that this owner did not start.
	StopUnwanted
	// StopUnconfirmed: the start had no response and the upstream does not report the
	// run. The stop revokes the start, which could otherwise be executed late.
	StopUnconfirmed
	// StopLeaving: the draining upstream shuts down before the run could end.
	StopLeaving
	// StopEvacuated: the upstream's failure domain is evacuated.
	StopEvacuated
	// StopPreempted: the run makes room for more urgent work.
	StopPreempted
	// StopMoved: the run would end too late and resumes on a faster upstream.
	StopMoved
	// StopNextIncarnation: an upstream has ended whose next incarnation may carry out a former start of the task.
	StopNextIncarnation
)

// String returns the reason as written to logs.
func (r StopReason) String() string {
	return [...]string{"job-ended", "stalled", "gang-broken", "unwanted", "unanswered", "leaving", "evacuated", "preempted", "moved", "next-incarnation"}[r]
}

// Stop is the command to stop a run.
type Stop struct {
	Run
	Reason StopReason
	// Percent is the progress in the upstream's latest report.
	Percent int
	// Preemption says what a run was preempted for. It is nil for other stops and when the
	// stop is repeated.
	Preemption *Preemption
}

// AdviceRequest asks the advice service which of the given upstreams may run a step.
type AdviceRequest struct {
	Step      workload.StepID
	Upstreams []workload.UpstreamID
	Advice    workload.Advice
	// Advisor is the name of the entry that sends the request.
	Advisor string
	// Expected is the expected time until the response, which includes the advisor's
	// earlier requests.
	Expected time.Duration
}

// Slow reports whether the request belongs to the slow class. Some advisors are reserved
// for quick requests so that slow ones do not delay them.
func (a *AdviceRequest) Slow() bool { return a.Advice.DecisionMS > quickAdviceMS }

// Pace is the command to throttle a run to a percentage of its full speed.
type Pace struct {
	Run
	Percent int
}

// EndedJob is a job that reached a final phase.
type EndedJob struct {
	Job   workload.JobID
	Phase ledger.Phase
}

// Plan holds the commands and job ends that follow from the current state.
type Plan struct {
	Starts         []Start
	Stops          []Stop
	AdviceRequests []AdviceRequest
	Paces          []Pace
	Ended          []EndedJob
	// DomainMoves are the stops of long-running runs in evacuated domains; they are in Stops
	// too.
	DomainMoves []DomainMove
	// Moves explains the stops with the reason StopMoved.
	Moves []Move
	// Copies explains the starts of copies.
	Copies []Copy
	// Losses are the runs that were lost with their upstreams since the last plan, GivenUp the
	// jobs that have failed for that; they are in Ended too.
	Losses  []Loss
	GivenUp []GivenUp
	// Trials are the upstreams that were reserved for suspected tasks.
	Trials []Trial
	// Settled are the starts without a response that were settled since the last plan.
	Settled []SettledStart
}

// phase is the progress of a run as known to the scheduler.
type phase uint8

const (
	// awaitingTicket: capacity is reserved until a ticket arrives.
	awaitingTicket phase = iota
	// planned: the start waits until the log holds it.
	planned
	// starting: the start was sent.
	starting
	// startUnconfirmed: the start had no response and may still be executed late.
	startUnconfirmed
	// running: the upstream accepted the start or reported the run.
	running
	// stopping: a stop was issued.
	stopping
	// finished: the upstream reported the end of the run.
	finished
)

type run struct {
	Run
	task  *task
	phase phase
	// account counts what the run uses.
	account *account
	// since is when the current phase began.
	since state.Time
	// startedAt is when the start was sent, or when a run of a former owner was reported first.
	startedAt state.Time
	// adopted is set for a run that a former owner started.
	adopted bool
	// accepted is set once the upstream accepted the start or reported the run.
	accepted bool
	// byNext is set for a run that a later incarnation than the known one has accepted, until a report
	// lists it.
	byNext bool
	// ticketUntil is when the ticket of a planned start expires; 0 without a ticket.
	ticketUntil state.Time
	// progress is the last reported progress in percent; progressAt is when it last
	// changed, and progressClock the upstream's clock at that report.
	progress      int
	progressAt    state.Time
	progressClock state.Time
	// load is the tail latency in milliseconds of a serving run, and the processor use
	// of any other run; see RunningRun.Load.
	load int64
	// pace is the speed that the run is throttled to, in percent of full speed.
	pace int
	// pacedAt is when pace last changed.
	pacedAt state.Time
	// stopReason is why the run was stopped.
	stopReason StopReason
	// retryStopAt is when a stop without a response is sent again; 0 while a stop is in
	// flight or once it was acknowledged.
	retryStopAt state.Time
	// stopAckedAt is when the upstream acknowledged the stop; 0 before.
	stopAckedAt state.Time
	// checkpointAt is when the newest checkpoint of the run was reported; 0 before.
	checkpointAt state.Time
	// seq numbers all runs in the order in which their capacity was reserved.
	seq     uint64
	measure measurement
}

type task struct {
	step  *step
	index int
	done  bool
	// failed holds the numbers of the failed runs that were counted. It deduplicates
	// ends: those of several runs may be reported in any order, and again after a
	// takeover.
	failed     []int64
	lastRun    int64
	checkpoint string
	runs       []*run
	// avoid is the upstream on which the newest run failed or stalled.
	avoid workload.UpstreamID
	// unconfirmedOn is the upstream on which the log records the newest run, which may
	// still be running there. It is "" once this owner has polled the upstream. The
	// upstream may be absent from the platform's list.
	unconfirmedOn workload.UpstreamID
	// openStart is the start that bars further ones, or nil; see openStart.task.
	openStart *openStart
	// awaitedIncarnations counts the upstreams whose next incarnations may carry out a start of the task; it is
	// not started until they cannot. See yieldToNextIncarnation.
	awaitedIncarnations int
	// preempted counts how often this owner preempted the task.
	preempted int
	moves     move
	// stalls counts how often a run of the task was stopped because it made no progress.
	stalls int
	// copied is set once a copy of the task was started.
	copied bool
	// crashes is what is held against the task because upstreams crashed under it, and isolated
	// is set while it is to be tried alone.
	crashes  crashes.Record
	isolated bool
	// suspectedAt is when the task began to wait for an upstream of its own; 0 if it does not.
	suspectedAt state.Time
}

func (t *task) id() workload.TaskID {
	return workload.TaskID{Job: t.step.job.id, Occurrence: t.step.occurrence, Step: t.step.index, Index: t.index}
}

type ticket struct {
	token      string
	validUntil state.Time
	allowed    bool
}

type step struct {
	job        *job
	occurrence int
	index      int
	spec       *workload.Step
	// tasks holds the tasks that were placed and are not complete, or still have runs, by index.
	tasks []*task
	// done is a bit set of the complete tasks; it is not kept once all are.
	done []byte
	// cursor is the index below which each task was placed.
	cursor int
	// home is the home domain of the job if the step is to be placed there.
	home state.DomainID
	// left counts the tasks that are not complete.
	left int
	// started is set once a task of the step was started.
	started bool
	// tickets holds the advice service's answer for each upstream.
	tickets        map[workload.UpstreamID]ticket
	adviceInFlight int
	// nextAdviceSearch is the earliest time of the next search for upstreams to request
	// advice about; no advice is requested before adviceBackoffUntil after a failed
	// request.
	nextAdviceSearch, adviceBackoffUntil state.Time
	// scannedTo is the number of the latest noteFreed at the time of a scan that left no
	// candidate, or 0 if all upstreams must be scanned.
	scannedTo uint64
	// unknownRoom is set when a scan found an upstream with capacity for a task and without
	// advice. It is cleared by the next search.
	unknownRoom bool
	// blockedSince is when no upstream had the capacity for a task since the latest start;
	// 0 if one has. passedOver says that a narrower task of the queue was started meanwhile.
	blockedSince state.Time
	passedOver   bool
	// promoted is set while the step goes first in its priority after a long wait.
	promoted bool
	// waitsSince is when tasks of the step began to wait for capacity; 0 while none does.
	waitsSince state.Time
	// perUpstream counts the runs of the step on each upstream.
	perUpstream map[workload.UpstreamID]int
	// preempted is set once a task of the step was preempted; for a long-running step, until
	// all its tasks run again.
	preempted bool
	// priority is that of the step's queue, as of its newest placement.
	priority int
	// earmarks holds the capacity that was freed for the step.
	earmarks []*earmark
	// measured holds the measured run times of the step.
	measured runtimes.Step
	// heldBack is set while upstreams that are too slow for the step are left out.
	heldBack bool
}

func (s *step) id() workload.StepID {
	return workload.StepID{Job: s.job.id, Occurrence: s.occurrence, Step: s.index}
}

type job struct {
	id        workload.JobID
	spec      *workload.Job
	steps     map[int][]*step // of the occurrences that the job holds; see begin
	openSteps int             // of these, the steps that are not complete
	// next is the first occurrence that has not begun.
	next int
	// atWork is the number of tasks that the steps hold.
	atWork int
	// lastingToCome is the number of long-running tasks that the steps do not hold, also of
	// occurrences that have not begun.
	lastingToCome int
	phase         ledger.Phase
	cancelled     bool
	begun         bool
	// endedBeforeTakeover marks a job that is kept only because runs of it are still
	// being stopped. Nothing is recorded about it.
	endedBeforeTakeover bool
	// home is the failure domain in which the tasks are placed where there is room.
	home      state.DomainID
	arrived   state.Time
	dueBy     state.Time
	overShare bool
	// inherited marks a job that was recorded before this owner's claim. Former owners may
	// have started its tasks.
	inherited bool
	// headroom is the contention in whose headroom the job takes part, or nil.
	headroom *contention
	dirty    bool
	finalAt  int64
	// admission is the decision that accepted the job, or nil if this owner made none;
	// firstStart is when a task was started first.
	admission  *Admission
	firstStart state.Time
	// claimant holds the accounts and turns of the job; nil until it is looked up.
	claimant *claimant
	// following holds, for each step, the declared run time of the longest chain of steps
	// that follow it; nil until it is needed.
	following []time.Duration
}

type upstream struct {
	workload.Upstream
	// listed is false once the upstream is gone from the platform's list.
	listed bool
	// polled is set once a poll under this owner's fencing token has succeeded.
	polled bool
	// unreachable is set while calls to the upstream fail.
	unreachable bool
	// unreachableSince is when the calls began to fail, and closed is set if the upstream's
	// process closed the connections then.
	unreachableSince state.Time
	closed           bool
	// leasedAt is when the newest call was sent that certainly prolonged the leases of its runs.
	leasedAt state.Time
	// lateLeaseUntil is until when runs of the upstream may outlast the owner's leases.
	lateLeaseUntil state.Time
	announced      announcements
	// suspected is set from an unanswered command until the next successful poll.
	suspected bool
	// lossCounted is set from the first start without a response until the next successful poll.
	lossCounted bool
	used        state.Vector
	// bestEffortCPU is the processor share requested by best-effort (Fills) runs, in
	// thousandths of a core.
	bestEffortCPU int64
	serving       int
	// freedSeq is the number of the latest noteFreed.
	freedSeq uint64
	// member is the upstream's place in the newest pool of its service, or nil if it was
	// not usable.
	member *member
	runs   map[workload.TaskID]*run
	health health
	cold   coldState
	// trial is the trial that the upstream is reserved for, or nil.
	trial *trial
	// learned is the learned speed, or nil if run times are not learned.
	learned *runtimes.Upstream
}

func (u *upstream) free() state.Vector { return u.Capacity.Sub(u.used) }
