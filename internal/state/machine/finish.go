package machine

import (
	"github.com/samphirerail/samphirerail/internal/state"
)

// answerUnrecorded answers a submission for which no job is recorded.
func (m *Machine) answerUnrecorded(spec *state.Job, s state.JobState, refusal *state.Refusal) {
	m.emit(Answer{Job: spec.ID, Team: spec.Team, State: s, Refusal: refusal})
}

// answer returns the final answer of an ended job.
func (j *job) answer() Answer {
	a := Answer{Job: j.spec.ID, Team: j.spec.Team, State: j.state, Refusal: j.refusal}
	if j.state == state.JobSucceeded {
		a.Outputs = j.outputs()
	}
	return a
}

func (j *job) outputs() [][]byte {
	outputs := make([][]byte, len(j.tasks))
	for i := range j.tasks {
		outputs[i] = j.tasks[i].output
	}
	return outputs
}

// finish ends a job, emits its answer and cancels the attempts that are still active.
func (m *Machine) finish(j *job, s state.JobState, refusal *state.Refusal) {
	m.markEnded(j, s, refusal)
	m.emit(j.answer())
	m.cancelActive(j)
}

// markEnded ends a job without emitting an answer.
func (m *Machine) markEnded(j *job, s state.JobState, refusal *state.Refusal) {
	m.dequeue(j)
	m.timers.remove(j.deadline)
	m.releaseReservation(j)
	j.deadline = nil
	j.pending = nil
	j.deferred = nil
	j.awaitingReconcile = false
	j.state = s
	j.refusal = refusal
	withoutPayload := *j.spec
	withoutPayload.Payload = nil
	j.spec = &withoutPayload
	if withoutPayload.Idempotent {
		j.expires = m.now + m.cfg.Retention
		m.endedIdempotent = append(m.endedIdempotent, j)
		return
	}
	j.expires = m.now + m.cfg.RetentionNotIdempotent
	m.endedNonIdempotent = append(m.endedNonIdempotent, j)
}

// repeatAnswer repeats the answer of an ended job, unless this step has already emitted
// it.
func (m *Machine) repeatAnswer(j *job) {
	for _, a := range m.actions {
		if answer, ok := a.(Answer); ok && answer.Job == j.spec.ID {
			return
		}
	}
	m.emit(j.answer())
}

// finishWhenConfirmed cancels the attempts of a job. The job is answered once the end
// of each attempt is confirmed, which may be at once.
func (m *Machine) finishWhenConfirmed(j *job, e deferredResult) {
	if j.deferred != nil {
		return
	}
	m.dequeue(j)
	j.pending = nil
	j.deferred = &e
	m.cancelActive(j)
	m.updateJob(j)
}

// cancelActive cancels every active attempt of the job.
func (m *Machine) cancelActive(j *job) {
	if j.active == 0 {
		return
	}
	for i := range j.tasks {
		if a := j.tasks[i].current; a != nil {
			m.stop(a, StopCancel)
		}
	}
}

// stop emits a Stop for an attempt, unless the same or a cancel was sent before.
func (m *Machine) stop(a *attempt, verb StopVerb) {
	if a.verb == verb || a.verb == StopCancel {
		return
	}
	a.verb = verb
	m.emit(Stop{Task: a.id, VM: a.up.vm, Verb: verb})
	if m.cfg.freeOnStop {
		m.freeResources(a)
	}
}

// updateJob decides how a job proceeds after one of its attempts has ended.
func (m *Machine) updateJob(j *job) {
	if j.state.Ended() {
		return
	}
	switch {
	case j.done == len(j.tasks):
		m.finish(j, state.JobSucceeded, nil)
	case j.active > 0:
		j.state = state.JobRunning
	case j.deferred != nil:
		m.finishDeferred(j)
	case j.gangRestart:
		m.requeueGang(j)
	case m.resigned:
		m.finishResigned(j)
	case len(j.pending)+j.delayed > 0:
		j.state = state.JobQueued
	case m.service(j.spec.Service).unreconciled == 0:
		m.resolveMissing(j)
	}
}

func (m *Machine) finishDeferred(j *job) {
	e := j.deferred
	refusal := &state.Refusal{Reason: e.reason, Verdict: j.verdict(), Detail: e.detail, Remedy: e.remedy}
	s := e.state
	if j.ran != ranNever && s == state.JobRefused {
		s = state.JobCancelled
	}
	m.finish(j, s, refusal)
}

func (m *Machine) finishResigned(j *job) {
	refusal := refusalShuttingDown()
	refusal.Verdict = j.verdict()
	s := state.JobRefused
	if refusal.Verdict != state.NotRun && !j.spec.Idempotent {
		s = state.JobUnknown
	}
	m.finish(j, s, refusal)
}

// deadlinePassed answers a job that missed its deadline, since its result is of no use
// any more.
func (m *Machine) deadlinePassed(j *job) {
	j.deadline = nil
	switch {
	case j.state.Ended():
	case j.verdict() == state.NotRun:
		m.finish(j, state.JobRefused, refusalDeadline(state.NotRun, "the deadline passed before the job was placed"))
	case j.spec.Class == state.ClassStanding && j.active > 0:
	case j.spec.Idempotent:
		m.finish(j, state.JobRefused, refusalDeadline(j.verdict(), "the deadline passed before the job ended"))
	default:
		m.finish(j, state.JobUnknown, refusalOutcomeUnknown("the deadline passed before the job ended"))
	}
}
