// Package baseline implements a simple scheduler as a baseline for comparison with the
// state machine: jobs are served in order of arrival, each on the first upstream with
// enough free capacity.
package baseline

import (
	"fmt"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/cell"
	"github.com/samphirerail/samphirerail/internal/state/machine"
)

const (
	// maxRetries is the maximum number of retries of a job, over all its tasks.
	maxRetries = 5
	// retryWait is the delay before a task that failed or was lost is started again.
	retryWait = time.Second
	// retryAfter is the retry delay sent to callers refused because of a full queue.
	retryAfter = time.Second
)

// FirstFitFIFO schedules the jobs of a service in order of arrival. The first job that
// fits on no upstream blocks all later jobs of its service; a team at its limit blocks
// only its own later jobs. It does not correct declared sizes, eject upstreams or preempt
// jobs. It is not safe for concurrent use.
type FirstFitFIFO struct {
	now       state.Time
	cell      *cell.Cell
	quotas    map[state.TeamID]machine.Quota
	usage     map[state.TeamID]state.Vector
	queued    map[state.TeamID]int
	queues    []*serviceQueue
	jobs      map[state.JobID]*job
	tasks     map[state.TaskID]*attempt
	byVM      map[state.VMID][]*attempt
	sequence  uint64
	deadlines deadlines
	// delayedRetries are the retries that are not due yet, in order of time.
	delayedRetries []retry
	actions        []machine.Action
}

// serviceQueue holds the waiting jobs of one service: a queue per team, in order of arrival.
type serviceQueue struct {
	service state.Service
	teams   []*teamQueue
}

type teamQueue struct {
	team state.TeamID
	jobs []*job
}

type job struct {
	spec     state.Job
	sequence uint64
	pending  []int
	outputs  [][]byte
	done     int
	active   int
	attempts int
	retries  int
	ran      bool
	waiting  bool
	// cancelled says that the job was cancelled and is answered when its running tasks
	// have ended.
	cancelled bool
	// restartGang says that the tasks of a gang are being stopped so that it can be started
	// again as a whole.
	restartGang bool
	ended       bool
}

// retry is a task, or with index allTasks a gang, that is to be started again.
type retry struct {
	at    state.Time
	job   *job
	index int
}

// allTasks is the index of a retry of a whole gang.
const allTasks = -1

type attempt struct {
	id    state.TaskID
	job   *job
	index int
	vm    state.VMID
	ran   bool
}

// New returns a scheduler of one failure domain without upstreams and jobs.
func New() *FirstFitFIFO {
	return &FirstFitFIFO{
		cell:   cell.NewFirstFit(),
		quotas: map[state.TeamID]machine.Quota{},
		usage:  map[state.TeamID]state.Vector{},
		queued: map[state.TeamID]int{},
		jobs:   map[state.JobID]*job{},
		tasks:  map[state.TaskID]*attempt{},
		byVM:   map[state.VMID][]*attempt{},
	}
}

// Step applies an event and returns the actions to perform, as machine.Machine.Step does.
func (f *FirstFitFIFO) Step(now state.Time, ev machine.Event) []machine.Action {
	f.now = max(f.now, now)
	f.actions = nil
	f.expireDeadlines()
	f.enqueueDueRetries()
	f.apply(ev)
	f.schedule()
	return f.actions
}

func (f *FirstFitFIFO) apply(ev machine.Event) {
	switch ev := ev.(type) {
	case machine.Submit:
		f.submit(ev.Job)
	case machine.CancelJob:
		f.cancel(ev.Job)
	case machine.Started:
		if a, ok := f.tasks[ev.Task]; ok {
			a.ran = true
			a.job.ran = true
		}
	case machine.StartRefused:
		f.taskEnded(machine.Ended{Task: ev.Task, End: machine.EndNotRun})
	case machine.StartUnconfirmed:
		if a, ok := f.tasks[ev.Task]; ok {
			f.emit(machine.ResolveStart{Task: a.id, VM: a.vm, Cancel: true})
		}
	case machine.Ended:
		f.taskEnded(ev)
	case machine.UpstreamJoined:
		f.cell.Put(cell.Upstream{VM: ev.VM, Rack: ev.Rack, Service: ev.Service, Capacity: ev.Capacity, Free: ev.Capacity})
	case machine.Fenced:
		f.fenced(ev)
	case machine.UpstreamUnreachable:
		f.cell.SetReadiness(ev.VM, cell.Unavailable)
	case machine.LeaseExpired:
		f.cell.SetReadiness(ev.VM, cell.Unfenced)
		f.endTasksOn(ev.VM)
	case machine.QuotasChanged:
		clear(f.quotas)
		for _, q := range ev.Quotas {
			f.quotas[q.Team] = q
		}
	}
}

