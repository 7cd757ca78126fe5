package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// stopRetry is how long an unanswered stop waits until it is ordered again.
const stopRetry = 300 * time.Millisecond

// take reserves what a run needs.
func (s *Scheduler) take(u *upstream, r *run) {
	st := r.task.step
	u.runs[r.Task] = r
	u.used = u.used.Add(st.spec.Room())
	if st.spec.Fills {
		u.fillCPU += st.spec.Each.CPUMilli
	}
	if st.spec.TargetMS > 0 {
		u.serving++
	}
	if st.perUpstream == nil {
		st.perUpstream = map[workload.UpstreamID]int{}
	}
	st.perUpstream[u.ID]++
	r.task.runs = append(r.task.runs, r)
	w := st.job.spec.Workspace
	s.used[w] = s.used[w].Add(st.spec.Each)
}

// release gives back what a run held. ended says that the upstream listed its end.
func (s *Scheduler) release(now state.Time, r *run, ended bool) {
	u, st := s.upstreams[r.Upstream], r.task.step
	if u != nil && u.runs[r.Task] == r {
		delete(u.runs, r.Task)
		u.used = u.used.Sub(st.spec.Room())
		if st.spec.Fills {
			u.fillCPU -= st.spec.Each.CPUMilli
		}
		if st.spec.TargetMS > 0 {
			u.serving--
		}
	}
	if st.perUpstream[r.Upstream]--; st.perUpstream[r.Upstream] <= 0 {
		delete(st.perUpstream, r.Upstream)
	}
	w := st.job.spec.Workspace
	s.used[w] = s.used[w].Sub(st.spec.Each)
	if i := slices.Index(r.task.runs, r); i >= 0 {
		r.task.runs = slices.Delete(r.task.runs, i, i+1)
	}
	if r.phase != awaiting {
		s.touch(st.job)
	}
	if st.spec.Gang && !r.task.done {
		s.stopMembers(now, st, r.Number)
	}
	s.wake(st)
	if st.job.phase.Final() {
		s.forgetIfIdle(st.job)
	}
	if u != nil && !u.listed && len(u.runs) == 0 && !ended {
		s.dropUpstream(u)
	}
}

// stopMembers stops the members of a gang run that has lost a member.
func (s *Scheduler) stopMembers(now state.Time, st *step, number int64) {
	for _, t := range st.tasks {
		for _, r := range append([]*run(nil), t.runs...) {
			if r.Number == number {
				s.stop(now, r, StopGangBroken)
			}
		}
	}
}

// stop orders a run to end. Its room stays taken until the upstream shows it.
func (s *Scheduler) stop(now state.Time, r *run, reason StopReason) {
	switch r.phase {
	case awaiting, planned:
		s.release(now, r, false)
	case stopping, over:
	default:
		r.phase, r.since, r.stopReason = stopping, now, reason
		s.stops = append(s.stops, r.stopOrder())
	}
}

func (r *run) stopOrder() Stop {
	return Stop{Run: r.Run, Reason: r.stopReason, Percent: r.progress}
}

// find returns a run that is under way, or nil.
func (s *Scheduler) find(id Run) *run {
	u := s.upstreams[id.Upstream]
	if u == nil {
		return nil
	}
	if r := u.runs[id.Task]; r != nil && r.Number == id.Number {
		return r
	}
	return nil
}

// Outcome is the answer to a start.
type Outcome uint8

// The answers to a start.
const (
	// Accepted: the run is there.
	Accepted Outcome = iota
	// Refused: the upstream did nothing, for want of room or because the run
	// number or the time is past.
	Refused
	// RefusedTicket: the ticket does not hold.
	RefusedTicket
	// Unhealthy: the upstream did nothing and is not well.
	Unhealthy
	// Unanswered: the start may have been carried out, or may be later.
	Unanswered
)

// String names the outcome in logs.
func (o Outcome) String() string {
	return [...]string{"accepted", "refused", "refused-ticket", "unhealthy", "unanswered"}[o]
}

// Sent takes in that a planned start, which the log holds now, is about to be
// sent. It reports false if the run is not wanted any more or its ticket has
// ended; the start must not be sent then.
func (s *Scheduler) Sent(now state.Time, id Run) bool {
	r := s.find(id)
	if r == nil || r.phase != planned {
		return false
	}
	if r.ticketUntil > 0 && now >= r.ticketUntil {
		s.release(now, r, false)
		return false
	}
	r.phase, r.since, r.startedAt = starting, now, now
	return true
}

// StartResult takes in the answer to a start.
func (s *Scheduler) StartResult(now state.Time, id Run, outcome Outcome) {
	r := s.find(id)
	if r == nil {
		return
	}
	u := s.upstreams[id.Upstream]
	switch outcome {
	case Accepted:
		if r.phase == starting || r.phase == unsure {
			r.phase, r.since = running, now
		}
		s.begin(r.task.step.job)
	case Unanswered:
		u.health.fault(now, 1)
		s.remember(now, id)
		if r.phase == starting {
			r.phase, r.since = unsure, now
		}
	case RefusedTicket:
		delete(r.task.step.advised, id.Upstream)
		s.release(now, r, false)
	case Unhealthy:
		u.health.fault(now, 1)
		r.task.avoid = id.Upstream
		s.release(now, r, false)
	case Refused:
		s.release(now, r, false)
	}
}

