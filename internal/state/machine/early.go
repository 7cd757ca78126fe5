package machine

import "github.com/samphirerail/samphirerail/internal/state"

// maxEarlyEnds is how many ends of unknown tasks are kept.
const maxEarlyEnds = 4096

// earlyEnds keeps the latest ends of tasks, for a report that is older and still
// lists them as running.
type earlyEnds struct {
	ends map[state.TaskID]earlyEnd
	// order is a ring of the kept IDs; next is the oldest once it is full.
	order []state.TaskID
	next  int
}

// earlyEnd is the end of a task.
type earlyEnd struct {
	event Ended
	// counted says that the end was taken in: the task was known.
	counted bool
}

func (e *earlyEnds) keep(ev Ended, counted bool) {
	if e.ends == nil {
		e.ends = map[state.TaskID]earlyEnd{}
	}
	if _, ok := e.ends[ev.Task]; ok {
		return
	}
	e.ends[ev.Task] = earlyEnd{event: ev, counted: counted}
	if len(e.order) < maxEarlyEnds {
		e.order = append(e.order, ev.Task)
		return
	}
	delete(e.ends, e.order[e.next])
	e.order[e.next] = ev.Task
	e.next = (e.next + 1) % maxEarlyEnds
}

// keepEarlyEnd keeps the end of a task that is not known yet.
func (m *Machine) keepEarlyEnd(ev Ended) {
	id, index, number, err := splitTaskID(ev.Task)
	if err != nil {
		return
	}
	j, ok := m.jobs[id]
	if ok && index < len(j.slots) && number >= m.cfg.FirstAttempt && number <= j.slots[index].attempt {
		return
	}
	m.early.keep(ev, false)
}

// withEarlyEnd returns a reported task as ended when its end was learnt before
// the report, and false when nothing is left to do about it.
func (m *Machine) withEarlyEnd(at AdoptedTask) (AdoptedTask, bool) {
	early, ok := m.early.ends[at.Task]
	if at.Ended || !ok {
		return at, true
	}
	at.Ended = true
	at.End = early.event.End
	at.Output = early.event.Output
	return at, !early.counted
}
