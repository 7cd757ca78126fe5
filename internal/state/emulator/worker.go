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
	// number is the number of the current incarnation, from 1.
	number int
	alive  bool
	faulty bool
	// former is a capacity that starts may use until formerUntil, after the upstream has shrunk.
	former      state.Vector
	formerUntil state.Time
	used        state.Vector
	tasks       []*task
	// outcomes holds how finished tasks ended, and the starts that were revoked.
	outcomes map[state.TaskID]machine.Ended
}

// task is an attempt to run a task on a worker.
type task struct {
	id      state.TaskID
	key     taskKey
	record  *record
	started state.Time
	amount  state.Vector
	ended   bool
	// responseLost means that the response to the start is lost.
	responseLost bool
	wait         bool
}

func (w *worker) incarnation() string { return fmt.Sprintf("%s/%d", w.spec.VM, w.number) }

func (e *Emulator) addWorker(spec *trace.Upstream) {
	d := e.domain(spec.Domain)
	w := &worker{spec: spec, domain: d, capacity: spec.Capacity.Vector(), number: 1, alive: true, outcomes: map[state.TaskID]machine.Ended{}}
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

// crash stops a worker and all its tasks.
func (e *Emulator) crash(w *worker) {
	if !w.alive {
		return
	}
	w.alive = false
	number := w.number
	for _, t := range slices.Clone(w.tasks) {
		e.removeTask(w, t)
	}
	ifStillDown := func(ev machine.Event) func() {
		return func() {
			if !w.alive && w.number == number {
				e.step(w.domain, ev)
			}
		}
	}
	e.after(unreachableTimeout, ifStillDown(machine.UpstreamUnreachable{VM: w.spec.VM, Closed: true}))
	e.after(leaseTime, ifStillDown(machine.LeaseExpired{VM: w.spec.VM}))
}

// restart starts a crashed worker again, without tasks.
func (e *Emulator) restart(w *worker) {
	if w.alive {
		return
	}
	w.alive = true
	w.number++
	clear(w.outcomes)
	e.after(messageTime, func() {
		if w.alive {
			e.fence(w)
		}
	})
}

// start sends a start command to its worker.
func (e *Emulator) start(s machine.Start) {
	r := e.jobs[s.Job.ID]
	r.starts++
	e.meter.starts++
	e.markStarted(r, s.Index)
	w := e.workers[s.VM]
	t := &task{
		id: s.Task, key: taskKey{s.Job.ID, s.Index}, record: r, amount: s.Job.Each,
		responseLost: xxhash.Sum64String(string(s.Task))%e.opts.LostResponses == 0, wait: s.Wait,
	}
	number := w.number
	e.after(messageTime, func() { e.deliverStart(w, t, number) })
}

// markStarted records the first start of a task. The job is placed once every task was
// started.
func (e *Emulator) markStarted(r *record, index int) {
	if r.taskStarted[index] {
		return
	}
	r.taskStarted[index] = true
	r.unstartedTasks--
	if r.unstartedTasks == 0 {
		r.placed = e.now
	}
}

// deliverStart handles a start command at the worker. A worker that is down does not
// respond, and a start that was revoked or meant for another incarnation is refused.
func (e *Emulator) deliverStart(w *worker, t *task, number int) {
	if !w.alive {
		e.after(startTimeout, func() { e.step(w.domain, machine.StartUnconfirmed{Task: t.id}) })
		return
	}
	if _, refused := w.outcomes[t.id]; refused || w.number != number {
		e.sendToOwner(w, machine.StartRefused{Task: t.id, VMFault: w.number != number})
		return
	}
	t.started = e.now
	e.addTask(w, t)
	e.acknowledge(w, t)
	if crash := t.record.spec.CrashTime(); crash > 0 {
		e.crashAfter(w, t, crash)
	}
	runTime, ends := e.remainingRunTime(w, t)
	if ends {
		end := machine.EndSucceeded
		if w.faulty || t.record.spec.Fails {
			end = machine.EndFailed
		}
		e.after(runTime, func() { e.endTask(w, t, end) })
	}
}

// acknowledge sends the response to a start. If the response is lost, the owner times
// out; with wait the end of the task is the response.
func (e *Emulator) acknowledge(w *worker, t *task) {
	switch {
	case t.responseLost:
		e.after(startTimeout, func() { e.step(w.domain, machine.StartUnconfirmed{Task: t.id}) })
	case !t.wait:
		e.sendToOwner(w, machine.Started{Task: t.id})
	}
}

// remainingRunTime returns how long the task will run, and whether it ends by itself.
func (e *Emulator) remainingRunTime(w *worker, t *task) (time.Duration, bool) {
	if w.faulty {
		return faultyRunTime, true
	}
	whole := t.record.spec.ActualRunTime()
	if whole == 0 {
		return 0, false
	}
	return max(whole-e.progress[t.key], time.Microsecond), true
}

// endTask ends a task that has finished or was stopped, and reports the end to the
// owner.
func (e *Emulator) endTask(w *worker, t *task, end machine.TaskEnd) {
	if t.ended {
		return
	}
	e.removeTask(w, t)
	ended := machine.Ended{Task: t.id, End: end, Ran: e.now - t.started, Output: []byte(output(t.key))}
	w.outcomes[t.id] = ended
	if t.responseLost && t.wait && e.now-t.started < startTimeout {
		return
	}
	e.sendToOwner(w, ended)
}

// output returns the output of a task.
func output(key taskKey) string { return fmt.Sprintf("%s/%d", key.job, key.index) }

// sendToOwner delivers an event to the owner after the message latency.
func (e *Emulator) sendToOwner(w *worker, ev machine.Event) {
	e.after(messageTime, func() { e.step(w.domain, ev) })
}

// resolveStart resolves an unconfirmed start by stopping the task or revoking the
// start. A worker that is down does not respond.
func (e *Emulator) resolveStart(r machine.ResolveStart) {
	e.deliverCommand(r.VM, r.Task, func(w *worker, t *task) { e.endTask(w, t, machine.EndStopped) })
}

// stop sends a stop command to its worker.
func (e *Emulator) stop(s machine.Stop) {
	e.deliverCommand(s.VM, s.Task, func(w *worker, t *task) {
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
		if t.ended {
			return
		}
		e.progress[t.key] += e.now - t.started
		e.endTask(w, t, machine.EndStopped)
	})
}

// deliverCommand delivers a command for a task to its worker and acts on the task if it
// runs. Otherwise the worker reports how the task ended, or revokes its start
// permanently.
func (e *Emulator) deliverCommand(vm state.VMID, id state.TaskID, act func(*worker, *task)) {
	w := e.workers[vm]
	number := w.number
	e.after(messageTime, func() {
		if !w.alive || w.number != number {
			return
		}
		at := slices.IndexFunc(w.tasks, func(t *task) bool { return t.id == id })
		if at >= 0 {
			t := w.tasks[at]
			t.responseLost = false
			act(w, t)
			return
		}
		outcome, ok := w.outcomes[id]
		if !ok {
			outcome = machine.Ended{Task: id, End: machine.EndNotRun}
			w.outcomes[id] = outcome
		}
		e.sendToOwner(w, outcome)
	})
}

// addTask adds a started task to the worker and to the usage of its team.
func (e *Emulator) addTask(w *worker, t *task) {
	w.tasks = append(w.tasks, t)
	w.used = w.used.Add(t.amount)
	use := w.domain.team(t.record.spec.Team)
	use.used = use.used.Add(t.amount)
	e.checkStart(w, t, use)
	e.running[t.key] = w.spec.VM
	e.starts[t.key]++
}

// removeTask removes an ended task from the worker and from the usage of its team.
func (e *Emulator) removeTask(w *worker, t *task) {
	t.ended = true
	w.tasks = slices.DeleteFunc(w.tasks, func(other *task) bool { return other == t })
	w.used = w.used.Sub(t.amount)
	use := w.domain.team(t.record.spec.Team)
	use.used = use.used.Sub(t.amount)
	delete(e.running, t.key)
}

// usage reports to the policies what the running tasks actually use.
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

// used returns what a task actually uses.
func (t *task) used() state.Vector {
	percent := t.record.spec.UsePercent
	v := t.amount
	v.CPUMilli = v.CPUMilli * percent / 100
	v.MemoryMB = v.MemoryMB * percent / 100
	return v
}

// realUse returns what the tasks of the worker actually use in total.
func (w *worker) realUse() state.Vector {
	var used state.Vector
	for _, t := range w.tasks {
		used = used.Add(t.used())
	}
	return used
}
