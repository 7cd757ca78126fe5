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
		m.queue.Block(&j.item, queue.Room)
		m.watchGang(j)
		return
	}
	m.releaseGangHold(j)
	m.startAll(j, vms)
}

// pickGang finds upstreams for all pending tasks. Upstreams on probation are
// left out, since one failure stops the whole gang.
func (m *Machine) pickGang(j *job, req cell.Request) ([]state.VMID, bool) {
	vms, ok := m.cell.PickMany(req, len(j.pending))
	for ok {
		probed := m.onProbation(vms, req.Avoid)
		if len(probed) == 0 {
			return vms, true
		}
		req.Avoid = append(req.Avoid, probed...)
		vms, ok = m.cell.PickMany(req, len(j.pending))
	}
	return nil, false
}

func (m *Machine) onProbation(vms, known []state.VMID) []state.VMID {
	var probed []state.VMID
	for _, vm := range vms {
		if m.upstreams[vm].health.ejected && !slices.Contains(known, vm) && !slices.Contains(probed, vm) {
			probed = append(probed, vm)
		}
	}
	return probed
}

// watchGang looks at a gang again when it has waited for long.
func (m *Machine) watchGang(j *job) {
	if j.watched {
		return
	}
	j.watched = true
	m.timers.add(&timer{at: m.now + m.cfg.GangPatience, kind: timerGangPatience, job: j})
}

// gangWaitsLong holds upstreams for a gang that waits for room, so that other
// work does not keep it waiting. One gang of a service at a time has any.
func (m *Machine) gangWaitsLong(j *job) {
	j.watched = false
	if !j.item.Queued() || m.queue.Blocked(&j.item) != queue.Room {
		return
	}
	s := m.service(j.spec.Service)
	if s.reserved != nil {
		m.watchGang(j)
		return
	}
	m.holdUpstreams(s, j)
	if s.reserved != j {
		m.watchGang(j)
		return
	}
	m.timers.add(&timer{at: m.now + m.cfg.GangHold, kind: timerGangHold, job: j})
	m.heldGangs = append(m.heldGangs, j)
}

// holdUpstreams chooses the upstreams with the most room, as many as the gang
// needs when they are empty.
func (m *Machine) holdUpstreams(s *service, j *job) {
	type candidate struct {
		up        *upstream
		free, all int
	}
	var candidates []candidate
	for _, u := range m.upstreams {
		if u.service != j.spec.Service || u.readiness() != cell.Ready || u.health.ejected {
			continue
		}
		rec, _ := m.cell.Get(u.vm)
		candidates = append(candidates, candidate{up: u, free: fitCount(j.amount, rec.Free), all: fitCount(j.amount, u.drained())})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.free != b.free {
			return b.free - a.free
		}
		if a.all != b.all {
			return b.all - a.all
		}
		return compareVM(a.up, b.up)
	})
	room, count := 0, 0
	for room < len(j.slots) && count < len(candidates) {
		room += candidates[count].all
		count++
	}
	if room < len(j.slots) {
		return
	}
	s.reserved = j
	s.holdEnds = m.now + m.cfg.GangHold
	s.backfillEnds = m.now
	for _, c := range candidates[:count] {
		c.up.holder = j
		s.held = append(s.held, c.up)
		m.refreshReadiness(c.up)
	}
	m.allowBackfill(s)
}

// drained is what the upstream has free once its tasks have ended, other than
// those of standing jobs.
func (u *upstream) drained() state.Vector {
	free := u.capacity
	for _, a := range u.tasks {
		if a.job.spec.Class == state.ClassStanding && !a.released {
			free = free.Sub(a.amount)
		}
	}
	return free
}

// tryHeldGang starts a gang on the upstreams held for it once they have room.
func (m *Machine) tryHeldGang(j *job) {
	s := m.service(j.spec.Service)
	if s.reserved != j || !j.item.Queued() {
		return
	}
	if !m.allows(m.team(j.spec.Team), j.amount.Scale(int64(len(j.pending)))) {
		// Held upstreams are of no use to a team at its limit.
		m.releaseGangHold(j)
		m.watchGang(j)
		return
	}
	var vms []state.VMID
	for _, u := range s.held {
		rec, ok := m.cell.Get(u.vm)
		if !ok || !u.takesHeldWork() {
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
	m.releaseGangHold(j)
}

func (m *Machine) gangHoldOver(j *job) {
	if m.service(j.spec.Service).reserved != j {
		return
	}
	m.releaseGangHold(j)
	if j.item.Queued() {
		m.watchGang(j)
	}
}

// releaseGangHold gives the upstreams held for a gang back to all work.
func (m *Machine) releaseGangHold(j *job) {
	s := m.service(j.spec.Service)
	if s.reserved != j {
		return
	}
	held := s.held
	s.reserved = nil
	s.held = nil
	for _, u := range held {
		u.holder = nil
		if m.upstreams[u.vm] == u {
			m.refreshReadiness(u)
		}
	}
}

// dropHold takes an upstream that is gone out of a gang's hold.
func (m *Machine) dropHold(u *upstream) {
	if u.holder == nil {
		return
	}
	m.releaseGangHold(u.holder)
}

// regrouped lets a gang wait again once all it had started is proved to have
// ended.
func (m *Machine) regrouped(j *job) {
	j.regroup = false
	if j.ran != ranNever && !j.restartable() {
		m.finish(j, state.JobUnknown, refusalOutcomeUnknown("the gang was stopped because one of its tasks could not run"))
		return
	}
	if m.resigned {
		m.finishResigned(j)
		return
	}
	j.done = 0
	for i := range j.slots {
		j.slots[i].done = false
		j.slots[i].output = nil
	}
	j.pending = nil
	j.state = state.JobQueued
	m.delay(j, allTasks, m.backoff(taskID(j.spec.ID, 0, j.slots[0].attempt), max(j.retries, 1)))
}
