package machine

import (
	"slices"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/cell"
)

// fenced takes an upstream into use with exactly the tasks that run there.
func (m *Machine) fenced(ev Fenced) {
	u, ok := m.upstreams[ev.VM]
	if !ok || slices.Contains(u.past, ev.Incarnation) {
		return
	}
	if u.incarnation != "" && u.incarnation != ev.Incarnation {
		m.reincarnated(u)
	}
	m.resize(u, ev)
	u.fenced = true
	u.silent = false
	u.faulted = false
	orphans := m.adopt(u, ev.Tasks)
	m.recount(u)
	m.refreshReadiness(u)
	m.resolveUnknown(u)
	if m.service(u.service).unknown == 0 {
		m.allKnown(u.service)
	}
	for _, a := range orphans {
		m.stop(a, StopCancel)
	}
}

// reincarnated takes in that a VM was restarted: all it ran has ended.
func (m *Machine) reincarnated(u *upstream) {
	u.past = append(u.past, u.incarnation)
	if len(u.past) > maxPastIncarnations {
		u.past = u.past[1:]
	}
	u.fenced = false
	u.leaving = false
	m.refreshReadiness(u)
	m.loseAll(u)
}

// resize records the incarnation and capacity that the worker reports.
func (m *Machine) resize(u *upstream, ev Fenced) {
	s := m.service(u.service)
	if u.unknown {
		m.unknown = m.unknown.Sub(u.capacity).Add(ev.Capacity)
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

// recount sets what the upstream's tasks leave free of it, which may be less
// than nothing.
func (m *Machine) recount(u *upstream) {
	free := u.capacity
	for _, a := range u.tasks {
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

// adopt takes in the tasks that a worker reports, and returns those to stop.
func (m *Machine) adopt(u *upstream, tasks []AdoptedTask) []*attempt {
	var orphans []*attempt
	for _, at := range tasks {
		at, open := m.withEarlyEnd(at)
		if !open {
			continue
		}
		a, known := m.tasks[at.Task]
		switch {
		case known && a.up != u:
		case known && at.Ended:
			m.endAttempt(a, Ended{Task: at.Task, End: at.End, Output: at.Output})
		case known:
			m.started(at.Task)
		case at.Ended:
			m.adoptEnded(at)
		default:
			if orphan := m.adoptRunning(u, at); orphan != nil {
				orphans = append(orphans, orphan)
			}
		}
	}
	return orphans
}

// adoptRunning counts a task that an earlier owner started. It returns the
// attempt when it has no place in its job and is to be stopped.
func (m *Machine) adoptRunning(u *upstream, at AdoptedTask) *attempt {
	j, index, number, ok := m.adoptedJob(at)
	a := &attempt{id: at.Task, job: j, index: index, up: u, amount: at.Job.Each, phase: phaseRunning, started: true}
	if !ok {
		m.track(a)
		return nil
	}
	s := &j.slots[index]
	ours := number >= m.cfg.FirstAttempt && number <= s.attempt
	fits := s.current == nil && !s.done && !ours && j.ending == nil
	s.attempt = max(s.attempt, number)
	if j.state.Ended() {
		m.track(a)
		if j.state == state.JobUnknown && j.spec.Class != state.ClassStanding {
			return nil
		}
		return a
	}
	j.ran = ranCertainly
	if !fits || j.regroup {
		m.track(a)
		return a
	}
	s.current = a
	j.pending = slices.DeleteFunc(j.pending, func(i int) bool { return i == index })
	if len(j.pending) == 0 {
		m.dequeue(j)
		j.held = false
	}
	j.state = state.JobRunning
	m.track(a)
	m.checkAdoptedTeam(j)
	return nil
}

// adoptedJob returns the job that a reported task belongs to, rebuilt from the
// report when it is not known. When the report can't be read, ok is false and
// the job is one that nobody asks for.
func (m *Machine) adoptedJob(at AdoptedTask) (j *job, index, number int, ok bool) {
	id, index, number, err := splitTaskID(at.Task)
	if err != nil || index < 0 {
		return m.rebuild(at.Job, 1), 0, 0, false
	}
	j, known := m.jobs[id]
	if !known {
		at.Job.ID = id
		j = m.rebuild(at.Job, index+1)
		m.jobs[id] = j
		m.partial = append(m.partial, j)
	}
	if index >= len(j.slots) {
		return m.rebuild(at.Job, index+1), index, number, false
	}
	return j, index, number, true
}

// rebuild returns the record of a job as its task's labels describe it.
func (m *Machine) rebuild(spec state.Job, atLeast int) *job {
	spec.Tasks = max(spec.Tasks, atLeast)
	spec.Payload = nil
	j := &job{
		spec: &spec, adopted: true, amount: spec.Each, state: state.JobRunning,
		arrived: m.now, slots: make([]slot, spec.Tasks), ran: ranMaybe,
	}
	for i := range j.slots {
		j.slots[i].attempt = m.cfg.FirstAttempt - 1
	}
	return j
}

// checkAdoptedTeam stops adopted work of a team that has no quota.
func (m *Machine) checkAdoptedTeam(j *job) {
	if m.quotasSet && !m.team(j.spec.Team).known {
		m.withdraw(j)
	}
}

// adoptEnded takes in a task that ended under an earlier owner.
func (m *Machine) adoptEnded(at AdoptedTask) {
	if at.End == EndNotRun {
		return
	}
	j, index, number, ok := m.adoptedJob(at)
	if !ok || j.state.Ended() {
		return
	}
	s := &j.slots[index]
	if number <= s.attempt && number >= m.cfg.FirstAttempt {
		// This owner started the task and knows its end.
		return
	}
	s.attempt = max(s.attempt, number)
	j.ran = ranCertainly
	restarts := j.spec.Class == state.ClassStanding && j.spec.Idempotent
	switch {
	case s.done || j.ending != nil:
	case at.End == EndSucceeded && !restarts:
		m.adoptSucceeded(j, index, at.Output)
	case j.spec.Idempotent:
	case at.End == EndFailed:
		m.finishAdopted(j, state.JobFailed, refusalTaskFailed(at.Task, at.Output))
	default:
		m.finishAdopted(j, state.JobUnknown, refusalOutcomeUnknown("a task was stopped before its end"))
	}
}

func (m *Machine) adoptSucceeded(j *job, index int, output []byte) {
	s := &j.slots[index]
	s.done = true
	s.output = output
	j.done++
	if s.current != nil {
		m.stop(s.current, StopCancel)
	}
	j.pending = slices.DeleteFunc(j.pending, func(i int) bool { return i == index })
	if len(j.pending) == 0 {
		m.dequeue(j)
		j.held = false
	}
	if j.done == len(j.slots) {
		m.finishAdopted(j, state.JobSucceeded, nil)
	}
}

// finishAdopted ends a job, with an answer only when somebody submitted it
// here.
func (m *Machine) finishAdopted(j *job, s state.JobState, refusal *state.Refusal) {
	if j.hasPayload {
		m.finish(j, s, refusal)
		return
	}
	m.conclude(j, s, refusal)
	m.cancelActive(j)
}

// settle decides about the tasks of an adopted job that no worker reported,
// once every upstream is known.
func (m *Machine) settle(j *job) {
	if j.state.Ended() || j.ending != nil || j.regroup {
		return
	}
	missing := j.missing()
	switch {
	case len(missing) == 0 || j.delayed > 0:
	case j.restartable() && j.gang():
		j.regroup = true
		m.cancelActive(j)
		if j.active == 0 {
			m.regrouped(j)
		}
	case j.restartable():
		j.pending = append(j.pending, missing...)
		m.enqueue(j)
	case j.active == 0:
		m.finishAdopted(j, state.JobUnknown, refusalOutcomeUnknown("not every task of the job could be accounted for after a change of owner"))
	}
}

// missing returns the indexes that are neither done, running nor waiting.
func (j *job) missing() []int {
	var missing []int
	for i := range j.slots {
		if !j.slots[i].done && j.slots[i].current == nil && !slices.Contains(j.pending, i) {
			missing = append(missing, i)
		}
	}
	return missing
}
