package machine

import (
	"container/heap"

	"github.com/samphirerail/samphirerail/internal/state"
)

// timerKind is the kind of work that a timer triggers.
type timerKind int

const (
	timerDeadline timerKind = iota
	timerRetry
	timerFault
	timerProbe
	timerEscalate
	timerGangWait
	timerReservation
	timerPreempt
	timerTrial
)

// timer triggers work at a given time.
type timer struct {
	at       state.Time
	sequence uint64
	kind     timerKind
	job      *job
	// index is the task of a timerRetry.
	index   int
	up      *upstream
	attempt *attempt
	// position is the timer's index in the heap, or -1 when it is not in the heap.
	position int
}

// timers is a min-heap of timers, ordered by time and then by sequence.
type timers struct {
	items    []*timer
	sequence uint64
}

func (t *timers) Len() int { return len(t.items) }

func (t *timers) Less(i, j int) bool {
	a, b := t.items[i], t.items[j]
	if a.at != b.at {
		return a.at < b.at
	}
	return a.sequence < b.sequence
}

func (t *timers) Swap(i, j int) {
	t.items[i], t.items[j] = t.items[j], t.items[i]
	t.items[i].position = i
	t.items[j].position = j
}

// Push implements heap.Interface.
func (t *timers) Push(x any) {
	it := x.(*timer)
	it.position = len(t.items)
	t.items = append(t.items, it)
}

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := len(t.items) - 1
	it := t.items[last]
	t.items[last] = nil
	t.items = t.items[:last]
	it.position = -1
	return it
}

func (t *timers) add(it *timer) *timer {
	t.sequence++
	it.sequence = t.sequence
	heap.Push(t, it)
	return it
}

func (t *timers) remove(it *timer) {
	if it != nil && it.position >= 0 {
		heap.Remove(t, it.position)
	}
}

// due removes and returns the first timer that is due, or returns nil.
func (t *timers) due(now state.Time) *timer {
	if len(t.items) == 0 || t.items[0].at > now {
		return nil
	}
	return heap.Pop(t).(*timer)
}
