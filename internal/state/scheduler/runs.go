package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// stopRetry is the delay before a stop without a response is sent again.
const stopRetry = 100 * time.Millisecond

// reserve counts the capacity that a run needs as used.
func (s *Scheduler) reserve(u *upstream, r *run) {
	st := r.task.step
	u.runs[r.Task] = r
	u.used = u.used.Add(st.spec.Demand())
	r.account = s.fair.account(u.Service, st.job.spec.Workspace)
	r.account.used = r.account.used.Add(st.spec.Demand())
	if st.spec.Fills {
		u.bestEffortCPU += st.spec.Each.CPUMilli
	}
	if st.spec.TargetMS > 0 {
		u.serving++
	}
	if st.perUpstream == nil {
		st.perUpstream = map[workload.UpstreamID]int{}
	}
	st.perUpstream[u.ID]++
	r.task.runs = append(r.task.runs, r)
	s.runSeq++
	r.seq = s.runSeq
	st.useEarmark(u)
	st.job.countUrgent(st.spec.Demand())
	w := st.job.spec.Workspace
	s.used[w] = s.used[w].Add(st.spec.Each)
}

// release returns the capacity of a run. ended says that the upstream reported its end. It does
// nothing for a run that was released before: one of a gang may be released with another.
func (s *Scheduler) release(now state.Time, r *run, ended bool) {
	i := slices.Index(r.task.runs, r)
	if i < 0 {
		return
	}
	u, st := s.upstreams[r.Upstream], r.task.step
	if u != nil && u.runs[r.Task] == r {
		delete(u.runs, r.Task)
		u.used = u.used.Sub(st.spec.Demand())
		r.account.used = r.account.used.Sub(st.spec.Demand())
		if st.spec.Fills {
			u.bestEffortCPU -= st.spec.Each.CPUMilli
		}
		if st.spec.TargetMS > 0 {
			u.serving--
		}
	}
	if u != nil {
		s.noteFreed(u)
	}
	if st.perUpstream[r.Upstream]--; st.perUpstream[r.Upstream] <= 0 {
		delete(st.perUpstream, r.Upstream)
	}
	w := st.job.spec.Workspace
	s.used[w] = s.used[w].Sub(st.spec.Each)
	st.job.countUrgent(state.Vector{}.Sub(st.spec.Demand()))
	r.task.runs = slices.Delete(r.task.runs, i, i+1)
	if r.phase != awaitingTicket {
		s.markDirty(st.job)
	}
	if st.spec.Gang && !r.task.done {
		s.stopGangMembers(now, st, r.Number)
	}
	s.requeue(st)
	st.dropIdle(r.task)
	if st.job.phase.Final() {
		s.dropIfIdle(st.job)
	}
	if u != nil && !u.listed && len(u.runs) == 0 && !ended {
		s.dropUpstream(u)
	}
}

// stopGangMembers stops the remaining members of a gang run after one has ended.
func (s *Scheduler) stopGangMembers(now state.Time, st *step, number int64) {
	for _, t := range slices.Clone(st.tasks) {
		for _, r := range append([]*run(nil), t.runs...) {
			if r.Number == number {
				s.stop(now, r, StopGangBroken)
			}
		}
	}
}

// stop stops a run. A run that was sent keeps its capacity until the upstream reports
// that it has ended.
func (s *Scheduler) stop(now state.Time, r *run, reason StopReason) {
	switch r.phase {
	case awaitingTicket, planned:
		s.release(now, r, false)
	case stopping, finished:
	default:
		r.phase, r.since, r.stopReason = stopping, now, reason
		s.stops = append(s.stops, r.stopCommand())
	}
}

func (r *run) stopCommand() Stop {
	return Stop{Run: r.Run, Reason: r.stopReason, Percent: r.progress}
}

// find returns an unreleased run, or nil.
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

// Outcome is the result of a command to an upstream.
type Outcome uint8

