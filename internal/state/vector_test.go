package state_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state"
)

func TestVector(t *testing.T) {
	tests := []struct {
		name string
		need state.Vector
		free state.Vector
		fits bool
	}{
		{name: "equal", need: state.Vector{CPUMilli: 1, Slots: 1}, free: state.Vector{CPUMilli: 1, Slots: 1}, fits: true},
		{name: "one component too small", need: state.Vector{CPUMilli: 1, Slots: 1}, free: state.Vector{CPUMilli: 9}, fits: false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tt.need.Fits(tt.free), tt.fits)
			is.Equal(tt.free.Sub(tt.need).Add(tt.need), tt.free)
		})
	}
}

func TestDominantShare(t *testing.T) {
	is := is.New(t)
	total := state.Vector{CPUMilli: 100, MemoryMB: 100, Slots: 10}
	is.Equal(state.Vector{CPUMilli: 10, MemoryMB: 50, Accelerators: 3, Slots: 1}.DominantShare(total), 0.5)
}
