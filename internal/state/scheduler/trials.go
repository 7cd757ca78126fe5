package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/crashes"
	"github.com/samphirerail/samphirerail/internal/state/forecast"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// A suspected task waits for an upstream of its own for maxTrialWait, or longTrialWait if the next
// crash could be the third and the task is not long-running. After that it is placed like any
// other, so that it is not held back where no upstream becomes free. A task that must be alone
// and is not long-running waits on while the number of trials is what it waits for.
const (
	maxTrialWait  = 3 * time.Second
	longTrialWait = 8 * time.Second
)

// trial reserves upstreams for the suspected tasks of one job: one upstream, or those of a gang.
type trial struct {
	job       *job
	upstreams []*upstream
	since     state.Time
	// begun is set once a start was sent there since then. The trial ends when each run of the job there has
	// ended or has lasted long enough.
	begun bool
	// gang is set for the trial of a gang, which is placed at once.
	gang bool
}

// Trial is the decision to try the suspected tasks of a job on an upstream of their own.
type Trial struct {
	Job      workload.JobID
	Upstream workload.UpstreamID
	// Occupied is the number of runs that must end there before.
	Occupied int
	// Trials is the number of trials in the service with this one, Limit the most.
	Trials, Limit int
}

// refreshTrials ends the trials that are decided, have lost their upstream or were of no use.
func (s *Scheduler) refreshTrials(now state.Time) {
	for _, tr := range s.trials {
		if !tr.begun && slices.ContainsFunc(tr.upstreams, func(u *upstream) bool { return u.hasStartedSince(tr.since, tr.job) }) {
			tr.begun = true
		}
		if s.trialOver(now, tr) {
			s.endTrial(tr)
		}
	}
}

func (s *Scheduler) trialOver(now state.Time, tr *trial) bool {
	if s.jobs[tr.job.id] != tr.job || tr.job.phase.Final() {
		return true
	}
	if tr.begun || tr.gang {
		return !slices.ContainsFunc(tr.upstreams, func(u *upstream) bool { return u.tries(now, tr.job) })
	}
	return !s.usable(now, tr.upstreams[0]) || !tr.job.waitsForTrial()
}

func (s *Scheduler) endTrial(tr *trial) {
	delete(s.trials, tr.job.id)
	for _, u := range tr.upstreams {
		u.trial = nil
		if s.upstreams[u.ID] == u {
			s.noteFreed(u)
		}
	}
}

// tries reports whether a run of a job on the upstream waits for its start or has not lasted for
// the time of a trial.
func (u *upstream) tries(now state.Time, j *job) bool {
	for _, r := range u.runs {
		if r.task.step.job == j && (r.startedAt == 0 || now-r.startedAt < r.task.crashes.TrialTime()) {
			return true
		}
	}
	return false
}

// hasStartedSince reports whether the start of a run of a job was sent to the upstream since a time.
func (u *upstream) hasStartedSince(since state.Time, j *job) bool {
	for _, r := range u.runs {
		if r.task.step.job == j && r.startedAt > 0 && r.startedAt >= since {
			return true
		}
	}
	return false
}

// waitsForTrial reports whether a task of the job is to be tried alone and has not been started.
func (j *job) waitsForTrial() bool {
	for st := range j.all() {
		for _, t := range st.tasks {
			if t.isolated && !t.done && (len(t.runs) == 0 || t.runs[0].startedAt == 0) {
				return true
			}
		}
	}
	return false
}

// trialWait returns how long a suspected task waits for an upstream of its own.
func (t *task) trialWait() time.Duration {
	if c := &t.crashes; c.Certain+c.Uncertain+c.Shared >= 2 && !t.step.spec.LongRunning {
		return longTrialWait
	}
	return maxTrialWait
}

// waitedAlone returns how long a suspected task has waited for an upstream of its own.
func (t *task) waitedAlone(now state.Time) time.Duration {
	if t.suspectedAt == 0 {
		t.suspectedAt = now
	}
	return now - t.suspectedAt
}

// endSuspicion lets a suspected task be placed like others until a further crash.
func (t *task) endSuspicion() { t.isolated, t.suspectedAt = false, 0 }

// runsOf counts the runs of a job on the upstream.
func (u *upstream) runsOf(j *job) (n int) {
	for _, r := range u.runs {
		if r.task.step.job == j {
			n++
		}
	}
	return n
}

const (
	// suspectCost is added for an upstream that runs a suspected task of another job, so that the
	// next crash tells the two apart. It exceeds all costs but that of a cold upstream.
	suspectCost = 50.0
	// companyCost is added for each run that a suspected task could take down.
	companyCost = 1.0
)

// companyCost returns the cost of placing a suspected task of a job beside the upstream's runs.
func (u *upstream) companyCost(j *job) (cost float64) {
	for _, r := range u.runs {
		if r.task.step.job == j {
			continue
		}
		if cost += companyCost; !r.task.crashes.Empty() {
			cost += suspectCost
		}
	}
	return cost
}

// suspects returns the waiting tasks that are to be tried alone. The members of a gang are
// placed together and are not among them.
func (st *step) suspects() (out []*task) {
	if st.spec.Gang {
		return nil
	}
	for _, t := range st.tasks {
		if t.isolated && !t.done && len(t.runs) == 0 && t.unconfirmedOn == "" && !t.barred() {
			out = append(out, t)
		}
	}
	return out
}

