package machine

import (
	"slices"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/cell"
	"github.com/samphirerail/samphirerail/internal/state/crashes"
)

// upstreamFenced puts an upstream into use with exactly the tasks that its worker
// reported.
func (m *Machine) upstreamFenced(ev Fenced) {
	u, ok := m.upstreams[ev.VM]
	if !ok || slices.Contains(u.pastIncarnations, ev.Incarnation) {
		return
	}
	if u.incarnation != "" && u.incarnation != ev.Incarnation {
		m.upstreamRestarted(u)
	}
	m.updateCapacity(u, ev)
	u.fenced = true
	u.unreachable, u.closed = false, false
	u.lapsed = nil
	u.faulted = false
	orphans := m.adopt(u, ev.Tasks)
	m.recomputeFree(u)
	m.refreshReadiness(u)
	m.markReconciled(u)
	if m.service(u.service).unreconciled == 0 {
		m.allReconciled(u.service)
	}
	for _, a := range orphans {
		m.stop(a, StopCancel)
	}
}

// upstreamRestarted handles the restart of a VM: all attempts of its previous
// incarnation have ended.
func (m *Machine) upstreamRestarted(u *upstream) {
	u.pastIncarnations = append(u.pastIncarnations, u.incarnation)
	if len(u.pastIncarnations) > maxPastIncarnations {
		u.pastIncarnations = u.pastIncarnations[1:]
	}
	u.fenced = false
	m.noteCrash(u, crashes.Confirmed)
	u.leaving = false
	m.refreshReadiness(u)
	m.markAllLost(u)
}

// updateCapacity records the incarnation and capacity that the worker reported.
func (m *Machine) updateCapacity(u *upstream, ev Fenced) {
	s := m.service(u.service)
	if u.unreconciled {
		m.unreconciled = m.unreconciled.Sub(u.capacity).Add(ev.Capacity)
	}
	if u.incarnation != "" {
		m.capacity = m.capacity.Sub(u.capacity)
	}
	s.removeSize(u.capacity)
	s.addSize(ev.Capacity)
	u.capacity = ev.Capacity
	u.incarnation = ev.Incarnation
	m.capacity = m.capacity.Add(ev.Capacity)
	m.refreshShares()
}

// recomputeFree sets the free amount of an upstream from the attempts on it. It may be
// negative.
func (m *Machine) recomputeFree(u *upstream) {
	free := u.capacity
	for _, a := range u.attempts {
		if !a.released {
			free = free.Sub(a.amount)
		}
	}
	rec, ok := m.cell.Get(u.vm)
	if ok && rec.Capacity == u.capacity {
		m.cell.Release(u.vm, free.Sub(rec.Free))
		return
	}
	m.cell.Put(cell.Upstream{
		VM: u.vm, Rack: u.rack, Service: u.service,
		Capacity: u.capacity, Free: free, Readiness: u.readiness(),
	})
}

// adopt records the tasks that a worker reported, and returns the orphaned attempts,
// which must be stopped.
func (m *Machine) adopt(u *upstream, tasks []AdoptedTask) []*attempt {
	var orphans []*attempt
	for _, reported := range tasks {
		reported, open := m.withEarlyEnd(reported)
		if !open {
			continue
		}
		a, known := m.attempts[reported.Task]
		switch {
		case known && a.up != u:
		case known && reported.Ended:
			m.endAttempt(a, Ended{Task: reported.Task, End: reported.End, Output: reported.Output})
		case known:
			m.taskStarted(reported.Task)
		case reported.Ended:
			m.adoptEnded(reported)
		default:
			if orphan := m.adoptRunning(u, reported); orphan != nil {
				orphans = append(orphans, orphan)
			}
		}
	}
	return orphans
}

// adoptRunning records a running task that an earlier owner started. It returns the
// attempt when the job has no use for it, so that it must be stopped.
func (m *Machine) adoptRunning(u *upstream, reported AdoptedTask) *attempt {
	j, index, number, ok := m.adoptedJob(reported)
	a := &attempt{id: reported.Task, job: j, index: index, up: u, amount: reported.Job.Each, phase: phaseRunning, started: true}
	if !ok {
		m.track(a)
		return nil
	}
	s := &j.tasks[index]
	startedHere := number >= m.cfg.FirstAttempt && number <= s.attempt
	vacant := s.current == nil && !s.done && !startedHere && j.deferred == nil
	s.attempt = max(s.attempt, number)
	if j.state.Ended() {
		m.track(a)
		if j.state == state.JobUnknown && j.spec.Class != state.ClassStanding {
			return nil
		}
		return a
	}
	j.ran = ranConfirmed
	if !vacant || j.gangRestart {
		m.track(a)
		return a
	}
	s.current = a
	j.pending = slices.DeleteFunc(j.pending, func(i int) bool { return i == index })
	if len(j.pending) == 0 {
		m.dequeue(j)
		j.awaitingReconcile = false
	}
	j.state = state.JobRunning
	m.track(a)
	m.checkAdoptedTeam(j)
	return nil
}

