package scheduler

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

// stopOnDraining stops the long-running and checkpointing runs that would not end
// before their draining upstream shuts down.
func (s *Scheduler) stopOnDraining(now state.Time) {
	for _, u := range s.upstreams {
		if !u.Draining || u.unreachable {
			continue
		}
		for _, r := range u.sortedRuns() {
			spec := r.task.step.spec
			if r.phase != running || s.endsBeforeDrained(now, u, r) {
				continue
			}
			if spec.LongRunning || spec.Checkpoints {
				s.stop(now, r, StopLeaving)
			}
		}
	}
}

// endsBeforeDrained reports whether a run is expected to end before its upstream shuts
// down.
func (s *Scheduler) endsBeforeDrained(now state.Time, u *upstream, r *run) bool {
	if r.task.step.spec.LongRunning {
		return false
	}
	return s.expectedRest(now, r) < time.Duration(u.RemainingMS)*time.Millisecond
}

const (
	// paceInterval is the shortest time between two pace changes of a run.
	paceInterval = 400 * time.Millisecond
	// Best-effort tasks are throttled while the tail latency of a serving task on the
	// same upstream is above paceDownAt of its target, and sped up below paceUpAt.
	paceDownAt, paceUpAt = 0.85, 0.5
	// paceUpStep is the increase per step when best-effort tasks are sped up, in
	// percent.
	paceUpStep = 10
	// minPace is the pace below which best-effort tasks are paused, in percent.
	minPace = 15
)

// pace throttles best-effort tasks that interfere with serving tasks.
func (s *Scheduler) pace(now state.Time, plan *Plan) {
	for _, u := range s.upstreams {
		if u.serving == 0 || u.bestEffortCPU == 0 || u.unreachable {
			continue
		}
		worst := 0.0
		for _, r := range u.runs {
			if target := r.task.step.spec.TargetMS; target > 0 && r.phase == running {
				worst = max(worst, float64(r.load)/float64(target))
			}
		}
		for _, r := range u.sortedRuns() {
			if r.task.step.spec.Fills && r.phase == running && now-r.pacedAt >= paceInterval {
				s.adjustPace(now, r, worst, plan)
			}
		}
	}
}

func (s *Scheduler) adjustPace(now state.Time, r *run, worst float64, plan *Plan) {
	next := r.pace
	switch {
	case worst > paceDownAt:
		next = r.pace / 2
		if next < minPace {
			next = 0
		}
	case worst < paceUpAt:
		next = min(100, r.pace+paceUpStep)
	}
	if next != r.pace {
		r.pace, r.pacedAt = next, now
		plan.Paces = append(plan.Paces, Pace{r.Run, next})
	}
}
