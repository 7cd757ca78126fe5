package machine

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

// world is a small model of workers and of the messages between them and one
// or two owners. It judges from what the workers run and from the answers.
type world struct {
	choose  func(n int) int
	workers []*worker
	owners  []*owner
	limits  map[state.TeamID]state.Vector
	now     state.Time
	jobs    int
	// sent are the jobs by ID, runs counts real starts of a logical task.
	sent     map[state.JobID]state.Job
	issued   map[state.JobID]state.Time
	runs     map[string]int
	ranBy    map[state.JobID]map[int]bool
	breaches []string
	// starts are the decisions, in order.
	starts []string
}

type worker struct {
	vm       state.VMID
	number   int
	epoch    int
	capacity state.Vector
	running  []*modelTask
	ended    []AdoptedTask
	dead     bool
	refused  map[state.TaskID]bool
}

type modelTask struct {
	id    state.TaskID
	job   state.Job
	owner int
}

type owner struct {
	m       *Machine
	epoch   int
	flight  []*message
	answers map[state.JobID]Answer
	// quiet is set while a step repeats an earlier answer.
	quiet state.JobID
}

// message is something on its way. Messages arrive in any order.
type message struct {
	worker *worker
	// number is the incarnation that a stop is meant for.
	number int
	start  *Start
	verb   StopVerb
	task   state.TaskID
	event  Event
	fence  bool
	// answered says that the owner gave up on the answer.
	answered bool
}

// slowFence is how many attempts it takes, on average, to fence a worker.
const slowFence = 6

var (
	testTeams    = []state.TeamID{"alder", "birch"}
	testCapacity = state.Vector{CPUMilli: 4000, MemoryMB: 4000, Slots: 4}
	testLimit    = state.Vector{CPUMilli: 5000, MemoryMB: 100000, Slots: 100}
)

func newWorld(choose func(int) int, workers int) *world {
	w := &world{
		choose: choose,
		limits: map[state.TeamID]state.Vector{},
		sent:   map[state.JobID]state.Job{},
		issued: map[state.JobID]state.Time{},
		runs:   map[string]int{},
		ranBy:  map[state.JobID]map[int]bool{},
	}
	for i := range workers {
		w.workers = append(w.workers, &worker{
			vm: state.VMID(fmt.Sprintf("vm%d", i)), number: 1, capacity: testCapacity,
			refused: map[state.TaskID]bool{},
		})
	}
	for _, t := range testTeams {
		w.limits[t] = testLimit
	}
	return w
}

// takeOver adds an owner with a newer epoch.
func (w *world) takeOver(cfg Config) {
	epoch := len(w.owners) + 1
	cfg.FirstAttempt = 1000*epoch + 1
	o := &owner{m: New(cfg), epoch: epoch, answers: map[state.JobID]Answer{}}
	w.owners = append(w.owners, o)
	var quotas []Quota
	for _, t := range testTeams {
		quotas = append(quotas, Quota{Team: t, Limit: w.limits[t], Weight: 1, MaxQueued: 1000})
	}
	w.step(o, QuotasChanged{Quotas: quotas})
	for i, wk := range w.workers {
		if wk.dead {
			continue
		}
		w.step(o, UpstreamJoined{VM: wk.vm, Rack: fmt.Sprint("rack", i%2), Service: "fitting", Capacity: wk.capacity})
		o.flight = append(o.flight, &message{worker: wk, fence: true})
	}
}

func (w *world) newest() *owner { return w.owners[len(w.owners)-1] }

// step applies an event and takes in the actions.
func (w *world) step(o *owner, ev Event) {
	w.now += time.Millisecond
	for _, a := range o.m.Step(w.now, ev) {
		switch a := a.(type) {
		case Start:
			w.starts = append(w.starts, fmt.Sprint(w.now, a.Task, a.VM))
			o.flight = append(o.flight, &message{worker: w.worker(a.VM), start: &a, task: a.Task})
		case Stop:
			o.flight = append(o.flight, o.stopMessage(w.worker(a.VM), a.Task, a.Verb))
		case ResolveStart:
			o.flight = append(o.flight, o.stopMessage(w.worker(a.VM), a.Task, StopCancel))
		case Answer:
			w.answered(o, a)
		case Accept:
		}
	}
	w.checkAccounts(o)
}

