package scheduler

import (
	"math"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

const (
	// speedStep is the resolution of the speeds in the placement; smaller differences are
	// within the error of what was learned after 20 runs.
	speedStep = 0.1
	// minSpeedRange is the least difference between the slowest and the fastest upstream at
	// which speeds matter.
	minSpeedRange = 0.15
	// urgentSpeedCost is the cost of a doubled run time for work that needs a fast upstream,
	// slackSpeedGain what work with slack gains by leaving a fast upstream to others. The
	// latter is less than the cost of data on another rack.
	urgentSpeedCost, slackSpeedGain = 1.0, 0.3
	// gangSpeedCost is the cost of a doubled run time for gangs. It is below
	// acceleratorPackCost, because gangs gain more from whole free upstreams.
	gangSpeedCost = 0.3
	// slackMargin is how much more time than expected a step must have on the slowest
	// upstream to count as one with slack: declarations are off by up to half, and tasks of
	// a step differ by up to 30 percent.
	slackMargin = 1.95
	// spreadMargin is how much longer than expected the slowest of a step's tasks takes:
	// with 10 tasks that spread by 20 percent, about a third.
	spreadMargin = 1.3
)

// speedPolicy is how the speed of upstreams counts in the placement of a step.
type speedPolicy struct {
	// weight multiplies the speed factor: above 0 for work that needs fast upstreams, below
	// 0 for work with slack.
	weight float64
	// slowest is the largest factor of an upstream that may run the step; 0 for any.
	slowest float64
}

func (p speedPolicy) cost(m *member) float64 { return p.weight * m.speed }

// tooSlow reports whether the step should rather wait than run on an upstream.
func (p speedPolicy) tooSlow(m *member) bool { return p.slowest > 0 && m.speed*m.slowness > p.slowest }

// speed returns the rounded factor by which tasks run longer than on a usual upstream.
func (u *upstream) speed() float64 {
	if u.learned == nil {
		return 1
	}
	factor, _ := u.learned.Factor()
	return math.Round(factor/speedStep) * speedStep
}

// fewUpstreams is the share of a pool's upstreams that may be faster, or slower, than the
// bounds of its speeds: work can't wait for the only fast upstream.
const fewUpstreams = 0.05

// boundSpeeds sets the bounds of the members' speeds.
func (p *pool) boundSpeeds() {
	const steps = 64
	var count [steps]int
	for i := range p.members {
		count[min(int(math.Round(p.members[i].speed/speedStep)), steps-1)]++
	}
	few := int(fewUpstreams * float64(len(p.members)))
	for i, n := 0, 0; i < steps; i++ {
		if n += count[i]; n > few {
			p.fastest = float64(i) * speedStep
			break
		}
	}
	for i, n := steps-1, 0; i >= 0; i-- {
		if n += count[i]; n > few {
			p.slowest = float64(i) * speedStep
			break
		}
	}
}

// speedPolicy returns how the speed of upstreams counts in the placement of a step. Work
// that can end within its objective only on a fast upstream goes there, and rather waits
// for one than run on a slow one, as long as waiting leaves it on time. Work that ends in
// time on a slow upstream, or is late on any, leaves the fast ones to others. Gangs always
// prefer fast upstreams, because a whole gang waits for its slowest member.
func (s *Scheduler) speedPolicy(now state.Time, st *step, pl *pool) speedPolicy {
	policy := s.speedPolicyOf(now, st, pl)
	if st.heldBack && policy.slowest == 0 {
		st.heldBack, st.scannedTo = false, 0 // consider the slow upstreams again
	}
	return policy
}

func (s *Scheduler) speedPolicyOf(now state.Time, st *step, pl *pool) speedPolicy {
	if s.opts.RunTimes == nil || pl.slowest-pl.fastest < minSpeedRange {
		return speedPolicy{}
	}
	slack := speedPolicy{weight: -slackSpeedGain}
	urgent := speedPolicy{weight: urgentSpeedCost}
	if st.spec.LongRunning {
		if st.spec.TargetMS > 0 {
			return speedPolicy{}
		}
		return slack
	}
	if st.spec.Gang {
		return speedPolicy{weight: gangSpeedCost}
	}
	usual := s.expectedRunTime(st, nil)
	if usual <= 0 {
		return speedPolicy{}
	}
	j := st.job
	after := time.Duration(float64(j.chainAfter(st.index)) * float64(usual) / float64(st.spec.Estimate()))
	// factorUntil returns the largest factor of an upstream on which the step is expected to
	// end early enough for its job to end at a time.
	factorUntil := func(end state.Time) float64 { return float64(end-now-after) / float64(usual) }
	limit := factorUntil(j.dueBy)
	isLate := limit < pl.fastest
	if isLate {
		limit = factorUntil(j.arrived + lateFactor*(j.dueBy-j.arrived))
	}
	switch {
	case limit >= slackMargin*pl.slowest:
		return slack
	case !isLate && limit >= spreadMargin*pl.fastest && st.spec.Constraint == "":
		urgent.slowest = limit / spreadMargin
	}
	return urgent
}

// chooseSimilar returns an upstream for each task of a gang, or nil if one can't be placed.
// It finds how slow the slowest member has to be, and then takes the slowest upstreams that
// are no slower: faster ones would only wait for it.
func (p *placement) chooseSimilar(members int, candidates []candidate) []*upstream {
	chosen := p.chooseUpstreams(members, candidates)
	if chosen == nil || p.speed.weight == 0 {
		return chosen
	}
	slowest := 0.0
	for _, u := range chosen {
		slowest = max(slowest, u.member.speed)
	}
	similar := make([]candidate, 0, len(candidates))
	for _, c := range candidates {
		if c.u.member.speed <= slowest {
			c.cost -= (p.speed.weight + slackSpeedGain) * c.u.member.speed
			similar = append(similar, c)
		}
	}
	if better := p.chooseUpstreams(members, similar); better != nil {
		return better
	}
	return chosen
}
