package machine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirerail/samphirerail/internal/state"
)

func (m *Machine) taskStarted(id state.TaskID) {
	a, ok := m.attempts[id]
	if !ok {
		return
	}
	wasResolving := a.phase == phaseResolving
	a.phase = phaseRunning
	a.started = true
	a.job.ran = ranConfirmed
	if wasResolving && a.verb != "" {
		m.emit(Stop{Task: a.id, VM: a.up.vm, Verb: a.verb})
	}
}

func (m *Machine) startRefused(ev StartRefused) {
	a, ok := m.attempts[ev.Task]
	if !ok {
		return
	}
	if ev.VMFault {
		m.pauseAfterFault(a.up)
	}
	m.endAttempt(a, Ended{Task: ev.Task, End: EndNotRun})
}

// startUnconfirmed asks the worker to confirm whether a start took effect.
func (m *Machine) startUnconfirmed(id state.TaskID) {
	a, ok := m.attempts[id]
	if !ok || a.phase == phaseResolving {
		return
	}
	a.phase = phaseResolving
	a.job.ran = max(a.job.ran, ranUnconfirmed)
	if m.cfg.rerunUnconfirmed {
		m.endAttempt(a, Ended{Task: id, End: EndNotRun})
		return
	}
	m.emit(ResolveStart{Task: id, VM: a.up.vm, Cancel: true})
}

func (m *Machine) taskEnded(ev Ended) {
	a, ok := m.attempts[ev.Task]
	if !ok {
		m.recordEarlyEnd(ev)
		return
	}
	m.endAttempt(a, ev)
}

// endAttempt handles the confirmed end of an attempt.
func (m *Machine) endAttempt(a *attempt, ev Ended) {
	j := a.job
	if ev.End == EndNotRun && a.started {
		ev.End = EndStopped
	}
	if ev.End != EndNotRun {
		j.ran = ranConfirmed
	}
	m.observeEnd(a, ev)
	m.observeRun(a, ev)
	m.release(a)
	s := &j.tasks[a.index]
	if s.current != a {
		// An orphaned attempt, which was never part of the job's progress.
		m.updateJob(j)
		return
	}
	s.current = nil
	m.resolveRunStatus(j)
	if j.state.Ended() {
		return
	}
	m.advanceTask(a, ev)
	m.updateJob(j)
}

// resolveRunStatus resets an unconfirmed run status to ranNever once every unconfirmed
// attempt of the job is confirmed not to have run.
func (m *Machine) resolveRunStatus(j *job) {
	if j.ran != ranUnconfirmed {
		return
	}
	for i := range j.tasks {
		if a := j.tasks[i].current; a != nil && a.phase == phaseResolving {
			return
		}
	}
	j.ran = ranNever
}

// advanceTask decides what follows for a task whose current attempt has ended.
func (m *Machine) advanceTask(a *attempt, ev Ended) {
	j := a.job
	standing := j.spec.Class == state.ClassStanding && j.restartable() && j.deferred == nil
	switch {
	case ev.End == EndSucceeded && !standing:
		j.tasks[a.index].done = true
		j.tasks[a.index].output = ev.Output
		j.done++
	case j.deferred != nil:
	case j.gangRestart:
	case m.resigned && (ev.End == EndNotRun || j.spec.Idempotent):
		j.pending = nil
	case ev.End == EndNotRun:
		m.retryNotRun(a)
	case !j.restartable():
		m.finishWithoutRetry(a, ev)
	case standing:
		m.restartStanding(a, ev.Ran)
	case a.victim:
		m.requeue(j, a.index)
	default:
		j.tasks[a.index].avoid = a.up.vm
		m.retry(a, string(ev.End))
	}
}

// finishWithoutRetry answers a job of which a task ran without success and must not or
// can't run again.
func (m *Machine) finishWithoutRetry(a *attempt, ev Ended) {
	j := a.job
	if ev.End == EndFailed {
		m.finish(j, state.JobFailed, refusalTaskFailed(a.id, ev.Output))
		return
	}
	m.finish(j, state.JobUnknown, refusalOutcomeUnknown("a task was stopped before its end"))
}

// retryNotRun retries, preferably on another upstream, a task that is confirmed not to
// have run.
func (m *Machine) retryNotRun(a *attempt) {
	j := a.job
	if !j.hasPayload {
		m.finish(j, state.JobUnknown, refusalOutcomeUnknown("the input of the job was lost with its earlier owner"))
		return
	}
	j.tasks[a.index].avoid = a.up.vm
	if j.gang() && !j.spec.Idempotent && j.ran != ranNever {
		m.finish(j, state.JobUnknown, refusalOutcomeUnknown("one task of the gang could not start"))
		return
	}
	m.retry(a, "the start was refused")
}

// retry starts a task again after a backoff, or ends the job when its retries are used
// up. A gang is stopped as a whole and placed again.
func (m *Machine) retry(a *attempt, cause string) {
	j := a.job
	if j.retries >= m.cfg.MaxRetries {
		m.retriesExhausted(a, cause)
		return
	}
	j.retries++
	if j.gang() {
		j.gangRestart = true
		m.cancelActive(j)
		return
	}
	m.scheduleRetry(j, a.index, m.backoff(a.id, j.retries))
}

// retryLost starts a task again whose upstream was lost. Losses do not use up the job's retries:
// package crashes tells a job that causes them from those that suffer from them.
func (m *Machine) retryLost(a *attempt) {
	j := a.job
	j.losses++
	if j.gang() {
		j.gangRestart = true
		m.cancelActive(j)
		return
	}
	m.scheduleRetry(j, a.index, m.backoff(a.id, j.losses))
}

func (m *Machine) retriesExhausted(a *attempt, cause string) {
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

// restartStanding starts a task of a standing job again after a backoff, which is reset
// when the task ran for longer than RetryMax.
func (m *Machine) restartStanding(a *attempt, ran time.Duration) {
	j := a.job
	if ran > m.cfg.RetryMax {
		j.retries = 0
	}
	j.retries++
	j.tasks[a.index].avoid = a.up.vm
	m.scheduleRetry(j, a.index, m.backoff(a.id, j.retries))
}

// scheduleRetry makes a task wait before it is placed again. The index allTasks stands
// for every task of a gang.
func (m *Machine) scheduleRetry(j *job, index int, wait time.Duration) {
	j.delayed++
	m.timers.add(&timer{at: m.now + wait, kind: timerRetry, job: j, index: index})
}

// allTasks is the index that stands for every task of a job.
const allTasks = -1

func (m *Machine) retryDue(j *job, index int) {
	j.delayed--
	if j.state.Ended() || j.deferred != nil {
		return
	}
	if index != allTasks {
		m.requeue(j, index)
		return
	}
	for i := range j.tasks {
		j.pending = append(j.pending, i)
	}
	m.enqueue(j)
}

func (m *Machine) requeue(j *job, index int) {
	if !slices.Contains(j.pending, index) {
		j.pending = append(j.pending, index)
	}
	if m.resigned {
		m.updateJob(j)
		return
	}
	m.enqueue(j)
}

// backoff returns the wait before a retry. It doubles with each retry, with a jitter
// that is derived from a hash of the task ID so that it is deterministic.
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
