package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/forecast"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

const (
	// forecastMargin scales all forecast times in the caller's favour: a false refusal
	// costs a caller its job, a false acceptance only delays one that is late anyway.
	forecastMargin = 0.9
	// returnMargin is the margin for a caller that returned when it was told. It is
	// accepted where a new caller would be refused.
	returnMargin = 0.5
	// yieldAfter is how soon lower-priority work gives way to more urgent work, which is the
	// longest time of a stop on the users' platform.
	yieldAfter = time.Second
	// stopTime is how long a stop usually takes; on the users' platform up to 900 ms.
	stopTime = 500 * time.Millisecond
	// outlookAge is how long the state of a service is used for forecasts before it is
	// read again. It bounds the cost and is short against the slack of quick work.
	outlookAge = 50 * time.Millisecond
	// busyShare is the share of a service's capacity in use below which jobs are accepted
	// without a forecast.
	busyShare = 0.5
	// settleTime is how long a new owner accepts all jobs, because it does not know yet
	// what runs.
	settleTime = 3 * time.Second
	// unsettledShare is the share of upstreams that are not polled yet above which an
	// owner accepts all jobs.
	unsettledShare = 0.05
	// inflowWindow is the time constant of the rate of accepted work.
	inflowWindow = 2 * time.Second
	// returnShare bounds the share of the capacity that accepted work is expected to use
	// while callers return. The rest is promised to returning callers, so that a burst
	// does not put off all of them to the same time.
	returnShare = 0.8
	// sizeStep and sizeStepMB round the sizes down that share a supply.
	sizeStep, sizeStepMB = 500, 1024
)

// outlook is the state of a service for forecasts.
type outlook struct {
	service workload.ServiceName
	at      state.Time
	// plannedAt is the time of the plan whose order it contains.
	plannedAt state.Time
	upstreams []forecast.Upstream
	members   []*upstream
	waiting   []waitingStep
	// later holds the steps that become ready when steps that run have ended.
	later    []laterStep
	supplies map[supplyKey]*forecast.Supply
}

// supplyKey selects the upstreams and the size of a supply.
type supplyKey struct {
	size       state.Vector
	constraint string
	priority   int
}

// waitingStep is the part of a ready step that has no run.
type waitingStep struct {
	rank    rank
	amount  state.Vector
	runTime time.Duration
	gang    bool
	// next holds the steps that become ready when this one has ended.
	next []laterStep
}

// laterStep is a step that becomes ready when another one has ended.
type laterStep struct {
	rank rank
	// after is the time until then, from now or from the start of the other step.
	after   time.Duration
	amount  state.Vector
	runTime time.Duration
}

// inflow is the rate of the accepted work of a rank as decaying sums.
type inflow struct {
	service workload.ServiceName
	// rank has the priority, and how far the workspaces exceed their part of the service.
	rank   rank
	amount state.Vector
	// objective is the sum of the objectives, weighted by the processors.
	objective float64
	// work is the sum of the run times, weighted by the processors.
	work float64
	// cpu is the sum of the processors.
	cpu float64
	at  state.Time
}

func (f *inflow) add(now state.Time, n *newWork) {
	keep := decay(now-f.at, inflowHalfLife)
	cpu := float64(n.total.CPUMilli)
	f.amount = scaleVector(f.amount, keep).Add(n.total)
	f.cpu = f.cpu*keep + cpu
	f.work = f.work*keep + n.work
	f.objective = f.objective*keep + cpu*float64(n.objective)
	f.at = now
}

// inflowHalfLife is the half-life that corresponds to inflowWindow.
const inflowHalfLife = inflowWindow * 693 / 1000

func scaleVector(v state.Vector, f float64) state.Vector {
	return state.Vector{CPUMilli: int64(float64(v.CPUMilli) * f), MemoryMB: int64(float64(v.MemoryMB) * f), Accelerators: int64(float64(v.Accelerators) * f)}
}

// flow returns the work that keeps being accepted and ranks before a rank or with it, in
// units of a supply, and its mean objective.
func (a *admission) flow(now state.Time, service workload.ServiceName, before rank, sup *forecast.Supply) (in forecast.Inflow, objective time.Duration) {
	work, objectives := 0.0, 0.0
	for _, f := range a.inflows {
		if f.service == service && f.rank.compare(before) <= 0 && f.cpu > 0 {
			perSecond := sup.Units(f.amount) * decay(now-f.at, inflowHalfLife) / inflowWindow.Seconds()
			in.PerSecond += perSecond
			work += perSecond * f.work / f.cpu
			objectives += perSecond * f.objective / f.cpu
		}
	}
	if in.PerSecond > 0 {
		in.RunTime, objective = time.Duration(work/in.PerSecond), time.Duration(objectives/in.PerSecond)
	}
	return in, objective
}

