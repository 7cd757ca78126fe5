package scheduler

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// MaxStartDelay is how long after it was sent a start, or another call, without a response may
// still be executed. The users' platform delays commands by up to 12 s.
const MaxStartDelay = 13 * time.Second

// revokeRetry is the delay before a stop without a response that revokes a start is
// sent again. It is short because a start that reaches a new incarnation before the
// stop may run.
const revokeRetry = 50 * time.Millisecond

// openStart is a start from the time when it is sent until it is settled: its upstream has answered it
// or reports the run, or it can't be carried out any more. A stop revokes it in the incarnation of the
// upstream that acknowledges the stop; later incarnations do not know of it. While it is open, no
// other run of its task is started; see startsOnce for the exceptions.
type openStart struct {
	run Run
	// sentAt is when the start was sent; 0 if a former owner has recorded it.
	sentAt state.Time
	// until is when the start can no longer be carried out.
	until state.Time
	// task is the task that is not started anywhere else until the start is settled, or nil if
	// the start bars none.
	task *task
	// unanswered is set once the start had no response.
	unanswered bool
	// revokeAt is when the revoking stop is due; 0 while one is in flight or once the
	// newest incarnation has acknowledged it.
	revokeAt state.Time
	// awaitsNext is set while the task gives way to the next incarnation of the upstream, and inNext
	// once that has begun.
	awaitsNext, inNext bool
	// waitUntil is when the task is started again at the latest, and waited is set once that has
	// passed: it does not wait for the same incarnation again.
	waitUntil state.Time
	waited    bool
	// revokedAt is when that incarnation acknowledged the stop; 0 before.
	revokedAt state.Time
	// undelivered says that the upstream closed the connection before a response: what it had
	// not received by then is not delivered to its next incarnation.
	undelivered bool
}

// Settlement is what showed that a start will not be carried out any more.
type Settlement uint8

// What can settle a start.
const (
	// SettledByAnswer: the upstream answered it.
	SettledByAnswer Settlement = iota
	// SettledByReport: the upstream reported the run, or its end.
	SettledByReport
	// SettledByReplacement: another upstream answers at the address, which refuses the start.
	SettledByReplacement
	// SettledByTime: it was sent longer than MaxStartDelay ago.
	SettledByTime
)

// String returns the settlement as written to logs.
func (h Settlement) String() string {
	return [...]string{"answered", "reported", "replaced", "expired"}[h]
}

// SettledStart is a start without a response that was settled.
type SettledStart struct {
	Run
	How Settlement
	// Age is the time since it was sent, negative if a former owner may have sent it.
	Age time.Duration
	// Barred says that its task was not started meanwhile.
	Barred bool
}

// startsOnce reports whether no run of a task may be started while another start of it may still be
// carried out: its runs may neither overlap nor follow a complete one. Long-running tasks can't wait
// that long, and never complete; see yieldToNextIncarnation.
func (st *step) startsOnce() bool { return !st.spec.Speculative && !st.spec.LongRunning }

// EndedTerm is the term of a former owner that ended with a claim.
type EndedTerm struct {
	// NextRun is the smallest run number that owners since that claim have used.
	NextRun int64
	// StartsUntil is the time from which no start of the term can be carried out any more.
	StartsUntil state.Time
}

// SetEndedTerms sets the terms, oldest first, of which it is known when they ended. For others
// Options.FormerStartsUntil holds.
func (s *Scheduler) SetEndedTerms(terms []EndedTerm) { s.endedTerms = terms }

// formerStartUntil returns the time from which a start of a former owner can't be carried out any more.
func (s *Scheduler) formerStartUntil(number int64) state.Time {
	for _, term := range s.endedTerms {
		if number < term.NextRun {
			return min(term.StartsUntil, s.opts.FormerStartsUntil)
		}
	}
	return s.opts.FormerStartsUntil
}

// trackStart records that a start is sent.
func (s *Scheduler) trackStart(now state.Time, r *run) {
	o := &openStart{run: r.Run, sentAt: now, until: now + MaxStartDelay}
	if r.task.step.startsOnce() && r.ticketUntil == 0 { // a ticket is valid in one incarnation only
		o.task, r.task.openStart = r.task, o
	}
	s.addOpenStart(o)
}

