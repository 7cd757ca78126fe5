package scheduler

import (
	"math"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

const (
	// slownessWeight is the weight of the newest run in the moving average of an
	// upstream's slowness.
	slownessWeight = 0.3
	// slownessHalfLife is the half-life of the observed slowness. It decays so that a
	// slow upstream is tried again.
	slownessHalfLife = 8 * time.Second
	// faultPenalty is added to an upstream's cost for each recent fault.
	faultPenalty = 1.5
	// faultHalfLife is the half-life of an upstream's fault count.
	faultHalfLife = 4 * time.Second
	// avoidFaults is the number of recent faults at which an upstream gets no more
	// work. Once the count has decayed, the next run serves as a trial.
	avoidFaults = 2.2
	// maxSlowness caps the slowness observed in a single run.
	maxSlowness = 20
)

// health is the state of an upstream as derived from the outcomes of its runs.
type health struct {
	// slowness is the moving average of actual to declared run time; 0 before the first
	// observation.
	slowness   float64
	slownessAt state.Time
	faults     float64
	faultsAt   state.Time
}

func (h *health) observe(now state.Time, ratio float64) {
	ratio = min(max(ratio, 0.1), maxSlowness)
	current := h.currentSlowness(now)
	h.slowness = current + slownessWeight*(ratio-current)
	h.slownessAt = now
	h.faults, h.faultsAt = h.recentFaults(now)*0.5, now
}

func (h *health) fault(now state.Time, weight float64) {
	h.faults, h.faultsAt = h.recentFaults(now)+weight, now
}

// currentSlowness returns the slowness, decayed towards 1.
func (h *health) currentSlowness(now state.Time) float64 {
	if h.slowness == 0 {
		return 1
	}
	return 1 + (h.slowness-1)*decay(now-h.slownessAt, slownessHalfLife)
}

func (h *health) recentFaults(now state.Time) float64 {
	return h.faults * decay(now-h.faultsAt, faultHalfLife)
}

// cost returns the health part of an upstream's placement cost; lower is better.
func (h *health) cost(now state.Time) float64 {
	return h.currentSlowness(now) + faultPenalty*h.recentFaults(now)
}

func decay(age, halfLife state.Time) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
