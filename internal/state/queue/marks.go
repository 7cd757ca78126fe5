package queue

import (
	"slices"

	"github.com/samphirerail/samphirerail/internal/state"
)

// maxMarks is the most marks kept for a service.
const maxMarks = 32

// marks are the amounts known to fit on no upstream of a service. Whatever
// needs as much or more does not fit either.
type marks struct {
	byService map[state.Service][]state.Vector
}

// add keeps a mark; it reports false when there are too many.
func (m *marks) add(service state.Service, each state.Vector) bool {
	kept := slices.DeleteFunc(m.byService[service], each.Fits)
	added := len(kept) < maxMarks
	if added {
		kept = append(kept, each)
	}
	m.byService[service] = kept
	return added
}

// freed drops the marks of amounts that fit into free.
func (m *marks) freed(service state.Service, free state.Vector) {
	kept := m.byService[service]
	if len(kept) > 0 {
		m.byService[service] = slices.DeleteFunc(kept, func(v state.Vector) bool { return v.Fits(free) })
	}
}

func (m *marks) cover(it *Item) bool {
	for _, v := range m.byService[it.Service] {
		if v.Fits(it.Each) {
			return true
		}
	}
	return false
}
