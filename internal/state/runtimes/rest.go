package runtimes

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// ratioUnit is the resolution of the recorded ratios: 1 is a hundredth.
	ratioUnit = 100
	// ratioDigits is the precision of the recorded ratios, in significant decimal digits.
	ratioDigits = 2
	// minRestSamples is the number of runs from which a distribution is used.
	minRestSamples = 50
	// restInterval is the number of runs after which the means are computed again.
	restInterval = 50
	// The means are kept for ratios from firstRestRatio on, restSteps for each doubling.
	firstRestRatio = 0.5
	restSteps      = 4
	restEntries    = 24
	// Without a distribution, a run that is as late as the usual spread explains needs
	// usualRest of its expected time; one beyond that needs lateRest of the time that it
	// has taken so far, as in a distribution without a scale.
	usualRest, usualUntil, lateRest = 0.15, 1.5, 0.5
)

// distribution is that of the ratios of actual to expected run time.
type distribution struct {
	histogram *hdrhistogram.Histogram
	recorded  int
	// means holds the mean ratio of the runs beyond each of the ratios.
	means [restEntries]float64
}

// record adds a run.
func (d *distribution) record(ratio float64) {
	if d.histogram == nil {
		d.histogram = hdrhistogram.New(1, maxRatio*ratioUnit, ratioDigits)
	}
	// The value is within the range of the histogram.
	_ = d.histogram.RecordValue(int64(math.Round(min(max(ratio, minRatio), maxRatio) * ratioUnit)))
	if d.recorded++; d.recorded%restInterval == 0 {
		d.computeMeans()
	}
}

func (d *distribution) computeMeans() {
	bars := d.histogram.Distribution()
	sum, count, i := 0.0, int64(0), len(bars)-1
	for entry := restEntries - 1; entry >= 0; entry-- {
		beyond := firstRestRatio * math.Exp2(float64(entry)/restSteps)
		for ; i >= 0 && float64(bars[i].From+bars[i].To)/2/ratioUnit > beyond; i-- {
			sum += float64(bars[i].Count) * float64(bars[i].From+bars[i].To) / 2 / ratioUnit
			count += bars[i].Count
		}
		d.means[entry] = 0
		if count > 0 {
			d.means[entry] = sum / float64(count)
		}
	}
}

// rest returns the expected rest of a run that has taken the given ratio of its expected
// time so far, as a ratio of that time.
func (d *distribution) rest(ratio float64) float64 {
	if ratio < firstRestRatio {
		return 1 - ratio
	}
	if d.recorded >= minRestSamples {
		entry := int(restSteps * math.Log2(ratio/firstRestRatio))
		if entry < restEntries && d.means[entry] > ratio {
			return d.means[entry] - ratio
		}
	}
	if ratio < usualUntil {
		return max(1-ratio, usualRest)
	}
	return lateRest * ratio
}

// Ended records the ratio of actual to expected run time of a run that has ended.
func (m *Model) Ended(id Class, ratio float64) {
	if ratio > 0 {
		m.class(id).rest.record(ratio)
	}
}

// Rest returns the expected rest of a run that has taken the given ratio of its expected
// run time so far, as a ratio of that time. A run that is already late is expected to take
// as long as others that were as late.
func (m *Model) Rest(id Class, ratio float64) float64 {
	var d *distribution
	if c := m.classes[id]; c != nil {
		d = &c.rest
	} else {
		d = &distribution{}
	}
	return d.rest(ratio)
}
