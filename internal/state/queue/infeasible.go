package queue

import (
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

// maxInfeasible is the maximum number of infeasible requests kept per service.
const maxInfeasible = 32

// infeasibleRequest is a request, by resources and run time of one task, that fits on no
// upstream.
type infeasibleRequest struct {
	each state.Vector
	run  time.Duration
}

// includes reports whether b needs at least as much as a for at least as long, so that b
// is infeasible if a is.
func (a infeasibleRequest) includes(b infeasibleRequest) bool {
	return a.run <= b.run && a.each.Fits(b.each)
}

// infeasibleSet holds the requests that are known to fit on no upstream of a service. A
// request that needs as much or more, for as long or longer, does not fit either.
type infeasibleSet struct {
	byService map[state.Service][]infeasibleRequest
}

// add adds an infeasible request and removes those that it includes. It returns false,
// and does not add the request, when the set of the service is full.
func (m *infeasibleSet) add(service state.Service, v infeasibleRequest) bool {
	kept := slices.DeleteFunc(m.byService[service], v.includes)
	added := len(kept) < maxInfeasible
	if added {
		kept = append(kept, v)
	}
	m.byService[service] = kept
	return added
}

// removeFitting removes the requests that fit into free and run no longer than limit.
func (m *infeasibleSet) removeFitting(service state.Service, free state.Vector, limit time.Duration) {
	kept := m.byService[service]
	if len(kept) > 0 {
		m.byService[service] = slices.DeleteFunc(kept, func(v infeasibleRequest) bool { return v.run <= limit && v.each.Fits(free) })
	}
}

// covers reports whether the item is known to fit on no upstream.
func (m *infeasibleSet) covers(it *Item) bool {
	request := infeasibleRequest{each: it.Each, run: it.Run}
	for _, v := range m.byService[it.Service] {
		if v.includes(request) {
			return true
		}
	}
	return false
}
