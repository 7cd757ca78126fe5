package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// world plays upstreams and the advice service in simulated time. It checks the
// promises from what the upstreams see, not from the scheduler's state.
type world struct {
	t         testing.TB
	s         *Scheduler
	now       state.Time
	config    *workload.Config
	upstreams []*simUpstream
	jobs      map[workload.JobID]*simJob
	events    []event
	seq       int
	rand      *rand.Rand
	// recorded is what the log holds of each job.
	recorded   map[workload.JobID]ledger.JobState
	generation int64
	// lossy is the share of starts that get no answer and run late.
	lossy float64
	// failing lets a run of a task on an upstream fail.
	failing func(run Run) bool
	// speed is how many times longer a run takes on an upstream.
	speed func(id workload.UpstreamID) float64
	// effort is how many times longer a task takes than it declared.
	effort func(id workload.TaskID) float64
	// allowed is what the advice service says of a step and an upstream.
	allowed func(step workload.StepID, id workload.UpstreamID) bool
}

type event struct {
	at  state.Time
	seq int
	do  func()
}

type simJob struct {
	spec  *workload.Job
	at    state.Time
	phase ledger.Phase
	ended state.Time
	// done holds the tasks that ended well.
	done map[workload.TaskID]bool
	// failed counts the failed runs of each task.
	failed map[workload.TaskID]int
}

type simUpstream struct {
	reg     workload.Upstream
	running map[workload.TaskID]*simRun
	// barred holds the newest run number of a task that was stopped or ended.
	barred map[workload.TaskID]int64
	ended  []EndedRow
	looked int
	down   bool
	// unlisted is set once the platform's list has dropped the upstream.
	unlisted bool
	// shown is set once the upstream was looked at in this term.
	shown bool
	// slowStop delays the end of stopped runs.
	slowStop state.Time
}

type simRun struct {
	run     int64
	began   state.Time
	length  state.Time
	stalled bool
}

func newWorld(t testing.TB, config *workload.Config) *world {
	config.Index()
	w := &world{t: t, config: config, jobs: map[workload.JobID]*simJob{}, rand: rand.New(rand.NewPCG(1, 2)), recorded: map[workload.JobID]ledger.JobState{}, generation: 1}
	w.s = New(config, Options{FirstRun: 1, QuickAsks: 100, SlowAsks: 100})
	w.now = time.Second
	w.failing = func(Run) bool { return false }
	w.speed = func(workload.UpstreamID) float64 { return 1 }
	w.effort = func(workload.TaskID) float64 { return 1 }
	w.allowed = func(_ workload.StepID, id workload.UpstreamID) bool { return id[len(id)-1]%3 != 0 }
	return w
}

// oneQueue is a configuration with one queue, service and workspace.
func oneQueue(change func(q *workload.Queue, ws *workload.Workspace)) *workload.Config {
	q := workload.Queue{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, TargetMS: 500}
	ws := workload.Workspace{Name: "w", Weight: 1000}
	if change != nil {
		change(&q, &ws)
	}
	return &workload.Config{Version: 1, Queues: []workload.Queue{q}, Workspaces: []workload.Workspace{ws}, Services: []workload.Service{{Name: "s"}}}
}

func (w *world) add(n int, capacity state.Vector, labels ...string) {
	for range n {
		u := &simUpstream{
			reg: workload.Upstream{
				ID: workload.UpstreamID(fmt.Sprintf("u%03d", len(w.upstreams))), Service: "s", BornUnixMS: 1,
				Capacity: capacity, Labels: labels,
			},
			running: map[workload.TaskID]*simRun{}, barred: map[workload.TaskID]int64{},
		}
		w.upstreams = append(w.upstreams, u)
		w.s.SetUpstream(w.now, u.reg)
		w.s.Looked(w.now, u.reg.ID, Look{SentAt: w.now})
	}
}

func (w *world) at(after state.Time, do func()) {
	w.seq++
	w.events = append(w.events, event{w.now + after, w.seq, do})
}

func (w *world) submit(job *workload.Job) {
	if job.Queue == "" {
		job.Queue, job.Workspace = "q", "w"
	}
	job.SubmittedUnixMS = w.unix()
	w.jobs[job.ID] = &simJob{spec: job, at: w.now, done: map[workload.TaskID]bool{}, failed: map[workload.TaskID]int{}}
	w.s.AddJob(w.now, w.unix(), job, &ledger.JobState{}, false)
}

func (w *world) unix() int64 { return w.now.Milliseconds() }

func (w *world) upstream(id workload.UpstreamID) *simUpstream {
	for _, u := range w.upstreams {
		if u.reg.ID == id {
			return u
		}
	}
	return nil
}

// busy returns the first upstream that runs something.
func (w *world) busy() *simUpstream {
	for _, u := range w.upstreams {
		if len(u.running) > 0 {
			return u
		}
	}
	w.t.Fatal("no upstream runs anything")
	return nil
}

