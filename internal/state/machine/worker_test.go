package machine

import (
	"fmt"
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

func (w *simulation) deliverFence(o *owner, msg *message) {
	wk := msg.worker
	if wk.epoch > o.epoch {
		return
	}
	wk.epoch = o.epoch
	ev := Fenced{VM: wk.vm, Incarnation: fmt.Sprint(wk.incarnation), Capacity: wk.capacity, Tasks: slices.Clone(wk.ended)}
	for _, t := range wk.running {
		ev.Tasks = append(ev.Tasks, AdoptedTask{Task: t.id, Job: t.job})
	}
	// The calls that fence a worker are made one at a time.
	o.inFlight = slices.DeleteFunc(o.inFlight, func(msg *message) bool {
		earlier, ok := msg.event.(Fenced)
		return ok && earlier.VM == ev.VM && earlier.Incarnation != ev.Incarnation
	})
	o.notify(ev)
}

func (w *simulation) deliverStart(o *owner, msg *message) {
	wk, s := msg.worker, msg.start
	reply := func(ev Event) {
		if !msg.responseLost {
			o.notify(ev)
		}
	}
	if wk.epoch != o.epoch || s.Incarnation != fmt.Sprint(wk.incarnation) || wk.refused[s.Task] {
		reply(StartRefused{Task: s.Task, VMFault: w.choose(2) == 0})
		return
	}
	if w.choose(10) == 0 {
		reply(StartRefused{Task: s.Task})
		wk.refused[s.Task] = true
		return
	}
	spec := *s.Job
	spec.Payload = nil
	wk.running = append(wk.running, &runningTask{id: s.Task, job: spec, ownerEpoch: o.epoch})
	w.checkStart(o, wk, s)
	reply(Started{Task: s.Task})
}

// checkStart checks the invariants against the tasks that run on the workers.
func (w *simulation) checkStart(o *owner, wk *worker, s *Start) {
	taskKey := fmt.Sprintf("%s/%d", s.Job.ID, s.Index)
	w.startCounts[taskKey]++
	if w.ranInEpochs[s.Job.ID] == nil {
		w.ranInEpochs[s.Job.ID] = map[int]bool{}
	}
	w.ranInEpochs[s.Job.ID][o.epoch] = true
	if a, ok := o.answers[s.Job.ID]; ok && a.Refusal != nil && a.Refusal.Verdict == state.NotRun {
		w.violation("job %s ran after it was answered as not run", s.Job.ID)
	}
	if !s.Job.Idempotent && w.startCounts[taskKey] > 1 {
		w.violation("task %s of a job that is not idempotent ran %d times", taskKey, w.startCounts[taskKey])
	}
	var demand state.Vector
	for _, t := range wk.running {
		demand = demand.Add(t.job.Each)
	}
	if !demand.Fits(wk.capacity) {
		w.violation("upstream %s runs tasks that need %s, which exceeds its capacity", wk.vm, demand)
	}
	var team state.Vector
	copies := 0
	for _, other := range w.workers {
		for _, t := range other.running {
			if t.job.Team == s.Job.Team {
				team = team.Add(t.job.Each)
			}
			id, index, _, _ := splitTaskID(t.id)
			if id == s.Job.ID && index == s.Index {
				copies++
			}
		}
	}
	if !team.Fits(w.limits[s.Job.Team]) {
		w.violation("team %s runs tasks that need %s, which exceeds its limit", s.Job.Team, team)
	}
	if copies > 1 {
		w.violation("task %s runs %d times at once", taskKey, copies)
	}
}

func (w *simulation) deliverStop(o *owner, msg *message) {
	wk := msg.worker
	if wk.epoch != o.epoch || wk.incarnation != msg.incarnation {
		return
	}
	for i, t := range wk.running {
		if t.id == msg.task {
			if msg.verb == StopCheckpoint && w.choose(3) == 0 {
				return
			}
			w.endTask(wk, i, EndStopped)
			return
		}
	}
	for _, at := range wk.ended {
		if at.Task == msg.task {
			o.notify(Ended{Task: at.Task, End: at.End, Output: at.Output})
			return
		}
	}
	if msg.verb == StopCheckpoint {
		return
	}
	wk.refused[msg.task] = true
	o.notify(Ended{Task: msg.task, End: EndNotRun})
}

// endTask ends a running task and notifies every owner that may still wait for it.
func (w *simulation) endTask(wk *worker, i int, end TaskEnd) {
	t := wk.running[i]
	wk.running = slices.Delete(wk.running, i, i+1)
	wk.ended = append(wk.ended, AdoptedTask{Task: t.id, Job: t.job, Ended: true, End: end, Output: []byte("out")})
	for _, o := range w.owners {
		if o.epoch == wk.epoch || o.epoch == t.ownerEpoch {
			o.notify(Ended{Task: t.id, End: end, Output: []byte("out"), Ran: 2 * time.Second})
		}
	}
}

// loseStartResponse drops the response to a start; the start may still arrive.
func (w *simulation) loseStartResponse(o *owner) {
	for _, msg := range o.inFlight {
		if msg.start != nil && !msg.responseLost && w.choose(2) == 0 {
			msg.responseLost = true
			o.notify(StartUnconfirmed{Task: msg.task})
			return
		}
	}
}

func (w *simulation) finishTask() {
	wk := w.workers[w.choose(len(w.workers))]
	if len(wk.running) == 0 {
		return
	}
	end := EndSucceeded
	if w.choose(4) == 0 {
		end = EndFailed
	}
	w.endTask(wk, w.choose(len(wk.running)), end)
}