// stepAbout applies an event about a job, which repeats the answer of one that
// has ended before.
func (w *world) stepAbout(o *owner, id state.JobID, ev Event) {
	if j, ok := o.m.jobs[id]; ok && j.state.Ended() {
		o.quiet = id
	}
	w.step(o, ev)
	o.quiet = ""
}

func (o *owner) stopMessage(wk *worker, task state.TaskID, verb StopVerb) *message {
	number := 0
	if u, ok := o.m.upstreams[wk.vm]; ok {
		number, _ = strconv.Atoi(u.incarnation)
	}
	return &message{worker: wk, number: number, verb: verb, task: task}
}

func (w *world) worker(vm state.VMID) *worker {
	i := slices.IndexFunc(w.workers, func(wk *worker) bool { return wk.vm == vm })
	return w.workers[i]
}

func (w *world) answered(o *owner, a Answer) {
	if a.Refusal != nil && a.Refusal.Reason == state.ReasonConflict {
		return
	}
	if _, twice := o.answers[a.Job]; twice && o.quiet != a.Job {
		w.breach("job %s answered twice", a.Job)
	}
	o.answers[a.Job] = a
	if a.Refusal != nil && a.Refusal.Verdict == state.NotRun && w.ranBy[a.Job][o.epoch] {
		w.breach("job %s answered as not run after it ran", a.Job)
	}
}

func (w *world) breach(format string, args ...any) {
	w.breaches = append(w.breaches, fmt.Sprintf(format, args...))
}

// act does one random thing.
func (w *world) act() {
	o := w.owners[w.choose(len(w.owners))]
	switch w.choose(12) {
	case 0, 1, 2:
		w.submit(o)
	case 3, 4, 5, 6:
		w.deliver(o)
	case 7:
		w.loseAnswer(o)
	case 8, 9:
		w.finishTask()
	case 10:
		w.disturb(o)
	case 11:
		w.now += time.Duration(w.choose(2000)) * time.Millisecond
		w.step(o, Tick{})
	}
}

// crowd does one random thing of those that fill the shard.
func (w *world) crowd() {
	o := w.owners[w.choose(len(w.owners))]
	switch w.choose(8) {
	case 0, 1, 2:
		w.submit(o)
	case 3, 4, 5, 6:
		w.deliver(o)
	case 7:
		w.finishTask()
	}
}

func (w *world) submit(o *owner) {
	if w.choose(6) == 0 && len(w.sent) > 0 {
		w.submitAgain(o)
		return
	}
	w.jobs++
	class := []state.Class{state.ClassRequest, state.ClassBatch, state.ClassGang, state.ClassStanding}[w.choose(4)]
	j := state.Job{
		ID: state.JobID(fmt.Sprintf("home.%06d-%d", w.jobs, o.epoch)), Team: testTeams[w.choose(2)], Class: class,
		Service: "fitting", Tasks: 1, Each: state.Vector{CPUMilli: int64(500 * (1 + w.choose(4))), MemoryMB: 100, Slots: 1},
		Idempotent: w.choose(2) == 0, Preemptible: w.choose(2) == 0, Urgent: w.choose(4) == 0, Payload: []byte("x"),
	}
	if class != state.ClassRequest {
		j.Tasks = 1 + w.choose(3)
	}
	if w.choose(3) == 0 {
		j.Deadline = w.now + time.Duration(1+w.choose(3000))*time.Millisecond
	}
	w.sent[j.ID] = j
	w.issued[j.ID] = w.now
	w.step(o, Submit{Job: j})
	w.dropUnrecorded(o, j.ID)
}

// dropUnrecorded forgets the answer to a job that the owner has no record of:
// it answered earlier submissions only.
func (w *world) dropUnrecorded(o *owner, id state.JobID) {
	if _, known := o.m.jobs[id]; !known {
		delete(o.answers, id)
	}
}

