package scheduler

import (
	"github.com/samphirerail/samphirerail/internal/state"
)

// otherDomainCost is added to the placement cost of upstreams outside the home domain of a job.
// Half a run time is less than what the cut of a domain costs a job that has tasks in it.
const otherDomainCost = 0.5

// domainRoom is the capacity of a pool's members in one failure domain.
type domainRoom struct {
	domain         state.DomainID
	capacity, used state.Vector
}

// freeFraction returns the free fraction of the accelerators, if the domain has any and they
// are asked for, or of the processors.
func (r *domainRoom) freeFraction(accelerators bool) float64 {
	if accelerators && r.capacity.Accelerators > 0 {
		return 1 - float64(r.used.Accelerators)/float64(r.capacity.Accelerators)
	}
	return 1 - float64(r.used.CPUMilli)/float64(max(1, r.capacity.CPUMilli))
}

// room returns the room of a domain, or nil if the pool has no members there.
func (p *pool) room(domain state.DomainID) *domainRoom {
	for i := range p.domains {
		if p.domains[i].domain == domain {
			return &p.domains[i]
		}
	}
	return nil
}

// addRoom adds a member to the room of its domain.
func (p *pool) addRoom(u *upstream) {
	r := p.room(u.Domain)
	if r == nil {
		p.domains = append(p.domains, domainRoom{domain: u.Domain})
		r = &p.domains[len(p.domains)-1]
	}
	r.capacity, r.used = r.capacity.Add(u.Capacity), r.used.Add(u.used)
}

// chooseHome chooses the failure domain in which the tasks of a job are placed where there is
// room, so that the cut of a domain hits one job of several and not a task of nearly every
// job. It is the one with the most room, and is kept for later steps while the pool has members
// there. Long-running tasks are spread: each counts by itself.
func (p *placement) chooseHome() {
	st := p.step
	st.home = ""
	if len(p.pool.domains) < 2 || st.spec.LongRunning || st.spec.Affinity != "" || len(st.job.spec.Steps) == 1 && st.spec.Count == 1 {
		return
	}
	if p.pool.room(st.job.home) == nil {
		accelerators, best := st.spec.Each.Accelerators > 0, 0.0
		for i := range p.pool.domains {
			r := &p.pool.domains[i]
			if free := r.freeFraction(accelerators); i == 0 || free > best {
				st.job.home, best = r.domain, free
			}
		}
	}
	st.home = st.job.home
}

// homeCost returns the part of the placement cost for an upstream outside the home domain.
func (st *step) homeCost(u *upstream) float64 {
	if st.home != "" && u.Domain != st.home {
		return otherDomainCost
	}
	return 0
}
