package scheduler

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

const (
	// moveInterval is the time between two searches for runs to move.
	moveInterval = 250 * time.Millisecond
	// moveCost is the time that a move takes: stopping a run takes up to 900 ms, starting and
	// resuming up to 700 ms.
	moveCost = 1600 * time.Millisecond
	// moveHold is how long a moved task waits for an upstream that is fast enough, from the
	// stop on.
	moveHold = 4 * time.Second
	// maxMoves bounds the moves of a task, and movesAtOnce those of one search.
	maxMoves, movesAtOnce = 2, 4
	// minMoveSpeedup is the least ratio of the speeds of two upstreams at which a run is
	// moved from one to the other.
	minMoveSpeedup = 1.25
)

// Move is the decision to move a run.
type Move struct {
	Run
	// Target is the upstream whose room and speed the decision is based on; the task may
	// resume on another one that is as fast.
	Target workload.UpstreamID
	// Rest is the expected rest of the run where it is, MovedRest that after the move, and
	// Left the time until the step must have ended.
	Rest, MovedRest, Left time.Duration
	// Percent is the progress of the run.
	Percent int
}

// move is the state of a task that was moved.
type move struct {
	count int
	// slowest is the largest factor of an upstream that the task may resume on before the
	// time until.
	slowest float64
	until   state.Time
}

// tooSlow reports whether a moved task should rather wait than resume on an upstream.
func (m *move) tooSlow(now state.Time, on *member) bool {
	return now < m.until && on.speed*on.slowness > m.slowest
}

// moveLate stops runs that will end too late where they are, so that they resume from their
// checkpoint on a faster upstream and end in time. The load in question has tasks that take
// seven times as long as others on upstreams at half the usual speed.
func (s *Scheduler) moveLate(now state.Time, plan *Plan) {
	if s.opts.RunTimes == nil || now < s.nextMoves {
		return
	}
	s.nextMoves = now + moveInterval
	for _, service := range s.config.Services {
		pl := s.pool(now, service.Name)
		s.copyLate(now, pl, plan)
		if pl.fastest*minMoveSpeedup > pl.slowest {
			continue
		}
		free := map[workload.UpstreamID]state.Vector{}
		left := movesAtOnce
		for i := range pl.members {
			m := &pl.members[i]
			if m.speed < pl.fastest*minMoveSpeedup || len(m.u.runs) == 0 {
				continue
			}
			for _, r := range m.u.sortedRuns() {
				if left == 0 {
					break
				}
				if move, moved := s.moveIfLate(now, pl, m, r, free); moved {
					plan.Moves = append(plan.Moves, move)
					left--
				}
			}
		}
	}
}

// movable reports whether a run may be moved and its rest is known by its progress.
func (r *run) movable() bool {
	spec := r.task.step.spec
	_, known := r.measure.total(r.progressAt, r.progress, minRestShare)
	return known && r.phase == running && r.progress < 100 && spec.Checkpoints && !spec.LongRunning && !spec.Gang && !spec.Fills &&
		r.task.moves.count < maxMoves && len(r.task.runs) == 1 && r.pace == 100 && !r.task.step.job.phase.Final()
}

// moveIfLate moves a run if its job ends in time with the move, and does not without. free
// holds what earlier moves of the same search left on their targets.
func (s *Scheduler) moveIfLate(now state.Time, pl *pool, from *member, r *run, free map[workload.UpstreamID]state.Vector) (Move, bool) {
	if !r.movable() {
		return Move{}, false
	}
	st := r.task.step
	deadline, rest := s.stepDeadline(now, st), s.expectedOwnRest(now, r)
	if now+rest <= deadline {
		return Move{}, false
	}
	target := s.fastestWithRoom(pl, from, r, free, minMoveSpeedup)
	if target == nil {
		return Move{}, false
	}
	moved := time.Duration(float64(rest)*target.speed*target.slowness/(from.speed*from.slowness)) + moveCost
	if now+moved > deadline || s.othersLate(now, st, r, deadline) {
		return Move{}, false
	}
	free[target.u.ID] = roomOn(target, free).Sub(st.spec.Demand())
	r.task.avoid = from.u.ID
	r.task.moves = move{count: r.task.moves.count + 1, slowest: target.speed*target.slowness + speedStep/2, until: now + moveHold}
	s.stop(now, r, StopMoved)
	return Move{Run: r.Run, Target: target.u.ID, Rest: rest, MovedRest: moved, Left: deadline - now, Percent: r.progress}, true
}

// stepDeadline returns when a step must end so that its job ends within its objective, or,
// if that has passed, while its result still has a value.
func (s *Scheduler) stepDeadline(now state.Time, st *step) state.Time {
	j := st.job
	after := j.chainAfter(st.index)
	if j.dueBy-after > now {
		return j.dueBy - after
	}
	return j.arrived + lateFactor*(j.dueBy-j.arrived) - after
}

// fastestWithRoom returns the fastest other upstream with room for a run that is allowed for
// it and faster by a ratio, or nil.
func (s *Scheduler) fastestWithRoom(pl *pool, from *member, r *run, free map[workload.UpstreamID]state.Vector, speedup float64) *member {
	st := r.task.step
	q := s.config.Queue(st.job.spec.Queue)
	if q == nil {
		return nil
	}
	var best *member
	for i := range pl.members {
		m := &pl.members[i]
		switch {
		case m == from || m.reserved || !st.allows(m.u) || !st.spec.Demand().Fits(roomOn(m, free)):
		case q.Advice != nil && !st.tickets[m.u.ID].allowed:
		case st.dataCost(m.u) > st.dataCost(from.u):
		case st.spec.MaxPerUpstream > 0 && st.perUpstream[m.u.ID] >= st.spec.MaxPerUpstream:
		case m.speed*m.slowness*speedup > from.speed*from.slowness:
		case best == nil || m.speed*m.slowness < best.speed*best.slowness:
			best = m
		}
	}
	return best
}

// roomOn returns the capacity that is free on an upstream after earlier moves to it.
func roomOn(m *member, free map[workload.UpstreamID]state.Vector) state.Vector {
	if left, ok := free[m.u.ID]; ok {
		return left
	}
	return withSlots(m.u.free())
}

// othersLate reports whether another run of the step ends after a deadline and can't be
// moved, so that moving one would gain nothing.
func (s *Scheduler) othersLate(now state.Time, st *step, except *run, deadline state.Time) bool {
	for _, t := range st.tasks {
		for _, r := range t.runs {
			if r != except && !r.movable() && r.phase == running && now+s.expectedOwnRest(now, r) > deadline {
				return true
			}
		}
	}
	return false
}
