package dispatch

import (
	"context"
	"time"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/state/scheduler"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// execute carries out a plan.
func (o *owner) execute(plan scheduler.Plan) {
	o.planned = append(o.planned, plan.Starts...)
	for _, stop := range plan.Stops {
		o.group.Go(func() { o.stop(stop) })
	}
	for _, pace := range plan.Paces {
		o.group.Go(func() { o.pace(pace) })
	}
	for i := range plan.Asks {
		o.ask(&plan.Asks[i])
	}
}

// sendAll sends starts that the log holds.
func (o *owner) sendAll(starts []scheduler.Start) {
	for i := range starts {
		start := starts[i]
		if !o.sched.Sent(o.now(), start.Run) {
			continue
		}
		l := o.links[start.Upstream]
		if l == nil {
			o.sched.StartResult(o.now(), start.Run, scheduler.Refused)
			continue
		}
		l.mu.Lock()
		target := l.target
		l.active = true
		l.mu.Unlock()
		order := port.StartOrder{Start: start, Epoch: o.epoch, DeadlineMS: l.deadline(time.Now(), o.lease)}
		o.starting++
		o.group.Go(func() { o.start(target, l, order) })
	}
}

// start sends one start and reports its outcome.
func (o *owner) start(target port.Target, l *link, order port.StartOrder) {
	ctx, cancel := context.WithTimeout(o.ctx, orderTimeout)
	defer cancel()
	began := time.Now()
	reply, err := o.upstreams.Start(ctx, target, order)
	took := time.Since(began)
	outcome := reply.Outcome
	switch {
	case err != nil:
		outcome = scheduler.Unanswered
	case reply.OtherLife:
		outcome = scheduler.Refused
	default:
		l.sample(reply.ClockMS, time.Now())
	}
	o.metrics.starts.Inc(1)
	o.metrics.startLatency.Update(took.Microseconds())
	if err != nil {
		o.logger.Warn("start unanswered", "task", order.Task, "run", order.Number, "upstream", order.Upstream, "took_ms", took.Milliseconds(), "error", err)
	} else {
		o.logger.Info("start", "task", order.Task, "run", order.Number, "upstream", order.Upstream, "outcome", outcome, "reason", reply.Reason, "epoch", o.epoch, "took_ms", took.Milliseconds())
	}
	o.post(func() {
		o.starting--
		if reply.Fenced {
			o.fenced("upstream " + string(order.Upstream))
		}
		o.sched.StartResult(o.now(), order.Run, outcome)
		if outcome == scheduler.Unanswered {
			l.hurry()
		}
	})
	l.wake()
}

func (o *owner) stop(stop scheduler.Stop) {
	run := stop.Run
	target, ok := o.target(run.Upstream)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, orderTimeout)
	defer cancel()
	reply, err := o.upstreams.Stop(ctx, target, run, o.epoch)
	answered := err == nil && reply.Outcome == scheduler.Accepted
	o.logger.Info("stop", "task", run.Task, "run", run.Number, "upstream", run.Upstream, "why", stop.Reason, "percent", stop.Percent, "answered", answered, "reason", reply.Reason, "error", err)
	o.post(func() {
		o.sched.StopResult(o.now(), run, answered)
		if l := o.links[run.Upstream]; l != nil && answered && stop.Reason == scheduler.StopUnanswered {
			l.hurry() // such a run may list no end that would end a look
		}
	})
}

func (o *owner) pace(p scheduler.Pace) {
	target, ok := o.target(p.Upstream)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, orderTimeout)
	defer cancel()
	_, err := o.upstreams.Pace(ctx, target, p, o.epoch)
	o.logger.Info("pace", "task", p.Task, "run", p.Number, "upstream", p.Upstream, "percent", p.Percent, "error", err)
}

// target returns where an upstream is reached.
func (o *owner) target(id workload.UpstreamID) (port.Target, bool) {
	result := make(chan *link, 1)
	o.post(func() { result <- o.links[id] })
	select {
	case l := <-result:
		if l == nil {
			return port.Target{}, false
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.target, true
	case <-o.ctx.Done():
		return port.Target{}, false
	}
}

// ask makes one of the entries ask for advice.
func (o *owner) ask(a *scheduler.Ask) {
	caller := o.advisors.pick(a)
	o.metrics.asks.Inc(1)
	o.group.Go(func() {
		began := time.Now()
		ctx, cancel := context.WithTimeout(o.ctx, caller.timeout)
		defer cancel()
		tickets, err := caller.advise(ctx, a.Step, a.Upstreams)
		took := time.Since(began)
		until := time.Now().Add(tickets.Valid - took/2 + time.Duration(a.Advice.CallMS(len(a.Upstreams))/2)*time.Millisecond)
		o.logger.Info("advice", "step", a.Step, "caller", caller.name, "asked", len(a.Upstreams), "good", len(tickets.Good), "took_ms", took.Milliseconds(), "error", err)
		o.post(func() {
			o.advisors.done(caller, err)
			if err != nil {
				o.metrics.askFails.Inc(1)
			}
			o.planned = append(o.planned, o.sched.Advised(o.now(), a, tickets.Good, o.at(until), err != nil)...)
		})
	})
}
