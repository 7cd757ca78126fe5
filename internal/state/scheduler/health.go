package scheduler

import (
	"math"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

const (
	// slownessWeight is the share of the newest run in an upstream's slowness.
	slownessWeight = 0.3
	// slownessHalfLife is how long it takes until half of what was learnt of an
	// upstream's speed is forgotten, so that it is tried again.
	slownessHalfLife = 8 * time.Second
	// faultPenalty is added to an upstream's cost for each recent fault.
	faultPenalty = 1.5
	// faultHalfLife is how long it takes until half of the faults are forgotten.
	faultHalfLife = 4 * time.Second
	// avoidFaults is the number of recent faults from which an upstream gets no
	// work but a trial run.
	avoidFaults = 2.2
	// maxSlowness bounds the factor that one run can show.
	maxSlowness = 20
)

// health is what the outcomes of runs say about an upstream.
type health struct {
	// slowness is the ratio of measured to declared run time.
	slowness float64
	at       state.Time
	faults   float64
	faultsAt state.Time
}

func (h *health) observe(now state.Time, ratio float64) {
	ratio = min(max(ratio, 0.1), maxSlowness)
	current := h.slow(now)
	h.slowness = current + slownessWeight*(ratio-current)
	h.at = now
	h.faults, h.faultsAt = h.recentFaults(now)*0.5, now
}

func (h *health) fault(now state.Time, weight float64) {
	h.faults, h.faultsAt = h.recentFaults(now)+weight, now
}

// slow returns the slowness, decayed towards 1.
func (h *health) slow(now state.Time) float64 {
	if h.slowness == 0 {
		return 1
	}
	return 1 + (h.slowness-1)*decay(now-h.at, slownessHalfLife)
}

func (h *health) recentFaults(now state.Time) float64 {
	return h.faults * decay(now-h.faultsAt, faultHalfLife)
}

// cost orders upstreams; less is better.
func (h *health) cost(now state.Time) float64 {
	return h.slow(now) + faultPenalty*h.recentFaults(now)
}

func decay(age, halfLife state.Time) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
