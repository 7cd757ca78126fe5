package cell

import (
	"slices"

	"github.com/samphirerail/samphirerail/internal/state"
)

// maxCandidates is the number of upstreams with enough free capacity that are compared
// before one is chosen.
const maxCandidates = 16

// Request describes one or more equal tasks to find upstreams for.
type Request struct {
	Service state.Service
	Each    state.Vector
	// Spread prefers racks with few of the tasks in Placed and of those picked earlier
	// in the same request.
	Spread bool
	// Placed lists upstreams that already hold tasks of the same job.
	Placed []state.VMID
	// Avoid lists upstreams that must not be picked.
	Avoid []state.VMID
}

// policy selects one of the pool's records with leaf in [low, high). It returns nil
// when none has enough free capacity.
type policy func(p *pool, low, high int, req Request) *record

// Pick returns an upstream for one task, and false when none has enough free capacity.
// Nothing is committed.
func (c *Cell) Pick(req Request) (state.VMID, bool) {
	p, ok := c.services[req.Service]
	if !ok {
		return "", false
	}
	p.build()
	r := c.pick(p, req, req.Placed)
	if r == nil {
		return "", false
	}
	return r.VM, true
}

// PickMany returns upstreams for all n tasks, and false when they do not all fit, in
// which case the list is incomplete. The result may contain an upstream more than once.
// Nothing is committed.
func (c *Cell) PickMany(req Request, n int) ([]state.VMID, bool) {
	p, ok := c.services[req.Service]
	if !ok || !req.Each.Scale(int64(n)).Fits(p.free) {
		return nil, false
	}
	p.build()
	placed := slices.Clone(req.Placed)
	picked := make([]state.VMID, 0, n)
	for range n {
		r := c.pick(p, req, placed)
		if r == nil {
			break
		}
		c.addFree(r, state.Vector{}.Sub(req.Each))
		picked = append(picked, r.VM)
		placed = append(placed, r.VM)
	}
	for _, vm := range picked {
		c.addFree(c.upstreams[vm], req.Each)
	}
	return picked, len(picked) == n
}

func (c *Cell) pick(p *pool, req Request, placed []state.VMID) *record {
	if !req.Spread {
		return c.policy(p, 0, len(p.records), req)
	}
	for _, rack := range c.racksByUse(p, placed) {
		if r := c.policy(p, rack.low, rack.high, req); r != nil {
			return r
		}
	}
	return nil
}

// racksByUse returns the pool's racks, those with the fewest placed tasks first.
func (c *Cell) racksByUse(p *pool, placed []state.VMID) []rackRange {
	used := make(map[string]int, len(placed))
	for _, vm := range placed {
		if r, ok := c.upstreams[vm]; ok {
			used[r.Rack]++
		}
	}
	racks := slices.Clone(p.racks)
	slices.SortStableFunc(racks, func(a, b rackRange) int { return used[a.rack] - used[b.rack] })
	return racks
}

// firstFit selects the first record with enough free capacity.
func firstFit(p *pool, low, high int, req Request) *record {
	var found *record
	p.tree.find(low, high, req.Each, func(leaf int) bool {
		if slices.Contains(req.Avoid, p.records[leaf].VM) {
			return true
		}
		found = p.records[leaf]
		return false
	})
	return found
}

// bestFit selects, of the first maxCandidates records with enough free capacity, the
// one with the least left over.
func bestFit(p *pool, low, high int, req Request) *record {
	var best *record
	bestScore := 0.0
	candidates := 0
	p.tree.find(low, high, req.Each, func(leaf int) bool {
		r := p.records[leaf]
		if slices.Contains(req.Avoid, r.VM) {
			return true
		}
		if s := score(r, req.Each); best == nil || s < bestScore {
			best, bestScore = r, s
		}
		candidates++
		return candidates < maxCandidates
	})
	return best
}

// acceleratorWeight is the weight of free accelerators relative to other kinds of
// resource, for tasks that need none.
const acceleratorWeight = 4

// score rates what is left on an upstream after a task is placed: the sum of the free
// fractions of each kind of resource, where free accelerators weigh more for tasks that
// need none, to keep these away from them. Lower is better.
func score(r *record, each state.Vector) float64 {
	left := r.Free.Sub(each)
	sum := fraction(left.CPUMilli, r.Capacity.CPUMilli) +
		fraction(left.MemoryMB, r.Capacity.MemoryMB) +
		fraction(left.Slots, r.Capacity.Slots)
	accelerators := fraction(left.Accelerators, r.Capacity.Accelerators)
	if each.Accelerators == 0 {
		return sum + acceleratorWeight*accelerators
	}
	return sum + accelerators
}

func fraction(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
