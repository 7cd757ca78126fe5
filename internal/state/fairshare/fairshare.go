// Package fairshare decides whose turn it is among work that waits for the same capacity.
// The loads it addresses are one workspace that sends several times what its weight
// entitles it to, which must not delay the others, and work that is passed over for ever:
// of one workspace, from one failure domain, or too wide for the gaps that narrow work
// leaves.
package fairshare

import (
	"math"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

// Use is what a workspace or team uses of a pool.
type Use struct {
	// Share is the dominant share: the largest share of a resource of the pool.
	Share float64
	// Weight is that of the workspace, Weights the sum over all that share the pool.
	Weight, Weights float64
}

// PerWeight returns the dominant share by weight.
func (u Use) PerWeight() float64 { return u.Share / u.Weight }

// Entitled reports whether the use is within the part of the pool that the weight entitles
// to.
func (u Use) Entitled() bool { return u.Share*u.Weights <= u.Weight }

// tolerance is the multiple of its part of the pool that a workspace may use without an
// excess. Work comes in jobs, so the use of a workspace that sends what it is entitled to
// varies around its part.
const tolerance = 1.5

// Excess returns by how much the use exceeds the part of the pool: 0 within the tolerance,
// and one more for each doubling beyond it. The steps are coarse so that work of workspaces
// with about the same use keeps its order.
func (u Use) Excess() int {
	if u.Weight <= 0 || u.Share*u.Weights <= tolerance*u.Weight {
		return 0
	}
	return 1 + int(math.Log2(u.Share*u.Weights/(tolerance*u.Weight)))
}

// MaxWait is how long work waits, while other work is served, before it goes first. Nobody
// is to wait for a whole span of 10 s; the other half is for the capacity to become free.
const MaxWait = 5 * time.Second

// Turn tracks whether somebody waits without being served. Time passes in rounds, in each of
// which capacity is handed out. The zero value is ready to use.
type Turn struct {
	// since is when the wait began, or when capacity was given last.
	since state.Time
	// seen is the latest round with work that waits.
	seen state.Time
}

// Waits records that work waits for capacity. It must be called in each round in which some
// does; last is the time of the round before.
func (t *Turn) Waits(now, last state.Time) {
	if t.seen < last {
		t.since = now
	}
	t.seen = now
}

// Served records that capacity was given.
func (t *Turn) Served(now state.Time) { t.since = now }

// Overdue reports whether work has waited for MaxWait without being served, up to the last
// round.
func (t *Turn) Overdue(now, last state.Time) bool { return t.seen >= last && now-t.since >= MaxWait }
