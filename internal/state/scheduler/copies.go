package scheduler

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

const (
	// copyDelay is the time until the start of a copy is recorded and sent.
	copyDelay = 100 * time.Millisecond
	// copiesAtOnce bounds the copies that one search starts in a service.
	copiesAtOnce = 2
	// Copies are started while at least a fifth of them end before the original; the first
	// freeCopies are started in any case. Where a task itself takes long, a copy takes as
	// long and only uses capacity.
	minCopyWins, freeCopies = 0.2, 10
)

// copyCount counts the copies of late tasks, and those that ended before the original.
type copyCount struct{ started, won int }

func (c copyCount) worthwhile() bool {
	return float64(c.won) >= minCopyWins*float64(c.started-freeCopies)
}

// Copy is the decision to start a second run of a late task.
type Copy struct {
	// Run is the copy, and Original the upstream of the run that is late.
	Run
	Original workload.UpstreamID
	// Rest is the expected rest of the original, CopyTime that of the copy, and Left the time
	// until the step must have ended.
	Rest, CopyTime, Left time.Duration
}

// copyLate starts a copy of each late task of speculative steps whose job ends in time if the
// copy runs as long as expected, and does not if it waits for the original. The first of the
// two that ends completes the task. The load in question has 3 of 100 runs that take seven
// times as long as others.
func (s *Scheduler) copyLate(now state.Time, pl *pool, plan *Plan) {
	left := copiesAtOnce
	for i := range pl.members {
		m := &pl.members[i]
		if left == 0 || !s.copies.worthwhile() {
			return
		}
		if !m.u.runsSpeculative() {
			continue
		}
		for _, r := range m.u.sortedRuns() {
			if left > 0 && r.task.step.spec.Speculative && s.copyIfLate(now, pl, m, r, plan) {
				left--
			}
		}
	}
}

// runsSpeculative reports whether any run belongs to a step that allows copies.
func (u *upstream) runsSpeculative() bool {
	for _, r := range u.runs {
		if r.task.step.spec.Speculative {
			return true
		}
	}
	return false
}

// copyIfLate starts a copy of a run's task if its job is in time by that only.
func (s *Scheduler) copyIfLate(now state.Time, pl *pool, from *member, r *run, plan *Plan) bool {
	st, t := r.task.step, r.task
	spec := st.spec
	_, known := r.measure.total(r.progressAt, r.progress, minRestShare)
	if !known || r.phase != running || r.progress >= 100 || len(t.runs) != 1 || t.done || t.copied || !t.crashes.Empty() || spec.Gang || spec.LongRunning || spec.Fills ||
		r.pace != 100 || st.job.phase.Final() || !s.withinMaximum(st.job.spec.Workspace, spec.Each) {
		return false
	}
	deadline, rest := s.stepDeadline(now, st), s.expectedOwnRest(now, r)
	if now+rest <= deadline {
		return false
	}
	target := s.fastestWithRoom(pl, from, r, nil, 0)
	q := s.config.Queue(st.job.spec.Queue)
	if target == nil || q == nil || t.attemptsUsed(q) || (q.Advice != nil && st.tickets[target.u.ID].validUntil <= now+ticketMargin) {
		return false
	}
	copyTime := time.Duration(float64(s.expectedRunTime(st, target.u))*target.slowness) + copyDelay
	if now+copyTime > deadline {
		return false
	}
	t.copied = true
	s.copies.started++
	p := placement{s: s, now: now, step: st, queue: q, pool: pl, plan: plan}
	number := s.nextRun(t.lastRun)
	p.assign(t, target.u, number)
	plan.Copies = append(plan.Copies, Copy{Run: Run{r.Task, number, target.u.ID}, Original: from.u.ID, Rest: rest, CopyTime: copyTime, Left: deadline - now})
	return true
}

// stopCopies stops the other runs of a task that one run has completed.
func (s *Scheduler) stopCopies(now state.Time, t *task) {
	if !t.step.spec.Speculative {
		return
	}
	for _, r := range append([]*run(nil), t.runs...) {
		if r.phase == finished {
			if t.copied && r == t.runs[len(t.runs)-1] && len(t.runs) > 1 {
				s.copies.won++
			}
			continue
		}
		s.stop(now, r, StopJobEnded)
	}
}