// adoptedJob returns the job of a reported task, rebuilt from the report when it is not
// known. When the task does not fit a known job or its ID is not valid, ok is false and
// the job is a placeholder that is not recorded.
func (m *Machine) adoptedJob(reported AdoptedTask) (j *job, index, number int, ok bool) {
	id, index, number, err := splitTaskID(reported.Task)
	if err != nil || index < 0 {
		return m.rebuild(reported.Job, 1), 0, 0, false
	}
	j, known := m.jobs[id]
	if !known {
		reported.Job.ID = id
		j = m.rebuild(reported.Job, index+1)
		m.jobs[id] = j
		m.partiallyAdopted = append(m.partiallyAdopted, j)
	}
	if index >= len(j.tasks) {
		return m.rebuild(reported.Job, index+1), index, number, false
	}
	return j, index, number, true
}

// rebuild returns a job record made from the labels of one of its tasks, with at least
// minTasks tasks.
func (m *Machine) rebuild(spec state.Job, minTasks int) *job {
	spec.Tasks = max(spec.Tasks, minTasks)
	spec.Payload = nil
	j := &job{
		spec: &spec, adopted: true, amount: spec.Each, state: state.JobRunning,
		arrived: m.now, tasks: make([]taskRecord, spec.Tasks), ran: ranUndetermined,
	}
	for i := range j.tasks {
		j.tasks[i].attempt = m.cfg.FirstAttempt - 1
	}
	return j
}

// checkAdoptedTeam withdraws adopted work of a team that has no quota.
func (m *Machine) checkAdoptedTeam(j *job) {
	if m.quotasSet && !m.team(j.spec.Team).hasQuota {
		m.withdraw(j)
	}
}

// adoptEnded records a task that ended under an earlier owner.
func (m *Machine) adoptEnded(reported AdoptedTask) {
	if reported.End == EndNotRun {
		return
	}
	j, index, number, ok := m.adoptedJob(reported)
	if !ok || j.state.Ended() {
		return
	}
	s := &j.tasks[index]
	if number <= s.attempt && number >= m.cfg.FirstAttempt {
		// This owner started the task and knows its end.
		return
	}
	s.attempt = max(s.attempt, number)
	j.ran = ranConfirmed
	restarts := j.spec.Class == state.ClassStanding && j.spec.Idempotent
	switch {
	case s.done || j.deferred != nil:
	case reported.End == EndSucceeded && !restarts:
		m.adoptSucceeded(j, index, reported.Output)
	case j.spec.Idempotent:
	case reported.End == EndFailed:
		m.finishAdopted(j, state.JobFailed, refusalTaskFailed(reported.Task, reported.Output))
	default:
		m.finishAdopted(j, state.JobUnknown, refusalOutcomeUnknown("a task was stopped before its end"))
	}
}

func (m *Machine) adoptSucceeded(j *job, index int, output []byte) {
	s := &j.tasks[index]
	s.done = true
	s.output = output
	j.done++
	if s.current != nil {
		m.stop(s.current, StopCancel)
	}
	j.pending = slices.DeleteFunc(j.pending, func(i int) bool { return i == index })
	if len(j.pending) == 0 {
		m.dequeue(j)
		j.awaitingReconcile = false
	}
	if j.done == len(j.tasks) {
		m.finishAdopted(j, state.JobSucceeded, nil)
	}
}

// finishAdopted ends a job. It is answered only if it was submitted to this owner.
func (m *Machine) finishAdopted(j *job, s state.JobState, refusal *state.Refusal) {
	if j.hasPayload {
		m.finish(j, s, refusal)
		return
	}
	m.markEnded(j, s, refusal)
	m.cancelActive(j)
}

// resolveMissing decides what becomes of the tasks of an adopted job that no worker
// reported, once every upstream of the service has been reconciled.
func (m *Machine) resolveMissing(j *job) {
	if j.state.Ended() || j.deferred != nil || j.gangRestart {
		return
	}
	missing := j.missing()
	switch {
	case len(missing) == 0 || j.delayed > 0:
	case j.restartable() && j.gang():
		j.gangRestart = true
		m.cancelActive(j)
		if j.active == 0 {
			m.requeueGang(j)
		}
	case j.restartable():
		j.pending = append(j.pending, missing...)
		m.enqueue(j)
	case j.active == 0:
		m.finishAdopted(j, state.JobUnknown, refusalOutcomeUnknown("not every task of the job could be accounted for after a change of owner"))
	}
}

// missing returns the indexes of the tasks that are neither done, running nor pending.
func (j *job) missing() []int {
	var missing []int
	for i := range j.tasks {
		if !j.tasks[i].done && j.tasks[i].current == nil && !slices.Contains(j.pending, i) {
			missing = append(missing, i)
		}
	}
	return missing
}
