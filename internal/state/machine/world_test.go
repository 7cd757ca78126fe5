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
}

type worker struct {
	vm       state.VMID
	number   int
	epoch    int
	capacity state.Vector
	running  []*modelTask
	ended    []AdoptedTask
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
	number, _ := strconv.Atoi(o.m.upstreams[wk.vm].incarnation)
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

// disturb cancels a job, restarts a worker or lets a lease lapse.
func (w *world) disturb(o *owner) {
	wk := w.workers[w.choose(len(w.workers))]
	switch w.choose(6) {
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
	if wk.epoch != o.epoch {
		return
	}
	wk.number++
	wk.running = nil
	wk.ended = nil
	wk.refused = map[state.TaskID]bool{}
	o.flight = append(o.flight, &message{worker: wk, fence: true})
}

// lapse lets the lease of an owner on a worker lapse: its tasks stop, and its
// starts on their way are refused because the lease they carry is over.
func (w *world) lapse(wk *worker) {
	if wk.epoch == 0 {
		return
	}
	o := w.owners[wk.epoch-1]
	if u := o.m.upstreams[wk.vm]; !u.fenced {
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

// checkAccounts compares a machine's accounts with each other and with what
// runs on the workers that obey it.
func (w *world) checkAccounts(o *owner) {
	usage := map[state.TeamID]state.Vector{}
	for _, wk := range w.workers {
		u, ok := o.m.upstreams[wk.vm]
		if !ok {
			continue
		}
		committed := state.Vector{}
		for _, a := range u.tasks {
			committed = committed.Add(a.amount)
			usage[a.job.spec.Team] = usage[a.job.spec.Team].Add(a.amount)
			if o.m.tasks[a.id] != a {
				w.breach("task %s is not indexed", a.id)
			}
		}
		rec, _ := o.m.cell.Get(wk.vm)
		if u.incarnation != "" && !o.m.cfg.freeOnStop && rec.Free.Add(committed) != u.capacity {
			w.breach("%s: free %s and committed %s are not %s", wk.vm, rec.Free, committed, u.capacity)
		}
	}
	for _, t := range o.m.teamOrder {
		if !o.m.cfg.freeOnStop && t.usage != usage[t.id] {
			w.breach("team %s: usage %s, tasks %s", t.id, t.usage, usage[t.id])
		}
	}
	queued := 0
	for _, j := range o.m.jobs {
		if j.queued {
			queued++
		}
		if j.state.Ended() && (j.item.Queued() || j.queued) {
			w.breach("ended job %s is queued", j.spec.ID)
		}
	}
	if queued != o.m.Stats().Queued {
		w.breach("%d queued, counted %d", queued, o.m.Stats().Queued)
	}
}

// drain lets everything on its way arrive and every task end, then expects
// that each job is answered.
func (w *world) drain() {
	for range 4000 {
		busy := false
		for _, o := range w.owners {
			for len(o.flight) > 0 {
				busy = true
				w.deliver(o)
			}
		}
		for _, wk := range w.workers {
			for len(wk.running) > 0 {
				busy = true
				w.endAt(wk, 0, EndSucceeded)
			}
		}
		w.now += 100 * time.Millisecond
		for _, o := range w.owners {
			w.step(o, Tick{})
		}
		if !busy && w.idle() {
			return
		}
		w.cancelStanding()
	}
	for _, a := range w.newest().m.tasks {
		w.breach("task %s on %s is still counted", a.id, a.up.vm)
	}
	for _, id := range w.openIDs(w.newest()) {
		v, _ := w.newest().m.Job(id)
		w.breach("the newest owner did not come to rest: %+v", v)
	}
}

func (w *world) idle() bool { return len(w.openIDs(w.newest())) == 0 }

func (w *world) cancelStanding() {
	o := w.newest()
	for _, id := range w.openIDs(o) {
		if w.sent[id].Class == state.ClassStanding {
			w.stepAbout(o, id, CancelJob{Job: id, Team: w.sent[id].Team})
		}
	}
}
