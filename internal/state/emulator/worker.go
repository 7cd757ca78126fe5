package emulator

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/machine"
	"github.com/samphirerail/samphirerail/internal/state/trace"
)

// worker is the model of one upstream.
type worker struct {
	spec     *trace.Upstream
	domain   *domain
	capacity state.Vector
	// number counts its incarnations.
	number int
	alive  bool
	faulty bool
	used   state.Vector
	tasks  []*task
	// fates are how ended tasks ended, and which starts are refused.
	fates map[state.TaskID]machine.Ended
}

// task is a task that a worker runs.
type task struct {
	id      state.TaskID
	key     taskKey
	record  *record
	started state.Time
	amount  state.Vector
	over    bool
	// mute says that the answer to the start is lost.
	mute bool
	wait bool
}

func (w *worker) incarnation() string { return fmt.Sprintf("%s/%d", w.spec.VM, w.number) }

func (e *Emulator) addWorker(spec *trace.Upstream) {
	d := e.domain(spec.Domain)
	w := &worker{spec: spec, domain: d, capacity: spec.Capacity.Vector(), number: 1, alive: true, fates: map[state.TaskID]machine.Ended{}}
	e.workers[spec.VM] = w
	d.workers = append(d.workers, w)
	d.total = d.total.Add(w.capacity)
	d.addCapacity(spec.Service, w.capacity)
	e.step(d, machine.UpstreamJoined{VM: spec.VM, Rack: spec.Rack, Service: spec.Service, Capacity: w.capacity})
	e.fence(w)
}

func (d *domain) addCapacity(service state.Service, capacity state.Vector) {
	for _, s := range d.services {
		if s.service == service {
			s.capacity = s.capacity.Add(capacity)
			return
		}
	}
	d.services = append(d.services, &serviceTotal{service: service, capacity: capacity})
}

func (e *Emulator) fence(w *worker) {
	e.step(w.domain, machine.Fenced{VM: w.spec.VM, Incarnation: w.incarnation(), Capacity: w.capacity})
}

// lose ends a worker with all that it runs.
func (e *Emulator) lose(w *worker) {
	if !w.alive {
		return
	}
	w.alive = false
	number := w.number
	for _, t := range slices.Clone(w.tasks) {
		e.remove(w, t)
	}
	down := func(ev machine.Event) func() {
		return func() {
			if !w.alive && w.number == number {
				e.step(w.domain, ev)
			}
		}
	}
	e.after(silenceTimeout, down(machine.UpstreamSilent{VM: w.spec.VM}))
	e.after(leaseTime, down(machine.LeaseLapsed{VM: w.spec.VM}))
}

// restart brings a lost worker back, empty.
func (e *Emulator) restart(w *worker) {
	if w.alive {
		return
	}
	w.alive = true
	w.number++
	clear(w.fates)
	e.after(messageTime, func() {
		if w.alive {
			e.fence(w)
		}
	})
}

// start carries a start to its worker.
func (e *Emulator) start(s machine.Start) {
	r := e.jobs[s.Job.ID]
	r.starts++
	e.meter.starts++
	e.begin(r, s.Index)
	w := e.workers[s.VM]
	t := &task{
		id: s.Task, key: taskKey{s.Job.ID, s.Index}, record: r, amount: s.Job.Each,
		mute: xxhash.Sum64String(string(s.Task))%e.opts.LostAnswers == 0, wait: s.Wait,
	}
	number := w.number
	e.after(messageTime, func() { e.arrive(w, t, number) })
}

// begin notes the first start of a task.
func (e *Emulator) begin(r *record, index int) {
	if r.begun[index] {
		return
	}
	r.begun[index] = true
	r.waitsFor--
	if r.waitsFor == 0 {
		r.placed = e.now
	}
}

// arrive takes a start at the worker.
func (e *Emulator) arrive(w *worker, t *task, number int) {
	if !w.alive {
		e.after(startTimeout, func() { e.step(w.domain, machine.StartUnknown{Task: t.id}) })
		return
	}
	if _, refused := w.fates[t.id]; refused || w.number != number {
		e.toOwner(w, machine.StartRefused{Task: t.id, VMFault: w.number != number})
		return
	}
	t.started = e.now
	e.insert(w, t)
	e.confirm(w, t)
	actual, ends := e.actual(w, t)
	if ends {
		end := machine.EndSucceeded
		if w.faulty || t.record.spec.Fails {
			end = machine.EndFailed
		}
		e.after(actual, func() { e.endTask(w, t, end) })
	}
}

// confirm sends the answer to a start, or lets the owner wait for it.
func (e *Emulator) confirm(w *worker, t *task) {
	switch {
	case t.mute:
		e.after(startTimeout, func() { e.step(w.domain, machine.StartUnknown{Task: t.id}) })
	case !t.wait:
		e.toOwner(w, machine.Started{Task: t.id})
	}
}

