package queue

import (
	"cmp"
	"container/heap"
	"math/bits"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

// shape groups items with similar resource requests: sizes count as equal when they have
// the same bit length. A bucket holds the items of one shape, so that Next has to check
// only the first item of each bucket.
type shape struct {
	service      state.Service
	minTasks     int
	cpu          int
	memory       int
	accelerators int
	// runKnown says that the item has an expected run time.
	runKnown bool
}

func shapeOf(it *Item) shape {
	return shape{
		service:      it.Service,
		minTasks:     bits.Len64(uint64(it.MinTasks)),
		cpu:          bits.Len64(uint64(it.Each.CPUMilli)),
		memory:       bits.Len64(uint64(it.Each.MemoryMB)),
		accelerators: bits.Len64(uint64(it.Each.Accelerators)),
		runKnown:     it.Run < UnknownRun,
	}
}

// bucket is a heap of the items of one shape of one team. It implements heap.Interface.
type bucket struct {
	shape shape
	items []*Item
	// position is the bucket's index in its team's list.
	position int
	blocked  BlockCause
	// blockedDemand and blockedRun are the demand and run time of the item for which the
	// bucket was blocked.
	blockedDemand state.Vector
	blockedRun    time.Duration
}

func (b *bucket) head() *Item { return b.items[0] }

// refresh removes the block when the first item needs less, or for a shorter time, than
// the item for which the bucket was blocked.
func (b *bucket) refresh() {
	covered := b.blockedDemand.Fits(b.head().demand()) && b.blockedRun <= b.head().Run
	if b.blocked != NotBlocked && !covered {
		b.blocked = NotBlocked
	}
}

func (b *bucket) Len() int           { return len(b.items) }
func (b *bucket) Less(i, j int) bool { return b.items[i].before(b.items[j]) }

func (b *bucket) Swap(i, j int) {
	b.items[i], b.items[j] = b.items[j], b.items[i]
	b.items[i].index = i
	b.items[j].index = j
}

// Push implements heap.Interface.
func (b *bucket) Push(x any) {
	it := x.(*Item)
	it.index = len(b.items)
	b.items = append(b.items, it)
}

// Pop implements heap.Interface.
func (b *bucket) Pop() any {
	last := len(b.items) - 1
	it := b.items[last]
	b.items[last] = nil
	b.items = b.items[:last]
	return it
}

func (it *Item) before(other *Item) bool {
	if c := cmp.Compare(it.Rank, other.Rank); c != 0 {
		return c < 0
	}
	return it.sequence < other.sequence
}

// demand returns the resources that must be free within the team's limit to place the
// item's next tasks.
func (it *Item) demand() state.Vector { return it.Each.Scale(int64(it.MinTasks)) }

// team holds the waiting items of one team.
type team struct {
	id       state.TeamID
	buckets  []*bucket
	byShape  map[shape]*bucket
	items    int
	position int
	share    float64
	entitled bool
}

func (t *team) push(it *Item) {
	s := shapeOf(it)
	b, ok := t.byShape[s]
	if !ok {
		b = &bucket{shape: s, position: len(t.buckets)}
		t.byShape[s] = b
		t.buckets = append(t.buckets, b)
	}
	it.bucket = b
	heap.Push(b, it)
	b.refresh()
	t.items++
}

func (t *team) remove(it *Item) {
	b := it.bucket
	heap.Remove(b, it.index)
	it.bucket = nil
	t.items--
	if len(b.items) > 0 {
		b.refresh()
		return
	}
	last := len(t.buckets) - 1
	t.buckets[b.position] = t.buckets[last]
	t.buckets[b.position].position = b.position
	t.buckets = t.buckets[:last]
	delete(t.byShape, b.shape)
}

// unblock removes the blocks with the given cause.
func (t *team) unblock(cause BlockCause) {
	for _, b := range t.buckets {
		if b.blocked == cause {
			b.blocked = NotBlocked
		}
	}
}

// best returns the team's first item that is not known to be blocked, or nil.
func (t *team) best(set *infeasibleSet) *Item {
	var best *Item
	for _, b := range t.buckets {
		if b.blocked != NotBlocked || set.covers(b.head()) {
			continue
		}
		if best == nil || b.head().before(best) {
			best = b.head()
		}
	}
	return best
}
