package dispatch

import (
	"context"
	"errors"
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

// followUpstreams keeps the registrations until the term ends.
func (o *owner) followUpstreams(ctx context.Context) {
	next := int64(-1)
	for ctx.Err() == nil {
		var batch port.Batch
		var err error
		full := next < 0
		callCtx, cancel := context.WithTimeout(ctx, registrationTimeout)
		if full {
			batch, err = o.log.Newest(callCtx, port.TopicUpstreams)
		} else {
			batch, err = o.log.Read(callCtx, port.TopicUpstreams, next, registrationWait)
		}
		cancel()
		if errors.Is(err, port.ErrExpired) {
			next = -1
			continue
		}
		if err != nil {
			o.wait(ctx, 100*time.Millisecond)
			continue
		}
		next = batch.Next
		o.post(func() { o.registrations(batch, full) })
		if !full {
			o.wait(ctx, registrationGap)
		}
	}
}

const (
	// registrationWait is how long the log may hold a read of registrations.
	registrationWait = time.Second
	// registrationTimeout bounds such a read and a full load.
	registrationTimeout = 3 * time.Second
	// registrationGap is the least time between two reads of registrations.
	registrationGap = 50 * time.Millisecond
)

func (o *owner) wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// registrations takes in a batch of registrations.
func (o *owner) registrations(batch port.Batch, full bool) {
	seen := map[workload.UpstreamID]bool{}
	for _, record := range batch.Records {
		id := workload.UpstreamID(record.Key)
		if len(record.Value) == 0 {
			o.removed(id)
			continue
		}
		reg, err := o.decoder.Upstream(record)
		if err != nil {
			o.logger.Warn("registration left aside", "upstream", id, "offset", record.Offset, "error", err)
			continue
		}
		seen[id] = true
		o.registered(reg)
	}
	if full {
		for id := range o.links {
			if !seen[id] {
				o.removed(id)
			}
		}
	}
}

func (o *owner) registered(reg workload.Upstream) {
	l := o.links[reg.ID]
	if l == nil {
		l = newLink()
		o.links[reg.ID] = l
		o.group.Go(func() { o.lookAll(o.ctx, reg.ID, l) })
	}
	old, had := o.sched.Registration(reg.ID)
	l.mu.Lock()
	l.target = port.Target{ID: reg.ID, Address: reg.Address}
	newLife := l.bornUnixMS != 0 && reg.BornUnixMS > l.bornUnixMS
	if l.bornUnixMS > reg.BornUnixMS {
		reg.BornUnixMS = l.bornUnixMS
	}
	l.bornUnixMS = reg.BornUnixMS
	l.mu.Unlock()
	if newLife {
		l.forgetLife()
		l.wake()
	}
	if !had || old.Draining != reg.Draining || newLife {
		o.logger.Info("upstream registered", "upstream", reg.ID, "service", reg.Service, "address", reg.Address, "draining", reg.Draining, "born", reg.BornUnixMS)
	}
	o.sched.SetUpstream(o.now(), reg)
}

// removed takes in that the platform's list has dropped an upstream.
func (o *owner) removed(id workload.UpstreamID) {
	l := o.links[id]
	if l == nil {
		return
	}
	o.sched.RemoveUpstream(id)
	o.logger.Info("upstream removed", "upstream", id)
	o.dropLinkIfGone(id, l)
}

// dropLinkIfGone ends the looks at an upstream that the scheduler has forgotten.
func (o *owner) dropLinkIfGone(id workload.UpstreamID, l *link) {
	if _, ok := o.sched.Registration(id); ok {
		return
	}
	l.mu.Lock()
	l.removed = true
	l.mu.Unlock()
	l.wake()
	delete(o.links, id)
}
