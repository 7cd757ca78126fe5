package machine

import (
	"math/bits"
	"strings"
	"time"
)

const (
	// maxOutcomes is how many recent outcomes of an upstream are considered.
	maxOutcomes = 16
	// failureRateWeight is the weight of the newest outcome in the moving average over
	// a service.
	failureRateWeight = 0.02
	// maxServiceFailureRate is the fraction of fast failures over a whole service above
	// which no upstream is ejected, because the tasks rather than the upstream are
	// assumed to be at fault.
	maxServiceFailureRate = 0.5
)

// health is the recent history of task outcomes on an upstream.
type health struct {
	// outcomes has one bit per recent outcome, set for a fast failure.
	outcomes uint16
	count    int
	ejected  bool
	// mayProbe is set when one task may be started as a probe.
	mayProbe  bool
	probeWait time.Duration
}

// observeEnd records the outcome of an attempt for the health of its upstream.
func (m *Machine) observeEnd(a *attempt, ev Ended) {
	u := a.up
	switch ev.End {
	case EndSucceeded:
		m.recordOutcome(a, false)
	case EndFailed:
		m.recordOutcome(a, ev.Ran <= m.cfg.Ejection.FastFailure)
	case EndStopped, EndNotRun:
		if a.probe {
			m.backOffProbe(u)
		}
	}
}

func (m *Machine) recordOutcome(a *attempt, failed bool) {
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
	s.failureRate += failureRateWeight * (value - s.failureRate)
	switch {
	case a.probe && failed:
		m.backOffProbe(u)
	case a.probe:
		m.readmit(u)
	case !h.ejected && m.shouldEject(u, s):
		m.eject(u, s)
	}
}

func (m *Machine) shouldEject(u *upstream, s *service) bool {
	e := m.cfg.Ejection
	h := u.health
	if h.count < e.MinOutcomes || s.failureRate > maxServiceFailureRate {
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
	u.health.probeWait = m.cfg.Ejection.ProbeBase
	m.scheduleProbe(u)
}

func (m *Machine) scheduleProbe(u *upstream) {
	u.health.mayProbe = false
	m.refreshReadiness(u)
	m.timers.add(&timer{at: m.now + u.health.probeWait, kind: timerProbe, up: u})
}

// backOffProbe doubles the wait before the next probe.
func (m *Machine) backOffProbe(u *upstream) {
	u.health.probeWait = min(2*u.health.probeWait, m.cfg.Ejection.ProbeMax)
	m.scheduleProbe(u)
}

func (m *Machine) probeDue(u *upstream) {
	if !u.health.ejected || m.upstreams[u.vm] != u {
		return
	}
	u.health.mayProbe = true
	m.refreshReadiness(u)
}

// markProbe marks an attempt as the single probe of an ejected upstream.
func (m *Machine) markProbe(a *attempt) {
	a.probe = true
	a.up.health.mayProbe = false
	m.refreshReadiness(a.up)
}

// readmit ends the ejection of an upstream and clears its history.
func (m *Machine) readmit(u *upstream) {
	m.service(u.service).ejected--
	u.health = health{}
	m.refreshReadiness(u)
}

func compareVM(a, b *upstream) int { return strings.Compare(string(a.vm), string(b.vm)) }
