package machine

import (
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/internal/state/queue"
)

// preemptPause is the shortest time between two searches for tasks to stop in
// one service.
const preemptPause = 50 * time.Millisecond

// preemptRetry is how long urgent work that no task could be stopped for waits
// before the next search.
const preemptRetry = time.Second

// makeRoom looks at the urgent jobs that still wait after placement.
func (m *Machine) makeRoom() {
	urgent := m.urgent
	m.urgent = nil
	for _, j := range urgent {
		if m.resigned || !j.item.Queued() || j.watched {
			continue
		}
		if m.queue.Blocked(&j.item) == queue.Room {
			m.preempt(j)
		}
		j.watched = true
		m.timers.add(&timer{at: m.now + preemptRetry, kind: timerPreempt, job: j})
	}
}

// preempt makes room for urgent work that no upstream has room for, by stopping
// work that declared that it may be stopped, of teams above their share.
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
		a.beneficiary = j
		j.preempting++
		m.stop(a, StopCheckpoint)
		m.timers.add(&timer{at: m.now + m.cfg.PreemptGrace, kind: timerEscalate, attempt: a})
	}
}

// victims returns the fewest tasks whose end makes room on one upstream.
func (m *Machine) victims(j *job) []*attempt {
	var best []*attempt
	for _, u := range m.upstreams {
		if u.service != j.spec.Service || !u.fenced || u.silent || u.leaving || u.faulted || u.holder != nil || u.health.ejected {
			continue
		}
		found := m.victimsOn(u, j)
		if len(found) == 0 {
			continue
		}
		fewer := best == nil || len(found) < len(best)
		if fewer || len(found) == len(best) && u.vm < best[0].up.vm {
			best = found
		}
	}
	return best
}

func (m *Machine) victimsOn(u *upstream, j *job) []*attempt {
	rec, ok := m.cell.Get(u.vm)
	if !ok {
		return nil
	}
	var found []*attempt
	free := rec.Free
	for _, a := range slices.Backward(u.tasks) {
		if !a.yields || a.verb != "" || a.job.spec.Urgent || !m.aboveShare(m.team(a.job.spec.Team)) {
			continue
		}
		found = append(found, a)
		free = free.Add(a.amount)
		if j.amount.Fits(free) {
			return found
		}
	}
	return nil
}

// escalate cancels a task that did not checkpoint in time.
func (m *Machine) escalate(a *attempt) {
	if m.tasks[a.id] == a {
		m.stop(a, StopCancel)
	}
}
