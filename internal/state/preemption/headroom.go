package preemption

import (
	"math"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

const (
	// meanMemory is the time constant of the mean demand. It is short, so that capacity is
	// given back soon after a burst.
	meanMemory = 2 * time.Second
	// variationMemory is the time constant of the variation around the mean.
	variationMemory = 8 * time.Second
	// outlier is the number of standard deviations to which a deviation is cut off, and
	// outlierFloor the same as a share of the mean. The forecast serves bursts; the
	// variation of the usual demand must not keep them in mind.
	outlier      = 2.5
	outlierFloor = 0.5
	// deviations is the number of standard deviations of the demand that are kept free.
	// The demand is above the mean by more for one fortieth of the time.
	deviations = 2.0
	// samplesPerHorizon bounds the samples that are kept.
	samplesPerHorizon = 16
)

// Headroom estimates the demand of urgent work over the next horizon, the time that a stop
// takes, from the demand so far. Demand is the capacity that the work uses or waits for.
type Headroom struct {
	seen           bool
	first, at      state.Time
	mean, variance amounts
	current        amounts
	samples        []sample
	growth         amounts
}

// amounts holds processors, memory and accelerators.
type amounts [3]float64

type sample struct {
	at     state.Time
	demand amounts
}

func fromVector(v state.Vector) amounts {
	return amounts{float64(v.CPUMilli), float64(v.MemoryMB), float64(v.Accelerators)}
}

func (a amounts) vector() state.Vector {
	return state.Vector{CPUMilli: int64(math.Ceil(a[0])), MemoryMB: int64(math.Ceil(a[1])), Accelerators: int64(math.Ceil(a[2]))}
}

// Observe adds the demand at a time.
func (h *Headroom) Observe(now state.Time, demand state.Vector, horizon time.Duration) {
	d := fromVector(demand)
	if !h.seen {
		h.seen, h.first, h.mean = true, now, d
	}
	// Until there is as much history as the time constant, all of it has the same weight.
	weight := func(memory time.Duration) float64 {
		return 1 - math.Exp(-float64(now-h.at)/float64(max(1, min(memory, now-h.first))))
	}
	forMean, forVariance := weight(meanMemory), weight(variationMemory)
	h.at, h.current = now, d
	for len(h.samples) > 0 && h.samples[0].at < now-horizon {
		h.samples = h.samples[1:]
	}
	if n := len(h.samples); n == 0 || now-h.samples[n-1].at >= horizon/samplesPerHorizon {
		h.samples = append(h.samples, sample{now, d})
	}
	for i := range d {
		diff := d[i] - h.mean[i]
		h.mean[i] += forMean * diff
		diff = min(math.Abs(diff), max(outlier*math.Sqrt(h.variance[i]), outlierFloor*h.mean[i]))
		h.variance[i] += forVariance * (diff*diff - h.variance[i])
		// The usual ups and downs do not count as growth.
		h.growth[i] = max(0, d[i]-max(h.samples[0].demand[i], h.mean[i]+math.Sqrt(h.variance[i])))
	}
}

// Forecast returns the demand at the end of the next horizon if it grows on as it did
// during the last one.
func (h *Headroom) Forecast() state.Vector {
	var out amounts
	for i := range out {
		out[i] = h.current[i] + h.growth[i]
	}
	return out.vector()
}

// Usual returns the mean demand with its variation.
func (h *Headroom) Usual() state.Vector {
	var out amounts
	for i := range out {
		out[i] = h.mean[i] + deviations*math.Sqrt(h.variance[i])
	}
	return out.vector()
}

const (
	// assumedStop is the time of a stop before any was observed.
	assumedStop = 900 * time.Millisecond
	// stopDecay is the weight that the longest stop keeps with each one that is shorter.
	stopDecay = 0.98
	// minStop and maxStop bound the time of a stop; one that is longer is a fault.
	minStop, maxStop = 100 * time.Millisecond, 2 * time.Second
)

// StopTime estimates how long a stop takes at most, from the command until the end is
// reported.
type StopTime struct{ longest time.Duration }

// Observe adds the duration of a stop.
func (s *StopTime) Observe(d time.Duration) {
	d = min(max(d, minStop), maxStop)
	s.longest = max(d, time.Duration(stopDecay*float64(s.Longest())+(1-stopDecay)*float64(d)))
}

// Longest returns the estimate.
func (s *StopTime) Longest() time.Duration {
	if s.longest == 0 {
		return assumedStop
	}
	return s.longest
}