// play runs the world for a time.
func (w *world) play(d state.Time) {
	end := w.now + d
	for w.now < end {
		w.plan()
		next := w.now + 5*time.Millisecond
		slices.SortFunc(w.events, func(a, b event) int {
			if a.at != b.at {
				return int(a.at - b.at)
			}
			return a.seq - b.seq
		})
		for len(w.events) > 0 && w.events[0].at <= next {
			e := w.events[0]
			w.events = w.events[1:]
			w.now = max(w.now, e.at)
			e.do()
		}
		w.now = next
		w.look()
	}
}

func (w *world) plan() {
	w.s.Tick(w.unix())
	p := w.s.Plan(w.now)
	w.record()
	w.send(p.Starts)
	for _, stop := range p.Stops {
		w.at(time.Millisecond, func() { w.stop(stop.Run) })
	}
	for i := range p.Asks {
		ask := p.Asks[i]
		w.at(time.Duration(ask.Advice.CallMS(len(ask.Upstreams)))*time.Millisecond, func() { w.advise(&ask) })
	}
	for _, e := range p.Ended {
		w.jobs[e.Job].phase, w.jobs[e.Job].ended = e.Phase, w.now
	}
}

// record writes what changed to the log.
func (w *world) record() {
	ids, states := w.s.Changed(w.unix())
	for i := range ids {
		w.recorded[ids[i]] = states[i]
	}
}

// send sends starts that are recorded.
func (w *world) send(starts []Start) {
	for _, start := range starts {
		if w.s.Sent(w.now, start.Run) {
			w.start(start)
		}
	}
}

// takeOver replaces the owner. Every upstream but the unreached ones lists all
// its ends again, also those that are recorded.
func (w *world) takeOver(unreached ...*simUpstream) {
	w.generation++
	w.s = New(w.config, Options{
		FirstRun: w.generation * 10_000, QuickAsks: 100, SlowAsks: 100, UncertainUntil: w.now + 5*time.Second,
		Lookup: func(id workload.JobID) *workload.Job { return w.jobs[id].spec },
	})
	for id, j := range w.jobs {
		state := w.recorded[id]
		w.s.AddJob(w.now, w.unix(), j.spec, &state, false)
	}
	for _, u := range w.upstreams {
		if !u.unlisted {
			w.s.SetUpstream(w.now, u.reg)
		}
		u.looked, u.shown = 0, false
		if slices.Contains(unreached, u) {
			u.down = true
		}
	}
}

// advise answers a call for advice.
func (w *world) advise(ask *Ask) {
	tickets := map[workload.UpstreamID]string{}
	for _, id := range ask.Upstreams {
		if w.allowed(ask.Step, id) {
			tickets[id] = "t"
		}
	}
	starts := w.s.Advised(w.now, ask, tickets, w.now+time.Duration(ask.Advice.ValidMS)*time.Millisecond, false)
	w.record()
	w.send(starts)
}

func (w *world) start(start Start) {
	if w.lossy > 0 && w.rand.Float64() < w.lossy {
		w.at(time.Duration(w.rand.IntN(4000))*time.Millisecond, func() { w.arrive(start) })
		w.at(time.Second, func() { w.s.StartResult(w.now, start.Run, Unanswered) })
		return
	}
	w.at(time.Millisecond, func() { w.s.StartResult(w.now, start.Run, w.arrive(start)) })
}

// arrive carries out a start at its upstream.
func (w *world) arrive(start Start) Outcome {
	u := w.upstream(start.Upstream)
	if u.down || start.Number <= u.barred[start.Task] {
		return Refused
	}
	if r := u.running[start.Task]; r != nil {
		if r.run == start.Number {
			return Accepted
		}
		return Refused
	}
	spec := w.jobs[start.Task.Job].spec.Steps[start.Task.Step]
	u.running[start.Task] = &simRun{run: start.Number, began: w.now, length: time.Duration(float64(spec.Estimate()) * w.speed(u.reg.ID) * w.effort(start.Task))}
	w.check(u, start)
	return Accepted
}

// check verifies the promises at the moment a run begins.
func (w *world) check(u *simUpstream, start Start) {
	var used state.Vector
	for id := range u.running {
		used = used.Add(w.jobs[id.Job].spec.Steps[id.Step].Room())
	}
	if !used.Fits(withSlots(u.reg.Capacity)) {
		w.t.Errorf("%s: upstream %s holds %s of %s", w.now, u.reg.ID, used, u.reg.Capacity)
	}
	job := w.jobs[start.Task.Job]
	if job.done[start.Task] {
		w.t.Errorf("%s: %s started again after it was done", w.now, start.Task)
	}
	teams := map[workload.WorkspaceName]state.Vector{}
	for _, other := range w.upstreams {
		if other != u && other.running[start.Task] != nil {
			w.t.Errorf("%s: %s runs on %s and %s", w.now, start.Task, u.reg.ID, other.reg.ID)
		}
		for id := range other.running {
			j := w.jobs[id.Job].spec
			teams[j.Workspace] = teams[j.Workspace].Add(j.Steps[id.Step].Each)
		}
	}
	for name, used := range teams {
		if m := w.config.Workspace(name).Maximum; m.CPUMilli > 0 && used.CPUMilli > m.CPUMilli {
			w.t.Errorf("%s: workspace %s runs %s, more than %s", w.now, name, used, m)
		}
	}
	for _, before := range job.spec.Steps[start.Task.Step].After {
		for i := range job.spec.Steps[before].Count {
			if !job.done[workload.TaskID{Job: start.Task.Job, Occurrence: start.Task.Occurrence, Step: before, Index: i}] {
				w.t.Errorf("%s: %s started before step %d was done", w.now, start.Task, before)
			}
		}
	}
	if q := w.config.Queue(job.spec.Queue); job.failed[start.Task] >= q.MaxAttempts && !job.spec.LongRunning() {
		w.t.Errorf("%s: %s started after %d failed runs", w.now, start.Task, job.failed[start.Task])
	}
}

