// Package forecast predicts when work that arrives now would start, from what upstreams
// have free, when their runs end, and the work that waits ahead. The load it addresses is
// a burst of several times the capacity for some seconds: an owner that accepts all of it
// accepts hundreds of jobs that end too late to be of use.
//
// The model is fluid. A Supply counts the tasks of one size that upstreams can take over
// time, upstream by upstream, because capacity that is spread over upstreams in parts
// smaller than a task is of no use to it. A Queue hands that supply to waiting work in
// order; each part is available again once the work that took it has run.
package forecast

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

// The time ahead is divided into fineSteps slots of fineStep, which resolve the slack of
// quick work, and slots that grow by growth up to about two minutes, beyond three
// objectives of most batch work.
const (
	fineStep  = 50 * time.Millisecond
	fineSteps = 160
	growth    = 1.08
	slots     = fineSteps + 36
)

// Never is the start of work for which the forecast finds no capacity.
const Never = time.Duration(math.MaxInt64)

// begins holds the begin of each slot.
var begins = func() (out [slots]time.Duration) {
	for i := 1; i < slots; i++ {
		out[i] = out[i-1] + fineStep
		if i > fineSteps {
			out[i] = time.Duration(float64(out[i-1]) * growth)
		}
	}
	return out
}()

// Horizon is how far a forecast looks ahead.
var Horizon = begins[slots-1]

// slotOf returns the slot that contains a time, or slots if it is beyond the horizon.
func slotOf(after time.Duration) int {
	if after < begins[fineSteps] {
		return max(0, int(after/fineStep))
	}
	if after > Horizon {
		return slots
	}
	at, found := slices.BinarySearch(begins[:], after)
	if !found {
		at--
	}
	return at
}

// End is the expected end of a run.
type End struct {
	// After is the time until the end, or Never.
	After time.Duration
	// Amount is what the run uses.
	Amount state.Vector
	// Priority is that of the run's queue; 0 is the most urgent.
	Priority int
}

// Upstream is the use of an upstream. Ends is in the order of time.
type Upstream struct {
	Free state.Vector
	Ends []End
}

// SortEnds brings the ends of an upstream into the order of time.
func SortEnds(ends []End) {
	slices.SortFunc(ends, func(a, b End) int { return cmp.Compare(a.After, b.After) })
}

// Preemption says what lower-priority runs give up for more urgent work.
type Preemption struct {
	// Priority is that of the work which the supply is for.
	Priority int
	// After is how soon the capacity of a lower-priority run is free, at the latest;
	// Never without preemption.
	After time.Duration
}

// Supply is the number of tasks of one size that upstreams can take, by the slot in which
// the capacity for them becomes free.
type Supply struct {
	size  state.Vector
	units [slots]float64
}

// NewSupply returns the supply for tasks of a size, which must need processors, memory or
// accelerators.
func NewSupply(size state.Vector, upstreams []Upstream, p Preemption) *Supply {
	s := &Supply{size: size}
	var ends []End
	for i := range upstreams {
		u := &upstreams[i]
		free, taken := u.Free, places(u.Free, size)
		s.units[0] += float64(taken)
		next := size.Scale(taken + 1) // what must be free for one more task
		ends = u.Ends
		if p.After != Never {
			ends = preempted(ends, p)
		}
		for j := range ends {
			slot := slotOf(ends[j].After)
			if slot == slots {
				break
			}
			free = free.Add(ends[j].Amount)
			for ; next.CPUMilli <= free.CPUMilli && next.MemoryMB <= free.MemoryMB && next.Accelerators <= free.Accelerators; next = next.Add(size) {
				s.units[slot]++
			}
		}
	}
	return s
}

// preempted returns the ends as they are if lower-priority runs give way.
func preempted(ends []End, p Preemption) []End {
	out := slices.Clone(ends)
	for i := range out {
		if out[i].Priority > p.Priority {
			out[i].After = min(out[i].After, p.After)
		}
	}
	SortEnds(out)
	return out
}

// places returns how many tasks of a size fit into the free amount.
func places(free, size state.Vector) int64 {
	n := int64(math.MaxInt32)
	for _, part := range [...][2]int64{
		{free.CPUMilli, size.CPUMilli}, {free.MemoryMB, size.MemoryMB}, {free.Accelerators, size.Accelerators},
	} {
		if part[1] > 0 {
			n = min(n, max(0, part[0])/part[1])
		}
	}
	return n
}

