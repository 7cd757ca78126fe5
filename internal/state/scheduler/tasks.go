package scheduler

import (
	"cmp"
	"slices"

	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// A step holds the tasks that were placed and are not complete, and those that are complete and
// still have runs. Of the others it holds a bit if they are complete, and nothing if they were never
// placed.

// find returns the position of a task among those that the step holds, and whether it holds it.
func (st *step) find(index int) (position int, found bool) {
	return slices.BinarySearchFunc(st.tasks, index, func(t *task, index int) int { return cmp.Compare(t.index, index) })
}

// task returns a task, which the step holds from now on.
func (st *step) task(index int) *task {
	i, found := st.find(index)
	if !found {
		st.tasks = slices.Insert(st.tasks, i, &task{step: st, index: index, done: st.isDone(index)})
		st.job.atWork++
		st.job.lastingToCome -= boolInt(st.spec.LongRunning)
	}
	return st.tasks[i]
}

// heldTask returns a task that its step holds, or nil.
func (s *Scheduler) heldTask(id workload.TaskID) *task {
	j := s.jobs[id.Job]
	if j == nil || id.Step >= len(j.steps[id.Occurrence]) {
		return nil
	}
	st := j.steps[id.Occurrence][id.Step]
	if i, found := st.find(id.Index); found {
		return st.tasks[i]
	}
	return nil
}

// isDone reports whether a task is complete.
func (st *step) isDone(index int) bool {
	return st.left == 0 || (index/8 < len(st.done) && st.done[index/8]&(1<<(index%8)) != 0)
}

// setDone marks a task as complete that is not.
func (st *step) setDone(index int) {
	if st.done == nil {
		st.done = make([]byte, (st.spec.Count+7)/8)
	}
	st.done[index/8] |= 1 << (index % 8)
	st.left--
}

// dropIdle drops a complete task without runs, and its occurrence with the last one.
func (st *step) dropIdle(t *task) {
	if !t.done || len(t.runs) > 0 || t.unconfirmedOn != "" {
		return
	}
	i, found := st.find(t.index)
	if !found || st.tasks[i] != t {
		return
	}
	st.tasks = slices.Delete(st.tasks, i, i+1)
	st.job.atWork--
	st.job.lastingToCome += boolInt(st.spec.LongRunning)
	if len(st.tasks) == 0 {
		st.tasks = nil
		st.job.dropOccurrence(st.occurrence)
	}
}

// untouched returns the number of tasks that were never placed.
func (st *step) untouched() int {
	n := st.left
	for _, t := range st.tasks {
		n -= boolInt(!t.done)
	}
	return n
}

// nextUntouched returns the first task that was never placed, or nil if there is none.
func (st *step) nextUntouched() *task {
	for ; st.cursor < st.spec.Count; st.cursor++ {
		if _, found := st.find(st.cursor); !found && !st.isDone(st.cursor) {
			return st.task(st.cursor)
		}
	}
	return nil
}

// startable returns how many of the waiting tasks may be placed: of those that were never placed no
// more than the step has room for, and those of a gang together.
func (st *step) startable(waiting int) int {
	if waiting == 0 {
		return 0
	}
	untouched := st.untouched()
	room := st.room()
	switch {
	case untouched <= room:
		return waiting
	case st.spec.Gang:
		return 0
	}
	return waiting - untouched + room
}

// room returns how many tasks that were never placed the step may hold, so that the state of the
// job fits a record. The long-running tasks that are to come have places of their own. Steps of
// single tasks leave the spare places to those that hold none.
func (st *step) room() int {
	j := st.job
	room := workload.MaxTasksAtWork - j.atWork
	if !st.spec.LongRunning {
		// A former release has accepted more long-running tasks than may be at work.
		room -= min(j.lastingToCome, workload.MaxTasksAtWork-1)
		if !st.spec.Gang {
			least := min(room, boolInt(len(st.tasks) == 0))
			room = max(least, room-workload.SparePlaces)
		}
	}
	return max(0, room)
}

// waitingTasks returns the tasks that have no run and may get one. With touch, it includes those
// that were never placed, which the step holds from now on.
func (st *step) waitingTasks(touch bool) []*task {
	if touch {
		for n := st.untouched(); n > 0; n-- {
			st.nextUntouched()
		}
	}
	var out []*task
	for _, t := range st.tasks {
		if !t.done && len(t.runs) == 0 && t.unconfirmedOn == "" && !t.barred() && (!t.isolated || st.spec.Gang) {
			out = append(out, t)
		}
	}
	return out
}
