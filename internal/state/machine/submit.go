package machine

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/queue"
)

// submit records and queues a new job, or answers it at once.
func (m *Machine) submit(spec state.Job) {
	if j, ok := m.jobs[spec.ID]; ok {
		m.submitAgain(j, spec)
		return
	}
	if refusal := m.admissionRefusal(&spec); refusal != nil {
		if spec.IssuedBeforeTakeover {
			// An earlier owner may have run the job.
			refusal.Verdict = state.Unknown
		}
		m.answerUnrecorded(&spec, state.JobRefused, refusal)
		return
	}
	if spec.IssuedBeforeTakeover && !spec.Idempotent {
		j := m.newJob(spec)
		m.finish(j, state.JobUnknown, refusalLostAtTakeover())
		return
	}
	j := m.newJob(spec)
	if spec.IssuedBeforeTakeover {
		j.ran = ranUndetermined
	}
	if spec.Deadline > 0 {
		j.deadline = m.timers.add(&timer{at: spec.Deadline, kind: timerDeadline, job: j})
	}
	for i := range j.tasks {
		j.pending = append(j.pending, i)
	}
	m.emit(Accept{Job: spec.ID, State: state.JobQueued})
	m.enqueue(j)
}

// newJob records a job that is not known yet.
func (m *Machine) newJob(spec state.Job) *job {
	j := &job{
		spec:       &spec,
		payloadSum: xxhash.Sum64(spec.Payload),
		hasPayload: true,
		state:      state.JobQueued,
		arrived:    m.now,
		tasks:      make([]taskRecord, spec.Tasks),
	}
	j.amount = m.amountFor(&spec)
	for i := range j.tasks {
		j.tasks[i].attempt = m.cfg.FirstAttempt - 1
	}
	m.jobs[spec.ID] = j
	return j
}

// submitAgain answers a submission whose ID is already known.
func (m *Machine) submitAgain(j *job, spec state.Job) {
	if !j.sameContent(&spec) {
		m.emit(Answer{Job: spec.ID, Team: spec.Team, State: state.JobRefused, Refusal: refusalConflict(spec.ID)})
		return
	}
	if j.state.Ended() {
		m.repeatAnswer(j)
		return
	}
	m.emit(Accept{Job: spec.ID, State: j.state})
	if j.hasPayload {
		return
	}
	// An adopted job gets its payload from the submission, so that its missing tasks
	// can now be started.
	j.spec = &spec
	j.hasPayload = true
	j.payloadSum = xxhash.Sum64(spec.Payload)
	if j.deadline == nil && spec.Deadline > 0 {
		j.deadline = m.timers.add(&timer{at: spec.Deadline, kind: timerDeadline, job: j})
	}
	if m.service(spec.Service).unreconciled == 0 {
		m.resolveMissing(j)
	}
}

// sameContent reports whether a submission has the same content as the recorded job.
// The payload of a job that has none is not compared.
func (j *job) sameContent(spec *state.Job) bool {
	a, b := j.spec, spec
	same := a.Team == b.Team && a.Class == b.Class && a.Service == b.Service &&
		a.Tasks == b.Tasks && a.Each == b.Each && a.Idempotent == b.Idempotent
	return same && (!j.hasPayload || j.payloadSum == xxhash.Sum64(spec.Payload))
}

// admissionRefusal returns why a new job is not admitted, or nil.
func (m *Machine) admissionRefusal(spec *state.Job) *state.Refusal {
	t := m.teams[spec.Team]
	switch {
	case m.resigned:
		return refusalShuttingDown()
	case spec.Tasks < 1 || !spec.Class.Valid():
		return refusalNotPermitted(spec)
	case t == nil || !t.hasQuota:
		return refusalWithdrawn(spec.Team)
	case spec.Deadline > 0 && spec.Deadline <= m.now:
		return refusalDeadline(state.NotRun, "the deadline passed before the job was taken in")
	case m.evacuated && !spec.IssuedBeforeTakeover:
		// A job that an earlier owner may have accepted waits until the domain is restored.
		return refusalEvacuated(m.cfg.Domain)
	}
	if refusal := m.neverRunnable(spec); refusal != nil {
		return refusal
	}
	if demand := minimumDemand(spec); !demand.Fits(t.quota.Limit) {
		return refusalOverLimit(t, demand)
	}
	if t.queued >= max(t.quota.MaxQueued, 1) {
		return refusalQueueFull(t, m.now)
	}
	return nil
}

// minimumDemand returns the least that the job commits at once: all tasks of a gang or
// standing job, one task of any other.
func minimumDemand(spec *state.Job) state.Vector {
	switch spec.Class {
	case state.ClassGang, state.ClassStanding:
		return spec.Total()
	case state.ClassBatch, state.ClassRequest:
	}
	return spec.Each
}

// neverRunnable refuses a job that could not run even if all upstreams were empty.
// Nothing is refused while the shard has no upstream at all.
func (m *Machine) neverRunnable(spec *state.Job) *state.Refusal {
	if m.cell.Len() == 0 {
		return nil
	}
	s := m.services[spec.Service]
	if s == nil || s.upstreams == 0 {
		return refusalNever(fmt.Sprintf("no upstream of service %s is in this failure domain", spec.Service),
			"submit to a failure domain that has this service")
	}
	nearest, fits := s.closestFit(spec.Each)
	if !fits {
		return refusalNever(fmt.Sprintf("a task of %s fits on no upstream", spec.Each),
			fmt.Sprintf("ask for at most %s per task", nearest))
	}
	if spec.Class != state.ClassGang {
		return nil
	}
	if places := s.placesWhenEmpty(spec.Each); places < spec.Tasks {
		return refusalNever(fmt.Sprintf("%d tasks of %s don't fit at once", spec.Tasks, spec.Each),
			fmt.Sprintf("ask for at most %d tasks", places))
	}
	return nil
}

// enqueue queues the pending tasks of the job for placement.
func (m *Machine) enqueue(j *job) {
	if j.item.Queued() || len(j.pending) == 0 {
		return
	}
	m.countQueued(j, true)
	minTasks := 1
	if j.gang() {
		minTasks = len(j.tasks)
	}
	j.item.Job = j.spec.ID
	j.item.Team = j.spec.Team
	j.item.Service = j.spec.Service
	j.item.Each = j.amount
	j.item.MinTasks = minTasks
	j.item.Urgent = j.spec.Urgent
	j.item.Run = m.backfillRun(j.spec)
	j.item.Arrived = j.arrived
	j.item.Rank = queue.Rank(j.spec, j.arrived)
	m.queue.Push(&j.item)
	if j.spec.Urgent && !j.gang() {
		m.urgent = append(m.urgent, j)
	}
}

// dequeue removes the job from the queue.
func (m *Machine) dequeue(j *job) {
	m.queue.Remove(&j.item)
	m.countQueued(j, false)
}

func (m *Machine) countQueued(j *job, queued bool) {
	if j.queued == queued {
		return
	}
	j.queued = queued
	t := m.team(j.spec.Team)
	if queued {
		t.queued++
		return
	}
	t.queued--
}
