package scheduler

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/forecast"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// JobOutcome compares what was forecast of a job with what happened.
type JobOutcome struct {
	// Forecast is the decision that accepted the job.
	Forecast Admission
	// Start is the time from the submission to the first start of a task, or
	// forecast.Never if none was started; End that to the end of the job.
	Start, End time.Duration
}

// Foreseen reports whether the end was forecast.
func (o *JobOutcome) Foreseen() bool { return o.Forecast.End > 0 && o.Forecast.End != forecast.Never }

// noteOutcome keeps the outcome of a job that has ended until it is taken.
func (s *Scheduler) noteOutcome(now state.Time, j *job) {
	if j.admission == nil {
		return
	}
	o := JobOutcome{Forecast: *j.admission, Start: forecast.Never, End: now - j.arrived}
	if j.firstStart > 0 {
		o.Start = j.firstStart - j.arrived
	}
	s.admission.outcomes[j.id] = o
}

// TakeOutcome returns the outcome of a job that has ended, once. It reports false if this
// owner did not accept the job.
func (s *Scheduler) TakeOutcome(id workload.JobID) (JobOutcome, bool) {
	o, ok := s.admission.outcomes[id]
	delete(s.admission.outcomes, id)
	return o, ok
}
