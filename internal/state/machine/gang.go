package machine

import (
	"slices"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/cell"
	"github.com/samphirerail/samphirerail/internal/state/queue"
)

// placeGang starts all tasks of a gang at once, or none.
func (m *Machine) placeGang(j *job) {
	req := cell.Request{Service: j.spec.Service, Each: j.amount}
	vms, ok := m.pickGang(j, req)
	if !ok {
		m.queue.Block(&j.item, queue.NoCapacity)
		m.scheduleReservation(j)
		return
	}
	m.releaseReservation(j)
	m.startAll(j, vms)
}

// pickGang returns upstreams for all pending tasks. Ejected upstreams that may be
// probed are left out, because a single failure would stop the whole gang.
func (m *Machine) pickGang(j *job, req cell.Request) ([]state.VMID, bool) {
	vms, ok := m.cell.PickMany(req, len(j.pending))
	for ok {
		probed := m.ejectedAmong(vms, req.Avoid)
		if len(probed) == 0 {
			return vms, true
		}
		req.Avoid = append(req.Avoid, probed...)
		vms, ok = m.cell.PickMany(req, len(j.pending))
	}
	return nil, false
}

func (m *Machine) ejectedAmong(vms, known []state.VMID) []state.VMID {
	var probed []state.VMID
	for _, vm := range vms {
		if m.upstreams[vm].health.ejected && !slices.Contains(known, vm) && !slices.Contains(probed, vm) {
			probed = append(probed, vm)
		}
	}
	return probed
}

// scheduleReservation sets the timer after which upstreams are reserved for a gang that
// is still waiting.
func (m *Machine) scheduleReservation(j *job) {
	if j.recheckScheduled {
		return
	}
	j.recheckScheduled = true
	m.timers.add(&timer{at: m.now + m.cfg.GangReserveAfter, kind: timerGangWait, job: j})
}

// gangWaitExceeded reserves upstreams for a gang that waits for capacity, so that other
// work does not starve it. Only one gang of a service has a reservation at a time.
func (m *Machine) gangWaitExceeded(j *job) {
	j.recheckScheduled = false
	if !j.item.Queued() || m.queue.Blocked(&j.item) != queue.NoCapacity {
		return
	}
	s := m.service(j.spec.Service)
	if s.reservedFor != nil {
		m.scheduleReservation(j)
		return
	}
	m.reserveUpstreams(s, j)
	if s.reservedFor != j {
		m.scheduleReservation(j)
		return
	}
	m.timers.add(&timer{at: m.now + m.cfg.GangReserveFor, kind: timerReservation, job: j})
	m.gangsToRetry = append(m.gangsToRetry, j)
}

// reserveUpstreams reserves the upstreams with the most free capacity, as many as the
// gang needs when they are drained. It reserves none when all upstreams together are
// too small.
func (m *Machine) reserveUpstreams(s *service, j *job) {
	type candidate struct {
		up                *upstream
		free, whenDrained int
	}
	var candidates []candidate
	for _, u := range m.upstreams {
		if u.service != j.spec.Service || u.readiness() != cell.Ready || u.health.ejected {
			continue
		}
		rec, _ := m.cell.Get(u.vm)
		candidates = append(candidates, candidate{up: u, free: fitCount(j.amount, rec.Free), whenDrained: fitCount(j.amount, u.freeWhenDrained())})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.free != b.free {
			return b.free - a.free
		}
		if a.whenDrained != b.whenDrained {
			return b.whenDrained - a.whenDrained
		}
		return compareVM(a.up, b.up)
	})
	places, count := 0, 0
	for places < len(j.tasks) && count < len(candidates) {
		places += candidates[count].whenDrained
		count++
	}
	if places < len(j.tasks) {
		return
	}
	s.reservedFor = j
	s.reservationEnds = m.now + m.cfg.GangReserveFor
	s.backfillEnds = m.now
	for _, c := range candidates[:count] {
		c.up.reservedFor = j
		s.reservedUpstreams = append(s.reservedUpstreams, c.up)
		m.refreshReadiness(c.up)
	}
	m.allowBackfill(s)
}

// freeWhenDrained returns what is free on the upstream once all its tasks other than
// those of standing jobs have ended.
func (u *upstream) freeWhenDrained() state.Vector {
	free := u.capacity
	for _, a := range u.attempts {
		if a.job.spec.Class == state.ClassStanding && !a.released {
			free = free.Sub(a.amount)
		}
	}
	return free
}

// tryReservedGang starts a gang on the upstreams reserved for it once they have enough
// free capacity.
func (m *Machine) tryReservedGang(j *job) {
	s := m.service(j.spec.Service)
	if s.reservedFor != j || !j.item.Queued() {
		return
	}
	if !m.allows(m.team(j.spec.Team), j.amount.Scale(int64(len(j.pending)))) {
		// A reservation is of no use while the team is at its limit.
		m.releaseReservation(j)
		m.scheduleReservation(j)
		return
	}
	var vms []state.VMID
	for _, u := range s.reservedUpstreams {
		rec, ok := m.cell.Get(u.vm)
		if !ok || !u.canStart() {
			continue
		}
		for range min(fitCount(j.amount, rec.Free), len(j.pending)-len(vms)) {
			vms = append(vms, u.vm)
		}
	}
	if len(vms) < len(j.pending) {
		m.allowBackfill(s)
		return
	}
	m.startAll(j, vms)
	m.releaseReservation(j)
}

func (m *Machine) reservationExpired(j *job) {
	if m.service(j.spec.Service).reservedFor != j {
		return
	}
	m.releaseReservation(j)
	if j.item.Queued() {
		m.scheduleReservation(j)
	}
}

// releaseReservation makes the upstreams reserved for a gang available to all work
// again.
func (m *Machine) releaseReservation(j *job) {
	s := m.service(j.spec.Service)
	if s.reservedFor != j {
		return
	}
	reserved := s.reservedUpstreams
	s.reservedFor = nil
	s.reservedUpstreams = nil
	for _, u := range reserved {
		u.reservedFor = nil
		if m.upstreams[u.vm] == u {
			m.refreshReadiness(u)
		}
	}
}

// dropReservation releases the reservation that includes an upstream which was removed.
func (m *Machine) dropReservation(u *upstream) {
	if u.reservedFor == nil {
		return
	}
	m.releaseReservation(u.reservedFor)
}

// requeueGang queues a gang again once the end of all its attempts is confirmed.
func (m *Machine) requeueGang(j *job) {
	j.gangRestart = false
	if j.ran != ranNever && !j.restartable() {
		m.finish(j, state.JobUnknown, refusalOutcomeUnknown("the gang was stopped because one of its tasks could not run"))
		return
	}
	if m.resigned {
		m.finishResigned(j)
		return
	}
	j.done = 0
	for i := range j.tasks {
		j.tasks[i].done = false
		j.tasks[i].output = nil
	}
	j.pending = nil
	j.state = state.JobQueued
	m.scheduleRetry(j, allTasks, m.backoff(taskID(j.spec.ID, 0, j.tasks[0].attempt), max(j.retries, 1)))
}