// Results of a command. Stops and polls succeed with Accepted.
const (
	// Accepted: the upstream carried out the command; after a start, it runs the task.
	Accepted Outcome = iota
	// Refused: the upstream did not start the run: it lacks capacity, the run number is
	// outdated or the deadline has passed.
	Refused
	// RefusedTicket: the upstream did not accept the ticket.
	RefusedTicket
	// Unhealthy: the upstream did not start the run and is unhealthy.
	Unhealthy
	// Unconfirmed: no response; the start may have been executed or may be executed
	// later.
	Unconfirmed
)

// String returns the outcome as written to logs.
func (o Outcome) String() string {
	return [...]string{"accepted", "refused", "refused-ticket", "unhealthy", "unanswered"}[o]
}

// MarkSent records that a planned start is about to be sent: the log holds it by now, or
// the upstream is one on which a new owner looks for runs that the log does not show.
// It returns false if the run is no longer wanted, its task is complete, its ticket has expired,
// the upstream's domain is evacuated, its runs exceed its capacity or it does not answer; the
// start must not be sent then.
func (s *Scheduler) MarkSent(now state.Time, id Run) bool {
	r := s.find(id)
	if r == nil || r.phase != planned {
		return false
	}
	if u := s.upstreams[id.Upstream]; r.task.done || u.unreachable || u.suspected || s.isEvacuated(u) || !u.withinCapacity() || (r.ticketUntil > 0 && now >= r.ticketUntil) {
		s.release(now, r, false)
		return false
	}
	r.phase, r.since, r.startedAt = starting, now, now
	s.trackStart(now, r)
	r.task.suspectedAt = 0
	r.measure.begin(now, r)
	return true
}

// StartResult applies the result of a start.
func (s *Scheduler) StartResult(now state.Time, id Run, outcome Outcome) {
	if outcome == Unconfirmed {
		s.startUnanswered(now, id)
	} else {
		s.settleStart(now, id, SettledByAnswer)
	}
	r := s.find(id)
	if r == nil {
		return
	}
	u := s.upstreams[id.Upstream]
	switch outcome {
	case Accepted:
		r.accepted, u.leasedAt = true, max(u.leasedAt, r.startedAt)
		if r.phase == starting || r.phase == startUnconfirmed {
			r.phase, r.since = running, now
		}
		s.markBegun(r.task.step.job)
	case Unconfirmed:
		u.suspected = true
		if !u.lossCounted { // starts that are lost together have one cause
			u.lossCounted = true
			u.health.fault(now, 1)
		}
		if r.phase == starting {
			r.phase, r.since = startUnconfirmed, now
		}
	case RefusedTicket:
		delete(r.task.step.tickets, id.Upstream)
		s.release(now, r, false)
	case Unhealthy:
		u.health.fault(now, 1)
		r.task.avoid = id.Upstream
		s.release(now, r, false)
	case Refused:
		s.release(now, r, false)
	}
}

// StartedByNext records that a start was accepted by a later incarnation of its upstream than the one
// whose reports are known. The run is not lost with the known one.
func (s *Scheduler) StartedByNext(id Run) {
	if r := s.find(id); r != nil && (r.phase == running || r.phase == stopping) {
		r.byNext = true
	}
}

// StopResult applies the result of a stop. acknowledged says that the upstream
// acknowledged it.
func (s *Scheduler) StopResult(now state.Time, id Run, acknowledged bool) {
	s.revocationResult(now, id, acknowledged)
	r := s.find(id)
	if r == nil || r.phase != stopping {
		return
	}
	if acknowledged {
		r.stopAckedAt, r.retryStopAt = now, 0
	} else {
		r.retryStopAt = now + stopRetry
	}
}

// repeatStops issues stops without a response again.
func (s *Scheduler) repeatStops(now state.Time) {
	for _, u := range s.upstreams {
		for _, r := range u.runs {
			if r.phase == stopping && r.retryStopAt > 0 && now >= r.retryStopAt {
				r.retryStopAt = 0
				s.stops = append(s.stops, r.stopCommand())
			}
		}
	}
}

