package runtimes

import (
	"cmp"
	"slices"
)

// KindStats summarizes what was learned about the upstreams of a kind.
type KindStats struct {
	Pool, Label string
	// Upstreams is the number of upstreams with observations.
	Upstreams int
	// Fastest, Median and Slowest are their factors.
	Fastest, Median, Slowest float64
}

// Stats returns a summary of each kind that has upstreams with observations.
func (m *Model) Stats() []KindStats {
	factors := map[kindKey][]float64{}
	for _, u := range m.upstreams {
		if u.weight > 0 && !u.gone {
			factors[u.kind.key] = append(factors[u.kind.key], u.factor)
		}
	}
	out := make([]KindStats, 0, len(factors))
	for key, f := range factors {
		slices.Sort(f)
		out = append(out, KindStats{Pool: key.pool, Label: key.label, Upstreams: len(f), Fastest: f[0], Median: f[len(f)/2], Slowest: f[len(f)-1]})
	}
	slices.SortFunc(out, func(a, b KindStats) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Label, b.Label))
	})
	return out
}
