package scheduler

import (
	"bytes"
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/crashes"
	"github.com/samphirerail/samphirerail/internal/state/evacuation"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/runtimes"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// Options are the parameters of a Scheduler.
type Options struct {
	// FirstRun is the smallest run number that no previous owner has used.
	FirstRun int64
	// UnconfirmedUntil is the time from which no run of a previous owner can exist any
	// more.
	UnconfirmedUntil state.Time
	// FormerStartsUntil is the time from which no start of a previous owner can be carried out any more.
	FormerStartsUntil state.Time
	// LeaseEnds holds earlier such times for single upstreams. They hold until this owner reaches
	// the upstream.
	LeaseEnds map[workload.UpstreamID]state.Time
	// Lease is how long a run goes on at least after a call that prolonged its lease; 0 if it is not
	// known.
	Lease state.Time
	// StartList names the upstreams on which former owners may have started tasks that the
	// log does not show.
	StartList StartList
	// Lookup returns a job that the ledger holds but the scheduler does not, or nil.
	// Runs of such a job use capacity until they are stopped.
	Lookup func(id workload.JobID) *workload.Job
	// Advisors are the names of the entries that send advice requests.
	Advisors []string
	// RunTimes learns how long tasks run; with nil, declared run times are used.
	RunTimes *runtimes.Model
}

// Scheduler is the placement logic of the owner. It is not safe for concurrent use.
type Scheduler struct {
	opts          Options
	config        *workload.Config
	jobs          map[workload.JobID]*job
	upstreams     map[workload.UpstreamID]*upstream
	byService     map[workload.ServiceName][]*upstream
	used          map[workload.WorkspaceName]state.Vector
	shares        map[workload.WorkspaceName]*share
	dirty         []*job
	ended         []EndedJob
	stops         []Stop
	losses        []Loss
	givenUp       []GivenUp
	settledStarts []SettledStart
	// registrationsRead is the time up to which the registrations were read.
	registrationsRead state.Time
	// outages remembers when contact to upstreams was lost, trials the jobs that are tried alone.
	outages   crashes.Outages
	trials    map[workload.JobID]*trial
	advisors  advisorPool
	evacuated evacuation.Set
	// movedOutAt is when moves out of evacuated domains were last decided.
	movedOutAt state.Time
	// advised counts the advice about each queue.
	advised map[workload.QueueName]*advised
	// ready holds the steps that may have tasks to place.
	ready map[*step]struct{}
	// unconfirmed holds the tasks whose newest run is recorded on an upstream that has
	// not been polled since the takeover. They count against their workspaces.
	unconfirmed map[workload.UpstreamID][]*task
	// leaseEnds holds what is left of Options.LeaseEnds.
	leaseEnds map[workload.UpstreamID]state.Time
	// freed lists the upstreams of each service by when they last gained capacity, and
	// freedSeq counts these events.
	freed    map[workload.ServiceName]*freedLog
	freedSeq uint64
	// fullScans considers all upstreams for each step in each plan. Used by tests only.
	fullScans bool
	// pools holds the usable upstreams by service; it is rebuilt by each Plan.
	pools map[workload.ServiceName]*pool
	// endedTerms are the terms of former owners that are known to have ended.
	endedTerms []EndedTerm
	// openStarts holds the starts that are not settled, by upstream.
	openStarts map[workload.UpstreamID]map[Run]*openStart
	// waiting counts the tasks that the latest plan could not place.
	waiting Waiting
	// startList holds the upstreams of Options.StartList that are not settled, and
	// possibleUse what unrecorded runs on them may use of each workspace's quota.
	startList   startList
	possibleUse map[workload.WorkspaceName]state.Vector
	// nextMoves is when runs to move are searched next.
	nextMoves state.Time
	copies    copyCount
	// series holds the jobs with occurrences that have not begun, and unixNow the newest wall-clock
	// time, in Unix milliseconds, by which they begin.
	series  map[workload.JobID]*job
	unixNow int64
	// searchFrom is the pool member at which the next search in a large fleet begins.
	searchFrom int
	// searched is the memory of the latest search, for the next one.
	searched []candidate
	// contended holds the services whose queues have or had different priorities, as of the
	// configuration prioritiesOf.
	contended    map[workload.ServiceName]*contention
	prioritiesOf *workload.Config
	// runSeq is the newest number of a run in the order of reservation.
	runSeq uint64
	// noPreemption switches preemption and headroom off. Used by tests only.
	noPreemption bool
	// admission holds what decides about submitted jobs.
	admission admission
	// fair holds what shares a service among workspaces.
	fair fairness
}

// New returns a Scheduler without jobs and upstreams. The configuration must be
// indexed.
func New(config *workload.Config, opts Options) *Scheduler {
	s := &Scheduler{
		opts:        opts,
		config:      config,
		jobs:        map[workload.JobID]*job{},
		upstreams:   map[workload.UpstreamID]*upstream{},
		byService:   map[workload.ServiceName][]*upstream{},
		used:        map[workload.WorkspaceName]state.Vector{},
		shares:      map[workload.WorkspaceName]*share{},
		ready:       map[*step]struct{}{},
		unconfirmed: map[workload.UpstreamID][]*task{},
		leaseEnds:   opts.LeaseEnds,
		series:      map[workload.JobID]*job{},
		openStarts:  map[workload.UpstreamID]map[Run]*openStart{},
		freed:       map[workload.ServiceName]*freedLog{},
		advised:     map[workload.QueueName]*advised{},
		admission:   newAdmission(),
		fair:        newFairness(),
		contended:   map[workload.ServiceName]*contention{},
		startList:   newStartList(opts.StartList),
		trials:      map[workload.JobID]*trial{},
	}
	s.advisors.set(opts.Advisors)
	return s
}

// SetConfig replaces the configuration, which must be indexed.
func (s *Scheduler) SetConfig(config *workload.Config) {
	if config == s.config {
		return
	}
	s.config = config
	s.resetClaimants()
	for _, j := range s.jobs {
		for st := range j.all() {
			st.scannedTo = 0 // the queue may belong to another service now
		}
	}
}

// SetAdvisors replaces the names of the entries that send advice requests.
func (s *Scheduler) SetAdvisors(names []string) { s.advisors.set(names) }

// AddJob adds a job with the state that the log holds of it. unixNow is the wall-clock
// time in Unix milliseconds. A job that is known or recorded as final is ignored. It
// reports whether the job exceeds its workspace's share.
func (s *Scheduler) AddJob(now state.Time, unixNow int64, spec *workload.Job, recorded *ledger.JobState, cancelled bool) (overShare bool) {
	admission := s.admission.added(now, spec.ID)
	if s.jobs[spec.ID] != nil || recorded.Phase.Final() {
		return false
	}
	waited := time.Duration(max(0, unixNow-spec.SubmittedUnixMS)) * time.Millisecond
	j := &job{id: spec.ID, spec: spec, arrived: now - waited, phase: recorded.Phase, begun: recorded.Phase == ledger.Running, admission: admission, steps: map[int][]*step{}, lastingToCome: int(spec.LastingTasks())}
	j.restoreOccurrences(recorded)
	for i := range recorded.Steps {
		s.restore(j, &recorded.Steps[i])
	}
	s.restoreCrashes(j, recorded.Crashes)
	j.dueBy = j.arrived + s.objective(j)
	j.overShare = s.takeShare(j)
	j.headroom = s.headroomFor(j)
	s.jobs[j.id] = j
	if cancelled {
		s.cancel(now, j)
		return j.overShare
	}
	for _, k := range j.held() {
		s.advance(j, k)
	}
	s.unixNow = unixNow
	s.beginDue(j)
	s.finishIfComplete(j)
	return j.overShare
}

// restore applies the recorded progress of a step.
func (s *Scheduler) restore(j *job, r *ledger.StepState) {
	steps := j.steps[r.Occurrence]
	if r.Step >= len(steps) || steps[r.Step].left == 0 {
		return
	}
	st := steps[r.Step]
	for i := range st.spec.Count {
		if r.IsDone(i) && !st.isDone(i) {
			st.setDone(i)
		}
	}
	if st.left == 0 {
		j.openSteps--
		return
	}
	for i := range r.Tasks {
		if rt := &r.Tasks[i]; rt.Index < st.spec.Count && !st.isDone(rt.Index) {
			t := st.task(rt.Index)
			t.lastRun, t.failed, t.checkpoint = rt.Run, rt.Failed, rt.Checkpoint
			st.started = true
			if rt.Upstream != "" {
				s.markUnconfirmed(t, rt.Upstream)
			}
		}
	}
}

// advance marks the steps of an occurrence as ready whose predecessors are complete.
func (s *Scheduler) advance(j *job, occurrence int) {
	if j.phase.Final() || j.cancelled {
		return
	}
	for _, st := range j.steps[occurrence] {
		if st.left > 0 && st.predecessorsDone() {
			s.ready[st] = struct{}{}
		}
	}
}

func (s *step) predecessorsDone() bool {
	for _, before := range s.spec.After {
		if s.job.steps[s.occurrence][before].left > 0 {
			return false
		}
	}
	return true
}

// Tick begins the occurrences that are due. unixNow is in Unix milliseconds.
func (s *Scheduler) Tick(unixNow int64) {
	s.unixNow = unixNow
	for _, j := range s.series {
		s.beginDue(j)
	}
}

// Cancel cancels a job: none of its tasks is started any more and its runs are stopped.
func (s *Scheduler) Cancel(now state.Time, id workload.JobID) {
	if j := s.jobs[id]; j != nil && !j.cancelled {
		s.cancel(now, j)
	}
}

func (s *Scheduler) cancel(now state.Time, j *job) {
	j.cancelled = true
	s.finish(now, j, ledger.Cancelled)
}

// finish moves a job to a final phase and stops its remaining runs.
func (s *Scheduler) finish(now state.Time, j *job, p ledger.Phase) {
	if j.phase.Final() {
		return
	}
	j.phase = p
	s.markDirty(j)
	s.ended = append(s.ended, EndedJob{j.id, p})
	s.noteOutcome(now, j)
	s.stopAll(now, j)
	s.dropIfIdle(j)
}

// stopAll stops the runs of a job and places no more of them.
func (s *Scheduler) stopAll(now state.Time, j *job) {
	delete(s.series, j.id)
	for st := range j.all() {
		delete(s.ready, st)
		for _, t := range slices.Clone(st.tasks) {
			for _, r := range append([]*run(nil), t.runs...) {
				s.stop(now, r, StopJobEnded)
			}
		}
	}
}

// Drop takes a job that can't be recorded out of the placement: its runs are stopped and nothing of
// it is started or recorded any more.
func (s *Scheduler) Drop(now state.Time, id workload.JobID) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	s.dirty = slices.DeleteFunc(s.dirty, func(other *job) bool { return other == j })
	j.phase, j.cancelled, j.endedBeforeTakeover, j.dirty = ledger.Cancelled, true, true, false
	s.stopAll(now, j)
	s.dropIfIdle(j)
}

