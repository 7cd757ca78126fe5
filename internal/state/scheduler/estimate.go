package scheduler

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/runtimes"
)

// class returns what determines how long the step's tasks run, beside their upstream.
func (st *step) class() runtimes.Class {
	return runtimes.Class{Queue: string(st.job.spec.Queue), Image: st.spec.Image}
}

// expectedRunTime returns how long a task of the step is expected to run on an upstream,
// or on a usual one if u is nil.
func (s *Scheduler) expectedRunTime(st *step, u *upstream) time.Duration {
	estimate := st.spec.Estimate()
	if s.opts.RunTimes == nil {
		return estimate
	}
	var learned *runtimes.Upstream
	if u != nil {
		learned = u.learned
	}
	return time.Duration(float64(estimate) * s.opts.RunTimes.StepFactor(st.class(), &st.measured, learned))
}

// expectedRest returns how much longer a run is expected to take. It is at least 0.
func (s *Scheduler) expectedRest(now state.Time, r *run) time.Duration {
	st := r.task.step
	if s.opts.RunTimes != nil && st.spec.Gang {
		// All members end together.
		rest := time.Duration(0)
		for _, t := range st.tasks {
			for _, member := range t.runs {
				rest = max(rest, s.expectedOwnRest(now, member))
			}
		}
		return rest
	}
	return s.expectedOwnRest(now, r)
}

// expectedOwnRest returns how much longer a run is expected to take without regard to the
// other members of its gang.
func (s *Scheduler) expectedOwnRest(now state.Time, r *run) time.Duration {
	if total, ok := r.measure.total(r.progressAt, r.progress, minRestShare); ok && s.opts.RunTimes != nil {
		left := time.Duration(float64(total) * float64(100-r.progress) / 100)
		return max(0, left-(now-r.progressAt))
	}
	u, st := s.upstreams[r.Upstream], r.task.step
	expected := s.expectedRunTime(st, u)
	if u != nil {
		expected = time.Duration(float64(expected) * u.health.currentSlowness(now))
	}
	elapsed := state.Time(0)
	if r.startedAt > 0 {
		elapsed = now - r.startedAt
	}
	if s.opts.RunTimes == nil || expected <= 0 {
		return max(0, expected-elapsed)
	}
	return time.Duration(s.opts.RunTimes.Rest(st.class(), float64(elapsed)/float64(expected)) * float64(expected))
}

// chainAfter returns the declared run time of the longest chain of steps that follow a
// step.
func (j *job) chainAfter(step int) time.Duration {
	if j.following == nil {
		j.following = make([]time.Duration, len(j.spec.Steps))
		for i := len(j.spec.Steps) - 1; i >= 0; i-- {
			spec := &j.spec.Steps[i]
			for _, before := range spec.After {
				j.following[before] = max(j.following[before], spec.Estimate()+j.following[i])
			}
		}
	}
	return j.following[step]
}
