package machine

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

// simulation is a small model of workers and of the messages between them and one or
// more owners. It checks invariants against what the workers run and what the owners
// answered, not against the state of the machines.
type simulation struct {
	choose  func(n int) int
	workers []*worker
	owners  []*owner
	limits  map[state.TeamID]state.Vector
	now     state.Time
	jobs    int
	// submitted is the jobs by ID; startCounts counts actual starts by task.
	submitted   map[state.JobID]state.Job
	submittedAt map[state.JobID]state.Time
	startCounts map[string]int
	// ranInEpochs holds, by job, the epochs of the owners that started a task of it.
	ranInEpochs map[state.JobID]map[int]bool
	violations  []string
	// starts lists the start decisions, in order.
	starts []string
}

type worker struct {
	vm          state.VMID
	incarnation int
	// epoch is the epoch of the owner that fenced the worker last; 0 before.
	epoch    int
	capacity state.Vector
	running  []*runningTask
	ended    []AdoptedTask
	dead     bool
	// refused holds the tasks whose start was refused or revoked.
	refused map[state.TaskID]bool
}

type runningTask struct {
	id         state.TaskID
	job        state.Job
	ownerEpoch int
}

type owner struct {
	m        *Machine
	epoch    int
	inFlight []*message
	answers  map[state.JobID]Answer
	// repeating is the job whose answer may be repeated in the current step.
	repeating state.JobID
}

// message is a message in flight. Messages arrive in any order.
type message struct {
	worker *worker
	// incarnation is the incarnation of the worker that a stop is meant for.
	incarnation int
	start       *Start
	verb        StopVerb
	task        state.TaskID
	event       Event
	fence       bool
	// responseLost is set when the response will not reach the owner.
	responseLost bool
}

// fenceAttempts is the average number of attempts that it takes to fence a worker.
const fenceAttempts = 6

var (
	testTeams    = []state.TeamID{"alder", "birch"}
	testCapacity = state.Vector{CPUMilli: 4000, MemoryMB: 4000, Slots: 4}
	testLimit    = state.Vector{CPUMilli: 5000, MemoryMB: 100000, Slots: 100}
)

func newSimulation(choose func(int) int, workers int) *simulation {
	w := &simulation{
		choose:      choose,
		limits:      map[state.TeamID]state.Vector{},
		submitted:   map[state.JobID]state.Job{},
		submittedAt: map[state.JobID]state.Time{},
		startCounts: map[string]int{},
		ranInEpochs: map[state.JobID]map[int]bool{},
	}
	for i := range workers {
		w.workers = append(w.workers, &worker{
			vm: state.VMID(fmt.Sprintf("vm%d", i)), incarnation: 1, capacity: testCapacity,
			refused: map[state.TaskID]bool{},
		})
	}
	for _, t := range testTeams {
		w.limits[t] = testLimit
	}
	return w
}

// takeOver adds an owner with a newer epoch.
func (w *simulation) takeOver(cfg Config) {
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
		o.inFlight = append(o.inFlight, &message{worker: wk, fence: true})
	}
}

func (w *simulation) newest() *owner { return w.owners[len(w.owners)-1] }

// step applies an event and handles the resulting actions.
func (w *simulation) step(o *owner, ev Event) {
	w.now += time.Millisecond
	for _, a := range o.m.Step(w.now, ev) {
		switch a := a.(type) {
		case Start:
			w.starts = append(w.starts, fmt.Sprint(w.now, a.Task, a.VM))
			o.inFlight = append(o.inFlight, &message{worker: w.worker(a.VM), start: &a, task: a.Task})
		case Stop:
			o.inFlight = append(o.inFlight, o.stopMessage(w.worker(a.VM), a.Task, a.Verb))
		case ResolveStart:
			o.inFlight = append(o.inFlight, o.stopMessage(w.worker(a.VM), a.Task, StopCancel))
		case Answer:
			w.checkAnswer(o, a)
		case Accept:
		}
	}
	w.checkAccounting(o)
}

// stepForJob applies an event for a job. If the job has ended before, its answer may be
// repeated.
func (w *simulation) stepForJob(o *owner, id state.JobID, ev Event) {
	if j, ok := o.m.jobs[id]; ok && j.state.Ended() {
		o.repeating = id
	}
	w.step(o, ev)
	o.repeating = ""
}

func (o *owner) stopMessage(wk *worker, task state.TaskID, verb StopVerb) *message {
	incarnation := 0
	if u, ok := o.m.upstreams[wk.vm]; ok {
		incarnation, _ = strconv.Atoi(u.incarnation)
	}
	return &message{worker: wk, incarnation: incarnation, verb: verb, task: task}
}

func (w *simulation) worker(vm state.VMID) *worker {
	i := slices.IndexFunc(w.workers, func(wk *worker) bool { return wk.vm == vm })
	return w.workers[i]
}

func (w *simulation) checkAnswer(o *owner, a Answer) {
	if a.Refusal != nil && a.Refusal.Reason == state.ReasonConflict {
		return
	}
	if _, twice := o.answers[a.Job]; twice && o.repeating != a.Job {
		w.violation("job %s answered twice", a.Job)
	}
	o.answers[a.Job] = a
	if a.Refusal != nil && a.Refusal.Verdict == state.NotRun && w.ranInEpochs[a.Job][o.epoch] {
		w.violation("job %s answered as not run after it ran", a.Job)
	}
}

