package machine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirerail/samphirerail/internal/state"
)

func (m *Machine) started(id state.TaskID) {
	a, ok := m.tasks[id]
	if !ok {
		return
	}
	resolved := a.phase == phaseResolving
	a.phase = phaseRunning
	a.started = true
	a.job.ran = ranCertainly
	if resolved && a.verb != "" {
		m.emit(Stop{Task: a.id, VM: a.up.vm, Verb: a.verb})
	}
}

func (m *Machine) startRefused(ev StartRefused) {
	a, ok := m.tasks[ev.Task]
	if !ok {
		return
	}
	if ev.VMFault {
		m.fault(a.up)
	}
	m.endAttempt(a, Ended{Task: ev.Task, End: EndNotRun})
}

// startUnknown asks the worker for proof of the fate of a start.
func (m *Machine) startUnknown(id state.TaskID) {
	a, ok := m.tasks[id]
	if !ok || a.phase == phaseResolving {
		return
	}
	a.phase = phaseResolving
	a.job.ran = max(a.job.ran, ranUnresolved)
	if m.cfg.rerunWithoutProof {
		m.endAttempt(a, Ended{Task: id, End: EndNotRun})
		return
	}
	m.emit(ResolveStart{Task: id, VM: a.up.vm, Cancel: true})
}

func (m *Machine) taskEnded(ev Ended) {
	a, ok := m.tasks[ev.Task]
	if !ok {
		m.keepEarlyEnd(ev)
		return
	}
	m.endAttempt(a, ev)
}

// endAttempt takes in the proof that an attempt runs no more.
func (m *Machine) endAttempt(a *attempt, ev Ended) {
	j := a.job
	if ev.End == EndNotRun && a.started {
		ev.End = EndStopped
	}
	if ev.End != EndNotRun {
		j.ran = ranCertainly
	}
	m.observe(a, ev)
	m.observeRun(a, ev)
	m.release(a)
	s := &j.slots[a.index]
	if s.current != a {
		// An attempt that was never part of the job's progress.
		m.afterProof(j)
		return
	}
	s.current = nil
	m.settleFact(j)
	if j.state.Ended() {
		return
	}
	m.advance(a, ev)
	m.afterProof(j)
}

// settleFact turns what may have run into what never did, once every attempt
// is proved not to have run.
func (m *Machine) settleFact(j *job) {
	if j.ran != ranUnresolved {
		return
	}
	for i := range j.slots {
		if a := j.slots[i].current; a != nil && a.phase == phaseResolving {
			return
		}
	}
	j.ran = ranNever
}

// advance decides what follows for the task.
func (m *Machine) advance(a *attempt, ev Ended) {
	j := a.job
	standing := j.spec.Class == state.ClassStanding && j.restartable() && j.ending == nil
	switch {
	case ev.End == EndSucceeded && !standing:
		j.slots[a.index].done = true
		j.slots[a.index].output = ev.Output
		j.done++
	case j.ending != nil:
	case j.regroup:
	case m.resigned && (ev.End == EndNotRun || j.spec.Idempotent):
		j.pending = nil
	case ev.End == EndNotRun:
		m.notRun(a)
	case !j.restartable():
		m.endedForGood(a, ev)
	case standing:
		m.restartStanding(a, ev.Ran)
	case a.victim:
		m.requeue(j, a.index)
	default:
		j.slots[a.index].avoid = a.up.vm
		m.retry(a, string(ev.End))
	}
}

// endedForGood answers a job of which a task ran, did not succeed and must not
// or can't run again.
func (m *Machine) endedForGood(a *attempt, ev Ended) {
	j := a.job
	if ev.End == EndFailed {
		m.finish(j, state.JobFailed, refusalTaskFailed(a.id, ev.Output))
		return
	}
	m.finish(j, state.JobUnknown, refusalOutcomeUnknown("a task was stopped before its end"))
}

// notRun places a task elsewhere that provably did not run.
func (m *Machine) notRun(a *attempt) {
	j := a.job
	if !j.hasPayload {
		m.finish(j, state.JobUnknown, refusalOutcomeUnknown("the input of the job was lost with its earlier owner"))
		return
	}
	j.slots[a.index].avoid = a.up.vm
	if j.gang() && !j.spec.Idempotent && j.ran != ranNever {
		m.finish(j, state.JobUnknown, refusalOutcomeUnknown("one task of the gang could not start"))
		return
	}
	m.retry(a, "the start was refused")
}

// retry starts a task again after a wait, within the job's budget.
func (m *Machine) retry(a *attempt, cause string) {
	j := a.job
	if j.retries >= m.cfg.MaxRetries {
		m.exhausted(a, cause)
		return
	}
	j.retries++
	if j.gang() {
		j.regroup = true
		m.cancelActive(j)
		return
	}
	m.delay(j, a.index, m.backoff(a.id, j.retries))
}

func (m *Machine) exhausted(a *attempt, cause string) {
	j := a.job
	refusal := refusalRetries(j.verdict(), j.retries, cause)
	switch {
	case j.verdict() == state.NotRun:
		m.finish(j, state.JobRefused, refusal)
	case j.spec.Idempotent:
		m.finish(j, state.JobFailed, refusal)
	default:
		m.finish(j, state.JobUnknown, refusalOutcomeUnknown(refusal.Detail))
	}
}

// restartStanding starts a task of a standing job again. A run that lasted
// makes the next wait short again.
func (m *Machine) restartStanding(a *attempt, ran time.Duration) {
	j := a.job
	if ran > m.cfg.RetryMax {
		j.retries = 0
	}
	j.retries++
	j.slots[a.index].avoid = a.up.vm
	m.delay(j, a.index, m.backoff(a.id, j.retries))
}

// delay lets a task wait before it is placed again. The index allTasks stands
// for every task of a gang.
func (m *Machine) delay(j *job, index int, wait time.Duration) {
	j.delayed++
	m.timers.add(&timer{at: m.now + wait, kind: timerRetry, job: j, index: index})
}

// allTasks is the index that stands for every task of a job.
const allTasks = -1

func (m *Machine) retryDue(j *job, index int) {
	j.delayed--
	if j.state.Ended() || j.ending != nil {
		return
	}
	if index != allTasks {
		m.requeue(j, index)
		return
	}
	for i := range j.slots {
		j.pending = append(j.pending, i)
	}
	m.enqueue(j)
}

func (m *Machine) requeue(j *job, index int) {
	if !slices.Contains(j.pending, index) {
		j.pending = append(j.pending, index)
	}
	if m.resigned {
		m.afterProof(j)
		return
	}
	m.enqueue(j)
}

// backoff is the wait before a retry: it doubles with each one and is spread by
// a hash of the task ID.
func (m *Machine) backoff(id state.TaskID, retries int) time.Duration {
	wait := m.cfg.RetryBase
	for i := 1; i < retries && wait < m.cfg.RetryMax; i++ {
		wait *= 2
	}
	wait = min(wait, m.cfg.RetryMax)
	const steps = 1024
	jitter := float64(xxhash.Sum64String(string(id))%steps) / steps
	return wait/2 + time.Duration(jitter*float64(wait/2))
}