// actual returns how long the task will run, and whether it ends by itself.
func (e *Emulator) actual(w *worker, t *task) (time.Duration, bool) {
	if w.faulty {
		return failFast, true
	}
	whole := t.record.spec.ActualRunTime()
	if whole == 0 {
		return 0, false
	}
	return max(whole-e.progress[t.key], time.Microsecond), true
}

// endTask ends a task by itself or by a stop.
func (e *Emulator) endTask(w *worker, t *task, end machine.TaskEnd) {
	if t.over {
		return
	}
	e.remove(w, t)
	ended := machine.Ended{Task: t.id, End: end, Ran: e.now - t.started, Output: []byte(output(t.key))}
	w.fates[t.id] = ended
	if t.mute && t.wait && e.now-t.started < startTimeout {
		return
	}
	e.toOwner(w, ended)
}

// output is what a task returns.
func output(key taskKey) string { return fmt.Sprintf("%s/%d", key.job, key.index) }

// toOwner carries a message to the owner, unless the worker dies before.
func (e *Emulator) toOwner(w *worker, ev machine.Event) {
	e.after(messageTime, func() { e.step(w.domain, ev) })
}

// resolve ends the doubt about a start. A dead worker does not answer.
func (e *Emulator) resolve(r machine.ResolveStart) {
	e.control(r.VM, r.Task, func(w *worker, t *task) { e.endTask(w, t, machine.EndStopped) })
}

// stop carries a stop to its worker.
func (e *Emulator) stop(s machine.Stop) {
	e.control(s.VM, s.Task, func(w *worker, t *task) {
		switch s.Verb {
		case machine.StopCheckpoint:
			e.checkpoint(w, t)
		case machine.StopCancel:
			e.endTask(w, t, machine.EndStopped)
		case machine.StopThrottle:
		}
	})
}

// checkpoint saves the progress of a task and ends it.
func (e *Emulator) checkpoint(w *worker, t *task) {
	e.after(checkpointTime, func() {
		if t.over {
			return
		}
		e.progress[t.key] += e.now - t.started
		e.endTask(w, t, machine.EndStopped)
	})
}

// control reaches the worker of a task: it acts on a running task, and else
// reports how it ended, or refuses its start for good.
func (e *Emulator) control(vm state.VMID, id state.TaskID, act func(*worker, *task)) {
	w := e.workers[vm]
	number := w.number
	e.after(messageTime, func() {
		if !w.alive || w.number != number {
			return
		}
		at := slices.IndexFunc(w.tasks, func(t *task) bool { return t.id == id })
		if at >= 0 {
			t := w.tasks[at]
			t.mute = false
			act(w, t)
			return
		}
		fate, ok := w.fates[id]
		if !ok {
			fate = machine.Ended{Task: id, End: machine.EndNotRun}
			w.fates[id] = fate
		}
		e.toOwner(w, fate)
	})
}

// insert counts a task that starts to run.
func (e *Emulator) insert(w *worker, t *task) {
	w.tasks = append(w.tasks, t)
	w.used = w.used.Add(t.amount)
	use := w.domain.team(t.record.spec.Team)
	use.used = use.used.Add(t.amount)
	e.checkStart(w, t, use)
	e.running[t.key] = w.spec.VM
	e.starts[t.key]++
}

// remove counts a task that runs no more.
func (e *Emulator) remove(w *worker, t *task) {
	t.over = true
	w.tasks = slices.DeleteFunc(w.tasks, func(other *task) bool { return other == t })
	w.used = w.used.Sub(t.amount)
	use := w.domain.team(t.record.spec.Team)
	use.used = use.used.Sub(t.amount)
	delete(e.running, t.key)
}

// usage reports what tasks really use.
func (e *Emulator) usage() {
	for _, d := range e.domains {
		for _, w := range d.workers {
			ev := machine.Usage{VM: w.spec.VM}
			for _, t := range w.tasks {
				if e.now-t.started >= usageLag {
					ev.Tasks = append(ev.Tasks, machine.TaskUsage{Task: t.id, Used: t.used()})
				}
			}
			if len(ev.Tasks) > 0 {
				e.step(d, ev)
			}
		}
	}
}

// used is what a task really uses.
func (t *task) used() state.Vector {
	percent := t.record.spec.UsePercent
	v := t.amount
	v.CPUMilli = v.CPUMilli * percent / 100
	v.MemoryMB = v.MemoryMB * percent / 100
	return v
}

// realUse is what the worker's tasks really use.
func (w *worker) realUse() state.Vector {
	var used state.Vector
	for _, t := range w.tasks {
		used = used.Add(t.used())
	}
	return used
}
