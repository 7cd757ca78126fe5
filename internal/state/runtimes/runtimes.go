// Package runtimes learns how long tasks run. The ratio of actual to declared run time is
// modelled as a product: a factor of the class (queue and image), an error of each job's
// declaration, a factor of the upstream, and a spread between the tasks of a step. The load
// in question has declarations that are off by up to half, upstreams at 0.55 or 1.2 of the
// nominal speed and 3 of 100 tasks that run seven times as long as their siblings.
//
// The tasks of one step share the error of the declaration, so that comparing them reveals
// the factors of their upstreams. All factors are estimated as logarithms, with variances,
// and are shrunk towards their priors: an upstream towards its kind, a kind towards all
// upstreams of its pool, a class towards the declaration.
//
// A Model has no clock, does no I/O and is not safe for concurrent use.
package runtimes

import (
	"maps"
	"math"
	"slices"
)

// Class identifies what runs.
type Class struct{ Queue, Image string }

const (
	// taskVariance is the variance of the logarithm of run times between the tasks of a
	// step on the same upstream: a spread of 15 to 30 percent.
	taskVariance = 0.22 * 0.22
	// jobVariance is the assumed variance of the logarithm of a job's error, before any
	// was observed: declarations are off by up to half.
	jobVariance = 0.28 * 0.28
	// classVariance is the prior variance of a class's factor.
	classVariance = 0.2 * 0.2
	// upstreamVariance is the prior variance of an upstream's factor: known deployments
	// have upstreams at 0.55 to 1.3 of the nominal speed.
	upstreamVariance = 0.3 * 0.3
	// outlierDensity is the probability density, by logarithm of the run time, of the tasks
	// that follow no spread: 5 of 100, evenly over a factor of 50.
	outlierDensity = 0.05 / 4
	// minRatio and maxRatio bound a single observation.
	minRatio, maxRatio = 0.05, 50
	// maxCompared bounds the runs of a step that are compared with each other, and with
	// them the time that an observation takes.
	maxCompared = 24
	// refreshInterval is the number of observations between two estimates of the kinds.
	refreshInterval = 64
)

// Model holds what was learned about classes and upstreams.
type Model struct {
	classes   map[Class]*class
	upstreams map[string]*Upstream
	// ordered holds the upstreams in a fixed order, so that sums over them do not depend on
	// that of a map.
	ordered []*Upstream
	kinds   map[kindKey]*kind
	pools   map[string]*pool
	// gone counts the upstreams that are gone.
	gone int
	// observed counts the observations since the kinds were last estimated.
	observed int
	// restoredClasses and restoredUpstreams hold, by the hashes of their names, what a record
	// has of classes and upstreams that were not seen yet.
	restoredClasses, restoredUpstreams map[uint32]learned
}

// New returns a Model that has learned nothing: all factors are 1.
func New() *Model {
	return &Model{classes: map[Class]*class{}, upstreams: map[string]*Upstream{}, kinds: map[kindKey]*kind{}, pools: map[string]*pool{}}
}

// class is the factor of what runs. Its observations are the levels of steps.
type class struct {
	// sum and weight hold the weighted levels; squares holds their squared deviations from
	// the factor and steps their number.
	sum, weight    float64
	squares, steps float64
	rest           distribution
	// pool is that of the newest upstream that ran the class, or nil.
	pool *pool
}

// usual returns the mean of the factors of the upstreams that run the class.
func (c *class) usual() float64 {
	if c.pool == nil {
		return 0
	}
	return c.pool.mean
}

func (c *class) log() float64 { return c.sum / (c.weight + 1/classVariance) }

// spread returns the variance of the steps' levels, which is that of the jobs' errors.
func (c *class) spread() float64 {
	const assumed = 6 // number of steps that the assumed variance counts for
	return (assumed*jobVariance + c.squares) / (assumed + c.steps)
}

// maxClasses bounds the classes that are told apart, since callers choose the images.
const maxClasses = 2000