// admitByForecast refuses a job that cannot end before its result is worthless, even if
// all that is expected goes faster by a margin. It applies to services whose queues have
// different priorities: elsewhere no work is more urgent than other work that it could be
// refused for.
func (s *Scheduler) admitByForecast(now state.Time, spec *workload.Job, q *workload.Queue, returning bool) Admission {
	n := s.newWork(now, spec, q)
	out := Admission{End: n.chain, Objective: n.objective, Returning: returning}
	if !s.prioritized(q.Service) || !s.settled(now, q.Service) || n.size == (state.Vector{}) {
		return out
	}
	pl := s.pool(now, q.Service)
	if pl.capacity.CPUMilli == 0 || pl.used.DominantShare(pl.capacity) < busyShare {
		return out
	}
	margin := forecastMargin
	if returning {
		margin = returnMargin
	}
	f := forecasting{s: s, now: now, new: n, outlook: s.outlook(now, pl), returning: returning}
	f.supply = f.outlook.supply(n.key, s.preemption(n.key.priority))
	scaled := func(start time.Duration) time.Duration {
		if start == forecast.Never {
			return start
		}
		return time.Duration(margin * float64(start+n.chain))
	}
	start := f.startOnTime(margin)
	inTime := start != forecast.Never && time.Duration(margin*float64(start))+n.chain <= n.objective
	if !inTime {
		start = f.startLate(margin)
	}
	out.Start, out.End = start, forecast.Never
	if start != forecast.Never {
		out.End = start + n.chain
	}
	if inTime || scaled(start) <= lateFactor*n.objective {
		return out
	}
	out.Cause = RefusedTooLate
	out.RetryAfter = f.promiseReturn(spec.ID)
	return out
}

// preemption returns what lower-priority runs give up for work of a priority.
func (s *Scheduler) preemption(priority int) forecast.Preemption {
	return forecast.Preemption{Priority: priority, After: yieldAfter}
}

// newWork is a submitted job as seen by the forecast.
type newWork struct {
	key  supplyKey
	size state.Vector
	// amount is what the first steps need, total what all steps need. work is the sum of the
	// run times of all steps, weighted by the processors.
	amount, total state.Vector
	work          float64
	gang          bool
	// runTime is that of the first steps, chain that of the longest chain of steps.
	runTime, chain, objective time.Duration
	rank                      rank
}

// class returns the rank of all work that is as urgent and of workspaces that exceed their
// part of the service as far.
func (n *newWork) class() rank { return rank{priority: n.rank.priority, excess: n.rank.excess} }

func (s *Scheduler) newWork(now state.Time, spec *workload.Job, q *workload.Queue) newWork {
	j := &job{id: spec.ID, spec: spec, arrived: now}
	n := newWork{objective: s.objective(j)}
	ends := make([]time.Duration, len(spec.Steps))
	for i := range spec.Steps {
		st := &spec.Steps[i]
		runTime, begin := s.expectedRunTime(&step{job: j, index: i, spec: st}, nil), time.Duration(0)
		for _, before := range st.After {
			begin = max(begin, ends[before])
		}
		ends[i] = begin + runTime
		n.chain = max(n.chain, ends[i])
		n.total = n.total.Add(st.Demand().Scale(int64(st.Count)))
		n.work += float64(st.Demand().CPUMilli) * float64(st.Count) * float64(runTime)
		if len(st.After) > 0 {
			continue
		}
		n.amount = n.amount.Add(st.Demand().Scale(int64(st.Count)))
		n.runTime = max(n.runTime, runTime)
		if i == 0 {
			n.gang, n.key.constraint = st.Gang, st.Constraint
			n.size = st.Demand()
			n.size.Slots = 0
		}
	}
	n.key.size, n.key.priority = roundedSize(n.size), q.Priority
	n.rank = rank{priority: q.Priority, excess: s.excess(q.Service, spec.Workspace), dueBy: now + n.objective, id: spec.ID}
	return n
}

// roundedSize rounds a size down, so that tasks of similar sizes share a supply.
func roundedSize(v state.Vector) state.Vector {
	round := func(n, step int64) int64 {
		if n < step {
			return n
		}
		return n / step * step
	}
	return state.Vector{CPUMilli: round(v.CPUMilli, sizeStep), MemoryMB: round(v.MemoryMB, sizeStepMB), Accelerators: v.Accelerators}
}

