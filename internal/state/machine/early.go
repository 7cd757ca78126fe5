package machine

import "github.com/samphirerail/samphirerail/internal/state"

// maxEarlyEnds is the maximum number of task ends that are kept.
const maxEarlyEnds = 4096

// earlyEnds keeps the latest task ends, because a worker's report may be older than an
// end and still list the task as running.
type earlyEnds struct {
	ends map[state.TaskID]earlyEnd
	// order is a ring buffer of the kept IDs; next is the oldest once it is full.
	order []state.TaskID
	next  int
}

// earlyEnd is the end of a task.
type earlyEnd struct {
	event Ended
	// processed is set when the task was known, so that its end has been processed.
	processed bool
}

func (e *earlyEnds) add(ev Ended, processed bool) {
	if e.ends == nil {
		e.ends = map[state.TaskID]earlyEnd{}
	}
	if _, ok := e.ends[ev.Task]; ok {
		return
	}
	e.ends[ev.Task] = earlyEnd{event: ev, processed: processed}
	if len(e.order) < maxEarlyEnds {
		e.order = append(e.order, ev.Task)
		return
	}
	delete(e.ends, e.order[e.next])
	e.order[e.next] = ev.Task
	e.next = (e.next + 1) % maxEarlyEnds
}

// recordEarlyEnd keeps the end of a task that is not known yet.
func (m *Machine) recordEarlyEnd(ev Ended) {
	id, index, number, err := splitTaskID(ev.Task)
	if err != nil {
		return
	}
	j, ok := m.jobs[id]
	if ok && index < len(j.tasks) && number >= m.cfg.FirstAttempt && number <= j.tasks[index].attempt {
		return
	}
	m.earlyEnds.add(ev, false)
}

// withEarlyEnd returns a reported task as ended when its end was received before the
// report. It returns false when that end has already been processed.
func (m *Machine) withEarlyEnd(reported AdoptedTask) (AdoptedTask, bool) {
	early, ok := m.earlyEnds.ends[reported.Task]
	if reported.Ended || !ok {
		return reported, true
	}
	reported.Ended = true
	reported.End = early.event.End
	reported.Output = early.event.Output
	return reported, !early.processed
}
