package scheduler

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

const (
	// minObservedEstimate is the shortest declared run time from which anything is learned;
	// the delays of commands and reports would falsify shorter ones.
	minObservedEstimate = 50 * time.Millisecond
	// minMeasuredShare is the least share of its work, in percent, that a run must have
	// done since its measurement began; progress is reported in whole percent.
	minMeasuredShare = 20
	// minRestShare replaces minMeasuredShare for the expected rest of a run, which is
	// needed early: a run that takes seven times as long shows 8 percent after half of its
	// expected time.
	minRestShare = 8
	// minMeasuredTime is the shortest time from which the duration of a run that still runs
	// is derived, since reports are delayed by some tens of milliseconds.
	minMeasuredTime = 200 * time.Millisecond
	// progressStep is the progress in percent between two observations of a run.
	progressStep = 25
	// maxResidual caps the slowness that a single run shows beyond what was learned: 3 of
	// 100 tasks take seven times as long without a fault of their upstream.
	maxResidual = 3
	// clearResidual is the slowness from which the progress of a gang's member shows a fault
	// of its upstream; it is beyond the usual spread of 30 percent.
	clearResidual = 1.5
)

// measurement measures how fast a run progresses.
type measurement struct {
	// since and from are when the measurement began and the progress then; since is 0
	// before it has begun. Runs that resume from a checkpoint, were adopted or wait for the
	// other members of their gang are measured from a report on.
	since state.Time
	from  int
	// observed is the progress at the newest observation.
	observed int
}

// begin begins the measurement of a run that is started now, unless its progress at the
// start is unknown.
func (m *measurement) begin(now state.Time, r *run) {
	*m = measurement{}
	if r.task.checkpoint == "" && !r.task.step.spec.Gang {
		m.since = now
	}
}

// total returns how long the whole run takes by its progress at the given time; false if
// it has done less than a share of its work, in percent, since the measurement began.
func (m *measurement) total(at state.Time, percent, share int) (time.Duration, bool) {
	if m.since == 0 || percent-m.from < share || at-m.since < minMeasuredTime {
		return 0, false
	}
	return time.Duration(float64(at-m.since) * 100 / float64(percent-m.from)), true
}

// measurable reports whether the run time of a run tells how fast its upstream is.
func (r *run) measurable() bool {
	spec := r.task.step.spec
	return spec.Estimate() >= minObservedEstimate && !spec.LongRunning && !spec.Fills && r.pace == 100 && r.task.lastRun == r.Number
}

// observe learns from a completed run.
func (s *Scheduler) observe(now state.Time, u *upstream, r *run) {
	if !r.measurable() {
		return
	}
	st := r.task.step
	estimate := float64(st.spec.Estimate())
	if s.opts.RunTimes == nil || u.learned == nil {
		u.health.observe(now, float64(now-r.startedAt)/estimate)
		return
	}
	if st.spec.Gang {
		// The end shows the slowest member only; the others are known by their progress.
		return
	}
	total, ok := r.measure.total(now, 100, minMeasuredShare)
	if !ok && r.measure.since > 0 && r.measure.from == 0 {
		total, ok = now-r.measure.since, true
	}
	if !ok || st.dataCost(u) > 0 {
		return
	}
	ratio := float64(total) / estimate
	s.opts.RunTimes.Ended(st.class(), ratio/s.opts.RunTimes.StepFactor(st.class(), &st.measured, u.learned))
	s.opts.RunTimes.Observe(st.class(), &st.measured, r.task.index, u.learned, ratio)
	residual := ratio / s.opts.RunTimes.StepFactor(st.class(), &st.measured, u.learned)
	u.health.observe(now, min(residual, maxResidual))
}

// observeProgress learns from the progress of a run that still runs.
func (s *Scheduler) observeProgress(now state.Time, u *upstream, r *run) {
	if s.opts.RunTimes == nil || u.learned == nil || r.phase != running || !r.measurable() {
		return
	}
	st := r.task.step
	if r.measure.since == 0 {
		if r.progress < 100 && (!st.spec.Gang || st.allRunning()) {
			r.measure = measurement{since: now, from: r.progress, observed: r.progress}
		}
		return
	}
	total, ok := r.measure.total(now, r.progress, minMeasuredShare)
	if !ok || r.progress >= 100 || r.progress-r.measure.observed < progressStep || st.dataCost(u) > 0 {
		return
	}
	r.measure.observed = r.progress
	ratio := float64(total) / float64(st.spec.Estimate())
	s.opts.RunTimes.Observe(st.class(), &st.measured, r.task.index, u.learned, ratio)
	residual := ratio / s.opts.RunTimes.StepFactor(st.class(), &st.measured, u.learned)
	if st.spec.Gang && residual > clearResidual { // its end will show the slowest member only
		u.health.observe(now, min(residual, maxResidual))
	}
}

// allRunning reports whether all members of a gang are running.
func (st *step) allRunning() bool {
	if st.untouched() > 0 {
		return false
	}
	for _, t := range st.tasks {
		if len(t.runs) == 0 || t.runs[0].phase != running {
			return false
		}
	}
	return true
}

// learnSpeed assigns the learned speed of an upstream's incarnation.
func (s *Scheduler) learnSpeed(u *upstream) {
	if s.opts.RunTimes == nil {
		return
	}
	label := ""
	if len(u.Labels) > 0 {
		label = u.Labels[0]
	}
	u.learned = s.opts.RunTimes.Upstream(string(u.ID), u.StartedUnixMS, string(u.Service), label)
}

func (s *Scheduler) forgetSpeed(u *upstream) {
	if s.opts.RunTimes != nil {
		s.opts.RunTimes.Remove(string(u.ID))
	}
}