// StopResult takes in the answer to a stop.
func (s *Scheduler) StopResult(now state.Time, id Run, answered bool) {
	s.barred(now, id, answered)
	r := s.find(id)
	if r == nil || r.phase != stopping {
		return
	}
	if answered {
		r.stopAcked, r.stopAgain = now, 0
	} else {
		r.stopAgain = now + stopRetry
	}
}

// repeatStops orders unanswered stops again.
func (s *Scheduler) repeatStops(now state.Time) {
	for _, u := range s.upstreams {
		for _, r := range u.runs {
			if r.phase == stopping && r.stopAgain > 0 && now >= r.stopAgain {
				r.stopAgain = 0
				s.stops = append(s.stops, r.stopOrder())
			}
		}
	}
}

// SetUpstream takes in a registration. A new life of an upstream runs nothing
// of the former one, but may carry out starts that got no answer.
func (s *Scheduler) SetUpstream(now state.Time, reg workload.Upstream) {
	u := s.upstreams[reg.ID]
	if u == nil {
		u = &upstream{runs: map[workload.TaskID]*run{}}
		s.upstreams[reg.ID] = u
		s.barLate(now, reg.ID)
	} else {
		if u.BornUnixMS != reg.BornUnixMS {
			s.newLife(now, u)
		}
		s.unlist(u)
	}
	u.Upstream, u.listed = reg, true
	s.byService[reg.Service] = append(s.byService[reg.Service], u)
}

// newLife handles the runs of an upstream's former life.
func (s *Scheduler) newLife(now state.Time, u *upstream) {
	u.known = false
	s.barLate(now, u.ID)
	for _, st := range s.stepsOn(u) {
		delete(st.advised, u.ID)
	}
	for _, r := range u.sortedRuns() {
		switch r.phase {
		case starting, unsure:
			s.stop(now, r, StopUnanswered)
		case awaiting, planned, running, stopping, over:
			s.release(now, r, false)
		}
	}
}

func (s *Scheduler) stepsOn(u *upstream) []*step {
	var out []*step
	for st := range s.ready {
		if _, ok := st.advised[u.ID]; ok {
			out = append(out, st)
		}
	}
	return out
}

// sortedRuns returns the runs in a fixed order.
func (u *upstream) sortedRuns() []*run {
	out := make([]*run, 0, len(u.runs))
	for _, r := range u.runs {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Occurrence, b.Task.Occurrence),
			cmp.Compare(a.Task.Step, b.Task.Step), cmp.Compare(a.Task.Index, b.Task.Index))
	})
	return out
}

// RemoveUpstream takes in that the platform's list has dropped an upstream. Its
// runs stay counted until their lease must have run out.
func (s *Scheduler) RemoveUpstream(id workload.UpstreamID) {
	u := s.upstreams[id]
	if u == nil {
		return
	}
	u.listed = false
	s.unlist(u)
	if len(u.runs) == 0 && len(s.held[id]) == 0 {
		s.dropUpstream(u)
	}
}

func (s *Scheduler) unlist(u *upstream) {
	s.byService[u.Service] = slices.DeleteFunc(s.byService[u.Service], func(other *upstream) bool { return other == u })
}

func (s *Scheduler) dropUpstream(u *upstream) {
	s.unlist(u)
	delete(s.upstreams, u.ID)
}

// Silent takes in that an upstream does not answer.
func (s *Scheduler) Silent(id workload.UpstreamID) {
	if u := s.upstreams[id]; u != nil {
		u.silent = true
	}
}

// Lapsed takes in that no run on an upstream can be alive: their leases have run
// out, or another life answers at its address.
func (s *Scheduler) Lapsed(now state.Time, id workload.UpstreamID) {
	u := s.upstreams[id]
	if u == nil {
		return
	}
	u.known = false
	s.settleAt(id)
	for _, r := range u.sortedRuns() {
		s.release(now, r, false)
	}
	if !u.listed {
		s.dropUpstream(u)
	}
}

// HasRuns reports whether anything is counted on an upstream, and whether any
// of it needs a short look interval.
func (s *Scheduler) HasRuns(id workload.UpstreamID) (any, close bool) {
	u := s.upstreams[id]
	if u == nil {
		return false, false
	}
	for _, r := range u.runs {
		if r.phase == unsure || (r.phase == stopping && r.stopAcked > 0) {
			close = true
		}
	}
	return len(u.runs) > 0, close || (u.serving > 0 && u.fillCPU > 0)
}

// Registration returns the registration of an upstream that still counts.
func (s *Scheduler) Registration(id workload.UpstreamID) (workload.Upstream, bool) {
	u := s.upstreams[id]
	if u == nil {
		return workload.Upstream{}, false
	}
	return u.Upstream, true
}

// UncertainUntil returns when no run of a former owner can be alive any more.
func (s *Scheduler) UncertainUntil() state.Time { return s.opts.UncertainUntil }
