package emulator

import (
	"container/heap"

	"github.com/samphirerail/samphirerail/internal/state"
)

// item is a function to call at a virtual time.
type item struct {
	at       state.Time
	sequence uint64
	do       func()
}

// items is a heap ordered by time, then by the order of insertion.
type items []*item

func (s items) Len() int { return len(s) }

func (s items) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	return s[i].sequence < s[j].sequence
}

func (s items) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *items) Push(x any) { *s = append(*s, x.(*item)) }

// Pop implements heap.Interface.
func (s *items) Pop() any {
	last := len(*s) - 1
	it := (*s)[last]
	(*s)[last] = nil
	*s = (*s)[:last]
	return it
}

// queue holds the scheduled items in order of time.
type queue struct {
	items    items
	sequence uint64
}

func (q *queue) add(at state.Time, do func()) {
	q.sequence++
	heap.Push(&q.items, &item{at: at, sequence: q.sequence, do: do})
}

// next removes and returns the first item that is due by end. It returns nil if there
// is none.
func (q *queue) next(end state.Time) *item {
	if len(q.items) == 0 || q.items[0].at > end {
		return nil
	}
	return heap.Pop(&q.items).(*item)
}