// inheritStart records that a former owner may have sent the newest start of a task, which its upstream
// does not report. Where the queue has an advice service, upstreams refuse starts without a ticket of
// their present incarnation.
func (s *Scheduler) inheritStart(now state.Time, t *task, id workload.UpstreamID) {
	q, until := s.config.Queue(t.step.job.spec.Queue), s.formerStartUntil(t.lastRun)
	if t.done || t.lastRun == 0 || !t.step.startsOnce() || (q != nil && q.Advice != nil) || now >= until {
		return
	}
	o := &openStart{run: Run{t.id(), t.lastRun, id}, until: until, task: t, unanswered: true}
	t.openStart = o
	s.addOpenStart(o)
}

func (s *Scheduler) addOpenStart(o *openStart) {
	id := o.run.Upstream
	if s.openStarts[id] == nil {
		s.openStarts[id] = map[Run]*openStart{}
	}
	s.openStarts[id][o.run] = o
}

// startUnanswered records that a start had no response. In the current incarnation, the stop of the
// run itself revokes the start.
func (s *Scheduler) startUnanswered(now state.Time, id Run) {
	if o := s.openStarts[id.Upstream][id]; o != nil {
		o.unanswered, o.until = true, now+MaxStartDelay // this process may have been paused before it was sent
	}
}

// settleStart ends the tracking of a start that is known to have been carried out or refused, or that
// can't be carried out any more.
func (s *Scheduler) settleStart(now state.Time, id Run, how Settlement) {
	o := s.openStarts[id.Upstream][id]
	if o == nil {
		return
	}
	if o.unanswered {
		age := -time.Millisecond
		if o.sentAt > 0 {
			age = now - o.sentAt
		}
		s.settledStarts = append(s.settledStarts, SettledStart{Run: id, How: how, Age: age, Barred: o.task != nil})
	}
	s.endWait(o)
	if delete(s.openStarts[id.Upstream], id); len(s.openStarts[id.Upstream]) == 0 {
		delete(s.openStarts, id.Upstream)
	}
	t := o.task
	if t == nil || t.openStart != o {
		return
	}
	t.openStart = nil
	if j := t.step.job; len(t.runs) == 0 && !j.phase.Final() && s.jobs[j.id] == j {
		s.markDirty(j) // the next owner need not wait for it again
		s.requeue(t.step)
	}
}

// barred reports whether the task is not to be started, because a start of it may still be carried out.
func (t *task) barred() bool { return t.openStart != nil || t.awaitedIncarnations > 0 }

// mayBeginLate reports whether a run whose start had no response may still begin in the incarnation
// that the start was sent to, and is not stopped meanwhile. The lease of a start is no longer than that
// of polls. The members of a gang do not wait that long for each other.
func (s *Scheduler) mayBeginLate(now state.Time, r *run) bool {
	o := r.task.openStart
	return o != nil && o.run == r.Run && !r.task.step.spec.Gang && now < o.sentAt+s.opts.Lease
}

// revokeStarts schedules the revocation of all starts without a response in a new incarnation of an
// upstream.
func (s *Scheduler) revokeStarts(now state.Time, id workload.UpstreamID) {
	for _, o := range s.openStarts[id] {
		if o.unanswered {
			o.revokeAt, o.revokedAt, o.inNext, o.waited = now, 0, true, false
		}
	}
}

// issueRevocations issues the due stops that revoke starts without a response and settles starts
// that can't be executed any more.
func (s *Scheduler) issueRevocations(now state.Time) {
	for _, starts := range s.openStarts {
		for run, o := range starts {
			switch {
			case now >= o.until:
				s.settleStart(now, run, SettledByTime)
			case o.revokeAt > 0 && now >= o.revokeAt:
				o.revokeAt = 0
				s.stops = append(s.stops, Stop{Run: run, Reason: StopUnconfirmed})
			case o.awaitsNext && now >= o.waitUntil:
				s.endWait(o)
				o.waited = true
			}
		}
	}
}

// revocationResult applies the result of a stop that revokes a start without a response.
func (s *Scheduler) revocationResult(now state.Time, id Run, acknowledged bool) {
	o := s.openStarts[id.Upstream][id]
	switch {
	case o == nil || !o.unanswered:
	case !acknowledged:
		o.revokeAt = now + revokeRetry
	case o.inNext:
		o.revokedAt = now
	}
}