func (m *Model) class(id Class) *class {
	c := m.classes[id]
	if c == nil && len(m.classes) >= maxClasses {
		id.Image = ""
		c = m.classes[id]
	}
	if c == nil {
		c = &class{}
		m.classes[id] = c
		m.restoreClass(id, c)
	}
	return c
}

// Upstream is the factor of an upstream's incarnation.
type Upstream struct {
	id          string
	incarnation int64
	kind        *kind
	// sum and weight hold the weighted observations.
	sum, weight float64
	// log and variance are the estimate, which includes the prior, and factor is its
	// exponential relative to the pool's mean.
	log, variance, factor float64
	// gone is set while the upstream is not registered.
	gone bool
	// encoded is set once a record holds the upstream, with encodedLog as the estimate.
	encoded    bool
	encodedLog float64
}

// estimate combines the observations with the prior.
func (u *Upstream) estimate() {
	precision := u.weight + 1/u.kind.variance
	u.log = (u.sum + u.kind.mean/u.kind.variance) / precision
	u.variance = 1 / precision
	u.factor = math.Exp(u.log - u.kind.pool.mean)
}

// without returns the estimate without one observation.
func (u *Upstream) without(sum, weight float64) (log, variance float64) {
	precision := max(0, u.weight-weight) + 1/u.kind.variance
	return (u.sum - sum + u.kind.mean/u.kind.variance) / precision, 1 / precision
}

// Factor returns how much longer than on the usual upstream of its pool tasks run on this
// one, and the confidence in it from 0 to 1. It is 1 before anything was learned.
func (u *Upstream) Factor() (factor, confidence float64) {
	return u.factor, max(0, 1-u.variance/upstreamVariance)
}

// Upstream returns the upstream with an ID. A new incarnation starts from the prior of its
// kind, which is a label; the pool is the service that the upstream belongs to.
func (m *Model) Upstream(id string, incarnation int64, pool, label string) *Upstream {
	u := m.upstreams[id]
	if u != nil && u.gone {
		u.gone = false
		m.gone--
	}
	if u != nil && u.incarnation == incarnation && u.kind.key == (kindKey{pool, label}) {
		return u
	}
	former := u
	u = &Upstream{id: id, incarnation: incarnation, kind: m.kind(kindKey{pool, label})}
	m.upstreams[id] = u
	if i := slices.Index(m.ordered, former); former != nil && i >= 0 {
		m.ordered[i] = u
	} else {
		m.ordered = append(m.ordered, u)
	}
	m.restoreUpstream(u)
	u.estimate()
	return u
}

// minGone is the number of upstreams that are gone and kept at least.
const minGone = 64

// Remove records that an upstream is gone. What was learned about it is kept for a while,
// since registrations also expire while the log does not respond.
func (m *Model) Remove(id string) {
	u := m.upstreams[id]
	if u == nil || u.gone {
		return
	}
	u.gone = true
	if m.gone++; m.gone > minGone+len(m.upstreams)/2 {
		maps.DeleteFunc(m.upstreams, func(_ string, u *Upstream) bool { return u.gone })
		m.ordered = slices.DeleteFunc(m.ordered, func(u *Upstream) bool { return u.gone })
		m.gone = 0
	}
}

// Factor returns the expected ratio of actual to declared run time of a class on an
// upstream, or on the usual upstream of its pool if u is nil, and the confidence in the
// upstream's part.
func (m *Model) Factor(id Class, u *Upstream) (factor, confidence float64) {
	c := m.classes[id]
	if c == nil {
		c = &class{}
	}
	if u == nil {
		return math.Exp(c.log() + c.usual()), 0
	}
	_, confidence = u.Factor()
	return math.Exp(c.log() + u.log), confidence
}

// regular returns the probability that a deviation belongs to the usual spread, whose
// variance is given, and is no outlier.
func regular(deviation, variance float64) float64 {
	density := 0.95 / math.Sqrt(2*math.Pi*variance) * math.Exp(-deviation*deviation/(2*variance))
	return density / (density + outlierDensity)
}
