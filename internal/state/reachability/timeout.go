package reachability

import "time"

const (
	// meanWeight and deviationWeight are the weights of the newest response, and
	// deviations the number of mean deviations that a response may take longer than the
	// mean, as in TCP's retransmission timer (RFC 6298).
	meanWeight, deviationWeight, deviations = 0.125, 0.25, 4
)

// Timeout estimates how long to wait for a response from the times that earlier ones took.
// It is not safe for concurrent use.
type Timeout struct {
	// Min and Max bound the estimate; Max applies until the first response.
	Min, Max        time.Duration
	mean, deviation float64
	known           bool
}

// Observe records how long a response took.
func (t *Timeout) Observe(took time.Duration) {
	sample := max(0, float64(took))
	if !t.known {
		t.mean, t.deviation, t.known = sample, sample/2, true
		return
	}
	t.deviation += deviationWeight * (abs(sample-t.mean) - t.deviation)
	t.mean += meanWeight * (sample - t.mean)
}

func abs(x float64) float64 { return max(x, -x) }

// Limit returns how long to wait for the next response.
func (t *Timeout) Limit() time.Duration {
	if !t.known {
		return t.Max
	}
	return min(max(time.Duration(t.mean+deviations*t.deviation), t.Min), t.Max)
}
