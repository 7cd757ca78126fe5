package reachability

import (
	"math"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

const (
	// lossHalfLife is the half-life of the counts of answered and unanswered calls.
	lossHalfLife = time.Second
	// Calls to upstreams count as being lost from leastLost recent ones without an answer, if
	// these are at least lossyShare of all recent calls.
	leastLost, lossyShare = 2, 0.01
)

// Losses tells whether single calls to upstreams remain unanswered, although most are answered.
// The zero value is ready for use. It is not safe for concurrent use.
type Losses struct {
	answered, lost float64
	at             state.Time
}

// Note records the outcome of a call.
func (l *Losses) Note(now state.Time, answered bool) {
	l.decay(now)
	if answered {
		l.answered++
	} else {
		l.lost++
	}
}

// Lossy reports whether calls were lost recently.
func (l *Losses) Lossy(now state.Time) bool {
	l.decay(now)
	return l.lost >= leastLost && l.lost >= lossyShare*(l.answered+l.lost)
}

func (l *Losses) decay(now state.Time) {
	factor := math.Exp2(-float64(now-l.at) / float64(lossHalfLife))
	l.answered, l.lost, l.at = l.answered*factor, l.lost*factor, now
}
