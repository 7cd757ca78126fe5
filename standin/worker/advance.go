package worker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// clock reads the worker's monotonic clock.
func (w *Worker) clock() devplatform.WorkerClock {
	return devplatform.WorkerClock(time.Since(w.startedAt))
}

// wall converts a reading of the worker's clock to Unix nanoseconds.
func (w *Worker) wall(c devplatform.WorkerClock) int64 {
	return w.startedAt.Add(time.Duration(c)).UnixNano()
}

// advance brings the worker up to its clock: tasks that are due end, and all
// others stop when the lease has lapsed. Every call begins with it, so that a
// late timer changes nothing.
func (w *Worker) advance() {
	now := w.clock()
	limit := now
	if w.lapsed(now) {
		limit = w.leaseUntil
	}
	for _, t := range w.due(limit) {
		w.finish(t, t.plan.state, t.plan.output, t.plan.endAt)
	}
	if w.lapsed(now) {
		w.stopAll()
	}
	w.forgetOldRecords(now)
	w.rearm(now)
}

// due returns the running tasks that end by a time, in the order of their ends.
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

// stopAll ends every task at the end of the lease.
func (w *Worker) stopAll() {
	for _, id := range slices.Sorted(maps.Keys(w.running)) {
		w.finish(w.running[id], devplatform.TaskStopped, nil, w.leaseUntil)
	}
}

// finish ends a running task and tells the owner.
func (w *Worker) finish(t *task, state devplatform.TaskState, output []byte, at devplatform.WorkerClock) {
	delete(w.running, t.id())
	t.status.State = state
	t.status.Output = output
	t.status.EndedAt = at
	w.ended = append(w.ended, t.id())
	w.journal.end(t.run, string(state), w.wall(at))
	if !t.waited || t.epoch != w.epoch {
		w.lastSequence++
		w.events = append(w.events, devplatform.TaskEvent{Sequence: w.lastSequence, Status: t.report()})
		w.wake()
	}
	close(t.done)
}

// forgetOldRecords drops the tasks that ended before the record time.
func (w *Worker) forgetOldRecords(now devplatform.WorkerClock) {
	oldest := now - devplatform.WorkerClock(w.config.RecordTime)
	n := 0
	for n < len(w.ended) && w.tasks[w.ended[n]].status.EndedAt < oldest {
		delete(w.tasks, w.ended[n])
		n++
	}
	w.ended = slices.Delete(w.ended, 0, n)
}

// rearm sets the timer to the next end of a task or of the lease.
func (w *Worker) rearm(now devplatform.WorkerClock) {
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