// prioritized reports whether the queues of a service have different priorities.
func (s *Scheduler) prioritized(service workload.ServiceName) bool {
	var first *workload.Queue
	for i := range s.config.Queues {
		q := &s.config.Queues[i]
		switch {
		case q.Service != service:
		case first == nil:
			first = q
		case q.Priority != first.Priority:
			return true
		}
	}
	return false
}

// settled reports whether the owner knows what runs on the upstreams of a service.
func (s *Scheduler) settled(now state.Time, service workload.ServiceName) bool {
	if now < settleTime {
		return false
	}
	unpolled := 0
	for _, u := range s.byService[service] {
		if !u.polled && !u.unreachable {
			unpolled++
		}
	}
	return float64(unpolled) <= unsettledShare*float64(len(s.byService[service]))
}

// outlook returns the state of a service that is at most outlookAge old.
func (s *Scheduler) outlook(now state.Time, pl *pool) *outlook {
	a := &s.admission
	if o := a.outlooks[pl.service]; o != nil && now-o.at < outlookAge {
		return o
	}
	o := &outlook{service: pl.service, at: now, plannedAt: a.plannedAt, supplies: map[supplyKey]*forecast.Supply{}}
	running, runs := map[*step]time.Duration{}, 0
	for i := range pl.members {
		runs += len(pl.members[i].u.runs)
	}
	ends := make([]forecast.End, 0, runs)
	for i := range pl.members {
		u := pl.members[i].u
		begin := len(ends)
		for _, r := range u.runs {
			st, after := r.task.step, s.endOf(now, r)
			ends = append(ends, forecast.End{After: after, Amount: st.spec.Demand(), Priority: s.priorityOf(st.job)})
			if len(st.job.spec.Steps) > 1 {
				running[st] = max(running[st], after)
			}
		}
		own := ends[begin:len(ends):len(ends)]
		forecast.SortEnds(own)
		o.members = append(o.members, u)
		o.upstreams = append(o.upstreams, forecast.Upstream{Free: u.free(), Ends: own})
	}
	for _, next := range a.ranked {
		st := next.step
		if q := s.config.Queue(st.job.spec.Queue); q == nil || q.Service != pl.service || st.job.phase.Final() {
			continue
		}
		if waiting, _ := st.countWaiting(); waiting > 0 {
			runTime := s.expectedRunTime(st, nil)
			o.waiting = append(o.waiting, waitingStep{next.rank, st.spec.Demand().Scale(int64(waiting)), runTime, st.spec.Gang, s.laterSteps(now, st, runTime)})
			delete(running, st)
		}
	}
	for st, after := range running {
		o.later = append(o.later, s.laterSteps(now, st, after)...)
	}
	slices.SortFunc(o.later, func(a, b laterStep) int { return cmp.Or(cmp.Compare(a.after, b.after), a.rank.compare(b.rank)) })
	a.dropLapsed(now)
	a.outlooks[pl.service] = o
	return o
}

// laterSteps returns the steps that become ready when a step has ended, a while from now.
func (s *Scheduler) laterSteps(now state.Time, st *step, after time.Duration) (out []laterStep) {
	for _, next := range st.job.steps[st.occurrence] {
		if next.left > 0 && slices.Contains(next.spec.After, st.index) {
			out = append(out, laterStep{s.rankOf(now+after, next), after, next.spec.Demand().Scale(int64(next.left)), s.expectedRunTime(next, nil)})
		}
	}
	return out
}

// endOf returns the time until a run is expected to end.
func (s *Scheduler) endOf(now state.Time, r *run) time.Duration {
	switch {
	case r.phase == stopping:
		return stopTime
	case r.phase == finished:
		return 0
	case r.task.step.spec.LongRunning:
		return forecast.Never
	case r.startedAt == 0:
		return s.expectedRunTime(r.task.step, s.upstreams[r.Upstream])
	}
	return s.expectedRest(now, r)
}

func (s *Scheduler) priorityOf(j *job) int {
	if q := s.config.Queue(j.spec.Queue); q != nil {
		return q.Priority
	}
	return 0
}

// supply returns the supply for a size on the upstreams that have the label.
func (o *outlook) supply(key supplyKey, p forecast.Preemption) *forecast.Supply {
	if p.After == forecast.Never {
		key.priority = 0 // the same for all priorities
	}
	if sup := o.supplies[key]; sup != nil {
		return sup
	}
	upstreams := o.upstreams
	if key.constraint != "" {
		upstreams = slices.Clone(upstreams)
		n := 0
		for i, u := range o.members {
			if u.HasLabel(key.constraint) {
				upstreams[n] = o.upstreams[i]
				n++
			}
		}
		upstreams = upstreams[:n]
	}
	sup := forecast.NewSupply(key.size, upstreams, p)
	o.supplies[key] = sup
	return sup
}