// dropIfIdle drops an ended job once it is recorded and none of its tasks runs or may
// run.
func (s *Scheduler) dropIfIdle(j *job) {
	if !j.phase.Final() || j.dirty {
		return
	}
	for st := range j.all() {
		for _, t := range st.tasks {
			if len(t.runs) > 0 || t.unconfirmedOn != "" {
				return
			}
		}
	}
	delete(s.jobs, j.id)
}

func (s *Scheduler) finishIfComplete(j *job) {
	if j.complete() && !j.phase.Final() && !j.spec.LongRunning() {
		s.finish(0, j, ledger.Complete)
	}
}

// markDirty marks a job whose changed state must be recorded.
func (s *Scheduler) markDirty(j *job) {
	if !j.dirty && !j.endedBeforeTakeover {
		j.dirty = true
		s.dirty = append(s.dirty, j)
	}
}

// Changed returns the states to record of the jobs that changed since the last call.
// unixNow, in Unix milliseconds, becomes the end time of jobs that have just become
// final.
func (s *Scheduler) Changed(unixNow int64) (ids []workload.JobID, states []ledger.JobState) {
	for _, j := range s.dirty {
		j.dirty = false
		if j.phase.Final() && j.finalAt == 0 {
			j.finalAt = unixNow
		}
		ids = append(ids, j.id)
		states = append(states, j.record())
		s.dropIfIdle(j)
	}
	s.dirty = s.dirty[:0]
	return ids, states
}

