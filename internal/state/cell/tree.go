package cell

import "github.com/samphirerail/samphirerail/internal/state"

// maxTree is a segment tree over the free amounts of a list of upstreams. Each node
// holds the maximum of each kind of resource below it, so that a search skips every
// part of the list where no upstream can fit.
type maxTree struct {
	size  int
	nodes []state.Vector
}

// unusable is the free amount of an upstream that is not ready. No request fits in it,
// not even a zero one.
var unusable = state.Vector{CPUMilli: -1, MemoryMB: -1, Accelerators: -1, Slots: -1}

func newMaxTree(leaves []state.Vector) *maxTree {
	size := 1
	for size < len(leaves) {
		size *= 2
	}
	t := &maxTree{size: size, nodes: make([]state.Vector, 2*size)}
	for i := range size {
		t.nodes[size+i] = unusable
	}
	copy(t.nodes[size:], leaves)
	for i := size - 1; i >= 1; i-- {
		t.nodes[i] = t.nodes[2*i].Max(t.nodes[2*i+1])
	}
	return t
}

// set changes one leaf.
func (t *maxTree) set(leaf int, v state.Vector) {
	i := t.size + leaf
	t.nodes[i] = v
	for i /= 2; i >= 1; i /= 2 {
		largest := t.nodes[2*i].Max(t.nodes[2*i+1])
		if largest == t.nodes[i] {
			return
		}
		t.nodes[i] = largest
	}
}

// find visits the leaves in [low, high) in which demand fits, in order, until visit
// returns false.
func (t *maxTree) find(low, high int, demand state.Vector, visit func(leaf int) bool) {
	t.search(1, 0, t.size, low, high, demand, visit)
}

// search reports whether the visit continues. The node covers the leaves in [start,
// end).
func (t *maxTree) search(node, start, end, low, high int, demand state.Vector, visit func(leaf int) bool) bool {
	if end <= low || high <= start || !demand.Fits(t.nodes[node]) {
		return true
	}
	if end-start == 1 {
		return visit(start)
	}
	middle := (start + end) / 2
	return t.search(2*node, start, middle, low, high, demand, visit) &&
		t.search(2*node+1, middle, end, low, high, demand, visit)
}
