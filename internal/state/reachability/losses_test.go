package reachability_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state/reachability"
)

func TestLossyWhileCallsAreLost(t *testing.T) {
	tests := []struct {
		name string
		// every is the interval between two lost calls; one call is made each millisecond.
		every time.Duration
		lossy bool
	}{
		{"one of 16", 16 * time.Millisecond, true},
		{"one of 50", 50 * time.Millisecond, true},
		{"one of 1,000", time.Second, false},
		{"none", time.Hour, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var l reachability.Losses
			now := time.Millisecond
			for ; now < 3*time.Second; now += time.Millisecond {
				l.Note(now, now%tt.every != 0)
			}
			is.Equal(l.Lossy(now), tt.lossy)
			for end := now + 6*time.Second; now < end; now += time.Millisecond {
				l.Note(now, true)
			}
			is.True(!l.Lossy(now)) // some seconds after the last loss
		})
	}
}
