package machine

import (
	"github.com/samphirerail/samphirerail/internal/state"
)

// answerUnrecorded answers a submission that leaves no record.
func (m *Machine) answerUnrecorded(spec *state.Job, s state.JobState, refusal *state.Refusal) {
	m.emit(Answer{Job: spec.ID, Team: spec.Team, State: s, Refusal: refusal})
}

// answer renders the final answer of an ended job.
func (j *job) answer() Answer {
	a := Answer{Job: j.spec.ID, Team: j.spec.Team, State: j.state, Refusal: j.refusal}
	if j.state == state.JobSucceeded {
		a.Outputs = j.outputs()
	}
	return a
}

func (j *job) outputs() [][]byte {
	outputs := make([][]byte, len(j.slots))
	for i := range j.slots {
		outputs[i] = j.slots[i].output
	}
	return outputs
}

// finish ends a job, answers it and stops what it still runs.
func (m *Machine) finish(j *job, s state.JobState, refusal *state.Refusal) {
	m.conclude(j, s, refusal)
	m.emit(j.answer())
	m.cancelActive(j)
}

// conclude ends a job without an answer.
func (m *Machine) conclude(j *job, s state.JobState, refusal *state.Refusal) {
	m.dequeue(j)
	m.timers.remove(j.deadline)
	m.releaseGangHold(j)
	j.deadline = nil
	j.pending = nil
	j.ending = nil
	j.held = false
	j.state = s
	j.refusal = refusal
	lean := *j.spec
	lean.Payload = nil
	j.spec = &lean
	if lean.Idempotent {
		j.expires = m.now + m.cfg.Retention
		m.ended = append(m.ended, j)
		return
	}
	j.expires = m.now + m.cfg.RetentionNotIdempotent
	m.endedOnce = append(m.endedOnce, j)
}

// answerAgain repeats the answer of an ended job, unless it is given in this
// very step.
func (m *Machine) answerAgain(j *job) {
	for _, a := range m.out {
		if answer, ok := a.(Answer); ok && answer.Job == j.spec.ID {
			return
		}
	}
	m.emit(j.answer())
}

// endWhenProved stops what a job runs; the answer follows once every attempt
// is proved to have ended, which may be now.
func (m *Machine) endWhenProved(j *job, e ending) {
	if j.ending != nil {
		return
	}
	m.dequeue(j)
	j.pending = nil
	j.ending = &e
	m.cancelActive(j)
	m.afterProof(j)
}

// cancelActive asks for the end of everything that the job runs.
func (m *Machine) cancelActive(j *job) {
	if j.active == 0 {
		return
	}
	for i := range j.slots {
		if a := j.slots[i].current; a != nil {
			m.stop(a, StopCancel)
		}
	}
}

// stop asks for the end of an attempt, unless that was asked for before.
func (m *Machine) stop(a *attempt, verb StopVerb) {
	if a.verb == verb || a.verb == StopCancel {
		return
	}
	a.verb = verb
	m.emit(Stop{Task: a.id, VM: a.up.vm, Verb: verb})
	if m.cfg.freeOnStop {
		m.giveBack(a)
	}
}

// afterProof looks at what is left of a job after an attempt of it has ended.
func (m *Machine) afterProof(j *job) {
	if j.state.Ended() {
		return
	}
	switch {
	case j.done == len(j.slots):
		m.finish(j, state.JobSucceeded, nil)
	case j.active > 0:
		j.state = state.JobRunning
	case j.ending != nil:
		m.finishEnding(j)
	case j.regroup:
		m.regrouped(j)
	case m.resigned:
		m.finishResigned(j)
	case len(j.pending)+j.delayed > 0:
		j.state = state.JobQueued
	case m.service(j.spec.Service).unknown == 0:
		m.settle(j)
	}
}

func (m *Machine) finishEnding(j *job) {
	e := j.ending
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

// deadlinePassed answers a job whose answer is worth nothing any more.
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
