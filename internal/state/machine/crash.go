package machine

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/cell"
	"github.com/samphirerail/samphirerail/internal/state/crashes"
)

// lostTask is a task whose attempt on an upstream was lost.
type lostTask struct {
	job     *job
	index   int
	age     time.Duration
	started bool
}

// lostTasks returns the tasks with an attempt on the upstream.
func (m *Machine) lostTasks(u *upstream) []lostTask {
	lost := make([]lostTask, 0, len(u.attempts))
	for _, a := range u.attempts {
		lost = append(lost, lostTask{a.job, a.index, u.lostContactAt(m.now) - a.placedAt, a.started})
	}
	return lost
}

// lostContactAt returns when the upstream stopped responding, or now if it responds.
func (u *upstream) lostContactAt(now state.Time) state.Time {
	if u.unreachable {
		return u.unreachableSince
	}
	return now
}

func (u *upstream) place() crashes.Place {
	return crashes.Place{Service: string(u.service), Rack: u.rack}
}

// noteCrash holds the crash of an upstream against the tasks that were on it, also against
// those whose lease expired before the crash was noticed. An upstream that fell silent may have been
// cut off, and one that had announced it may have left. It must be called before the attempts are marked as lost.
func (m *Machine) noteCrash(u *upstream, evidence crashes.Evidence) {
	lapsed, closed := u.lapsed, u.closed
	u.lapsed, u.closed = nil, false
	if !closed || u.leaving {
		return
	}
	lost := append(m.lostTasks(u), lapsed...)
	switch {
	case len(lapsed) > 0: // the process may have ended long after the tasks
		evidence = crashes.Presumed
	case m.outages.Shared(string(u.vm), u.place(), u.lostContactAt(m.now)):
		evidence = crashes.Shared
	}
	present := make([]crashes.Presence, len(lost))
	for i, l := range lost {
		present[i] = crashes.Presence{Job: string(l.job.spec.ID), Age: l.age, Certain: l.started}
	}
	for i, involvement := range crashes.Assess(present, evidence) {
		l, t := lost[i], &lost[i].job.tasks[lost[i].index]
		if l.job.spec.Class == state.ClassStanding && l.age >= t.crashes.ClearedAfter() {
			t.crashes = crashes.Record{}
		}
		t.crashes.Add(involvement)
	}
	for _, l := range lapsed {
		if t := &l.job.tasks[l.index]; t.crashes.Verdict() == crashes.GiveUp && !l.job.state.Ended() && l.job.deferred == nil {
			m.giveUp(l.job, l.index)
		}
	}
}

// giveUp ends a job whose task crashes the upstreams that start it.
func (m *Machine) giveUp(j *job, index int) {
	c := &j.tasks[index].crashes
	m.finish(j, state.JobFailed, &state.Refusal{
		Reason: state.ReasonTaskFailed, Verdict: state.HasRun,
		Detail: fmt.Sprintf("%d VMs crashed while task %d of the job ran on them", c.Certain+c.Uncertain, index),
		Remedy: "correct the work and submit it under a fresh ID",
	})
}

// startAlone starts a suspected task on the smallest upstream without tasks, which gets no others
// until the task has lasted longer than before the crashes. It reports false if the task is not
// suspected, or no upstream is free or may be risked now.
func (m *Machine) startAlone(j *job, index int) bool {
	record := &j.tasks[index].crashes
	if record.Verdict() != crashes.Isolate {
		return false
	}
	var best *upstream
	upstreams, trials := 0, 0
	for _, u := range m.upstreams {
		if u.service != j.spec.Service {
			continue
		}
		upstreams++
		if u.trial != nil {
			trials++
			continue
		}
		rec, ok := m.cell.Get(u.vm)
		if ok && len(u.attempts) == 0 && u.readiness() == cell.Ready && !u.health.ejected && j.amount.Fits(rec.Free) && (best == nil || smaller(u, best)) {
			best = u
		}
	}
	if limit, _ := crashes.MaxTrials(upstreams); best == nil || trials >= limit || !m.start(j, index, best.vm) {
		return false
	}
	best.trial = j.tasks[index].current
	m.refreshReadiness(best)
	m.timers.add(&timer{at: m.now + record.TrialTime(), kind: timerTrial, up: best, attempt: best.trial})
	return true
}

// smaller orders upstreams by their capacity, and equal ones by name.
func smaller(a, b *upstream) bool {
	return cmp.Or(cmp.Compare(a.capacity.CPUMilli, b.capacity.CPUMilli), cmp.Compare(a.capacity.MemoryMB, b.capacity.MemoryMB), compareVM(a, b)) < 0
}

// endTrial makes the upstream of a trial available to other work again.
func (m *Machine) endTrial(a *attempt) {
	if u := a.up; u.trial == a {
		u.trial = nil
		if m.upstreams[u.vm] == u {
			m.refreshReadiness(u)
		}
	}
}

// suspected reports whether a pending task of the job is to be tried alone.
func (j *job) suspected() bool {
	return slices.ContainsFunc(j.pending, func(index int) bool { return j.tasks[index].crashes.Verdict() == crashes.Isolate })
}
