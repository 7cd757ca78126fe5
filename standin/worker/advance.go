package worker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// clock returns the current time on the worker's monotonic clock.
func (w *Worker) clock() devplatform.WorkerClock {
	return devplatform.WorkerClock(time.Since(w.startedAt))
}

// unixNano converts a time on the worker's clock to Unix nanoseconds.
func (w *Worker) unixNano(c devplatform.WorkerClock) int64 {
	return w.startedAt.Add(time.Duration(c)).UnixNano()
}

// advance brings the state up to the current time: it ends tasks that are due, and stops
// all others if the lease has expired. Every call begins with it, so that a delay of the
// timer has no effect. The caller must hold mu.
func (w *Worker) advance() {
	now := w.clock()
	limit := now
	if w.leaseExpired(now) {
		limit = w.leaseUntil
	}
	for _, t := range w.due(limit) {
		w.finish(t, t.plan.state, t.plan.output, t.plan.endAt)
	}
	if w.leaseExpired(now) {
		w.stopExpired()
	}
	w.dropExpiredRecords(now)
	w.resetTimer(now)
}

// due returns the running tasks that end at or before a time, in the order of their ends.
func (w *Worker) due(limit devplatform.WorkerClock) []*task {
	var due []*task
	for _, t := range w.running {
		if t.plan.ends && t.plan.endAt <= limit {
			due = append(due, t)
		}
	}
	slices.SortFunc(due, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.plan.endAt, b.plan.endAt), cmp.Compare(a.id(), b.id()))
	})
	return due
}

// stopExpired stops every running task as of the end of the lease.
func (w *Worker) stopExpired() {
	for _, id := range slices.Sorted(maps.Keys(w.running)) {
		w.finish(w.running[id], devplatform.TaskStopped, nil, w.leaseUntil)
	}
}

// finish ends a running task and adds an event for the owner, unless the owner learns of
// the end from the reply to its start.
func (w *Worker) finish(t *task, state devplatform.TaskState, output []byte, at devplatform.WorkerClock) {
	delete(w.running, t.id())
	t.status.State = state
	t.status.Output = output
	t.status.EndedAt = at
	w.ended = append(w.ended, t.id())
	w.journal.finish(t.run, string(state), w.unixNano(at))
	if !t.startWaits || t.epoch != w.epoch {
		w.lastSequence++
		w.events = append(w.events, devplatform.TaskEvent{Sequence: w.lastSequence, Status: t.report()})
		w.notifyWaiters()
	}
	close(t.done)
}

// dropExpiredRecords drops the records of tasks that ended longer ago than the record time.
func (w *Worker) dropExpiredRecords(now devplatform.WorkerClock) {
	oldest := now - devplatform.WorkerClock(w.config.RecordTime)
	n := 0
	for n < len(w.ended) && w.tasks[w.ended[n]].status.EndedAt < oldest {
		delete(w.tasks, w.ended[n])
		n++
	}
	w.ended = slices.Delete(w.ended, 0, n)
}

// resetTimer sets the timer to the next end of a task or to the end of the lease. Without
// running tasks it stops the timer.
func (w *Worker) resetTimer(now devplatform.WorkerClock) {
	if len(w.running) == 0 {
		w.timer.Stop()
		return
	}
	next := w.leaseUntil
	if w.faults.Ignore.LeaseEnds {
		next = now + devplatform.WorkerClock(time.Hour)
	}
	for _, t := range w.running {
		if t.plan.ends {
			next = min(next, t.plan.endAt)
		}
	}
	w.timer.Reset(time.Duration(next - now))
}

func (w *Worker) onTimer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
}
