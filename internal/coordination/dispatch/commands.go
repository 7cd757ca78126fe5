package dispatch

import (
	"context"
	"time"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/state/scheduler"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// execute carries out a plan. Starts are queued, since they must be recorded before
// they are sent.
func (o *owner) execute(plan scheduler.Plan) {
	o.pendingStarts = append(o.pendingStarts, plan.Starts...)
	o.noteMoves(plan.Moves)
	o.noteCopies(plan.Copies)
	o.noteLosses(plan.Losses, plan.GivenUp)
	o.noteTrials(plan.Trials)
	o.noteSettled(plan.Settled)
	for _, stop := range plan.Stops {
		if stop.Preemption != nil {
			o.notePreemption(&stop)
		}
		if l := o.links[stop.Upstream]; l != nil {
			o.enqueue(l, command{urgency: urgency{kind: stopCommand}, send: func() func() { return func() { o.stop(stop) } }})
		}
	}
	o.logDomainMoves(plan.DomainMoves)
	for _, pace := range plan.Paces {
		if l := o.links[pace.Upstream]; l != nil {
			o.enqueue(l, command{urgency: urgency{kind: paceCommand}, send: func() func() { return func() { o.pace(pace) } }})
		}
	}
	o.sendCommands()
	for i := range plan.AdviceRequests {
		o.requestAdvice(&plan.AdviceRequests[i])
	}
}

// sendStarts sends the starts that the log holds, or has them wait for their turn.
func (o *owner) sendStarts(starts []scheduler.Start) {
	o.applyEvacuations()
	if !o.mayStart() {
		o.holdStarts(starts)
		return
	}
	for i := range starts {
		start := &starts[i]
		l := o.links[start.Upstream]
		if l == nil {
			o.sched.StartResult(o.now(), start.Run, scheduler.Refused)
			continue
		}
		u := urgency{kind: singleStart, priority: start.Priority}
		if start.Gang {
			u = urgency{kind: gangStart}
		}
		o.enqueue(l, command{urgency: u, start: start, send: func() func() { return o.prepareStart(*start) }})
	}
	o.sendCommands()
}

// prepareStart returns the call that sends a start, or nil if it is not to be sent now.
func (o *owner) prepareStart(start scheduler.Start) (call func()) {
	switch {
	case !o.mayStart():
		o.holdStarts([]scheduler.Start{start})
		return nil
	case !o.mayAct():
		o.withholdStart(start)
		return nil
	case o.refuseWithheld(&start), !o.sched.MarkSent(o.now(), start.Run):
		return nil
	}
	l := o.links[start.Upstream]
	if l == nil {
		o.sched.StartResult(o.now(), start.Run, scheduler.Refused)
		return nil
	}
	l.mu.Lock()
	target, token := l.target, l.late.token
	l.active = true
	l.mu.Unlock()
	// The deadline is computed before the last check of the permission, so that a pause
	// in between makes the lease end earlier and not later.
	now := time.Now()
	lease, renew := o.startLease()
	command := port.StartCommand{Start: start, Token: token, DeadlineMS: l.deadline(now, lease)}
	o.startsInFlight++
	return func() {
		o.start(target, l, command)
		if renew {
			l.requestPoll()
		}
	}
}

// withholdStart returns the capacity of a start that was not sent, because the owner has
// had no contact to the log for too long.
func (o *owner) withholdStart(start scheduler.Start) {
	o.logger.Warn("start not sent: the permission to act has expired", "task", start.Task, "run", start.Number, "upstream", start.Upstream, "contact_age_ms", o.contactAge().Milliseconds())
	o.sched.StartResult(o.now(), start.Run, scheduler.Refused)
}

// start sends one start command and reports its outcome to the control loop.
func (o *owner) start(target port.Target, l *link, command port.StartCommand) {
	if !o.mayAct() {
		o.post(func() {
			o.startsInFlight--
			o.withholdStart(command.Start)
		})
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, commandTimeout)
	defer cancel()
	began := time.Now()
	minClock, incarnation := l.minAnswerClock(began)
	reply, err := o.upstreams.Start(ctx, target, command)
	took := time.Since(began)
	outcome := reply.Outcome
	byNext := false
	switch {
	case err != nil:
		outcome = scheduler.Unconfirmed
		if !port.ConnectionClosed(err) {
			l.noteUnanswered(command.Token, time.Now())
		}
	case reply.OtherIncarnation:
		outcome = scheduler.Refused
	case reply.ClockMS > 0 && reply.ClockMS < minClock:
		unknown := l.noteNextAnswered(command.Token, time.Now(), incarnation, o.maxLease)
		byNext = unknown && outcome == scheduler.Accepted
		o.logger.Info("start answered by a later incarnation", "task", command.Task, "upstream", command.Upstream, "outcome", outcome, "clock_ms", reply.ClockMS, "expected_ms", minClock, "known", !unknown)
	default:
		l.updateClock(reply.ClockMS, time.Now())
	}
	o.metrics.starts.Inc(1)
	o.metrics.startLatency.Update(took.Microseconds())
	if err != nil {
		o.logger.Warn("start unconfirmed: no response from the upstream", "task", command.Task, "run", command.Number, "upstream", command.Upstream, "took_ms", took.Milliseconds(), "error", err)
	} else {
		o.logger.Info("start", "task", command.Task, "run", command.Number, "upstream", command.Upstream, "outcome", outcome, "reason", reply.Reason, "epoch", o.epoch, "took_ms", took.Milliseconds())
	}
	if reply.Fenced && !l.isSuperseded(command.Token) {
		o.loseOwnership("upstream " + string(command.Upstream))
	}
	o.post(func() {
		o.startsInFlight--
		if err != nil {
			o.noteNoAnswer(command.Upstream, o.at(began))
		} else {
			o.noteAnswer(command.Upstream)
		}
		o.sched.StartResult(o.now(), command.Run, outcome)
		if byNext {
			o.sched.StartedByNext(command.Run)
			l.requestPoll()
		}
		if outcome == scheduler.Unconfirmed {
			if port.ConnectionClosed(err) {
				o.sched.StartInterrupted(command.Run)
			}
			l.requestPoll()
		}
	})
	l.wake()
}

// stop sends one stop command and passes its result to the control loop.
func (o *owner) stop(stop scheduler.Stop) {
	run := stop.Run
	target, token, ok := o.target(run.Upstream)
	if !ok {
		return
	}
	if !o.mayAct() {
		o.post(func() { o.sched.StopResult(o.now(), run, false) })
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, commandTimeout)
	defer cancel()
	reply, err := o.upstreams.Stop(ctx, target, run, token)
	acknowledged := err == nil && reply.Outcome == scheduler.Accepted
	o.logger.Info("stop", "task", run.Task, "run", run.Number, "upstream", run.Upstream, "why", stop.Reason, "percent", stop.Percent, "answered", acknowledged, "reason", reply.Reason, "error", err)
	o.post(func() {
		o.sched.StopResult(o.now(), run, acknowledged)
		if l := o.links[run.Upstream]; l != nil && acknowledged && stop.Reason == scheduler.StopUnconfirmed {
			l.requestPoll() // without a run end to report, a long poll would not return early
		}
	})
}

// pace sends one pace command, without a retry.
func (o *owner) pace(p scheduler.Pace) {
	target, token, ok := o.target(p.Upstream)
	if !ok || !o.mayAct() {
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, commandTimeout)
	defer cancel()
	_, err := o.upstreams.Pace(ctx, target, p, token)
	o.logger.Info("pace", "task", p.Task, "run", p.Number, "upstream", p.Upstream, "percent", p.Percent, "error", err)
}

// target returns the address of an upstream and the fencing token of calls to it, and whether the
// upstream is known.
func (o *owner) target(id workload.UpstreamID) (target port.Target, token int64, ok bool) {
	result := make(chan *link, 1)
	o.post(func() { result <- o.links[id] })
	select {
	case l := <-result:
		if l == nil {
			return port.Target{}, 0, false
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.target, l.late.token, true
	case <-o.ctx.Done():
		return port.Target{}, 0, false
	}
}
