package machine

import (
	"slices"

	"github.com/samphirerail/samphirerail/internal/state"
)

// service is the machine's record of the upstreams of one customer service.
type service struct {
	upstreams int
	// unreconciled counts the upstreams on which tasks of an earlier owner may be
	// running.
	unreconciled int
	ejected      int
	// failureRate is the moving average of the fraction of fast failures over all
	// upstreams.
	failureRate float64
	sizes       []sizeCount
	// reservedFor is the gang with a reservation, and reservedUpstreams are its
	// upstreams.
	reservedFor       *job
	reservedUpstreams []*upstream
	// reservationEnds is when the reservation expires. backfillEnds is when tasks that
	// are placed on the reserved upstreams in the meantime must have ended.
	reservationEnds state.Time
	backfillEnds    state.Time
	// preemptAt is the earliest time of the next search for victims.
	preemptAt state.Time
	// preemptible counts the running attempts that may be preempted.
	preemptible int
	corrections []correction
}

// sizeCount counts the upstreams that have the same capacity.
type sizeCount struct {
	capacity state.Vector
	count    int
}

func (m *Machine) service(name state.Service) *service {
	s, ok := m.services[name]
	if !ok {
		s = &service{}
		m.services[name] = s
	}
	return s
}

func (s *service) addSize(capacity state.Vector) {
	for i := range s.sizes {
		if s.sizes[i].capacity == capacity {
			s.sizes[i].count++
			return
		}
	}
	s.sizes = append(s.sizes, sizeCount{capacity: capacity, count: 1})
}

func (s *service) removeSize(capacity state.Vector) {
	for i := range s.sizes {
		if s.sizes[i].capacity != capacity {
			continue
		}
		s.sizes[i].count--
		if s.sizes[i].count == 0 {
			s.sizes = slices.Delete(s.sizes, i, i+1)
		}
		return
	}
}

// closestFit reports whether an empty upstream can hold the amount. If none can, it
// returns the part of the amount that the best suited upstream can hold.
func (s *service) closestFit(each state.Vector) (state.Vector, bool) {
	var best state.Vector
	bestShare := -1.0
	for _, size := range s.sizes {
		if each.Fits(size.capacity) {
			return each, true
		}
		if share := coveredShare(each, size.capacity); share > bestShare {
			bestShare = share
			best = each.Min(size.capacity)
		}
	}
	return best, false
}

// coveredShare returns the fraction of the amount that the capacity covers, which is
// the smallest over all kinds of resource.
func coveredShare(each, capacity state.Vector) float64 {
	share := 1.0
	for _, part := range parts(each, capacity) {
		if part.demand > 0 {
			share = min(share, float64(part.have)/float64(part.demand))
		}
	}
	return share
}

// placesWhenEmpty returns how many tasks of the size fit on all upstreams together when
// these are empty.
func (s *service) placesWhenEmpty(each state.Vector) int {
	places := 0
	for _, size := range s.sizes {
		places += size.count * fitCount(each, size.capacity)
	}
	return places
}

// part is, for one kind of resource, what is needed and what is available.
type part struct{ demand, have int64 }

func parts(demand, have state.Vector) [4]part {
	return [4]part{
		{demand.CPUMilli, have.CPUMilli},
		{demand.MemoryMB, have.MemoryMB},
		{demand.Accelerators, have.Accelerators},
		{demand.Slots, have.Slots},
	}
}

// maxFit is the result of fitCount for a zero amount, which would fit any number of
// times.
const maxFit = 1 << 20

// fitCount returns how many times the amount fits into what is available.
func fitCount(each, have state.Vector) int {
	count := int64(maxFit)
	for _, p := range parts(each, have) {
		if p.demand > 0 {
			count = min(count, max(p.have, 0)/p.demand)
		}
	}
	return int(count)
}
