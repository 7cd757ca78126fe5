package machine

import "github.com/samphirerail/samphirerail/internal/state"

// maxEarlyEnds is how many ends of unknown tasks are kept.
const maxEarlyEnds = 4096

// earlyEnds keeps the ends of tasks that this owner does not know yet, because
// the report that lists them as running is still on its way.
type earlyEnds struct {
	ends map[state.TaskID]Ended
	// order is a ring of the kept IDs; next is the oldest once it is full.
	order []state.TaskID
	next  int
}

func (e *earlyEnds) keep(ev Ended) {
	if e.ends == nil {
		e.ends = map[state.TaskID]Ended{}
	}
	if _, ok := e.ends[ev.Task]; ok {
		return
	}
	e.ends[ev.Task] = ev
	if len(e.order) < maxEarlyEnds {
		e.order = append(e.order, ev.Task)
		return
	}
	delete(e.ends, e.order[e.next])
	e.order[e.next] = ev.Task
	e.next = (e.next + 1) % maxEarlyEnds
}

// keepEarlyEnd keeps the end of a task, unless this owner started it.
func (m *Machine) keepEarlyEnd(ev Ended) {
	id, index, number, err := splitTaskID(ev.Task)
	if err != nil {
		return
	}
	j, ok := m.jobs[id]
	if ok && index < len(j.slots) && number >= m.cfg.FirstAttempt && number <= j.slots[index].attempt {
		return
	}
	m.early.keep(ev)
}

// withEarlyEnd returns a reported task as ended when its end was learnt before
// the report.
func (m *Machine) withEarlyEnd(at AdoptedTask) AdoptedTask {
	ev, ok := m.early.ends[at.Task]
	if at.Ended || !ok {
		return at
	}
	at.Ended = true
	at.End = ev.End
	at.Output = ev.Output
	return at
}
