package baseline

import (
	"container/heap"
	"slices"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/cell"
	"github.com/samphirerail/samphirerail/internal/state/machine"
)

// wait puts a job into its service's line, at the place of its arrival.
func (f *FirstFitFIFO) wait(j *job) {
	if j.waiting {
		return
	}
	j.waiting = true
	f.queued[j.spec.Team]++
	t := f.line(j.spec.Service).team(j.spec.Team)
	at, _ := slices.BinarySearchFunc(t.jobs, j, bySequence)
	t.jobs = slices.Insert(t.jobs, at, j)
}

func (f *FirstFitFIFO) unwait(j *job) {
	if !j.waiting {
		return
	}
	j.waiting = false
	f.queued[j.spec.Team]--
	t := f.line(j.spec.Service).team(j.spec.Team)
	at, _ := slices.BinarySearchFunc(t.jobs, j, bySequence)
	if at == 0 {
		t.jobs = t.jobs[1:]
		return
	}
	t.jobs = slices.Delete(t.jobs, at, at+1)
}

func bySequence(a, b *job) int {
	switch {
	case a.sequence < b.sequence:
		return -1
	case a.sequence > b.sequence:
		return 1
	}
	return 0
}

func (f *FirstFitFIFO) line(service state.Service) *line {
	for _, l := range f.lines {
		if l.service == service {
			return l
		}
	}
	l := &line{service: service}
	f.lines = append(f.lines, l)
	return l
}

func (l *line) team(id state.TeamID) *teamLine {
	for _, t := range l.teams {
		if t.team == id {
			return t
		}
	}
	t := &teamLine{team: id}
	l.teams = append(l.teams, t)
	return t
}

// schedule starts the oldest jobs of each service until one finds no room.
func (f *FirstFitFIFO) schedule() {
	for _, l := range f.lines {
		for j := f.oldest(l); j != nil; j = f.oldest(l) {
			if !f.place(j) {
				break
			}
		}
	}
}

// oldest returns the oldest job of a team that is not at its limit.
func (f *FirstFitFIFO) oldest(l *line) *job {
	var first *job
	for _, t := range l.teams {
		if len(t.jobs) == 0 || first != nil && first.sequence < t.jobs[0].sequence {
			continue
		}
		j := t.jobs[0]
		free := f.quotas[t.team].Limit.Sub(f.usage[t.team])
		if j.next().Fits(free) {
			first = j
		}
	}
	return first
}

// next is what the job needs to go on.
func (j *job) next() state.Vector {
	if j.spec.Class == state.ClassGang {
		return j.spec.Total()
	}
	return j.spec.Each
}

// place starts the next task of a job, or all tasks of a gang. It reports false
// when there is no room.
func (f *FirstFitFIFO) place(j *job) bool {
	count := 1
	if j.spec.Class == state.ClassGang {
		count = len(j.pending)
	}
	vms, ok := f.cell.PickMany(cell.Request{Service: j.spec.Service, Each: j.spec.Each}, count)
	if !ok {
		return false
	}
	for _, vm := range vms {
		if !f.start(j, vm) {
			return false
		}
	}
	if len(j.pending) == 0 {
		f.unwait(j)
	}
	return true
}

func (f *FirstFitFIFO) start(j *job, vm state.VMID) bool {
	if f.cell.Commit(vm, j.spec.Each) != nil {
		return false
	}
	index := j.pending[0]
	j.pending = j.pending[1:]
	j.attempts = max(j.attempts, 1+j.retries)
	a := &attempt{id: taskID(j.spec.ID, index, j.attempts), job: j, index: index, vm: vm}
	f.tasks[a.id] = a
	f.byVM[vm] = append(f.byVM[vm], a)
	f.usage[j.spec.Team] = f.usage[j.spec.Team].Add(j.spec.Each)
	j.active++
	u, _ := f.cell.Get(vm)
	f.emit(machine.Start{
		Task: a.id, VM: vm, Incarnation: u.Incarnation, Job: &j.spec, Index: index,
		Wait: j.spec.Class == state.ClassRequest,
	})
	return true
}

