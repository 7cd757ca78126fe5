package baseline

import (
	"container/heap"
	"slices"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/cell"
	"github.com/samphirerail/samphirerail/internal/state/machine"
)

// enqueue inserts a job into the queue of its service, in order of arrival.
func (f *FirstFitFIFO) enqueue(j *job) {
	if j.waiting {
		return
	}
	j.waiting = true
	f.queued[j.spec.Team]++
	t := f.queueFor(j.spec.Service).team(j.spec.Team)
	at, _ := slices.BinarySearchFunc(t.jobs, j, bySequence)
	t.jobs = slices.Insert(t.jobs, at, j)
}

func (f *FirstFitFIFO) dequeue(j *job) {
	if !j.waiting {
		return
	}
	j.waiting = false
	f.queued[j.spec.Team]--
	t := f.queueFor(j.spec.Service).team(j.spec.Team)
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

func (f *FirstFitFIFO) queueFor(service state.Service) *serviceQueue {
	for _, l := range f.queues {
		if l.service == service {
			return l
		}
	}
	l := &serviceQueue{service: service}
	f.queues = append(f.queues, l)
	return l
}

func (l *serviceQueue) team(id state.TeamID) *teamQueue {
	for _, t := range l.teams {
		if t.team == id {
			return t
		}
	}
	t := &teamQueue{team: id}
	l.teams = append(l.teams, t)
	return t
}

// schedule starts jobs of each service, oldest first, until one does not fit.
func (f *FirstFitFIFO) schedule() {
	for _, l := range f.queues {
		for j := f.oldest(l); j != nil; j = f.oldest(l) {
			if !f.place(j) {
				break
			}
		}
	}
}

// oldest returns the oldest job whose demand fits within its team's limit, of the first
// jobs of each team, or nil.
func (f *FirstFitFIFO) oldest(l *serviceQueue) *job {
	var first *job
	for _, t := range l.teams {
		if len(t.jobs) == 0 || first != nil && first.sequence < t.jobs[0].sequence {
			continue
		}
		j := t.jobs[0]
		free := f.quotas[t.team].Limit.Sub(f.usage[t.team])
		if j.demand().Fits(free) {
			first = j
		}
	}
	return first
}

// demand returns the resources that must be free to start the job's next task, or the
// whole gang.
func (j *job) demand() state.Vector {
	if j.spec.Class == state.ClassGang {
		return j.spec.Total()
	}
	return j.spec.Each
}

// place starts the next task of a job, or all tasks of a gang. It returns false when they
// do not fit on any upstream.
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
		f.dequeue(j)
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

// taskEnded handles the end of a task: it records the output, answers the job or schedules
// a retry.
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
	case j.cancelled || j.restartGang:
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
		f.scheduleRetry(j, a.index)
	}
	f.answerIfFinished(j)
}

// scheduleRetry schedules another start of a task. For a gang it stops all tasks; the gang
// is scheduled again once they have ended.
func (f *FirstFitFIFO) scheduleRetry(j *job, index int) {
	j.retries++
	if j.spec.Class == state.ClassGang {
		j.restartGang = true
		f.stopAll(j)
		return
	}
	f.delayedRetries = append(f.delayedRetries, retry{at: f.now + retryWait, job: j, index: index})
}

// enqueueDueRetries puts the jobs of due retries back into their queues.
func (f *FirstFitFIFO) enqueueDueRetries() {
	for len(f.delayedRetries) > 0 && f.delayedRetries[0].at <= f.now {
		r := f.delayedRetries[0]
		f.delayedRetries = f.delayedRetries[1:]
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
		f.enqueue(r.job)
	}
}

func (f *FirstFitFIFO) release(a *attempt) {
	delete(f.tasks, a.id)
	f.byVM[a.vm] = slices.DeleteFunc(f.byVM[a.vm], func(other *attempt) bool { return other == a })
	f.cell.Release(a.vm, a.job.spec.Each)
	f.usage[a.job.spec.Team] = f.usage[a.job.spec.Team].Sub(a.job.spec.Each)
	a.job.active--
}

// answerIfFinished answers a job, or schedules the restart of a gang, once none of its
// tasks is active.
func (f *FirstFitFIFO) answerIfFinished(j *job) {
	switch {
	case j.ended || j.active > 0:
	case j.done == j.spec.Tasks:
		f.answer(j, state.JobSucceeded, "")
	case j.cancelled:
		f.answer(j, state.JobCancelled, state.ReasonCancelled)
	case j.restartGang:
		f.restartGang(j)
	}
}

// restartGang schedules another start of a gang whose tasks have all ended. A job that has
// run and is not idempotent is answered instead, as its outcome is unknown.
func (f *FirstFitFIFO) restartGang(j *job) {
	j.restartGang = false
	if j.ran && !j.spec.Idempotent {
		f.answer(j, state.JobUnknown, state.ReasonOutcomeUnknown)
		return
	}
	j.done = 0
	j.pending = j.pending[:0]
	f.delayedRetries = append(f.delayedRetries, retry{at: f.now + retryWait, job: j, index: allTasks})
}

// expireDeadlines answers the jobs whose deadline has passed.
func (f *FirstFitFIFO) expireDeadlines() {
	for j := f.deadlines.popExpired(f.now); j != nil; j = f.deadlines.popExpired(f.now) {
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

// deadlines is a heap of jobs, earliest deadline first. It implements heap.Interface.
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

// popExpired removes and returns a job whose deadline has passed, or returns nil.
func (d *deadlines) popExpired(now state.Time) *job {
	if len(*d) == 0 || (*d)[0].spec.Deadline > now {
		return nil
	}
	return heap.Pop(d).(*job)
}