func (w *world) stop(run Run) {
	u := w.upstream(run.Upstream)
	u.barred[run.Task] = max(u.barred[run.Task], run.Number)
	if r := u.running[run.Task]; r != nil && r.run == run.Number {
		w.at(u.slowStop, func() {
			if u.running[run.Task] == r {
				w.end(u, run.Task, HowStopped)
			}
		})
	}
	w.s.StopResult(w.now, run, true)
}

func (w *world) end(u *simUpstream, id workload.TaskID, how How) {
	r := u.running[id]
	delete(u.running, id)
	u.barred[id] = max(u.barred[id], r.run)
	u.ended = append(u.ended, EndedRow{Task: id, Run: r.run, How: how})
	switch how {
	case HowDone:
		w.jobs[id.Job].done[id] = true
	case HowFailed:
		w.jobs[id.Job].failed[id]++
	case HowStopped, HowLapsed, HowBroken, HowAlone:
	}
}

// look ends what is due and shows the scheduler every upstream.
func (w *world) look() {
	for _, u := range w.upstreams {
		if u.down {
			continue
		}
		look := Look{SentAt: w.now}
		for _, id := range sortedTasks(u.running) {
			r := u.running[id]
			spec := w.jobs[id.Job].spec.Steps[id.Step]
			switch {
			case spec.LongRunning || r.stalled || !w.together(id, r):
			case w.now >= r.began+r.length && w.matesDue(id, r):
				how := HowDone
				if w.failing(Run{id, r.run, u.reg.ID}) {
					how = HowFailed
				}
				w.end(u, id, how)
				continue
			}
			row := RunningRow{Task: id, Run: r.run, Percent: 100}
			if !spec.LongRunning && r.length > 0 {
				row.Percent = int(min(100, 100*(w.now-r.began)/r.length))
			}
			if r.stalled {
				row.Percent = 0
			}
			look.Running = append(look.Running, row)
		}
		look.Ended = u.ended[u.looked:]
		u.looked = len(u.ended)
		if len(look.Ended) > 0 || len(look.Running) > 0 || len(u.running) > 0 || !u.shown {
			u.shown = true
			w.s.Looked(w.now, u.reg.ID, look)
		}
	}
}

// together reports whether all members of a gang run.
func (w *world) together(id workload.TaskID, r *simRun) bool {
	spec := w.jobs[id.Job].spec.Steps[id.Step]
	if !spec.Gang {
		return true
	}
	present := 0
	for _, u := range w.upstreams {
		for other, run := range u.running {
			if other.StepID() == id.StepID() && run.run == r.run {
				present++
			}
		}
	}
	for i := range spec.Count {
		if w.jobs[id.Job].done[workload.TaskID{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step, Index: i}] {
			return true
		}
	}
	return present == spec.Count
}

// matesDue reports whether the other members of a gang have done their work; the
// members end together.
func (w *world) matesDue(id workload.TaskID, r *simRun) bool {
	if !w.jobs[id.Job].spec.Steps[id.Step].Gang {
		return true
	}
	for _, u := range w.upstreams {
		for other, run := range u.running {
			if other.StepID() == id.StepID() && run.run == r.run && w.now < run.began+run.length {
				return false
			}
		}
	}
	return true
}

func sortedTasks(runs map[workload.TaskID]*simRun) []workload.TaskID {
	out := make([]workload.TaskID, 0, len(runs))
	for id := range runs {
		out = append(out, id)
	}
	slices.SortFunc(out, func(a, b workload.TaskID) int {
		if a.String() < b.String() {
			return -1
		}
		return 1
	})
	return out
}

// phases counts the jobs in each phase.
func (w *world) phases() map[ledger.Phase]int {
	out := map[ledger.Phase]int{}
	for _, j := range w.jobs {
		out[j.phase]++
	}
	return out
}

// running returns how many runs of a job are under way.
func (w *world) running(id workload.JobID) int {
	n := 0
	for _, u := range w.upstreams {
		for task := range u.running {
			if task.Job == id {
				n++
			}
		}
	}
	return n
}

func jobID(n int) workload.JobID { return workload.JobID(fmt.Sprintf("%016x", n)) }

func cores(n int64) state.Vector { return state.Vector{CPUMilli: n * 1000, MemoryMB: n, Slots: 1} }
