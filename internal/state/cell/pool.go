package cell

import (
	"cmp"
	"slices"

	"github.com/samphirerail/samphirerail/internal/state"
)

// pool holds the upstreams of one service with an index over their free amounts.
type pool struct {
	// records are sorted by rack, then by VM, once the index is built.
	records []*record
	// racks are the ranges of records that share a rack.
	racks []rackRange
	tree  *maxTree
	// stale is set when records were added or removed since the index was built.
	stale    bool
	shapes   []shape
	capacity state.Vector
	free     state.Vector
}

// shape counts the upstreams that have the same capacity.
type shape struct {
	capacity state.Vector
	count    int
}

type rackRange struct {
	rack      string
	low, high int
}

func (p *pool) add(r *record) {
	r.leaf = len(p.records)
	p.records = append(p.records, r)
	p.stale = true
	p.capacity = p.capacity.Add(r.Capacity)
	p.free = p.free.Add(r.Free)
	p.countShape(r.Capacity, 1)
}

func (p *pool) remove(r *record) {
	last := len(p.records) - 1
	p.records[r.leaf] = p.records[last]
	p.records[r.leaf].leaf = r.leaf
	p.records = p.records[:last]
	p.stale = true
	p.capacity = p.capacity.Sub(r.Capacity)
	p.free = p.free.Sub(r.Free)
	p.countShape(r.Capacity, -1)
}

func (p *pool) countShape(capacity state.Vector, change int) {
	i := slices.IndexFunc(p.shapes, func(s shape) bool { return s.capacity == capacity })
	if i < 0 {
		p.shapes = append(p.shapes, shape{capacity: capacity, count: change})
		return
	}
	p.shapes[i].count += change
	if p.shapes[i].count == 0 {
		p.shapes = slices.Delete(p.shapes, i, i+1)
	}
}

// update updates the index after a change of a record's free amount or readiness.
func (p *pool) update(r *record) {
	if !p.stale && p.tree != nil {
		p.tree.set(r.leaf, r.usable())
	}
}

// usable returns the amount that is available to new tasks.
func (r *record) usable() state.Vector {
	if r.Readiness != Ready {
		return unusable
	}
	return r.Free
}

// build sorts the records and rebuilds the index if it is stale.
func (p *pool) build() {
	if !p.stale && p.tree != nil {
		return
	}
	slices.SortFunc(p.records, func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.VM, b.VM))
	})
	leaves := make([]state.Vector, len(p.records))
	p.racks = p.racks[:0]
	for i, r := range p.records {
		r.leaf = i
		leaves[i] = r.usable()
		if len(p.racks) == 0 || p.racks[len(p.racks)-1].rack != r.Rack {
			p.racks = append(p.racks, rackRange{rack: r.Rack, low: i})
		}
		p.racks[len(p.racks)-1].high = i + 1
	}
	p.tree = newMaxTree(leaves)
	p.stale = false
}