// Dirty reports whether Changed would return anything, and whether one of those jobs
// reached a final phase.
func (s *Scheduler) Dirty() (any, final bool) {
	for _, j := range s.dirty {
		if j.phase.Final() {
			return true, true
		}
	}
	return len(s.dirty) > 0, false
}

// record returns the state of the job that the log is to hold.
func (j *job) record() ledger.JobState {
	out := ledger.JobState{Phase: j.phase, FinalUnixMS: j.finalAt}
	if j.phase.Final() {
		return out
	}
	if j.begun {
		out.Phase = ledger.Running
	}
	for st := range j.all() {
		if rec, any := st.record(); any {
			out.Steps = append(out.Steps, rec)
		}
	}
	out.Crashes = j.recordCrashes()
	if j.repeats() {
		j.recordSeries(&out)
	}
	return out
}

func (s *step) record() (rec ledger.StepState, any bool) {
	rec = ledger.StepState{Occurrence: s.occurrence, Step: s.index}
	if s.left == 0 {
		rec.SetAllDone(s.spec.Count)
		return rec, true
	}
	rec.Done = slices.Clone(bytes.TrimRight(s.done, "\x00"))
	any = len(rec.Done) > 0
	for _, t := range s.tasks {
		if !t.done && (t.lastRun > 0 || len(t.failed) > 0) {
			ts := ledger.TaskState{Index: t.index, Run: t.lastRun, Failed: t.failed, Checkpoint: t.checkpoint, Upstream: t.unconfirmedOn}
			switch n := len(t.runs); {
			case n > 0:
				ts.Upstream = t.runs[n-1].Upstream
			case t.openStart != nil:
				ts.Upstream = t.openStart.run.Upstream
			}
			rec.Tasks = append(rec.Tasks, ts)
			any = true
		}
	}
	return rec, any
}