// SetUpstream adds or updates the registration of an upstream. A new incarnation has
// none of the runs of the previous one, but may still execute starts that had no
// response. It returns the change of the capacity, or nil if there is none.
func (s *Scheduler) SetUpstream(now state.Time, reg workload.Upstream) *CapacityChange {
	change := s.setUpstream(now, reg)
	s.upstreams[reg.ID].announced.missed = false
	return change
}

// setUpstream is SetUpstream for a registration that was not read.
func (s *Scheduler) setUpstream(now state.Time, reg workload.Upstream) *CapacityChange {
	u, before := s.upstreams[reg.ID], reg.Capacity
	if u == nil {
		u = &upstream{runs: map[workload.TaskID]*run{}}
		s.upstreams[reg.ID] = u
		s.revokeStarts(now, reg.ID)
	} else {
		before = u.Capacity
		if u.StartedUnixMS != 0 && u.StartedUnixMS != reg.StartedUnixMS {
			s.handleNewIncarnation(now, u)
			s.upstreams[reg.ID] = u // one off the list is dropped with its last run
		}
		s.unlist(u)
	}
	u.setRegistration(now, reg)
	s.learnSpeed(u)
	s.byService[reg.Service] = append(s.byService[reg.Service], u)
	s.noteFreed(u)
	s.admission.registered(&reg)
	return s.applyCapacity(now, u, before)
}

// LimitCapacity lowers the capacity of a listed upstream to that of a registration that does not
// apply to it yet. It returns the change, or nil if there is none.
func (s *Scheduler) LimitCapacity(now state.Time, id workload.UpstreamID, capacity state.Vector) *CapacityChange {
	u := s.upstreams[id]
	if u == nil || !u.listed {
		return nil
	}
	reg := u.Upstream
	reg.Capacity = reg.Capacity.Min(capacity)
	return s.setUpstream(now, reg)
}

// Restart records a new incarnation of an upstream that its registration does not name yet. An
// upstream that has left the platform's list stays off it.
func (s *Scheduler) Restart(now state.Time, id workload.UpstreamID, startedUnixMS int64) {
	u := s.upstreams[id]
	switch {
	case u == nil, u.StartedUnixMS == startedUnixMS && startedUnixMS != 0:
	case u.listed:
		reg := u.Upstream
		reg.StartedUnixMS = startedUnixMS
		if u.StartedUnixMS == 0 { // setUpstream sees no difference
			s.handleNewIncarnation(now, u)
		}
		s.setUpstream(now, reg)
	default:
		u.StartedUnixMS = startedUnixMS
		s.handleNewIncarnation(now, u)
	}
}

// LearnStart records when an upstream began whose registration does not say so.
func (s *Scheduler) LearnStart(id workload.UpstreamID, startedUnixMS int64) {
	if u := s.upstreams[id]; u != nil && u.StartedUnixMS == 0 {
		u.StartedUnixMS = startedUnixMS
	}
}

// handleNewIncarnation releases the runs of an upstream's previous incarnation and
// revokes the unconfirmed starts.
func (s *Scheduler) handleNewIncarnation(now state.Time, u *upstream) {
	u.polled = false
	giveUp := s.loseRuns(now, u, LossRestarted)
	s.revokeStarts(now, u.ID)
	for _, st := range s.readyStepsWithAdvice(u) {
		delete(st.tickets, u.ID)
	}
	for _, r := range u.sortedRuns() {
		switch r.phase {
		case starting, startUnconfirmed:
			s.stop(now, r, StopUnconfirmed)
		case running, stopping:
			if !r.byNext {
				s.release(now, r, false)
			}
		case awaitingTicket, planned, finished:
			s.release(now, r, false)
		}
	}
	s.giveUp(now, giveUp)
}

// readyStepsWithAdvice returns the ready steps that have advice about the upstream.
func (s *Scheduler) readyStepsWithAdvice(u *upstream) []*step {
	var out []*step
	for st := range s.ready {
		if _, ok := st.tickets[u.ID]; ok {
			out = append(out, st)
		}
	}
	return out
}

