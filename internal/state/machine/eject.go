package machine

import (
	"math/bits"
	"strings"
	"time"
)

const (
	// maxOutcomes is how many recent outcomes of an upstream are judged.
	maxOutcomes = 16
	// failingWeight is the weight of the newest outcome in the average over
	// a service.
	failingWeight = 0.02
	// failingCommon is the share of fast failures over a whole service from
	// which on the work, not the upstream, is taken to be at fault.
	failingCommon = 0.5
)

// health is what is known of how the tasks of an upstream end.
type health struct {
	// outcomes has a bit for each recent outcome, set for a fast failure.
	outcomes uint16
	count    int
	ejected  bool
	// mayProbe says that one task may be tried.
	mayProbe bool
	wait     time.Duration
}

// observe takes in how an attempt ended on its upstream.
func (m *Machine) observe(a *attempt, ev Ended) {
	u := a.up
	switch ev.End {
	case EndSucceeded:
		m.outcome(a, false)
	case EndFailed:
		m.outcome(a, ev.Ran <= m.cfg.Ejection.Fast)
	case EndStopped, EndNotRun:
		if a.probe {
			m.probeAgain(u)
		}
	}
}

func (m *Machine) outcome(a *attempt, failed bool) {
	u := a.up
	s := m.service(u.service)
	bit := uint16(0)
	value := 0.0
	if failed {
		bit = 1
		value = 1
	}
	h := &u.health
	h.outcomes = h.outcomes<<1 | bit
	h.count = min(h.count+1, maxOutcomes)
	s.failing += failingWeight * (value - s.failing)
	switch {
	case a.probe && failed:
		m.probeAgain(u)
	case a.probe:
		m.readmit(u)
	case !h.ejected && m.shouldEject(u, s):
		m.eject(u, s)
	}
}

func (m *Machine) shouldEject(u *upstream, s *service) bool {
	e := m.cfg.Ejection
	h := u.health
	if h.count < e.MinOutcomes || s.failing > failingCommon {
		return false
	}
	recent := h.outcomes & (1<<h.count - 1)
	if float64(bits.OnesCount16(recent)) < e.FailedShare*float64(h.count) {
		return false
	}
	allowed := max(1, int(e.MaxShare*float64(s.upstreams)))
	return s.ejected < allowed && s.upstreams > 1
}

func (m *Machine) eject(u *upstream, s *service) {
	s.ejected++
	u.health.ejected = true
	u.health.wait = m.cfg.Ejection.ProbeBase
	m.scheduleProbe(u)
}

func (m *Machine) scheduleProbe(u *upstream) {
	u.health.mayProbe = false
	m.refreshReadiness(u)
	m.timers.add(&timer{at: m.now + u.health.wait, kind: timerProbe, up: u})
}

// probeAgain waits longer before the next task is tried.
func (m *Machine) probeAgain(u *upstream) {
	u.health.wait = min(2*u.health.wait, m.cfg.Ejection.ProbeMax)
	m.scheduleProbe(u)
}

func (m *Machine) probeDue(u *upstream) {
	if !u.health.ejected || m.upstreams[u.vm] != u {
		return
	}
	u.health.mayProbe = true
	m.refreshReadiness(u)
}

// probing marks the one task that is tried on an ejected upstream.
func (m *Machine) probing(a *attempt) {
	a.probe = true
	a.up.health.mayProbe = false
	m.refreshReadiness(a.up)
}

// readmit takes an ejected upstream into use again.
func (m *Machine) readmit(u *upstream) {
	m.service(u.service).ejected--
	u.health = health{}
	m.refreshReadiness(u)
}

func compareVM(a, b *upstream) int { return strings.Compare(string(a.vm), string(b.vm)) }
