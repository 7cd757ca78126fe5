package scheduler

import (
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// EndCause is the cause of the end of a run.
type EndCause uint8

// Causes of the end of a run.
const (
	// EndDone: the task is complete.
	EndDone EndCause = iota
	// EndFailed: the run failed because of the task or the upstream.
	EndFailed
	// EndStopped: the run was stopped by a command.
	EndStopped
	// EndLeaseExpired: the lease expired.
	EndLeaseExpired
	// EndGangMemberEnded: another gang member ended.
	EndGangMemberEnded
	// EndGangIncomplete: the other gang members did not start in time.
	EndGangIncomplete
)

// String returns the cause as written to logs.
func (c EndCause) String() string {
	return [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone"}[c]
}

// RunningRun is a run that an upstream reports as running.
type RunningRun struct {
	Task       workload.TaskID
	Run        int64
	Checkpoint string
	// Percent is the progress. A long-running task reports 100 while it is working.
	Percent int
	// Load is, over the last half second, the tail latency in milliseconds of a
	// serving task and the processor use in thousandths of any other.
	Load int64
}

// EndedRun is a run that an upstream reports as ended.
type EndedRun struct {
	Task       workload.TaskID
	Run        int64
	Cause      EndCause
	Checkpoint string
}

// RunReport is an upstream's report about its runs, the response to a poll.
type RunReport struct {
	// SentAt is when the poll was sent.
	SentAt state.Time
	// Clock is the upstream's clock when it made the report; 0 if not known.
	Clock   state.Time
	Running []RunningRun
	// Ended holds the ends that were not passed to the scheduler before.
	Ended []EndedRun
	// Partial says that the report may lack runs.
	Partial bool
}

const (
	// stallAfter is how long a run may show no progress before it is stopped, by the
	// owner's clock and by the upstream's: reports that arrive late because the owner or
	// the upstream was paused show no lack of progress. A run at a twentieth of its full
	// speed still gains a percent in that time if it takes 7 s at full speed.
	stallAfter = 1500 * time.Millisecond
	// slowestPace is the factor by which a run may be slower than declared before it counts as
	// stalled, and maxStallDoublings how often a task's limit doubles at most.
	slowestPace, maxStallDoublings = 20, 10
	// stallPercents is how many percent of progress a run must be behind its pace so far,
	// so that a run on a very slow upstream, or one that takes minutes, is not stopped.
	stallPercents = 3
	// stallFault is the weight of a stalled run in the fault count of its upstream.
	stallFault = 2.5
	// repeatedFault is the weight of a failed run if the task failed on another
	// upstream before, so that a task that always fails does not discredit upstreams.
	repeatedFault = 0.3
)

// ApplyReport applies an upstream's report. Runs that the report does not list are
// released or revoked, unless the report is partial or was requested too early to show
// them.
func (s *Scheduler) ApplyReport(now state.Time, id workload.UpstreamID, report RunReport) {
	u := s.upstreams[id]
	if u == nil {
		return
	}
	u.polled, u.unreachable, u.closed, u.suspected, u.lossCounted = true, false, false, false, false
	u.leasedAt = max(u.leasedAt, report.SentAt)
	s.endWaitsForSurvivor(id)
	for i := range report.Ended {
		s.settleStart(now, Run{report.Ended[i].Task, report.Ended[i].Run, id}, SettledByReport)
		s.applyEnded(now, u, &report.Ended[i])
	}
	listed := make(map[workload.TaskID]int64, len(report.Running))
	for i := range report.Running {
		reported := &report.Running[i]
		listed[reported.Task] = reported.Run
		s.settleStart(now, Run{reported.Task, reported.Run, id}, SettledByReport)
		s.applyRunning(now, u, reported, report.Clock)
	}
	if !report.Partial {
		s.noteUnreported(u, &report)
		s.endRevokedWaits(id, report.SentAt)
	}
	s.confirmUpstream(now, id, report.Partial)
	for _, r := range u.sortedRuns() {
		if listed[r.Task] != r.Number && !report.Partial {
			s.notListed(now, r, report.SentAt)
		}
	}
}

// notListed handles a run that its upstream's report does not list. A report counts
// only if it was requested after the run entered its phase. Where an upstream's answer
// begins the phase, a request of the same instant came after it: the answer took longer
// than a tick of the clock.
func (s *Scheduler) notListed(now state.Time, r *run, sentAt state.Time) {
	switch r.phase {
	case running:
		if sentAt > r.since {
			s.release(now, r, false)
		}
	case startUnconfirmed:
		if sentAt >= r.since && !s.mayBeginLate(now, r) {
			s.stop(now, r, StopUnconfirmed)
		}
	case stopping:
		if r.stopAckedAt > 0 && sentAt >= r.stopAckedAt {
			s.release(now, r, false)
		}
	case awaitingTicket, planned, starting, finished:
	}
}

// applyRunning applies one run that is reported as running. clock is the upstream's clock
// at the report.
func (s *Scheduler) applyRunning(now state.Time, u *upstream, reported *RunningRun, clock state.Time) {
	r := u.runs[reported.Task]
	if r == nil || r.Number != reported.Run {
		r = s.adopt(now, u, reported)
		if r == nil {
			return
		}
	}
	if reported.Checkpoint != "" {
		if reported.Checkpoint != r.task.checkpoint {
			r.checkpointAt = now
		}
		r.task.checkpoint = reported.Checkpoint
	}
	r.load, r.accepted, r.byNext = reported.Load, true, false
	s.clearSurvivor(now, r)
	if r.phase == starting || r.phase == startUnconfirmed {
		r.phase, r.since = running, now
	}
	if r.progressAt == 0 || reported.Percent != r.progress {
		r.progress, r.progressAt, r.progressClock = reported.Percent, now, clock
		s.observeProgress(now, u, r)
		return
	}
	if r.phase == running && r.canStall() && r.isStalled(now, clock) {
		u.health.fault(now, stallFault)
		r.task.avoid = u.ID
		r.task.stalls = min(r.task.stalls+1, maxStallDoublings)
		s.stop(now, r, StopStalled)
	}
}

// isStalled reports whether a run has made no progress for longer than its declared run time and
// its pace so far explain. The limit doubles with each stop of the task for that reason: a percent of
// a run that takes far longer than declared takes as much longer on every upstream.
func (r *run) isStalled(now, clock state.Time) bool {
	percent := time.Duration(r.task.step.spec.EstimateMS) * time.Millisecond / 100
	limit := max(stallAfter, slowestPace*percent) << r.task.stalls
	if r.progress > 0 {
		limit = max(limit, stallPercents*(r.progressAt-r.startedAt)/state.Time(r.progress))
	}
	return now-r.progressAt > limit && (clock == 0 || clock-r.progressClock > limit)
}

// canStall reports whether a lack of progress counts as a fault.
func (r *run) canStall() bool {
	spec := r.task.step.spec
	if spec.LongRunning {
		return r.progress < 100
	}
	if spec.Gang {
		if r.progress >= 100 {
			// The run waits for slower gang members; all end together.
			return false
		}
		if r.task.step.untouched() > 0 {
			return false
		}
		for _, t := range r.task.step.tasks {
			if len(t.runs) == 0 || t.runs[0].phase != running {
				return false
			}
		}
	}
	return !spec.Fills && r.pace == 100
}

// adopt registers a reported run that this scheduler did not start. It returns nil and
// stops the run if its task is unknown or has another run on the upstream. A run that
// is not wanted is registered and then stopped.
func (s *Scheduler) adopt(now state.Time, u *upstream, reported *RunningRun) *run {
	t := s.task(reported.Task)
	if t == nil {
		t = s.taskOfEndedJob(reported.Task)
	}
	if t == nil || u.runs[reported.Task] != nil {
		if t != nil {
			t.step.dropIdle(t)
		}
		s.stops = append(s.stops, Stop{Run: Run{reported.Task, reported.Run, u.ID}, Reason: StopUnwanted, Percent: reported.Percent})
		return nil
	}
	wanted := !t.done && !t.step.job.phase.Final() && len(t.runs) == 0
	r := &run{Run: Run{reported.Task, reported.Run, u.ID}, task: t, phase: running, since: now, startedAt: now, adopted: true, pace: 100}
	s.reserve(u, r)
	t.lastRun = max(t.lastRun, reported.Run)
	s.clearUnconfirmed(t)
	t.step.started = true
	s.markBegun(t.step.job)
	s.markDirty(t.step.job)
	if !wanted {
		s.stop(now, r, StopUnwanted)
	}
	return r
}

// taskOfEndedJob returns a task of a job that ended before the takeover, or nil.
func (s *Scheduler) taskOfEndedJob(id workload.TaskID) *task {
	if s.opts.Lookup == nil || s.jobs[id.Job] != nil {
		return nil
	}
	spec := s.opts.Lookup(id.Job)
	if spec == nil || id.Occurrence >= spec.Occurrences() || id.Step >= len(spec.Steps) {
		return nil
	}
	j := &job{id: spec.ID, spec: spec, phase: ledger.Cancelled, cancelled: true, endedBeforeTakeover: true, begun: true, steps: map[int][]*step{}}
	s.jobs[j.id] = j
	return s.task(id)
}

// applyEnded applies one run that is reported as ended. Ends may be reported
// repeatedly.
func (s *Scheduler) applyEnded(now state.Time, u *upstream, reported *EndedRun) {
	t := s.task(reported.Task)
	if t == nil {
		return
	}
	defer t.step.dropIdle(t)
	r := u.runs[reported.Task]
	if r != nil && r.Number != reported.Run {
		r = nil
	}
	if t.unconfirmedOn == u.ID && reported.Run >= t.lastRun {
		s.clearUnconfirmed(t)
	}
	t.lastRun = max(t.lastRun, reported.Run)
	if reported.Checkpoint != "" {
		t.checkpoint = reported.Checkpoint
	}
	s.markDirty(t.step.job)
	s.markBegun(t.step.job)
	if r != nil {
		s.noteStopped(now, u, r, reported.Cause)
		r.phase = finished
		// The upstream has survived a run that ended by itself.
		if (reported.Cause == EndDone || reported.Cause == EndFailed) && now-r.startedAt > t.crashes.Age {
			t.endSuspicion()
		}
	}
	switch {
	case reported.Cause == EndDone && !t.step.spec.LongRunning:
		if r != nil {
			s.observe(now, u, r)
		}
		s.taskDone(now, t)
	case reported.Cause == EndFailed && !t.step.spec.LongRunning:
		s.taskFailed(now, u, t, reported.Run)
	case reported.Cause == EndFailed:
		u.health.fault(now, repeatedFault)
		t.avoid = u.ID
	}
	if r != nil {
		s.release(now, r, true)
	} else {
		s.requeue(t.step)
	}
}

// taskDone marks a task, or all tasks of a gang, as complete.
func (s *Scheduler) taskDone(now state.Time, t *task) {
	st := t.step
	if t.done {
		return
	}
	tasks := []*task{t}
	if st.spec.Gang {
		tasks = slices.Clone(st.tasks)
		st.left = 0 // with those that were never placed
	} else {
		st.setDone(t.index)
	}
	for _, member := range tasks {
		member.done = true
		s.clearUnconfirmed(member)
	}
	s.stopCopies(now, t)
	for _, member := range tasks {
		if member != t { // that one's end is still being applied
			st.dropIdle(member)
		}
	}
	if st.left == 0 && !st.job.phase.Final() {
		s.stepDone(now, st)
	}
}

func (s *Scheduler) stepDone(now state.Time, st *step) {
	delete(s.ready, st)
	st.job.openSteps--
	if st.job.complete() {
		s.finish(now, st.job, ledger.Complete)
		return
	}
	for _, next := range st.job.steps[st.occurrence] {
		if next.left > 0 && next.predecessorsDone() {
			s.ready[next] = struct{}{}
		}
	}
}

// taskFailed counts a failed run. It fails the job once the task has used up its
// attempts, unless the limit may be outdated; failUsedUp does so later then.
func (s *Scheduler) taskFailed(now state.Time, u *upstream, t *task, number int64) {
	counted := t
	if t.step.spec.Gang {
		counted = t.step.task(0)
		defer t.step.dropIdle(counted)
	}
	if counted.hasCounted(number) {
		return
	}
	weight := 1.0
	if len(counted.failed) > 0 && t.avoid != u.ID {
		weight = repeatedFault
	}
	u.health.fault(now, weight)
	t.avoid = u.ID
	counted.failed = append(slices.Clone(counted.failed), number)
	if q := s.config.Queue(t.step.job.spec.Queue); q != nil && counted.attemptsUsed(q) && s.limitsSettled(now) {
		s.finish(now, t.step.job, ledger.Failed)
	}
}

// hasCounted reports whether a failed run was counted, or may have been: a record that is cut to
// its bound keeps the number of the newest one only, and negative ones for the others.
func (t *task) hasCounted(number int64) bool {
	if len(t.failed) == 0 {
		return false
	}
	cut := slices.Min(t.failed) < 0
	return slices.Contains(t.failed, number) || (cut && number < slices.Max(t.failed))
}

// attemptsUsed reports whether as many runs of the task, or of its gang, have failed as the queue
// allows.
func (t *task) attemptsUsed(q *workload.Queue) bool {
	if t.step.spec.Gang {
		t = t.step.tasks[0]
	}
	return !t.done && !t.step.spec.LongRunning && q.MaxAttempts > 0 && len(t.failed) >= q.MaxAttempts
}

// configSettled is the age of an owner's term from which its configuration is as new as that by
// which its predecessor acted.
const configSettled = 5 * time.Second

// failUsedUp fails the job of a step of which a task may not be started again: its last attempt
// failed while the configuration lacked the queue, or allowed more attempts. It reports whether
// there is such a task; nothing of the step is started then.
func (s *Scheduler) failUsedUp(now state.Time, st *step, q *workload.Queue) bool {
	if !slices.ContainsFunc(st.tasks, func(t *task) bool { return t.attemptsUsed(q) }) {
		return false
	}
	if s.limitsSettled(now) {
		s.finish(now, st.job, ledger.Failed)
	}
	return true
}

// limitsSettled reports whether the owner's configuration is as new as that of its predecessor, if
// there is one. Without that a lower limit may be one that has been raised.
func (s *Scheduler) limitsSettled(now state.Time) bool {
	return now >= configSettled || s.opts.FirstRun <= 1
}

// task returns a task of a known job, or nil.
func (s *Scheduler) task(id workload.TaskID) *task {
	st := s.stepOf(id.StepID())
	if st == nil || id.Index >= st.spec.Count {
		return nil
	}
	return st.task(id.Index)
}

// markBegun marks a job as begun.
func (s *Scheduler) markBegun(j *job) {
	if !j.begun {
		j.begun = true
		s.markDirty(j)
	}
}

// requeue makes a step's open tasks eligible for placement again.
func (s *Scheduler) requeue(st *step) {
	if st.left > 0 && !st.job.phase.Final() && st.predecessorsDone() {
		s.ready[st] = struct{}{}
	}
}