// Places returns the number of tasks that all upstreams can take, as far as the horizon
// shows.
func (s *Supply) Places() (n float64) {
	for _, units := range s.units {
		n += units
	}
	return n
}

// Units returns how many places of the supply's size an amount uses, by the scarcest
// resource of the size. Less than a place counts as its fraction, in favour of the work
// behind it.
func (s *Supply) Units(amount state.Vector) float64 {
	switch {
	case s.size.Accelerators > 0 && amount.Accelerators > 0:
		return float64(amount.Accelerators) / float64(s.size.Accelerators)
	case s.size.CPUMilli > 0:
		return float64(amount.CPUMilli) / float64(s.size.CPUMilli)
	case s.size.MemoryMB > 0:
		return float64(amount.MemoryMB) / float64(s.size.MemoryMB)
	}
	return 0
}

// Queue hands out a supply in the order of Take.
type Queue struct {
	free [slots]float64
	// at is the slot from which the next unit is taken; earlier ones are used up.
	at     int
	inflow Inflow
	// arrived is the inflow that has no capacity yet.
	arrived float64
}

// Inflow is work that keeps arriving and goes ahead of what is taken.
type Inflow struct {
	PerSecond float64
	RunTime   time.Duration
}

// Queue returns a queue on a copy of the supply.
func (s *Supply) Queue() Queue { return Queue{free: s.units} }

// Reserve takes units that become free at a time or later, for work that is expected
// then.
func (q *Queue) Reserve(after time.Duration, units float64, runTime time.Duration) {
	for at := slotOf(after); at < slots && units > 0; at++ {
		n := min(units, q.free[at])
		q.free[at] -= n
		units -= n
		q.giveBack(at, n, runTime)
	}
}

// Take takes units from the earliest slots and returns when the last of them is free.
// Each is free again after the run time, also for the rest of the same work.
func (q *Queue) Take(units float64, runTime time.Duration) time.Duration {
	for q.at < slots {
		n := min(units, q.free[q.at])
		q.free[q.at] -= n
		units -= n
		q.giveBack(q.at, n, runTime)
		if units <= leastUnits {
			return begins[q.at]
		}
		q.next()
	}
	return Never
}

// TakeTogether takes units for work that starts as a whole, and returns when.
func (q *Queue) TakeTogether(units float64, runTime time.Duration) time.Duration {
	for left := units; q.at < slots; q.next() {
		n := min(left, q.free[q.at])
		q.free[q.at] -= n
		left -= n
		if left <= leastUnits {
			q.giveBack(q.at, units, runTime)
			return begins[q.at]
		}
	}
	return Never
}

// leastUnits is a rest that counts as nothing, as it may be a rounding error.
const leastUnits = 1e-6

// Flow makes an inflow go ahead of everything that is taken from now on. What arrives
// before the work that was taken so far has started is part of it.
func (q *Queue) Flow(in Inflow) {
	q.inflow = in
	if q.at < slots {
		q.arrived = in.PerSecond * begins[q.at].Seconds()
		q.serveInflow()
	}
}

// next goes on to the next slot.
func (q *Queue) next() {
	if q.at++; q.at < slots && q.inflow.PerSecond > 0 {
		q.arrived += q.inflow.PerSecond * (begins[q.at] - begins[q.at-1]).Seconds()
		q.serveInflow()
	}
}

func (q *Queue) serveInflow() {
	n := min(q.arrived, q.free[q.at])
	q.free[q.at] -= n
	q.arrived -= n
	q.giveBack(q.at, n, q.inflow.RunTime)
}

// giveBack makes units that are taken in a slot available again after the run time. An
// end between the begins of two slots counts to both in proportion, so that long slots
// neither add nor lose capacity.
func (q *Queue) giveBack(slot int, units float64, runTime time.Duration) {
	if units <= 0 || slot+1 >= slots {
		return
	}
	end := begins[slot] + runTime
	back := slotOf(end)
	switch {
	case back <= slot:
		q.free[slot+1] += units
	case back+1 < slots:
		part := float64(end-begins[back]) / float64(begins[back+1]-begins[back])
		q.free[back] += units * (1 - part)
		q.free[back+1] += units * part
	}
}