// taskEnded takes in the end of a task.
func (f *FirstFitFIFO) taskEnded(ev machine.Ended) {
	a, ok := f.tasks[ev.Task]
	if !ok {
		return
	}
	j := a.job
	f.release(a)
	if ev.End != machine.EndNotRun {
		j.ran = true
	}
	switch {
	case j.ended:
		if j.active == 0 {
			delete(f.jobs, j.spec.ID)
		}
		return
	case ev.End == machine.EndSucceeded:
		j.outputs[a.index] = ev.Output
		j.done++
	case j.cancelled || j.regroup:
	case ev.End == machine.EndFailed && !j.spec.Idempotent:
		f.answer(j, state.JobFailed, state.ReasonTaskFailed)
		return
	case j.ran && !j.spec.Idempotent:
		f.answer(j, state.JobUnknown, state.ReasonOutcomeUnknown)
		return
	case j.retries >= maxRetries && j.spec.Class != state.ClassStanding:
		f.answer(j, state.JobFailed, state.ReasonRetriesExhausted)
		return
	default:
		f.again(j, a.index)
	}
	f.settle(j)
}

// again lets a task, or a whole gang, be started once more.
func (f *FirstFitFIFO) again(j *job, index int) {
	j.retries++
	if j.spec.Class == state.ClassGang {
		j.regroup = true
		f.stopAll(j)
		return
	}
	f.later = append(f.later, retry{at: f.now + retryWait, job: j, index: index})
}

// retryDue lets tasks wait for room again whose time has come.
func (f *FirstFitFIFO) retryDue() {
	for len(f.later) > 0 && f.later[0].at <= f.now {
		r := f.later[0]
		f.later = f.later[1:]
		if r.job.ended || r.job.cancelled {
			continue
		}
		if r.index != allTasks {
			r.job.pending = append(r.job.pending, r.index)
		}
		for i := range r.job.spec.Tasks {
			if r.index == allTasks {
				r.job.pending = append(r.job.pending, i)
			}
		}
		f.wait(r.job)
	}
}

func (f *FirstFitFIFO) release(a *attempt) {
	delete(f.tasks, a.id)
	f.byVM[a.vm] = slices.DeleteFunc(f.byVM[a.vm], func(other *attempt) bool { return other == a })
	f.cell.Release(a.vm, a.job.spec.Each)
	f.usage[a.job.spec.Team] = f.usage[a.job.spec.Team].Sub(a.job.spec.Each)
	a.job.active--
}

// settle answers a job when nothing of it is left to run.
func (f *FirstFitFIFO) settle(j *job) {
	switch {
	case j.ended || j.active > 0:
	case j.done == j.spec.Tasks:
		f.answer(j, state.JobSucceeded, "")
	case j.cancelled:
		f.answer(j, state.JobCancelled, state.ReasonCancelled)
	case j.regroup:
		f.regroup(j)
	}
}

// regroup lets a gang whose tasks have all ended wait again as a whole.
func (f *FirstFitFIFO) regroup(j *job) {
	j.regroup = false
	if j.ran && !j.spec.Idempotent {
		f.answer(j, state.JobUnknown, state.ReasonOutcomeUnknown)
		return
	}
	j.done = 0
	j.pending = j.pending[:0]
	f.later = append(f.later, retry{at: f.now + retryWait, job: j, index: allTasks})
}

// expire answers jobs whose deadline has passed.
func (f *FirstFitFIFO) expire() {
	for j := f.due.next(f.now); j != nil; j = f.due.next(f.now) {
		if j.ended || j.spec.Class == state.ClassStanding && j.active > 0 {
			continue
		}
		if j.spec.Idempotent || !j.ran && j.active == 0 {
			f.answer(j, state.JobRefused, state.ReasonDeadline)
			continue
		}
		f.answer(j, state.JobUnknown, state.ReasonOutcomeUnknown)
	}
}

// deadlines is a heap of jobs by deadline.
type deadlines []*job

func (d *deadlines) Len() int           { return len(*d) }
func (d *deadlines) Less(i, j int) bool { return (*d)[i].spec.Deadline < (*d)[j].spec.Deadline }
func (d *deadlines) Swap(i, j int)      { (*d)[i], (*d)[j] = (*d)[j], (*d)[i] }

// Push implements heap.Interface.
func (d *deadlines) Push(x any) { *d = append(*d, x.(*job)) }

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

func (d *deadlines) add(j *job) {
	if j.spec.Deadline > 0 {
		heap.Push(d, j)
	}
}

// next takes out a job whose deadline has passed, or returns nil.
func (d *deadlines) next(now state.Time) *job {
	if len(*d) == 0 || (*d)[0].spec.Deadline > now {
		return nil
	}
	return heap.Pop(d).(*job)
}
