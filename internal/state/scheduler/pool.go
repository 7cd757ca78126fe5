package scheduler

import (
	"cmp"
	"slices"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// pool holds the usable upstreams of a service during one Plan.
type pool struct {
	service workload.ServiceName
	members []member
	// maxFree is the largest free amount of each resource, not necessarily on the same
	// upstream, when freedSeq was maxFreeSeq. It may be too large by what was placed since.
	maxFree    state.Vector
	maxFreeSeq uint64
	// placements counts the placements since maxFree was computed.
	placements int
	// capacity and used are the sums over the members.
	capacity, used state.Vector
	// domains holds the room in each failure domain.
	domains []domainRoom
	// reservations counts the gangs that wait for reserved upstreams.
	reservations int
	// fastest and slowest bound the speed factors of most members.
	fastest, slowest float64
}

// maxFreePlacements is the number of placements after which maxFree is computed again.
const maxFreePlacements = 32

// member is a usable upstream with the health part of its cost.
type member struct {
	u *upstream
	// index is the position in the pool.
	index int
	cost  float64
	// speed is the rounded factor by which tasks run longer than on a usual upstream, and
	// slowness the temporary one.
	speed, slowness float64
	// lateLease is set while runs there may outlast the owner's leases.
	lateLease bool
	// reserved is set while a gang that ranks before all later steps waits for the
	// upstream to become free.
	reserved bool
	// reservedFor is the step of that gang.
	reservedFor *step
	// earmarks holds the capacity that is reserved for steps.
	earmarks []*earmark
}

// usable reports whether tasks may be placed on an upstream.
func (s *Scheduler) usable(now state.Time, u *upstream) bool {
	return u.listed && u.polled && !u.unreachable && !u.suspected && !u.Draining && !s.isEvacuated(u) && !u.coldPaused(now) && u.health.recentFaults(now) < avoidFaults
}

// pool returns the usable upstreams of a service.
func (s *Scheduler) pool(now state.Time, service workload.ServiceName) *pool {
	if pl := s.pools[service]; pl != nil {
		return pl
	}
	pl := &pool{service: service, members: make([]member, 0, len(s.byService[service]))}
	for _, u := range s.byService[service] {
		if u.trial != nil || !s.usable(now, u) {
			u.member = nil
			continue
		}
		if u.member == nil {
			s.noteFreed(u)
		}
		pl.capacity, pl.used = pl.capacity.Add(u.Capacity), pl.used.Add(u.used)
		pl.addRoom(u)
		pl.members = append(pl.members, member{
			u: u, index: len(pl.members), cost: float64(int(u.health.cost(now)/costStep))*costStep + u.coldCostAt(now),
			speed: u.speed(), slowness: u.health.currentSlowness(now), lateLease: now < u.lateLeaseUntil,
		})
		u.member = &pl.members[len(pl.members)-1]
	}
	pl.boundSpeeds()
	s.attachEarmarks(pl)
	pl.updateMaxFree(s.freedSeq)
	s.pools[service] = pl
	return pl
}

// notePlaced updates the pool after the placement of a task.
func (p *pool) notePlaced(u *upstream, demand state.Vector, freedSeq uint64) {
	p.used = p.used.Add(demand)
	if r := p.room(u.Domain); r != nil {
		r.used = r.used.Add(demand)
	}
	if p.placements++; p.placements >= maxFreePlacements {
		p.updateMaxFree(freedSeq)
	}
}

// endReservations makes the reserved upstreams available to the next plan.
func (s *Scheduler) endReservations(p *pool) {
	for i := range p.members {
		if p.members[i].reserved {
			s.noteFreed(p.members[i].u)
		}
	}
}

// backgroundShare is the share of a pool's capacity, and of a workspace's maximum, up to
// which background steps are placed. The rest is headroom for work that can still meet its
// objective: it would otherwise find all upstreams full of runs that nobody waits for.
const backgroundShare = 0.9

// hasHeadroom reports whether the use of a pool and of a workspace leaves enough capacity
// and quota to other work for a background task that needs each.
func (s *Scheduler) hasHeadroom(name workload.WorkspaceName, each state.Vector, p *pool) bool {
	used, capacity := p.used.CPUMilli, p.capacity.CPUMilli
	if each.Accelerators > 0 {
		used, capacity = p.used.Accelerators, p.capacity.Accelerators
	}
	return float64(used) < backgroundShare*float64(capacity) && s.withinShareOfMaximum(name, state.Vector{}, backgroundShare)
}

// maxReservations bounds the gangs that reserve upstreams at a time, and with them the
// accelerators that stay idle.
const maxReservations = 2

// reserve withholds the upstreams that are closest to having capacity for a gang, or for one
// task of a step that was passed over too long, from the lower-ranked steps of this plan.
// Otherwise narrower tasks would take all capacity that becomes free, and the gang or the
// wide task would never start.
func (p *pool) reserve(st *step, tasks int, needsAdvice bool, freedSeq uint64) {
	if (!st.spec.Gang && !st.promoted) || p.reservations >= maxReservations {
		return
	}
	if !st.spec.Gang {
		tasks = 1
	}
	demand := st.spec.Demand()
	var usable []*member
	for i := range p.members {
		m := &p.members[i]
		if !m.reserved && !m.earmarked(st) && st.allows(m.u) && demand.Fits(withSlots(m.u.Capacity)) && (!needsAdvice || st.tickets[m.u.ID].allowed) {
			usable = append(usable, m)
		}
	}
	slices.SortFunc(usable, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.u.freeFraction(false)+a.u.freeFraction(true), b.u.freeFraction(false)+b.u.freeFraction(true))*-1, cmp.Compare(a.u.ID, b.u.ID))
	})
	for n, m := range usable {
		if tasks <= 0 {
			usable = usable[:n]
			break
		}
		tasks -= m.capacityFor(st)
	}
	if tasks > 0 {
		return
	}
	p.reservations++
	for _, m := range usable {
		m.reserved, m.reservedFor = true, st
	}
	p.updateMaxFree(freedSeq)
}

// capacityFor returns how many tasks of a step fit on the empty upstream.
func (m *member) capacityFor(st *step) int { return placesOn(st.spec, m.u.Capacity) }

// placesOn returns how many tasks of a step fit a capacity, at most all of them.
func placesOn(spec *workload.Step, capacity state.Vector) int {
	demand, n := spec.Demand(), 0
	for free := withSlots(capacity); demand.Fits(free); free = free.Sub(demand) {
		if n++; n == spec.MaxPerUpstream || n == spec.Count {
			break
		}
	}
	return n
}

// updateMaxFree computes maxFree over the upstreams that are not reserved.
func (p *pool) updateMaxFree(freedSeq uint64) {
	p.maxFree, p.maxFreeSeq, p.placements = state.Vector{}, freedSeq, 0
	for i := range p.members {
		if !p.members[i].reserved {
			p.maxFree = p.maxFree.Max(p.members[i].u.free())
		}
	}
	p.maxFree.Slots = unboundedSlots
}