// isolatedGang reports whether a member of a gang is to be tried alone, and thus all are.
func (st *step) isolatedGang() bool {
	return st.spec.Gang && slices.ContainsFunc(st.tasks, func(t *task) bool { return t.isolated })
}

// placeSuspects places the suspected tasks of a step on an upstream without other runs, or
// reserves one until its runs have ended. The other tasks of the job do not wait for that. It
// returns the number of tasks that have waited for long enough to be placed like others.
func (p *placement) placeSuspects() (released int) {
	s, j := p.s, p.step.job
	suspects := p.step.suspects()
	if len(suspects) == 0 {
		return 0
	}
	tr := s.trials[j.id]
	trials, limit, mayBegin := p.mayBegin()
	suspects = slices.DeleteFunc(suspects, func(t *task) bool {
		crowded := tr == nil && !mayBegin && !p.step.spec.LongRunning && t.crashes.MustBeAlone()
		if t.waitedAlone(p.now) < t.trialWait() || crowded {
			return false
		}
		t.endSuspicion()
		released++
		return true
	})
	if tr == nil && mayBegin && len(suspects) > 0 {
		tr = p.beginTrial(suspects, trials, limit)
	}
	if tr == nil {
		s.waiting.Capacity += len(suspects)
		return released
	}
	u := tr.upstreams[0]
	if len(u.runs) > u.runsOf(j) {
		s.waiting.Capacity += len(suspects)
		return released
	}
	for _, t := range suspects {
		if !s.usable(p.now, u) || !p.mayRunOn(u) || p.step.freePlaces(u, 1) == 0 || !s.withinMaximum(j.spec.Workspace, p.step.spec.Each) {
			break
		}
		p.assign(t, u, s.nextRun(t.lastRun))
	}
	return released
}

// mayRunOn reports whether the label and the advice allow the step on an upstream.
func (p *placement) mayRunOn(u *upstream) bool {
	return p.step.allows(u) && (!p.needsAdvice() || p.step.tickets[u.ID].allowed)
}

// mayBegin reports whether one more trial is within the bounds of the service and of the job's
// workspace.
func (p *placement) mayBegin() (trials, limit int, ok bool) {
	limit, workspaceLimit := crashes.MaxTrials(len(p.s.byService[p.pool.service]))
	ofWorkspace := 0
	for _, other := range p.s.trials {
		if other.upstreams[0].Service != p.pool.service {
			continue
		}
		trials++
		ofWorkspace += boolInt(other.job.spec.Workspace == p.step.job.spec.Workspace)
	}
	return trials, limit, trials < limit && ofWorkspace < workspaceLimit
}

// beginTrial reserves the upstream that is free of other runs first, and asks for advice if
// none is known to be allowed.
func (p *placement) beginTrial(suspects []*task, trials, limit int) *trial {
	best := p.soonestFree()
	if best == nil {
		p.step.unknownRoom = true
		p.searchUpstreams(len(suspects))
		return nil
	}
	tr := &trial{job: p.step.job, since: p.now}
	p.s.addTrial(tr, best)
	p.plan.Trials = append(p.plan.Trials, Trial{Job: tr.job.id, Upstream: best.u.ID, Occupied: len(best.u.runs), Trials: trials + 1, Limit: limit})
	return tr
}

// addTrial adds an upstream of the pool to a trial. It leaves the pool with the next plan, and
// gets no further work in this one.
func (s *Scheduler) addTrial(tr *trial, m *member) {
	tr.upstreams = append(tr.upstreams, m.u)
	m.u.trial, m.reserved = tr, true
	s.trials[tr.job.id] = tr
}

// soonestFree returns the member of the pool on which a task of the step may run and that is
// free of runs first, or nil if none will be.
func (p *placement) soonestFree() *member {
	var best *member
	var bestAfter time.Duration
	bestCost := 0.0
	for i := range p.pool.members {
		m := &p.pool.members[i]
		if m.reserved || m.earmarked(p.step) || !p.mayRunOn(m.u) || !p.step.spec.Demand().Fits(withSlots(m.u.Capacity)) {
			continue
		}
		after := time.Duration(0)
		for _, r := range m.u.runs {
			after = max(after, p.s.endOf(p.now, r))
		}
		cost := m.cost + p.step.cost(m.u)
		if after == forecast.Never || (best != nil && cmp.Or(cmp.Compare(after, bestAfter), cmp.Compare(cost, bestCost)) >= 0) {
			continue
		}
		best, bestAfter, bestCost = m, after, cost
	}
	return best
}

// gangCandidates returns the candidates for a gang: those without runs if the gang is to be
// tried alone.
func (p *placement) gangCandidates(candidates []candidate) []candidate {
	if !p.step.isolatedGang() {
		return candidates
	}
	if p.step.tasks[0].waitedAlone(p.now) >= maxTrialWait {
		for _, t := range p.step.tasks {
			t.endSuspicion()
		}
		return candidates
	}
	return slices.DeleteFunc(candidates, func(c candidate) bool { return len(c.u.runs) > 0 })
}

// tryGang reserves the upstreams of a gang that was placed alone.
func (p *placement) tryGang() {
	st := p.step
	if !st.isolatedGang() {
		return
	}
	tr := &trial{job: st.job, since: p.now, gang: true}
	for _, t := range st.tasks {
		for _, r := range t.runs {
			if u := p.s.upstreams[r.Upstream]; u.trial == nil && u.member != nil {
				p.s.addTrial(tr, u.member)
			}
		}
	}
}
