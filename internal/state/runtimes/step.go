package runtimes

import (
	"math"
	"slices"
)

// Step holds the measured runs of a step's tasks, which share the error of their job's
// declaration. The zero value has none.
type Step struct {
	class *class
	runs  []measured
	// level and variance are the estimate of the class's factor times the job's error, as a
	// logarithm.
	level, variance float64
	// sum, weight and square are the step's part of its class.
	sum, weight, square float64
}

// measured is a run with its ratio of actual to declared time.
type measured struct {
	task int
	u    *Upstream
	log  float64
	// sum and weight are the run's part of its upstream.
	sum, weight float64
	// rest, precision and count are set while the runs are compared.
	rest, precision float64
	count           int
}

// Observe learns from a run on an upstream: ratio is the actual, or by its progress the
// expected, run time divided by the declared one. A later observation of a task replaces
// the earlier one.
func (m *Model) Observe(id Class, s *Step, task int, u *Upstream, ratio float64) {
	if !(ratio > 0) { // includes NaN
		return
	}
	if s.class == nil {
		s.class = m.class(id)
	}
	s.class.pool = u.kind.pool
	y := math.Log(min(max(ratio, minRatio), maxRatio))
	i := slices.IndexFunc(s.runs, func(r measured) bool { return r.task == task })
	switch {
	case i >= 0:
		s.runs[i].withdraw()
		s.runs[i].u, s.runs[i].log = u, y
	case len(s.runs) < maxCompared:
		s.runs = append(s.runs, measured{task: task, u: u, log: y})
	default:
		// The level is known well enough; only this run is compared with it.
		r := measured{u: u, log: y}
		r.contribute(s.level, s.variance, 1)
		s.note(m)
		return
	}
	s.compare()
	s.note(m)
}

// note refreshes the priors if that is due.
func (s *Step) note(m *Model) {
	if m.observed++; m.observed >= refreshInterval {
		m.refresh()
	}
}

// withdraw removes the run's part from its upstream.
func (r *measured) withdraw() {
	r.u.sum, r.u.weight = r.u.sum-r.sum, max(0, r.u.weight-r.weight)
	r.sum, r.weight = 0, 0
	r.u.estimate()
}

// contribute replaces the run's part of its upstream: the deviation from a level, which
// several runs of the step on the upstream share.
func (r *measured) contribute(level, variance float64, sharing int) {
	log, prior := r.u.without(r.sum, r.weight)
	deviation := r.log - level
	weight := regular(deviation-log, taskVariance+variance+prior) / (taskVariance + variance*float64(sharing))
	r.u.sum += weight*deviation - r.sum
	r.u.weight = max(0, r.u.weight+weight-r.weight)
	r.sum, r.weight = weight*deviation, weight
	r.u.estimate()
}

// compare estimates the step's level and each run's part of its upstream anew. A run is
// compared with those on other upstreams only: one on the same upstream would confirm
// whatever the model assumes about it.
func (s *Step) compare() {
	rests := make([]float64, 0, maxCompared)
	for i := range s.runs {
		s.runs[i].rest = s.runs[i].log - s.runs[i].u.log
		rests = append(rests, s.runs[i].rest)
	}
	slices.Sort(rests)
	median := (rests[(len(rests)-1)/2] + rests[len(rests)/2]) / 2
	sum, precision := 0.0, 0.0
	for i := range s.runs {
		r := &s.runs[i]
		variance := taskVariance + r.u.variance
		r.precision = 1 / variance
		if len(s.runs) > 2 {
			r.precision *= regular(r.rest-median, variance)
		}
		sum, precision = sum+r.precision*r.rest, precision+r.precision
	}
	s.contribute(sum, precision)
	prior, priorPrecision := s.class.log(), 1/s.class.spread()
	s.level = (sum + prior*priorPrecision) / (precision + priorPrecision)
	s.variance = 1 / (precision + priorPrecision)
	type part struct{ level, variance float64 }
	parts := make([]part, len(s.runs))
	for i := range s.runs {
		others, othersPrecision := sum, precision
		s.runs[i].count = 0
		for j := range s.runs {
			if r := &s.runs[j]; r.u == s.runs[i].u {
				others, othersPrecision = others-r.precision*r.rest, othersPrecision-r.precision
				s.runs[i].count++
			}
		}
		p := max(0, othersPrecision) + priorPrecision
		parts[i] = part{(others + prior*priorPrecision) / p, 1 / p}
	}
	for i := range s.runs {
		s.runs[i].contribute(parts[i].level, parts[i].variance, s.runs[i].count)
	}
}

// contribute replaces the step's part of its class.
func (s *Step) contribute(sum, precision float64) {
	c := s.class
	c.sum, c.weight, c.squares = c.sum-s.sum, max(0, c.weight-s.weight), max(0, c.squares-s.square)
	if s.weight > 0 {
		c.steps--
	}
	if precision <= 0 {
		s.sum, s.weight, s.square = 0, 0, 0
		return
	}
	level := sum / precision
	deviation := level - c.log()
	s.weight = 1 / (1/precision + c.spread())
	s.sum = s.weight * level
	s.square = max(0, min(deviation*deviation, 1)-1/precision)
	c.sum, c.weight, c.squares, c.steps = c.sum+s.sum, c.weight+s.weight, c.squares+s.square, c.steps+1
}

// StepFactor returns the expected ratio of actual to declared run time of the step's tasks
// on an upstream, or on the usual upstream of the pool if u is nil.
func (m *Model) StepFactor(id Class, s *Step, u *Upstream) float64 {
	if s.class == nil {
		s.class = m.class(id)
	}
	log := s.class.log()
	if len(s.runs) > 0 {
		log = s.level
	}
	if u != nil {
		log += u.log
	} else {
		log += s.class.usual()
	}
	return math.Exp(log)
}
