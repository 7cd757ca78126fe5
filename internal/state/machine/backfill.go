package machine

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/queue"
)

const (
	// runSamples is how many run times are seen before one is expected.
	runSamples = 5
	// runWeight is the weight of the newest run time in the average.
	runWeight = 0.1
	// overdueShare is the part of its expected run time that a task is
	// expected to take at least from now on.
	overdueShare = 0.25
	// maxBackfillRun is the longest expected run time of work that is placed on
	// upstreams held for a gang.
	maxBackfillRun = time.Second
)

// average is a moving average with the number of its samples.
type average struct {
	value float64
	count int
}

func (a *average) add(sample float64) {
	a.count++
	a.value += max(runWeight, 1/float64(a.count)) * (sample - a.value)
}

// observeRun takes in how long a task ran, as the owner saw it.
func (m *Machine) observeRun(a *attempt, ev Ended) {
	if ev.End != EndSucceeded || a.job.spec.Class == state.ClassStanding {
		return
	}
	ran := float64(m.now - a.placedAt)
	c := m.correction(a.job.spec)
	c.run.add(ran)
	if declared := a.job.spec.RunTime; declared > 0 {
		c.ratio.add(ran / float64(declared))
	}
}

// runFor is the expected run time of a task of a short request or batch job.
func (m *Machine) runFor(spec *state.Job) time.Duration {
	if spec.Class != state.ClassRequest && spec.Class != state.ClassBatch {
		return queue.UnknownRun
	}
	run := m.expectedRun(spec)
	if run > maxBackfillRun {
		return queue.UnknownRun
	}
	return run
}

// expectedRun is what a job declares as its run time, corrected by how such
// tasks ran, or else their average.
func (m *Machine) expectedRun(spec *state.Job) time.Duration {
	c := m.correction(spec)
	switch {
	case spec.RunTime > 0 && c.ratio.count >= runSamples:
		return time.Duration(float64(spec.RunTime) * c.ratio.value)
	case c.run.count >= runSamples:
		return time.Duration(c.run.value)
	}
	return queue.UnknownRun
}

// takesHeldWork reports whether a held upstream could start tasks.
func (u *upstream) takesHeldWork() bool {
	return u.fenced && !u.silent && !u.leaving && !u.faulted
}

// allowBackfill finds until when work may be placed on the upstreams held for
// a gang, and lets the queue look at them again when that is later than before.
func (m *Machine) allowBackfill(s *service) {
	before := s.backfillEnds
	s.backfillEnds = min(m.gangStart(s), s.holdEnds)
	if s.backfillEnds <= before {
		return
	}
	limit := s.backfillEnds - m.now
	for _, u := range s.held {
		if rec, ok := m.cell.Get(u.vm); ok && u.takesHeldWork() {
			m.queue.FreedFor(u.service, rec.Free, limit)
		}
	}
}

// heldEnd is when a task on a held upstream is expected to end.
type heldEnd struct {
	at      state.Time
	attempt *attempt
}

// gangStart is when the upstreams held for a gang are expected to have room for
// it, if nothing more is placed there.
func (m *Machine) gangStart(s *service) state.Time {
	j := s.reserved
	free := make(map[*upstream]state.Vector, len(s.held))
	var ends []heldEnd
	room := 0
	for _, u := range s.held {
		rec, ok := m.cell.Get(u.vm)
		if !ok || !u.takesHeldWork() {
			continue
		}
		left := rec.Free
		for _, a := range u.tasks {
			switch {
			case a.released:
			case a.backfill:
				left = left.Add(a.amount)
			case a.job.spec.Class != state.ClassStanding:
				ends = append(ends, heldEnd{at: m.expectedEnd(a), attempt: a})
			}
		}
		free[u] = left
		room += fitCount(j.amount, left)
	}
	slices.SortFunc(ends, func(a, b heldEnd) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.attempt.id, b.attempt.id))
	})
	at := m.now
	for _, e := range ends {
		if room >= len(j.pending) {
			break
		}
		u := e.attempt.up
		before := fitCount(j.amount, free[u])
		free[u] = free[u].Add(e.attempt.amount)
		room += fitCount(j.amount, free[u]) - before
		at = e.at
	}
	return at
}

// expectedEnd is when a running task is expected to end.
func (m *Machine) expectedEnd(a *attempt) state.Time {
	run := m.expectedRun(a.job.spec)
	if run == queue.UnknownRun {
		return m.now
	}
	least := time.Duration(overdueShare * float64(run))
	return max(a.placedAt+run, m.now+least)
}

// pickHeld finds an upstream held for a gang for a task that is expected to end
// before the gang can start.
func (m *Machine) pickHeld(j *job) (state.VMID, bool) {
	s := m.service(j.spec.Service)
	if s.reserved == nil || j.item.Run > s.backfillEnds-m.now {
		return "", false
	}
	avoid := j.slots[j.pending[0]].avoid
	for _, u := range s.held {
		rec, ok := m.cell.Get(u.vm)
		if ok && u.vm != avoid && !u.health.ejected && u.takesHeldWork() && j.amount.Fits(rec.Free) {
			return u.vm, true
		}
	}
	return "", false
}