func (w *simulation) violation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// randomStep performs one random action.
func (w *simulation) randomStep() {
	o := w.owners[w.choose(len(w.owners))]
	switch w.choose(12) {
	case 0, 1, 2:
		w.submit(o)
	case 3, 4, 5, 6:
		w.deliver(o)
	case 7:
		w.loseStartResponse(o)
	case 8, 9:
		w.finishTask()
	case 10:
		w.injectFault(o)
	case 11:
		w.now += time.Duration(w.choose(2000)) * time.Millisecond
		w.step(o, Tick{})
	}
}

// randomFillStep performs one random action, only of the kinds that fill the shard.
func (w *simulation) randomFillStep() {
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

func (w *simulation) submit(o *owner) {
	if w.choose(6) == 0 && len(w.submitted) > 0 {
		w.resubmit(o)
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
	w.submitted[j.ID] = j
	w.submittedAt[j.ID] = w.now
	w.step(o, Submit{Job: j})
	w.dropUnrecorded(o, j.ID)
}

// dropUnrecorded drops the answer to a job that the owner has no record of, because it
// answered an earlier submission only.
func (w *simulation) dropUnrecorded(o *owner, id state.JobID) {
	if _, known := o.m.jobs[id]; !known {
		delete(o.answers, id)
	}
}

// resubmit repeats a submission. The newest owner may also get one that was submitted
// to an earlier owner.
func (w *simulation) resubmit(o *owner) {
	ids := make([]state.JobID, 0, len(w.submitted))
	for id := range w.submitted {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	j := w.submitted[ids[w.choose(len(ids))]]
	issuedEpoch := int(j.ID[len(j.ID)-1] - '0')
	if issuedEpoch > o.epoch {
		return
	}
	expired := w.now-w.submittedAt[j.ID] >= o.m.cfg.Retention
	j.IssuedBeforeTakeover = issuedEpoch < o.epoch || expired
	// An owner that has dropped its record of the job may answer the new submission.
	w.dropUnrecorded(o, j.ID)
	w.stepForJob(o, j.ID, Submit{Job: j})
	w.dropUnrecorded(o, j.ID)
}

func (w *simulation) deliver(o *owner) {
	if len(o.inFlight) == 0 {
		return
	}
	i := w.choose(len(o.inFlight))
	msg := o.inFlight[i]
	if msg.fence && w.choose(fenceAttempts) != 0 {
		return
	}
	o.inFlight = slices.Delete(o.inFlight, i, i+1)
	switch {
	case msg.worker != nil && msg.worker.dead:
	case msg.event != nil:
		if w.choose(8) == 0 {
			o.inFlight = append(o.inFlight, &message{event: msg.event})
		}
		w.step(o, msg.event)
	case msg.fence:
		w.deliverFence(o, msg)
	case msg.start != nil:
		w.deliverStart(o, msg)
	default:
		w.deliverStop(o, msg)
	}
}

func (o *owner) notify(ev Event) { o.inFlight = append(o.inFlight, &message{event: ev}) }

// injectFault cancels a job, restarts or removes a worker, expires a lease, makes a
// worker stop or resume responding, or lets an old owner resign.
func (w *simulation) injectFault(o *owner) {
	wk := w.workers[w.choose(len(w.workers))]
	switch w.choose(8) {
	case 0, 1:
		for _, id := range w.openIDs(o) {
			if w.choose(3) == 0 {
				w.stepForJob(o, id, CancelJob{Job: id, Team: w.submitted[id].Team})
				return
			}
		}
	case 2:
		w.restart(wk)
	case 3:
		w.expireLease(wk)
	case 4:
		w.step(o, UpstreamUnreachable{VM: wk.vm})
	case 5:
		w.step(o, UpstreamReachable{VM: wk.vm})
	case 6:
		w.kill(w.workers[0])
	case 7:
		if o != w.newest() && w.choose(4) == 0 {
			w.step(o, Resign{})
		}
	}
}

func (w *simulation) openIDs(o *owner) []state.JobID {
	var ids []state.JobID
	for _, j := range o.m.openJobs() {
		if _, ok := w.submitted[j.spec.ID]; ok {
			ids = append(ids, j.spec.ID)
		}
	}
	return ids
}

// restart gives a worker a new incarnation, which the newest owner then fences.
func (w *simulation) restart(wk *worker) {
	o := w.newest()
	if wk.epoch != o.epoch || wk.dead {
		return
	}
	wk.incarnation++
	wk.running = nil
	wk.ended = nil
	wk.refused = map[state.TaskID]bool{}
	o.inFlight = append(o.inFlight, &message{worker: wk, fence: true})
}

// kill removes a VM permanently; the owners are notified some time later.
func (w *simulation) kill(wk *worker) {
	if wk.dead || w.choose(10) != 0 {
		return
	}
	wk.dead = true
	wk.running = nil
	for _, o := range w.owners {
		o.notify(UpstreamRemoved{VM: wk.vm})
	}
}

// expireLease expires an owner's lease on a worker. The tasks of the worker are
// stopped, and starts in flight are refused because the lease that they carry has
// expired.
func (w *simulation) expireLease(wk *worker) {
	if wk.epoch == 0 {
		return
	}
	o := w.owners[wk.epoch-1]
	if u, ok := o.m.upstreams[wk.vm]; !ok || !u.fenced {
		return
	}
	for len(wk.running) > 0 {
		w.endTask(wk, 0, EndStopped)
	}
	o.inFlight = slices.DeleteFunc(o.inFlight, func(msg *message) bool {
		return msg.worker == wk && (msg.start != nil || msg.fence)
	})
	w.step(o, LeaseExpired{VM: wk.vm})
	o.inFlight = append(o.inFlight, &message{worker: wk, fence: true})
}
