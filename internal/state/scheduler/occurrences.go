package scheduler

import (
	"iter"
	"maps"
	"slices"

	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// A job holds the occurrences that are due and not complete, as far as their number is bounded, and
// those that are complete and still have runs. Others cost nothing: those before job.next are
// complete, and those from it on have not begun.

const (
	// maxListedBytes bounds what the complete occurrences of a series take in a record, where they
	// are listed for entries of a former release.
	maxListedBytes = 4 << 10
	// maxUnrecorded is how many due occurrences are begun because an upstream reports a run of the
	// last one: a former owner has begun them and not recorded it.
	maxUnrecorded = 64
)

// all returns the steps of the occurrences that the job holds, in order.
func (j *job) all() iter.Seq[*step] {
	return func(yield func(*step) bool) {
		for _, k := range j.held() {
			for _, st := range j.steps[k] {
				if !yield(st) {
					return
				}
			}
		}
	}
}

// held returns the occurrences that the job holds, in order.
func (j *job) held() []int {
	if len(j.steps) == 1 { // that of a job without occurrences
		for k := range j.steps {
			return []int{k}
		}
	}
	return slices.Sorted(maps.Keys(j.steps))
}

// repeats reports whether the job has more than one occurrence.
func (j *job) repeats() bool { return j.spec.Occurrences() > 1 }

// begin makes the steps of an occurrence.
func (j *job) begin(occurrence int) []*step {
	steps := make([]*step, len(j.spec.Steps))
	all := make([]step, len(j.spec.Steps))
	for i := range all {
		spec := &j.spec.Steps[i]
		all[i] = step{job: j, occurrence: occurrence, index: i, spec: spec, left: spec.Count}
		steps[i] = &all[i]
	}
	j.steps[occurrence] = steps
	j.openSteps += len(steps)
	return steps
}

// beginDue begins the occurrences that are due, as far as the state of the job allows.
func (s *Scheduler) beginDue(j *job) {
	if j.phase.Final() || j.cancelled {
		return
	}
	for j.next < j.spec.Occurrences() && j.spec.Due(j.next) <= s.unixNow && j.mayBegin() {
		j.begin(j.next)
		s.advance(j, j.next)
		j.next++
	}
	if j.next < j.spec.Occurrences() {
		s.series[j.id] = j
	} else {
		delete(s.series, j.id)
	}
}

// mayBegin reports whether the job may hold a further occurrence. Those that wait are due later
// than others, which are complete first.
func (j *job) mayBegin() bool {
	return len(j.steps) == 0 || (len(j.steps)+1)*j.spec.ProgressBytes() <= workload.MaxProgressBytes
}

// stepOf returns a step of a known job, or nil. The step of an occurrence that is complete is made
// again, so that a run of it can be stopped.
func (s *Scheduler) stepOf(id workload.StepID) *step {
	j := s.jobs[id.Job]
	if j == nil || id.Occurrence >= j.spec.Occurrences() || id.Step >= len(j.spec.Steps) {
		return nil
	}
	steps := j.steps[id.Occurrence]
	switch {
	case steps != nil:
	case id.Occurrence < j.next || j.phase.Final():
		steps = j.begin(id.Occurrence)
		j.openSteps -= len(steps)
		for _, st := range steps {
			st.left = 0
		}
	case id.Occurrence-j.next >= maxUnrecorded || j.spec.Due(id.Occurrence) > s.unixNow:
		return nil
	default:
		for ; j.next <= id.Occurrence; j.next++ {
			steps = j.begin(j.next)
			s.advance(j, j.next)
		}
	}
	return steps[id.Step]
}

// dropOccurrence drops an occurrence once it is complete and idle.
func (j *job) dropOccurrence(occurrence int) {
	if !j.repeats() {
		return
	}
	for _, st := range j.steps[occurrence] {
		if st.left > 0 || len(st.tasks) > 0 {
			return
		}
	}
	delete(j.steps, occurrence)
}

// complete reports whether all occurrences are.
func (j *job) complete() bool { return j.openSteps == 0 && j.next >= j.spec.Occurrences() }

// isOpen reports whether an occurrence has begun and is not complete.
func (j *job) isOpen(occurrence int) bool {
	return slices.ContainsFunc(j.steps[occurrence], func(st *step) bool { return st.left > 0 })
}

// recordSeries completes the recorded state of a job that repeats.
func (j *job) recordSeries(out *ledger.JobState) {
	series := &ledger.Series{Next: j.next}
	for _, k := range j.held() {
		if j.isOpen(k) {
			series.Open = append(series.Open, k)
		}
	}
	out.Series = series
	out.Steps = slices.DeleteFunc(out.Steps, func(st ledger.StepState) bool { return !j.isOpen(st.Occurrence) })
	complete := j.next - len(series.Open)
	if complete*j.spec.ProgressBytes() > maxListedBytes {
		series.Unlisted = true
		return
	}
	for k := range j.next {
		if j.isOpen(k) {
			continue
		}
		for i := range j.spec.Steps {
			listed := ledger.StepState{Occurrence: k, Step: i}
			listed.SetAllDone(j.spec.Steps[i].Count)
			out.Steps = append(out.Steps, listed)
		}
	}
}

// restoreOccurrences begins the occurrences that the log shows as begun and not complete.
func (j *job) restoreOccurrences(recorded *ledger.JobState) {
	if series := recorded.Series; series != nil {
		j.next = min(series.Next, j.spec.Occurrences())
		for _, k := range series.Open {
			if k < j.next {
				j.begin(k)
			}
		}
		return
	}
	// The state of a former release lists each occurrence with a started task.
	complete := map[int]int{}
	for i := range recorded.Steps {
		r := &recorded.Steps[i]
		if r.Occurrence >= j.spec.Occurrences() || r.Step >= len(j.spec.Steps) {
			continue
		}
		j.next = max(j.next, r.Occurrence+1)
		if r.CountDone() >= j.spec.Steps[r.Step].Count {
			complete[r.Occurrence]++
		}
	}
	for k := range j.next {
		if complete[k] < len(j.spec.Steps) {
			j.begin(k)
		}
	}
}
