package queue

import (
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

// maxMarks is the most marks kept for a service.
const maxMarks = 32

// mark is an amount and run time that no upstream has room for.
type mark struct {
	each state.Vector
	run  time.Duration
}

// covers reports whether what has no room by this mark includes the other.
func (v mark) covers(other mark) bool { return v.run <= other.run && v.each.Fits(other.each) }

// marks are what is known to fit on no upstream of a service. Whatever needs as
// much or more, for as long or longer, does not fit either.
type marks struct {
	byService map[state.Service][]mark
}

// add keeps a mark; it reports false when there are too many.
func (m *marks) add(service state.Service, v mark) bool {
	kept := slices.DeleteFunc(m.byService[service], v.covers)
	added := len(kept) < maxMarks
	if added {
		kept = append(kept, v)
	}
	m.byService[service] = kept
	return added
}

// freed drops the marks of what fits into free and runs no longer than the
// limit.
func (m *marks) freed(service state.Service, free state.Vector, limit time.Duration) {
	kept := m.byService[service]
	if len(kept) > 0 {
		m.byService[service] = slices.DeleteFunc(kept, func(v mark) bool { return v.run <= limit && v.each.Fits(free) })
	}
}

func (m *marks) cover(it *Item) bool {
	need := mark{each: it.Each, run: it.Run}
	for _, v := range m.byService[it.Service] {
		if v.covers(need) {
			return true
		}
	}
	return false
}