// nextRun returns the number for a new run, above the task's last one and those of
// previous owners.
func (s *Scheduler) nextRun(last int64) int64 {
	return max(last+1, s.opts.FirstRun)
}

// Counts holds sizes for metrics and logs.
type Counts struct {
	Jobs, Ready, Upstreams, Runs int
	// Unreachable counts the upstreams that are unreachable or not polled yet, Avoided
	// those that get no work because of recent faults.
	Unreachable, Avoided int
	// Waiting counts the tasks that the latest plan could not place.
	Waiting Waiting
	// Promoted counts the steps that went first in the latest plan after a long wait.
	Promoted int
	// Headroom is the capacity that is kept free for urgent work, in all services.
	Headroom state.Vector
}

// Waiting counts unplaced tasks by cause.
type Waiting struct {
	// Unconfirmed: a run of the task may exist on an upstream that has not been polled
	// since the takeover.
	Unconfirmed int
	// Maximum: the workspace's quota is used up.
	Maximum int
	// Capacity: no upstream that may run the task has enough free capacity.
	Capacity int
	// Advice: no upstream is known yet that the advice service allows.
	Advice int
	// Speed: the free upstreams are so slow that the job would be late, and waiting for a
	// faster one leaves it on time.
	Speed int
}

// Counts returns the sizes of the state at the given time.
func (s *Scheduler) Counts(now state.Time) Counts {
	c := Counts{Jobs: len(s.jobs), Ready: len(s.ready), Upstreams: len(s.upstreams), Waiting: s.waiting, Promoted: s.fair.promoted}
	for _, contended := range s.contended {
		if contended.active {
			c.Headroom = c.Headroom.Add(contended.kept())
		}
	}
	for _, u := range s.upstreams {
		c.Runs += len(u.runs)
		if u.unreachable || !u.polled {
			c.Unreachable++
		} else if u.health.recentFaults(now) >= avoidFaults {
			c.Avoided++
		}
	}
	return c
}
