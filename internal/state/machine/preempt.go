package machine

import (
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/preemption"
	"github.com/samphirerail/samphirerail/internal/state/queue"
)

// preemptPause is the minimum time between two searches for victims in one service.
const preemptPause = 50 * time.Millisecond

// preemptRetry is how long an urgent job waits before the next search when no victim
// was found for it.
const preemptRetry = time.Second

// preemptForUrgent tries preemption for the urgent jobs that are still queued after
// placement.
func (m *Machine) preemptForUrgent() {
	if m.evacuated {
		return // no start would follow; the jobs stay in the list
	}
	urgent := m.urgent
	m.urgent = nil
	for _, j := range urgent {
		if m.resigned || !j.item.Queued() || j.recheckScheduled {
			continue
		}
		if m.queue.Blocked(&j.item) == queue.NoCapacity {
			m.preempt(j)
		}
		j.recheckScheduled = true
		m.timers.add(&timer{at: m.now + preemptRetry, kind: timerPreempt, job: j})
	}
}

// preempt frees capacity for an urgent job that fits on no upstream. It stops tasks
// that were declared preemptible, of teams above their share.
func (m *Machine) preempt(j *job) {
	s := m.service(j.spec.Service)
	if j.preempting > 0 || s.preemptible == 0 || m.now < s.preemptAt {
		return
	}
	if m.aboveShare(m.team(j.spec.Team)) {
		return
	}
	s.preemptAt = m.now + preemptPause
	victims := m.victims(j)
	for _, a := range victims {
		a.victim = true
		a.preemptor = j
		j.preempting++
		m.stop(a, StopCheckpoint)
		m.timers.add(&timer{at: m.now + m.cfg.PreemptGrace, kind: timerEscalate, attempt: a})
	}
}

// victims returns the attempts whose end frees enough on one upstream: the fewest, and the
// newest of those on an upstream.
func (m *Machine) victims(j *job) []*attempt {
	var places []preemption.Place
	var runs []preemption.Run
	var attempts []*attempt
	for _, u := range m.preemptibleUpstreams(j.spec.Service) {
		rec, ok := m.cell.Get(u.vm)
		if !ok {
			continue
		}
		for _, a := range slices.Backward(u.attempts) {
			if !a.preemptible || a.verb != "" || a.job.spec.Urgent || !m.aboveShare(m.team(a.job.spec.Team)) {
				continue
			}
			attempts = append(attempts, a)
			// All attempts are stopped with a checkpoint.
			runs = append(runs, preemption.Run{Place: len(places), Priority: priorityUsual, Frees: a.amount, Checkpoints: true})
		}
		places = append(places, preemption.Place{Free: rec.Free})
	}
	selected := preemption.Select(preemption.Demand{Priority: priorityUrgent, Each: j.amount, Count: 1}, places, runs)
	victims := make([]*attempt, 0, len(selected.Victims))
	for _, i := range selected.Victims {
		victims = append(victims, attempts[i])
	}
	return victims
}

// Priorities of jobs for the selection of victims.
const (
	priorityUrgent = iota
	priorityUsual
)

// preemptibleUpstreams returns the upstreams of a service where tasks may be stopped, in
// the order of their VMs.
func (m *Machine) preemptibleUpstreams(service state.Service) []*upstream {
	var out []*upstream
	for _, u := range m.upstreams {
		if u.service == service && u.fenced && !u.unreachable && !u.leaving && !u.faulted && u.reservedFor == nil && !u.health.ejected {
			out = append(out, u)
		}
	}
	slices.SortFunc(out, compareVM)
	return out
}

// escalate cancels an attempt that did not checkpoint within the grace period.
func (m *Machine) escalate(a *attempt) {
	if m.attempts[a.id] == a {
		m.stop(a, StopCancel)
	}
}