// sortedRuns returns the runs in a deterministic order.
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

// RemoveUpstream records that the platform's list no longer holds an upstream. Its runs
// stay counted until their leases have expired.
func (s *Scheduler) RemoveUpstream(id workload.UpstreamID) {
	u := s.upstreams[id]
	if u == nil {
		return
	}
	u.listed = false
	s.unlist(u)
	if len(u.runs) == 0 && len(s.unconfirmed[id]) == 0 && !s.startList.holds(id) {
		s.dropUpstream(u)
	}
}

// unlist removes an upstream from the list of its service, so that no plan considers it.
func (s *Scheduler) unlist(u *upstream) {
	u.member = nil
	s.byService[u.Service] = slices.DeleteFunc(s.byService[u.Service], func(other *upstream) bool { return other == u })
}

func (s *Scheduler) dropUpstream(u *upstream) {
	s.unlist(u)
	s.forgetSpeed(u)
	delete(s.upstreams, u.ID)
}

// MarkUnreachable marks an upstream as unreachable until it is polled successfully.
func (s *Scheduler) MarkUnreachable(now state.Time, id workload.UpstreamID) {
	s.loseContact(now, id, false)
}

// MarkClosed marks an upstream as unreachable that closed or refused connections, as a process
// does that ends. It has no effect on an upstream that is unreachable already: what ends during
// a silence may not have been there at its beginning.
func (s *Scheduler) MarkClosed(now state.Time, id workload.UpstreamID) { s.loseContact(now, id, true) }

func (s *Scheduler) loseContact(now state.Time, id workload.UpstreamID, closed bool) {
	if u := s.upstreams[id]; u != nil && !u.unreachable {
		u.unreachable, u.unreachableSince, u.closed = true, now, closed
		if closed {
			s.yieldToNextIncarnation(now, id)
		}
		if u.polled { // otherwise this owner never had contact
			s.outages.Note(string(id), u.place(), now)
		}
	}
}

// Suspect withholds new work from an upstream that left a command unanswered, until it is
// polled successfully.
func (s *Scheduler) Suspect(id workload.UpstreamID) {
	if u := s.upstreams[id]; u != nil {
		u.suspected = true
	}
}

// ReleaseRuns releases all runs on an upstream, because the cause shows that none can exist
// any more.
func (s *Scheduler) ReleaseRuns(now state.Time, id workload.UpstreamID, cause LossCause) {
	u := s.upstreams[id]
	if u == nil {
		return
	}
	u.polled = false
	giveUp := s.loseRuns(now, u, cause)
	s.confirmUpstream(now, id, false)
	for _, r := range u.sortedRuns() {
		s.release(now, r, false)
	}
	switch {
	case cause == LossRestarted: // another upstream answers, which refuses starts for this one
		s.settleStarts(now, id)
	case u.closed:
		s.yieldToNextIncarnation(now, id)
	}
	s.giveUp(now, giveUp)
	if !u.listed {
		s.dropUpstream(u)
	}
}

// HasRuns reports whether an upstream has runs, and whether they require that polls of
// it are held open for a short time only.
func (s *Scheduler) HasRuns(id workload.UpstreamID) (any, close bool) {
	u := s.upstreams[id]
	if u == nil {
		return false, false
	}
	for _, r := range u.runs {
		if (r.phase == startUnconfirmed && (r.task.openStart == nil || r.task.step.spec.Gang)) || (r.phase == stopping && r.stopAckedAt > 0) {
			close = true
		}
	}
	return len(u.runs) > 0, close || (u.serving > 0 && u.bestEffortCPU > 0)
}

// Registration returns the registration of an upstream that is listed or still has runs
// or unconfirmed tasks.
func (s *Scheduler) Registration(id workload.UpstreamID) (workload.Upstream, bool) {
	u := s.upstreams[id]
	if u == nil {
		return workload.Upstream{}, false
	}
	return u.Upstream, true
}