func (f *FirstFitFIFO) emit(a machine.Action) { f.actions = append(f.actions, a) }

func (f *FirstFitFIFO) fenced(ev machine.Fenced) {
	f.endTasksOn(ev.VM)
	f.cell.SetReadiness(ev.VM, cell.Ready)
}

func (f *FirstFitFIFO) endTasksOn(vm state.VMID) {
	running := f.byVM[vm]
	for _, a := range append([]*attempt(nil), running...) {
		f.taskEnded(machine.Ended{Task: a.id, End: machine.EndStopped})
	}
}

func (f *FirstFitFIFO) submit(spec state.Job) {
	if refusal := f.refuse(&spec); refusal != nil {
		f.emit(machine.Answer{Job: spec.ID, Team: spec.Team, State: state.JobRefused, Refusal: refusal})
		return
	}
	f.sequence++
	j := &job{spec: spec, sequence: f.sequence, outputs: make([][]byte, spec.Tasks)}
	for i := range spec.Tasks {
		j.pending = append(j.pending, i)
	}
	f.jobs[spec.ID] = j
	f.deadlines.add(j)
	f.emit(machine.Accept{Job: spec.ID, State: state.JobQueued})
	f.enqueue(j)
}

// refuse returns the refusal of a job that cannot be accepted, for the same reasons as the
// state machine, or nil.
func (f *FirstFitFIFO) refuse(spec *state.Job) *state.Refusal {
	refusal := &state.Refusal{Verdict: state.NotRun, Detail: "refused on arrival", Remedy: "submit less"}
	quota := f.quotas[spec.Team]
	demand := spec.Each
	if spec.Class == state.ClassGang || spec.Class == state.ClassStanding {
		demand = spec.Total()
	}
	total, _ := f.cell.Total(spec.Service)
	_, fits := f.cell.Largest(spec.Service, spec.Each)
	gang := spec.Class == state.ClassGang
	switch {
	case !fits || gang && !demand.Fits(total):
		refusal.Reason = state.ReasonNeverRunnable
	case !demand.Fits(quota.Limit):
		refusal.Reason = state.ReasonOverLimit
	case f.queued[spec.Team] >= quota.MaxQueued:
		refusal.Reason = state.ReasonQueueFull
		refusal.RetryAfter = retryAfter
	default:
		return nil
	}
	return refusal
}

func (f *FirstFitFIFO) cancel(id state.JobID) {
	j, ok := f.jobs[id]
	if !ok || j.ended || j.cancelled {
		return
	}
	j.cancelled = true
	f.dequeue(j)
	j.pending = nil
	f.stopAll(j)
	f.answerIfFinished(j)
}

func (f *FirstFitFIFO) stopAll(j *job) {
	for index := range j.spec.Tasks {
		for number := j.attempts; number > 0; number-- {
			if a, ok := f.tasks[taskID(j.spec.ID, index, number)]; ok {
				f.emit(machine.Stop{Task: a.id, VM: a.vm, Verb: machine.StopCancel})
				break
			}
		}
	}
}

func taskID(id state.JobID, index, number int) state.TaskID {
	return state.TaskID(fmt.Sprintf("%s/%d/%d", id, index, number))
}

func (f *FirstFitFIFO) answer(j *job, s state.JobState, reason state.Reason) {
	j.ended = true
	f.dequeue(j)
	a := machine.Answer{Job: j.spec.ID, Team: j.spec.Team, State: s}
	if s == state.JobSucceeded {
		a.Outputs = j.outputs
	} else {
		a.Refusal = &state.Refusal{Reason: reason, Verdict: j.verdict(), Detail: "ended without success", Remedy: "submit again"}
	}
	f.emit(a)
	if j.active > 0 {
		f.stopAll(j)
		return
	}
	delete(f.jobs, j.spec.ID)
}

func (j *job) verdict() state.Verdict {
	switch {
	case j.ran:
		return state.HasRun
	case j.active > 0:
		return state.Unknown
	}
	return state.NotRun
}
