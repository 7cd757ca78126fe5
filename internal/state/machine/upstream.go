package machine

import (
	"slices"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/cell"
	"github.com/samphirerail/samphirerail/internal/state/crashes"
)

// maxPastIncarnations is how many earlier incarnations of a VM are kept.
const maxPastIncarnations = 16

// readiness returns whether the upstream may get new tasks.
func (u *upstream) readiness() cell.Readiness {
	switch {
	case !u.fenced:
		return cell.Unfenced
	case u.leaving:
		return cell.Leaving
	case u.unreachable || u.faulted || u.reservedFor != nil || u.trial != nil:
		return cell.Unavailable
	case u.health.ejected && !u.health.mayProbe:
		return cell.Ejected
	}
	return cell.Ready
}

// refreshReadiness updates the cell's record, and retries queued jobs if the upstream
// is ready.
func (m *Machine) refreshReadiness(u *upstream) {
	r := u.readiness()
	m.cell.SetReadiness(u.vm, r)
	if r != cell.Ready {
		return
	}
	if rec, ok := m.cell.Get(u.vm); ok {
		m.queue.CapacityFreed(u.service, rec.Free)
	}
}

func (m *Machine) upstreamJoined(ev UpstreamJoined) {
	if _, ok := m.upstreams[ev.VM]; ok {
		return
	}
	u := &upstream{vm: ev.VM, rack: ev.Rack, service: ev.Service, capacity: ev.Capacity, unreconciled: true}
	m.upstreams[ev.VM] = u
	s := m.service(ev.Service)
	s.upstreams++
	s.unreconciled++
	s.addSize(ev.Capacity)
	m.unreconciled = m.unreconciled.Add(ev.Capacity)
	m.cell.Put(cell.Upstream{VM: u.vm, Rack: u.rack, Service: u.service, Capacity: u.capacity, Readiness: cell.Unfenced})
}

// markReconciled records that each task which an earlier owner started on the upstream
// has been adopted or has ended.
func (m *Machine) markReconciled(u *upstream) {
	if !u.unreconciled {
		return
	}
	u.unreconciled = false
	m.unreconciled = m.unreconciled.Sub(u.capacity)
	s := m.service(u.service)
	s.unreconciled--
	m.queue.AllLimitsFreed()
	if s.unreconciled == 0 {
		m.allReconciled(u.service)
	}
}

// allReconciled resumes the jobs that waited until every upstream of the service was
// fenced.
func (m *Machine) allReconciled(service state.Service) {
	waiting := m.awaitingReconcile
	m.awaitingReconcile = nil
	for _, j := range waiting {
		switch {
		case !j.awaitingReconcile:
		case j.spec.Service != service:
			m.awaitingReconcile = append(m.awaitingReconcile, j)
		default:
			j.awaitingReconcile = false
			m.enqueue(j)
		}
	}
	partial := m.partiallyAdopted
	m.partiallyAdopted = nil
	for _, j := range partial {
		if j.spec.Service != service {
			m.partiallyAdopted = append(m.partiallyAdopted, j)
			continue
		}
		m.resolveMissing(j)
	}
}

func (m *Machine) upstreamUnreachable(vm state.VMID, closed bool) {
	if u, ok := m.upstreams[vm]; ok && !u.unreachable {
		u.unreachable, u.unreachableSince, u.closed = true, m.now, closed
		m.outages.Note(string(vm), u.place(), m.now)
		m.refreshReadiness(u)
	}
}

// upstreamReachable puts an upstream that was not responding into use again, and
// resends the commands that it may have missed.
func (m *Machine) upstreamReachable(vm state.VMID) {
	u, ok := m.upstreams[vm]
	if !ok || !u.unreachable {
		return
	}
	u.unreachable, u.closed = false, false
	m.refreshReadiness(u)
	for _, a := range u.attempts {
		switch {
		case a.phase == phaseResolving:
			m.emit(ResolveStart{Task: a.id, VM: vm, Cancel: true})
		case a.verb != "":
			m.emit(Stop{Task: a.id, VM: vm, Verb: a.verb})
		}
	}
}

// pauseAfterFault excludes an upstream that refused a start because of a fault of its
// own from placement for Config.FaultPause.
func (m *Machine) pauseAfterFault(u *upstream) {
	if u.faulted {
		return
	}
	u.faulted = true
	m.refreshReadiness(u)
	m.timers.add(&timer{at: m.now + m.cfg.FaultPause, kind: timerFault, up: u})
}

func (m *Machine) faultPauseEnded(u *upstream) {
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

// leaseExpired handles the expiry of the lease of all tasks on an upstream: they were
// stopped.
func (m *Machine) leaseExpired(vm state.VMID) {
	u, ok := m.upstreams[vm]
	if !ok || !u.fenced {
		return
	}
	u.fenced = false
	m.refreshReadiness(u)
	u.lapsed = m.lostTasks(u)
	m.markAllLost(u)
}

func (m *Machine) upstreamRemoved(vm state.VMID) {
	u, ok := m.upstreams[vm]
	if !ok {
		return
	}
	m.noteCrash(u, crashes.Presumed)
	u.leaving = true
	m.refreshReadiness(u)
	m.markAllLost(u)
	m.dropReservation(u)
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
	m.markReconciled(u)
}

// markAllLost handles that every attempt on an upstream ended without a result.
func (m *Machine) markAllLost(u *upstream) {
	for _, a := range slices.Clone(u.attempts) {
		m.markLost(a)
	}
}

// markLost handles that an attempt ended, or never started, without a result.
func (m *Machine) markLost(a *attempt) {
	j := a.job
	j.ran = max(j.ran, ranUndetermined)
	started := a.started
	m.release(a)
	s := &j.tasks[a.index]
	if s.current != a {
		m.updateJob(j)
		return
	}
	s.current = nil
	if started {
		j.ran = ranConfirmed
	}
	if j.state.Ended() {
		return
	}
	m.handleLost(a)
	m.updateJob(j)
}

func (m *Machine) handleLost(a *attempt) {
	j := a.job
	switch {
	case j.deferred != nil:
	case j.tasks[a.index].crashes.Verdict() == crashes.GiveUp:
		m.giveUp(j, a.index)
	case j.gangRestart:
	case !j.restartable():
		m.finish(j, state.JobUnknown, refusalOutcomeUnknown("the upstream "+string(a.up.vm)+" was lost with a task of the job"))
	case m.resigned:
		j.pending = nil
	case j.spec.Class == state.ClassStanding:
		m.restartStanding(a, 0)
	default:
		m.retryLost(a)
	}
}
