package machine

import (
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/cell"
	"github.com/samphirerail/samphirerail/internal/state/queue"
)

// schedule places queued jobs until none is known to fit.
func (m *Machine) schedule() {
	if m.resigned || m.evacuated {
		return
	}
	for _, j := range m.gangsToRetry {
		m.tryReservedGang(j)
	}
	m.gangsToRetry = m.gangsToRetry[:0]
	for it := m.queue.Next(); it != nil; it = m.queue.Next() {
		m.place(m.jobs[it.Job])
	}
}

// place starts the next pending task of a queued job, or all tasks of a gang, or marks
// the job as blocked. In each case the queue advances.
func (m *Machine) place(j *job) {
	if j.spec.IssuedBeforeTakeover && m.service(j.spec.Service).unreconciled > 0 {
		m.deferUntilReconciled(j)
		return
	}
	if !m.allows(m.team(j.spec.Team), j.amount.Scale(int64(j.item.MinTasks))) {
		m.queue.Block(&j.item, queue.OverTeamLimit)
		return
	}
	switch {
	case j.gang():
		m.placeGang(j)
	case j.spec.Class == state.ClassStanding:
		m.placeStanding(j)
	default:
		m.placeOne(j, nil)
	}
}

// deferUntilReconciled takes a job out of the queue until every upstream of its service
// has been fenced, because an earlier owner may have started it.
func (m *Machine) deferUntilReconciled(j *job) {
	m.queue.Remove(&j.item)
	j.awaitingReconcile = true
	m.awaitingReconcile = append(m.awaitingReconcile, j)
}

// placeOne starts the next pending task of a job, preferably on a rack with few of its
// siblings.
func (m *Machine) placeOne(j *job, siblings []state.VMID) {
	index := j.pending[0]
	if m.startAlone(j, index) {
		j.pending = j.pending[1:]
		m.placed(j)
		return
	}
	req := cell.Request{Service: j.spec.Service, Each: j.amount, Spread: len(siblings) > 0, Placed: siblings}
	if vm := j.tasks[index].avoid; vm != "" {
		req.Avoid = []state.VMID{vm}
	}
	vm, ok := m.pick(j, req)
	if !ok && len(req.Avoid) > 0 {
		req.Avoid = nil
		vm, ok = m.pick(j, req)
	}
	if !ok {
		vm, ok = m.pickReserved(j)
	}
	if !ok {
		m.queue.Block(&j.item, queue.NoCapacity)
		return
	}
	if !m.start(j, index, vm) {
		m.queue.Block(&j.item, queue.NoCapacity)
		return
	}
	j.pending = j.pending[1:]
	m.placed(j)
}

// pick returns an upstream for one task. Only tasks that may be started again are
// placed on an ejected upstream as a probe.
func (m *Machine) pick(j *job, req cell.Request) (state.VMID, bool) {
	vm, ok := m.cell.Pick(req)
	for ok && m.upstreams[vm].health.ejected && !j.restartable() {
		req.Avoid = append(req.Avoid, vm)
		vm, ok = m.cell.Pick(req)
	}
	return vm, ok
}

// placeStanding starts the pending tasks of a standing job, spread over racks when all
// of them fit, otherwise one at a time.
func (m *Machine) placeStanding(j *job) {
	var siblings []state.VMID
	for i := range j.tasks {
		if a := j.tasks[i].current; a != nil {
			siblings = append(siblings, a.up.vm)
		}
	}
	n := len(j.pending)
	if n > 1 && !j.suspected() && m.allows(m.team(j.spec.Team), j.amount.Scale(int64(n))) {
		req := cell.Request{Service: j.spec.Service, Each: j.amount, Spread: true, Placed: siblings}
		if vms, ok := m.cell.PickMany(req, n); ok {
			m.startAll(j, vms)
			return
		}
	}
	m.placeOne(j, siblings)
}

// startAll starts the next pending task of a job on each of the upstreams, in order.
func (m *Machine) startAll(j *job, vms []state.VMID) {
	for _, vm := range vms {
		if !m.start(j, j.pending[0], vm) {
			break
		}
		j.pending = j.pending[1:]
	}
	m.placed(j)
}

// placed updates a job after tasks were started, and dequeues it when none is pending.
func (m *Machine) placed(j *job) {
	j.state = state.JobRunning
	if len(j.pending) > 0 {
		return
	}
	j.pending = nil
	m.dequeue(j)
	t := m.team(j.spec.Team)
	t.dequeueRate.observe(m.now, t.queued > 0)
}

// start commits the amount of a task and starts it. It reports false and changes
// nothing when the upstream has too little free.
func (m *Machine) start(j *job, index int, vm state.VMID) bool {
	u := m.upstreams[vm]
	s := &j.tasks[index]
	a := &attempt{
		id:       taskID(j.spec.ID, index, s.attempt+1),
		job:      j,
		index:    index,
		up:       u,
		amount:   j.amount,
		phase:    phaseStarting,
		backfill: u.reservedFor != nil && u.reservedFor != j,
	}
	if !m.commit(a) {
		return false
	}
	s.attempt++
	s.current = a
	s.avoid = ""
	if u.health.ejected {
		m.markProbe(a)
	}
	m.emit(Start{
		Task: a.id, VM: vm, Incarnation: u.incarnation,
		Job: j.spec, Index: index, Wait: j.spec.Class == state.ClassRequest,
	})
	return true
}
