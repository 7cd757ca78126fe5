package machine

import (
	"fmt"
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

func (w *world) fence(o *owner, msg *message) {
	wk := msg.worker
	if wk.epoch > o.epoch {
		return
	}
	wk.epoch = o.epoch
	ev := Fenced{VM: wk.vm, Incarnation: fmt.Sprint(wk.number), Capacity: wk.capacity, Tasks: slices.Clone(wk.ended)}
	for _, t := range wk.running {
		ev.Tasks = append(ev.Tasks, AdoptedTask{Task: t.id, Job: t.job})
	}
	// The calls to one worker to fence it come one after the other.
	o.flight = slices.DeleteFunc(o.flight, func(msg *message) bool {
		earlier, ok := msg.event.(Fenced)
		return ok && earlier.VM == ev.VM && earlier.Incarnation != ev.Incarnation
	})
	o.tell(ev)
}

func (w *world) startAt(o *owner, msg *message) {
	wk, s := msg.worker, msg.start
	reply := func(ev Event) {
		if !msg.answered {
			o.tell(ev)
		}
	}
	if wk.epoch != o.epoch || s.Incarnation != fmt.Sprint(wk.number) || wk.refused[s.Task] {
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
	wk.running = append(wk.running, &modelTask{id: s.Task, job: spec, owner: o.epoch})
	w.judgeStart(o, wk, s)
	reply(Started{Task: s.Task})
}

// judgeStart checks what must always hold against what really runs.
func (w *world) judgeStart(o *owner, wk *worker, s *Start) {
	logical := fmt.Sprintf("%s/%d", s.Job.ID, s.Index)
	w.runs[logical]++
	if w.ranBy[s.Job.ID] == nil {
		w.ranBy[s.Job.ID] = map[int]bool{}
	}
	w.ranBy[s.Job.ID][o.epoch] = true
	if a, ok := o.answers[s.Job.ID]; ok && a.Refusal != nil && a.Refusal.Verdict == state.NotRun {
		w.breach("job %s ran after it was answered as not run", s.Job.ID)
	}
	if !s.Job.Idempotent && w.runs[logical] > 1 {
		w.breach("task %s ran %d times", logical, w.runs[logical])
	}
	var held state.Vector
	for _, t := range wk.running {
		held = held.Add(t.job.Each)
	}
	if !held.Fits(wk.capacity) {
		w.breach("%s holds %s", wk.vm, held)
	}
	var team state.Vector
	places := 0
	for _, other := range w.workers {
		for _, t := range other.running {
			if t.job.Team == s.Job.Team {
				team = team.Add(t.job.Each)
			}
			id, index, _, _ := splitTaskID(t.id)
			if id == s.Job.ID && index == s.Index {
				places++
			}
		}
	}
	if !team.Fits(w.limits[s.Job.Team]) {
		w.breach("team %s holds %s", s.Job.Team, team)
	}
	if places > 1 {
		w.breach("task %s runs in %d places", logical, places)
	}
}

func (w *world) stopAt(o *owner, msg *message) {
	wk := msg.worker
	if wk.epoch != o.epoch || wk.number != msg.number {
		return
	}
	for i, t := range wk.running {
		if t.id == msg.task {
			if msg.verb == StopCheckpoint && w.choose(3) == 0 {
				return
			}
			w.endAt(wk, i, EndStopped)
			return
		}
	}
	for _, at := range wk.ended {
		if at.Task == msg.task {
			o.tell(Ended{Task: at.Task, End: at.End, Output: at.Output})
			return
		}
	}
	if msg.verb == StopCheckpoint {
		return
	}
	wk.refused[msg.task] = true
	o.tell(Ended{Task: msg.task, End: EndNotRun})
}

// endAt ends a running task and tells every owner that may still ask.
func (w *world) endAt(wk *worker, i int, end TaskEnd) {
	t := wk.running[i]
	wk.running = slices.Delete(wk.running, i, i+1)
	wk.ended = append(wk.ended, AdoptedTask{Task: t.id, Job: t.job, Ended: true, End: end, Output: []byte("out")})
	for _, o := range w.owners {
		if o.epoch == wk.epoch || o.epoch == t.owner {
			o.tell(Ended{Task: t.id, End: end, Output: []byte("out"), Ran: 2 * time.Second})
		}
	}
}

// loseAnswer lets the answer to a start be lost; the start may still arrive.
func (w *world) loseAnswer(o *owner) {
	for _, msg := range o.flight {
		if msg.start != nil && !msg.answered && w.choose(2) == 0 {
			msg.answered = true
			o.tell(StartUnknown{Task: msg.task})
			return
		}
	}
}

func (w *world) finishTask() {
	wk := w.workers[w.choose(len(w.workers))]
	if len(wk.running) == 0 {
		return
	}
	end := EndSucceeded
	if w.choose(4) == 0 {
		end = EndFailed
	}
	w.endAt(wk, w.choose(len(wk.running)), end)
}
