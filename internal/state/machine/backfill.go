package machine

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/queue"
)

const (
	// runSamples is the minimum number of measured run times for an estimate.
	runSamples = 5
	// runWeight is the weight of the newest run time in the moving average.
	runWeight = 0.1
	// minRemainingShare is the fraction of its expected run time that a running task is
	// expected to need at least from now on, also when it is overdue.
	minRemainingShare = 0.25
	// maxBackfillRun is the longest expected run time of tasks that are placed on
	// upstreams reserved for a gang.
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

// observeRun records the run time of a task that succeeded, as measured by the owner.
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

// backfillRun returns the expected run time of a task of a request or batch job, or
// queue.UnknownRun when the task is not eligible for backfill.
func (m *Machine) backfillRun(spec *state.Job) time.Duration {
	if spec.Class != state.ClassRequest && spec.Class != state.ClassBatch {
		return queue.UnknownRun
	}
	run := m.expectedRun(spec)
	if run > maxBackfillRun {
		return queue.UnknownRun
	}
	return run
}

// expectedRun returns the declared run time of a job corrected by how long such tasks
// ran compared with their declaration, or else the average of the measured run times,
// or queue.UnknownRun when there are too few samples.
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

// canStart reports whether a reserved upstream can start tasks.
func (u *upstream) canStart() bool {
	return u.fenced && !u.unreachable && !u.leaving && !u.faulted
}

// allowBackfill computes until when tasks may run as backfill on the upstreams reserved
// for a gang. When that is later than before, it retries queued jobs on these
// upstreams.
func (m *Machine) allowBackfill(s *service) {
	before := s.backfillEnds
	s.backfillEnds = min(m.expectedGangStart(s), s.reservationEnds)
	if s.backfillEnds <= before {
		return
	}
	limit := s.backfillEnds - m.now
	for _, u := range s.reservedUpstreams {
		if rec, ok := m.cell.Get(u.vm); ok && u.canStart() {
			m.queue.CapacityFreedFor(u.service, rec.Free, limit)
		}
	}
}

// attemptEnd is when an attempt on a reserved upstream is expected to end.
type attemptEnd struct {
	at      state.Time
	attempt *attempt
}

// expectedGangStart returns when the upstreams reserved for a gang are expected to have
// capacity for it, provided that nothing more is placed there.
func (m *Machine) expectedGangStart(s *service) state.Time {
	j := s.reservedFor
	free := make(map[*upstream]state.Vector, len(s.reservedUpstreams))
	var ends []attemptEnd
	places := 0
	for _, u := range s.reservedUpstreams {
		rec, ok := m.cell.Get(u.vm)
		if !ok || !u.canStart() {
			continue
		}
		left := rec.Free
		for _, a := range u.attempts {
			switch {
			case a.released:
			case a.backfill:
				left = left.Add(a.amount)
			case a.job.spec.Class != state.ClassStanding:
				ends = append(ends, attemptEnd{at: m.expectedEnd(a), attempt: a})
			}
		}
		free[u] = left
		places += fitCount(j.amount, left)
	}
	slices.SortFunc(ends, func(a, b attemptEnd) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.attempt.id, b.attempt.id))
	})
	at := m.now
	for _, e := range ends {
		if places >= len(j.pending) {
			break
		}
		u := e.attempt.up
		before := fitCount(j.amount, free[u])
		free[u] = free[u].Add(e.attempt.amount)
		places += fitCount(j.amount, free[u]) - before
		at = e.at
	}
	return at
}

// expectedEnd returns when a running task is expected to end.
func (m *Machine) expectedEnd(a *attempt) state.Time {
	run := m.expectedRun(a.job.spec)
	if run == queue.UnknownRun {
		return m.now
	}
	least := time.Duration(minRemainingShare * float64(run))
	return max(a.placedAt+run, m.now+least)
}

// pickReserved returns a reserved upstream for a task that is expected to end before
// the gang can start there.
func (m *Machine) pickReserved(j *job) (state.VMID, bool) {
	s := m.service(j.spec.Service)
	if s.reservedFor == nil || j.item.Run > s.backfillEnds-m.now {
		return "", false
	}
	avoid := j.tasks[j.pending[0]].avoid
	for _, u := range s.reservedUpstreams {
		rec, ok := m.cell.Get(u.vm)
		if ok && u.vm != avoid && !u.health.ejected && u.canStart() && j.amount.Fits(rec.Free) {
			return u.vm, true
		}
	}
	return "", false
}