// submitAgain repeats a submission, to the newest owner also one that an
// earlier owner had.
func (w *world) submitAgain(o *owner) {
	ids := make([]state.JobID, 0, len(w.sent))
	for id := range w.sent {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	j := w.sent[ids[w.choose(len(ids))]]
	home := int(j.ID[len(j.ID)-1] - '0')
	if home > o.epoch {
		return
	}
	forgotten := w.now-w.issued[j.ID] >= o.m.cfg.Retention
	j.IssuedBeforeTakeover = home < o.epoch || forgotten
	// An owner that has forgotten the job may answer the new submission.
	w.dropUnrecorded(o, j.ID)
	w.stepAbout(o, j.ID, Submit{Job: j})
	w.dropUnrecorded(o, j.ID)
}

func (w *world) deliver(o *owner) {
	if len(o.flight) == 0 {
		return
	}
	i := w.choose(len(o.flight))
	msg := o.flight[i]
	if msg.fence && w.choose(slowFence) != 0 {
		return
	}
	o.flight = slices.Delete(o.flight, i, i+1)
	switch {
	case msg.worker != nil && msg.worker.dead:
	case msg.event != nil:
		if w.choose(8) == 0 {
			o.flight = append(o.flight, &message{event: msg.event})
		}
		w.step(o, msg.event)
	case msg.fence:
		w.fence(o, msg)
	case msg.start != nil:
		w.startAt(o, msg)
	default:
		w.stopAt(o, msg)
	}
}

func (o *owner) tell(ev Event) { o.flight = append(o.flight, &message{event: ev}) }

// disturb cancels a job, restarts a worker or lets a lease lapse.
func (w *world) disturb(o *owner) {
	wk := w.workers[w.choose(len(w.workers))]
	switch w.choose(8) {
	case 0, 1:
		for _, id := range w.openIDs(o) {
			if w.choose(3) == 0 {
				w.stepAbout(o, id, CancelJob{Job: id, Team: w.sent[id].Team})
				return
			}
		}
	case 2:
		w.restart(wk)
	case 3:
		w.lapse(wk)
	case 4:
		w.step(o, UpstreamSilent{VM: wk.vm})
	case 5:
		w.step(o, UpstreamBack{VM: wk.vm})
	case 6:
		w.kill(w.workers[0])
	case 7:
		if o != w.newest() && w.choose(4) == 0 {
			w.step(o, Resign{})
		}
	}
}

func (w *world) openIDs(o *owner) []state.JobID {
	var ids []state.JobID
	for _, j := range o.m.openJobs() {
		if _, ok := w.sent[j.spec.ID]; ok {
			ids = append(ids, j.spec.ID)
		}
	}
	return ids
}

// restart gives a worker a new incarnation, which the newest owner fences.
func (w *world) restart(wk *worker) {
	o := w.newest()
	if wk.epoch != o.epoch || wk.dead {
		return
	}
	wk.number++
	wk.running = nil
	wk.ended = nil
	wk.refused = map[state.TaskID]bool{}
	o.flight = append(o.flight, &message{worker: wk, fence: true})
}

// kill ends a VM for good; the owners learn it some time later.
func (w *world) kill(wk *worker) {
	if wk.dead || w.choose(10) != 0 {
		return
	}
	wk.dead = true
	wk.running = nil
	for _, o := range w.owners {
		o.tell(UpstreamGone{VM: wk.vm})
	}
}

// lapse lets the lease of an owner on a worker lapse: its tasks stop, and its
// starts on their way are refused because the lease they carry is over.
func (w *world) lapse(wk *worker) {
	if wk.epoch == 0 {
		return
	}
	o := w.owners[wk.epoch-1]
	if u, ok := o.m.upstreams[wk.vm]; !ok || !u.fenced {
		return
	}
	for len(wk.running) > 0 {
		w.endAt(wk, 0, EndStopped)
	}
	o.flight = slices.DeleteFunc(o.flight, func(msg *message) bool {
		return msg.worker == wk && (msg.start != nil || msg.fence)
	})
	w.step(o, LeaseLapsed{VM: wk.vm})
	o.flight = append(o.flight, &message{worker: wk, fence: true})
}
