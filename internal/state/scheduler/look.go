package scheduler

import (
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// How says how a run ended.
type How uint8

// The ways in which a run ends.
const (
	// HowDone: the task is complete.
	HowDone How = iota
	// HowFailed: by its own fault or the upstream's.
	HowFailed
	// HowStopped: by an order.
	HowStopped
	// HowLapsed: the lease ran out.
	HowLapsed
	// HowBroken: another member of the gang ended.
	HowBroken
	// HowAlone: the other members of the gang did not come in time.
	HowAlone
)

// String names the way in logs.
func (h How) String() string {
	return [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone"}[h]
}

// RunningRow is a run that an upstream lists as running.
type RunningRow struct {
	Task       workload.TaskID
	Run        int64
	Checkpoint string
	// Percent is the progress; a long-running task is at work at 100.
	Percent int
	// Figure is the tail in milliseconds of a serving task and the processor
	// use in thousandths of any other, over the last half second.
	Figure int64
}

// EndedRow is a run that an upstream lists as ended.
type EndedRow struct {
	Task       workload.TaskID
	Run        int64
	How        How
	Checkpoint string
}

// Look is what an upstream said about its runs.
type Look struct {
	// SentAt is when the upstream was asked.
	SentAt  state.Time
	Running []RunningRow
	// Ended holds the ends that were not reported to the scheduler before.
	Ended []EndedRow
	// Partial says that the upstream has more ends than it listed.
	Partial bool
}

const (
	// stallAfter is how long a run may show no progress before it is stopped.
	// A run at a twentieth of its speed still gains a percent in that time if
	// it takes 7 s at full speed.
	stallAfter = 1500 * time.Millisecond
	// stallFault is what a stalled run counts as a fault of its upstream.
	stallFault = 2.5
	// repeatedFault is what a failed run counts if the task failed elsewhere
	// before, so that a task that can't be done does not discredit upstreams.
	repeatedFault = 0.3
	// minObservedEstimate is the shortest declared run time from which the
	// speed of an upstream is learnt.
	minObservedEstimate = 50 * time.Millisecond
)

// Looked takes in what an upstream said.
func (s *Scheduler) Looked(now state.Time, id workload.UpstreamID, look Look) {
	u := s.upstreams[id]
	if u == nil {
		return
	}
	u.known, u.silent = true, false
	for i := range look.Ended {
		s.endedRow(now, u, &look.Ended[i])
	}
	listed := make(map[workload.TaskID]int64, len(look.Running))
	for i := range look.Running {
		row := &look.Running[i]
		listed[row.Task] = row.Run
		s.runningRow(now, u, row)
	}
	s.settleAt(id)
	for _, r := range u.sortedRuns() {
		if listed[r.Task] != r.Number && !look.Partial {
			s.notListed(now, r, look.SentAt)
		}
	}
}

// notListed decides about a run that its upstream did not list.
func (s *Scheduler) notListed(now state.Time, r *run, sentAt state.Time) {
	switch r.phase {
	case running:
		if sentAt > r.since {
			s.release(now, r, false)
		}
	case unsure:
		if sentAt > r.since {
			s.stop(now, r, StopUnanswered)
		}
	case stopping:
		if r.stopAcked > 0 && sentAt > r.stopAcked {
			s.release(now, r, false)
		}
	case awaiting, planned, starting, over:
	}
}

// runningRow takes in one run that is listed as running.
func (s *Scheduler) runningRow(now state.Time, u *upstream, row *RunningRow) {
	r := u.runs[row.Task]
	if r == nil || r.Number != row.Run {
		r = s.adopt(now, u, row)
		if r == nil {
			return
		}
	}
	if row.Checkpoint != "" {
		r.task.checkpoint = row.Checkpoint
	}
	r.figure = row.Figure
	if r.phase == starting || r.phase == unsure {
		r.phase, r.since = running, now
	}
	if r.progressAt == 0 || row.Percent != r.progress {
		r.progress, r.progressAt = row.Percent, now
		return
	}
	if r.phase == running && r.canStall() && now-r.progressAt > stallAfter {
		u.health.fault(now, stallFault)
		r.task.avoid = u.ID
		s.stop(now, r, StopStalled)
	}
}

// canStall reports whether a lack of progress is a fault.
func (r *run) canStall() bool {
	spec := r.task.step.spec
	if spec.LongRunning {
		return r.progress < 100
	}
	if spec.Gang {
		if r.progress >= 100 {
			// It waits for the slower members; all end together.
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

// adopt takes up a run that the scheduler did not start itself. It returns nil
// if the run is not wanted.
func (s *Scheduler) adopt(now state.Time, u *upstream, row *RunningRow) *run {
	t := s.task(row.Task)
	if t == nil {
		t = s.ghostTask(row.Task)
	}
	if t == nil || u.runs[row.Task] != nil {
		s.stops = append(s.stops, Stop{Run: Run{row.Task, row.Run, u.ID}, Reason: StopUnwanted, Percent: row.Percent})
		return nil
	}
	wanted := !t.done && !t.step.job.phase.Final() && len(t.runs) == 0
	r := &run{Run: Run{row.Task, row.Run, u.ID}, task: t, phase: running, since: now, startedAt: now, pace: 100}
	s.take(u, r)
	t.lastRun = max(t.lastRun, row.Run)
	s.settle(t)
	t.step.started = true
	s.begin(t.step.job)
	s.touch(t.step.job)
	if !wanted {
		s.stop(now, r, StopUnwanted)
	}
	return r
}

// ghostTask returns a task of a job that ended before the takeover, or nil.
func (s *Scheduler) ghostTask(id workload.TaskID) *task {
	if s.opts.Lookup == nil || s.jobs[id.Job] != nil {
		return nil
	}
	spec := s.opts.Lookup(id.Job)
	if spec == nil || id.Occurrence >= spec.Occurrences() || id.Step >= len(spec.Steps) {
		return nil
	}
	j := &job{id: spec.ID, spec: spec, phase: ledger.Cancelled, cancelled: true, ghost: true, begun: true, steps: make([][]*step, spec.Occurrences())}
	for k := range j.steps {
		j.steps[k] = make([]*step, len(spec.Steps))
		for i := range spec.Steps {
			j.steps[k][i] = newStep(j, k, i)
		}
	}
	s.jobs[j.id] = j
	return s.task(id)
}

// endedRow takes in one run that is listed as ended.
func (s *Scheduler) endedRow(now state.Time, u *upstream, row *EndedRow) {
	t := s.task(row.Task)
	if t == nil {
		return
	}
	r := u.runs[row.Task]
	if r != nil && r.Number != row.Run {
		r = nil
	}
	t.lastRun = max(t.lastRun, row.Run)
	if row.Checkpoint != "" {
		t.checkpoint = row.Checkpoint
	}
	s.touch(t.step.job)
	s.begin(t.step.job)
	if r != nil {
		r.phase = over
	}
	switch {
	case row.How == HowDone && !t.step.spec.LongRunning:
		if r != nil {
			s.observe(now, u, r)
		}
		s.taskDone(now, t)
	case row.How == HowFailed && !t.step.spec.LongRunning:
		s.taskFailed(now, u, t, row.Run)
	case row.How == HowFailed:
		u.health.fault(now, repeatedFault)
		t.avoid = u.ID
	}
	if r != nil {
		s.release(now, r, true)
	} else {
		s.wake(t.step)
	}
}

// observe learns the speed of an upstream from a run that ended well.
func (s *Scheduler) observe(now state.Time, u *upstream, r *run) {
	estimate := r.task.step.spec.Estimate()
	if estimate >= minObservedEstimate && r.task.lastRun == r.Number && r.pace == 100 && !r.task.step.spec.Fills {
		u.health.observe(now, float64(now-r.startedAt)/float64(estimate))
	}
}

// taskDone marks a task, or all tasks of a gang, as complete.
func (s *Scheduler) taskDone(now state.Time, t *task) {
	st := t.step
	tasks := []*task{t}
	if st.spec.Gang {
		tasks = st.tasks
	}
	if t.done {
		return
	}
	for _, member := range tasks {
		if member.done {
			continue
		}
		member.done = true
		s.settle(member)
		st.left--
	}
	if st.left == 0 && !st.job.phase.Final() {
		s.stepDone(now, st)
	}
}

func (s *Scheduler) stepDone(now state.Time, st *step) {
	delete(s.ready, st)
	st.job.open--
	if st.job.open == 0 {
		s.finish(now, st.job, ledger.Complete)
		return
	}
	for _, next := range st.job.steps[st.occurrence] {
		if next.left > 0 && next.predecessorsDone() {
			s.ready[next] = struct{}{}
		}
	}
}

// taskFailed counts a failed run and ends the job once the task has no attempt left.
func (s *Scheduler) taskFailed(now state.Time, u *upstream, t *task, number int64) {
	counted := t
	if t.step.spec.Gang {
		counted = t.step.tasks[0]
	}
	if slices.Contains(counted.failed, number) {
		return
	}
	weight := 1.0
	if len(counted.failed) > 0 && t.avoid != u.ID {
		weight = repeatedFault
	}
	u.health.fault(now, weight)
	t.avoid = u.ID
	counted.failed = append(slices.Clone(counted.failed), number)
	q := s.config.Queue(t.step.job.spec.Queue)
	if !t.done && q != nil && q.MaxAttempts > 0 && len(counted.failed) >= q.MaxAttempts {
		s.finish(now, t.step.job, ledger.Failed)
	}
}

// task returns a task of a known job, or nil.
func (s *Scheduler) task(id workload.TaskID) *task {
	j := s.jobs[id.Job]
	if j == nil || id.Occurrence >= len(j.steps) || id.Step >= len(j.steps[id.Occurrence]) {
		return nil
	}
	st := j.steps[id.Occurrence][id.Step]
	if id.Index >= len(st.tasks) {
		return nil
	}
	return st.tasks[id.Index]
}

// begin marks a job as started.
func (s *Scheduler) begin(j *job) {
	if !j.begun {
		j.begun = true
		s.touch(j)
	}
}

// wake makes a step's open tasks be placed again.
func (s *Scheduler) wake(st *step) {
	if st.left > 0 && !st.job.phase.Final() && st.predecessorsDone() {
		if _, waits := s.timed[st]; !waits {
			s.ready[st] = struct{}{}
		}
	}
}
