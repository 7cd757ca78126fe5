package scheduler

import (
	"cmp"
	"slices"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// lateFactor is the multiple of its objective after which a job's result has no value
// any more.
const lateFactor = 3

// rank is the sort key of steps; lower ranks are placed first.
type rank struct {
	overShare bool
	lateness  lateness
	priority  int
	// excess is how far the workspace exceeds its part of the service.
	excess int
	dueBy  state.Time
	id     workload.JobID
	step   int
}

// lateness is how a step's job stands to its objective if the step runs now.
type lateness uint8

const (
	onTime lateness = iota
	late
	// worthless: the job is later than lateFactor objectives.
	worthless
)

// background reports whether the step is placed only where the work of others leaves
// headroom.
func (a rank) background() bool { return a.lateness == worthless || a.overShare }

func (a rank) compare(b rank) int {
	return cmp.Or(
		cmp.Compare(boolInt(a.lateness == worthless), boolInt(b.lateness == worthless)),
		cmp.Compare(boolInt(a.overShare), boolInt(b.overShare)),
		cmp.Compare(a.lateness, b.lateness),
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.excess, b.excess),
		cmp.Compare(a.dueBy, b.dueBy),
		cmp.Compare(a.id, b.id),
		cmp.Compare(a.step, b.step),
	)
}

// rankOf ranks a step: jobs whose result still has a value first, then those within their
// workspace's share, then those that can still complete in time, then by priority, by how
// far the workspace exceeds its part of the service, and by the end of the objective.
func (s *Scheduler) rankOf(now state.Time, st *step) rank {
	j := st.job
	r := rank{overShare: j.overShare, dueBy: j.dueBy, id: j.id, step: st.index}
	if q := s.config.Queue(j.spec.Queue); q != nil {
		r.priority, r.excess = q.Priority, s.claimantOf(j).account.excess
	}
	if st.spec.LongRunning {
		if !st.preempted {
			r.priority = 0
		}
		return r
	}
	finish := now + s.expectedRunTime(st, nil)
	switch {
	case finish <= j.dueBy:
	case finish <= j.arrived+lateFactor*(j.dueBy-j.arrived):
		r.lateness = late
	default:
		r.lateness = worthless
	}
	return r
}

// rankedStep is a step with its rank in the current plan.
type rankedStep struct {
	rank rank
	step *step
}

// order returns the ready steps in the order in which they are placed.
func (s *Scheduler) order(now state.Time) []rankedStep {
	s.updateExcess()
	all := make([]rankedStep, 0, len(s.ready))
	for st := range s.ready {
		all = append(all, rankedStep{s.rankOf(now, st), st})
	}
	sortRanked(all)
	if s.promoteOverdue(now, all) {
		sortRanked(all)
	}
	return all
}

func sortRanked(all []rankedStep) {
	slices.SortFunc(all, func(a, b rankedStep) int {
		return cmp.Or(a.rank.compare(b.rank), cmp.Compare(a.step.occurrence, b.step.occurrence))
	})
}
