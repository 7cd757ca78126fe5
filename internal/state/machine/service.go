package machine

import (
	"slices"

	"github.com/samphirerail/samphirerail/internal/state"
)

// service is the machine's record of the upstreams of one customer service.
type service struct {
	upstreams int
	// unknown counts the upstreams where work of an earlier owner may run.
	unknown int
	ejected int
	// failing is the recent share of fast failures over all upstreams.
	failing float64
	sizes   []sizeCount
	// reserved is the gang that upstreams are held for, and held are these.
	reserved *job
	held     []*upstream
	// holdEnds is when the hold ends at the latest; backfillEnds is when the
	// work that is placed on held upstreams meanwhile has to have ended.
	holdEnds     state.Time
	backfillEnds state.Time
	// preemptAt is the next time at which tasks may be stopped for others.
	preemptAt state.Time
	// preemptible counts running tasks that may be stopped for others.
	preemptible int
	corrections []correction
}

// sizeCount is how many upstreams have a capacity.
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

// nearest reports whether an empty upstream holds the amount, and else the
// part of it that the best suited upstream holds.
func (s *service) nearest(each state.Vector) (state.Vector, bool) {
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

// coveredShare is the smallest part of the amount that the capacity covers.
func coveredShare(each, capacity state.Vector) float64 {
	share := 1.0
	for _, part := range parts(each, capacity) {
		if part.need > 0 {
			share = min(share, float64(part.have)/float64(part.need))
		}
	}
	return share
}

// roomWhenEmpty is how many tasks of the size fit on all upstreams together.
func (s *service) roomWhenEmpty(each state.Vector) int {
	room := 0
	for _, size := range s.sizes {
		room += size.count * fitCount(each, size.capacity)
	}
	return room
}

// part is one kind of an amount that is needed beside what there is.
type part struct{ need, have int64 }

func parts(need, have state.Vector) [4]part {
	return [4]part{
		{need.CPUMilli, have.CPUMilli},
		{need.MemoryMB, have.MemoryMB},
		{need.Accelerators, have.Accelerators},
		{need.Slots, have.Slots},
	}
}

// maxFit bounds the answer of fitCount for an amount of nothing.
const maxFit = 1 << 20

// fitCount is how many times the amount fits into what there is.
func fitCount(each, have state.Vector) int {
	count := int64(maxFit)
	for _, p := range parts(each, have) {
		if p.need > 0 {
			count = min(count, max(p.have, 0)/p.need)
		}
	}
	return int(count)
}
