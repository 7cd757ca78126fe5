package machine

import (
	"slices"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/cell"
)

// maxPastIncarnations is how many earlier incarnations of a VM are remembered.
const maxPastIncarnations = 16

// readiness tells whether the upstream takes new work.
func (u *upstream) readiness() cell.Readiness {
	switch {
	case !u.fenced:
		return cell.Unfenced
	case u.leaving:
		return cell.Leaving
	case u.silent || u.faulted || u.holder != nil:
		return cell.Silent
	case u.health.ejected && !u.health.mayProbe:
		return cell.Ejected
	}
	return cell.Ready
}

// refreshReadiness brings the cell's record up to date.
func (m *Machine) refreshReadiness(u *upstream) {
	r := u.readiness()
	m.cell.SetReadiness(u.vm, r)
	if r != cell.Ready {
		return
	}
	if rec, ok := m.cell.Get(u.vm); ok {
		m.queue.Freed(u.service, rec.Free)
	}
}

func (m *Machine) joined(ev UpstreamJoined) {
	if _, ok := m.upstreams[ev.VM]; ok {
		return
	}
	u := &upstream{vm: ev.VM, rack: ev.Rack, service: ev.Service, capacity: ev.Capacity, unknown: true}
	m.upstreams[ev.VM] = u
	s := m.service(ev.Service)
	s.upstreams++
	s.unknown++
	s.addSize(ev.Capacity)
	m.unknown = m.unknown.Add(ev.Capacity)
	m.cell.Put(cell.Upstream{VM: u.vm, Rack: u.rack, Service: u.service, Capacity: u.capacity, Readiness: cell.Unfenced})
}

// resolveUnknown ends the time in which work of an earlier owner may run on
// the upstream.
func (m *Machine) resolveUnknown(u *upstream) {
	if !u.unknown {
		return
	}
	u.unknown = false
	m.unknown = m.unknown.Sub(u.capacity)
	s := m.service(u.service)
	s.unknown--
	m.queue.LimitsFreed()
	if s.unknown == 0 {
		m.allKnown(u.service)
	}
}

// allKnown lets jobs go on that waited until every upstream of the service was
// fenced.
func (m *Machine) allKnown(service state.Service) {
	waiting := m.waiting
	m.waiting = nil
	for _, j := range waiting {
		switch {
		case !j.held:
		case j.spec.Service != service:
			m.waiting = append(m.waiting, j)
		default:
			j.held = false
			m.enqueue(j)
		}
	}
	partial := m.partial
	m.partial = nil
	for _, j := range partial {
		if j.spec.Service != service {
			m.partial = append(m.partial, j)
			continue
		}
		m.settle(j)
	}
}

func (m *Machine) silent(vm state.VMID) {
	if u, ok := m.upstreams[vm]; ok {
		u.silent = true
		m.refreshReadiness(u)
	}
}

// back takes a silent upstream into use again and repeats what it may have
// missed.
func (m *Machine) back(vm state.VMID) {
	u, ok := m.upstreams[vm]
	if !ok || !u.silent {
		return
	}
	u.silent = false
	m.refreshReadiness(u)
	for _, a := range u.tasks {
		switch {
		case a.phase == phaseResolving:
			m.emit(ResolveStart{Task: a.id, VM: vm, Cancel: true})
		case a.verb != "":
			m.emit(Stop{Task: a.id, VM: vm, Verb: a.verb})
		}
	}
}

// fault keeps an upstream that refused a start for a fault of its own from new
// work for a while.
func (m *Machine) fault(u *upstream) {
	if u.faulted {
		return
	}
	u.faulted = true
	m.refreshReadiness(u)
	m.timers.add(&timer{at: m.now + m.cfg.FaultPause, kind: timerFault, up: u})
}

func (m *Machine) faultOver(u *upstream) {
	u.faulted = false
	if m.upstreams[u.vm] == u {
		m.refreshReadiness(u)
	}
}

func (m *Machine) setLeaving(vm state.VMID, leaving bool) {
	if u, ok := m.upstreams[vm]; ok {
		u.leaving = leaving
		m.refreshReadiness(u)
	}
}

// leaseLapsed takes in that everything on the upstream was stopped.
func (m *Machine) leaseLapsed(vm state.VMID) {
	u, ok := m.upstreams[vm]
	if !ok || !u.fenced {
		return
	}
	u.fenced = false
	m.refreshReadiness(u)
	m.loseAll(u)
}

func (m *Machine) gone(vm state.VMID) {
	u, ok := m.upstreams[vm]
	if !ok {
		return
	}
	u.leaving = true
	m.refreshReadiness(u)
	m.loseAll(u)
	m.dropHold(u)
	s := m.service(u.service)
	s.upstreams--
	s.removeSize(u.capacity)
	if u.health.ejected {
		s.ejected--
	}
	if u.incarnation != "" {
		m.capacity = m.capacity.Sub(u.capacity)
		m.refreshShares()
	}
	delete(m.upstreams, vm)
	m.cell.Remove(vm)
	m.resolveUnknown(u)
}

// loseAll takes in that every attempt on an upstream ended without a result.
func (m *Machine) loseAll(u *upstream) {
	for _, a := range slices.Clone(u.tasks) {
		m.lose(a)
	}
}

// lose takes in that an attempt ended, or never started, without a result.
func (m *Machine) lose(a *attempt) {
	j := a.job
	j.ran = max(j.ran, ranMaybe)
	started := a.started
	m.release(a)
	s := &j.slots[a.index]
	if s.current != a {
		m.afterProof(j)
		return
	}
	s.current = nil
	if started {
		j.ran = ranCertainly
	}
	if j.state.Ended() {
		return
	}
	m.advanceLost(a)
	m.afterProof(j)
}

func (m *Machine) advanceLost(a *attempt) {
	j := a.job
	switch {
	case j.ending != nil || j.regroup:
	case !j.restartable():
		m.finish(j, state.JobUnknown, refusalOutcomeUnknown("the upstream "+string(a.up.vm)+" was lost with a task of the job"))
	case m.resigned:
		j.pending = nil
	case j.spec.Class == state.ClassStanding:
		m.restartStanding(a, 0)
	default:
		m.retry(a, "the upstream "+string(a.up.vm)+" was lost")
	}
}
