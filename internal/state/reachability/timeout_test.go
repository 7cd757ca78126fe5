package reachability_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state/reachability"
)

func TestTimeoutFollowsResponses(t *testing.T) {
	const shortest, longest = 40 * time.Millisecond, 150 * time.Millisecond
	repeat := func(n int, values ...time.Duration) (out []time.Duration) {
		for range n {
			out = append(out, values...)
		}
		return out
	}
	tests := []struct {
		name     string
		took     []time.Duration
		from, to time.Duration
	}{
		{"no response yet", nil, longest, longest},
		{"quick responses", repeat(100, 5*time.Millisecond), shortest, shortest},
		{"responses of a busy entry", repeat(100, 10*time.Millisecond, 50*time.Millisecond), 60 * time.Millisecond, longest},
		{"slow responses", repeat(100, 400*time.Millisecond), longest, longest},
		{"quick again after slow ones", append(repeat(20, 100*time.Millisecond), repeat(60, 5*time.Millisecond)...), shortest, shortest},
		{"before their expected time", repeat(10, -time.Second), shortest, shortest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			timeout := reachability.Timeout{Min: shortest, Max: longest}
			for _, took := range tt.took {
				timeout.Observe(took)
			}
			is.True(timeout.Limit() >= tt.from && timeout.Limit() <= tt.to)
		})
	}
}
