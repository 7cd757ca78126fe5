package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/evacuation"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// domainMoveInterval is the time between two decisions about long-running runs in evacuated
// domains. A stop takes 200 ms or more, so deciding in every plan gains nothing.
const domainMoveInterval = 50 * time.Millisecond

// DomainMove is a long-running run that is stopped because its failure domain is evacuated.
type DomainMove struct {
	Run
	Domain state.DomainID
	// MayMiss and Interrupted are those of the step before the move.
	MayMiss, Interrupted int
	// Working says that the task was at work.
	Working bool
}

// leavingStep is a long-running step with runs in evacuated domains.
type leavingStep struct {
	step          *step
	working, idle []*run
	interrupted   int
}

// moveOut stops long-running runs in evacuated domains as far as the steps may miss tasks and
// the other domains have capacity. Their tasks are placed again once the upstreams list the
// ends.
func (s *Scheduler) moveOut(now state.Time, plan *Plan) {
	if s.evacuated.Len() == 0 || now-s.movedOutAt < domainMoveInterval {
		return
	}
	s.movedOutAt = now
	byService := map[workload.ServiceName][]*leavingStep{}
	for _, l := range s.leavingSteps() {
		if q := s.config.Queue(l.step.job.spec.Queue); q != nil {
			byService[q.Service] = append(byService[q.Service], l)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(byService)) {
		s.moveOutOfService(now, s.pool(now, name), byService[name], plan)
	}
}

// leavingSteps returns the long-running steps with runs in evacuated domains in the order of
// their jobs.
func (s *Scheduler) leavingSteps() []*leavingStep {
	steps := map[*step]*leavingStep{}
	var out []*leavingStep
	for _, u := range s.upstreams {
		if !s.isEvacuated(u) || u.unreachable {
			continue
		}
		for _, r := range u.runs {
			st := r.task.step
			if !st.spec.LongRunning || st.spec.Gang || r.phase != running {
				continue // a gang would have to be moved as a whole; it stays
			}
			l := steps[st]
			if l == nil {
				l = &leavingStep{step: st}
				steps[st] = l
				out = append(out, l)
			}
			if r.working() {
				l.working = append(l.working, r)
			} else {
				l.idle = append(l.idle, r)
			}
		}
	}
	byIndex := func(a, b *run) int { return cmp.Compare(a.Task.Index, b.Task.Index) }
	for _, l := range out {
		slices.SortFunc(l.working, byIndex)
		slices.SortFunc(l.idle, byIndex)
	}
	slices.SortFunc(out, func(a, b *leavingStep) int {
		return cmp.Or(cmp.Compare(a.step.job.id, b.step.job.id), cmp.Compare(a.step.occurrence, b.step.occurrence), cmp.Compare(a.step.index, b.step.index))
	})
	return out
}

// working reports whether the run of a long-running task is at work.
func (r *run) working() bool { return r.phase == running && r.progress >= 100 }

func (s *Scheduler) moveOutOfService(now state.Time, pl *pool, leaving []*leavingStep, plan *Plan) {
	free := make([]state.Vector, len(pl.members))
	for i := range pl.members {
		if m := &pl.members[i]; !m.reserved {
			free[i] = withSlots(m.u.free())
		}
	}
	services := make([]evacuation.Service, len(leaving))
	for i, l := range leaving {
		services[i] = l.describe(pl)
	}
	for i, move := range evacuation.Moves(free, services) {
		l := leaving[i]
		for _, r := range append(l.idle[:move.Idle:move.Idle], l.working[:move.Working]...) {
			u := s.upstreams[r.Upstream]
			plan.DomainMoves = append(plan.DomainMoves, DomainMove{Run: r.Run, Domain: u.Domain, MayMiss: l.step.spec.MayMiss, Interrupted: l.interrupted, Working: r.working()})
			s.stop(now, r, StopEvacuated)
		}
	}
}

// describe describes a step for the decision, with its places among the members of a pool.
func (l *leavingStep) describe(pl *pool) evacuation.Service {
	st := l.step
	sv := evacuation.Service{Demand: st.spec.Demand(), MayMiss: st.spec.MayMiss, Working: len(l.working), Idle: len(l.idle), Places: make([]int, len(pl.members))}
	sv.Interrupted, sv.Waiting = st.untouched(), st.untouched()
	for _, t := range st.tasks {
		if t.done {
			continue
		}
		if !slices.ContainsFunc(t.runs, (*run).working) {
			sv.Interrupted++
		}
		if !slices.ContainsFunc(t.runs, func(r *run) bool { return r.phase != stopping && r.phase != finished }) {
			sv.Waiting++
		}
	}
	l.interrupted = sv.Interrupted
	for i := range pl.members {
		u := pl.members[i].u
		if tk, known := st.tickets[u.ID]; !st.allows(u) || (known && !tk.allowed) {
			continue
		}
		sv.Places[i] = st.spec.Count
		if per := st.spec.MaxPerUpstream; per > 0 {
			sv.Places[i] = max(0, per-st.perUpstream[u.ID])
		}
	}
	return sv
}
