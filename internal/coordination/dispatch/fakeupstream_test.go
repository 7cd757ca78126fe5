package dispatch

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/state/scheduler"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// reach returns the upstream if the entry reaches it. The lock is held.
func (e *fakeEntry) reach(to port.Target) *fakeUpstream {
	if u := e.p.upstreams[to.ID]; !u.hiddenFrom[e.name] && !u.refuses {
		return u
	}
	return nil
}

// failure returns the reply of an upstream that is not reached.
func (e *fakeEntry) failure(ctx context.Context, to port.Target) (port.Reply, error) {
	e.p.mu.Lock()
	refuses := e.p.upstreams[to.ID].refuses
	e.p.mu.Unlock()
	if refuses {
		return port.Reply{Outcome: scheduler.Unhealthy, NotListening: true}, nil
	}
	<-ctx.Done()
	return port.Reply{}, ctx.Err()
}

// connections is how many connections an entry opens to an upstream.
const connections = 12

// connect waits for a connection to an upstream and takes it for the time of a call. It returns
// the function that ends the call.
func (p *fakePlatform) connect(ctx context.Context, to port.Target) (end func(), err error) {
	p.mu.Lock()
	u := p.upstreams[to.ID]
	if u.starting == nil {
		u.starting = make(chan struct{}, connections)
	}
	u.inFlight++
	u.mostInFlight = max(u.mostInFlight, u.inFlight)
	p.mu.Unlock()
	ended := func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		u.inFlight--
	}
	select {
	case u.starting <- struct{}{}:
		time.Sleep(p.callTime)
		return func() { <-u.starting; ended() }, nil
	case <-ctx.Done():
		ended()
		return nil, ctx.Err()
	}
}

// Start implements port.Upstreams.
func (e *fakeEntry) Start(ctx context.Context, to port.Target, command port.StartCommand) (port.Reply, error) {
	p := e.p
	if p.callTime > 0 {
		end, err := p.connect(ctx, to)
		if err != nil {
			return port.Reply{}, err
		}
		defer end()
	}
	time.Sleep(time.Millisecond)
	p.mu.Lock()
	u, delay := e.reach(to), time.Duration(0)
	if p.startDelay != nil {
		delay = p.startDelay(command.Task.Job)
	}
	if u == nil {
		p.mu.Unlock()
		return e.failure(ctx, to)
	}
	defer p.mu.Unlock()
	if u.dark {
		p.mu.Unlock()
		<-ctx.Done()
		p.mu.Lock()
		return port.Reply{}, ctx.Err()
	}
	if delay > 0 {
		go func() {
			time.Sleep(delay)
			p.mu.Lock()
			defer p.mu.Unlock()
			p.execute(e, u, command)
		}()
		p.mu.Unlock()
		<-ctx.Done()
		p.mu.Lock()
		return port.Reply{}, ctx.Err()
	}
	return p.execute(e, u, command), nil
}

// execute executes a start that an entry sent. The lock is held.
func (p *fakePlatform) execute(e *fakeEntry, u *fakeUpstream, command port.StartCommand) port.Reply {
	p.advance(u)
	reply := port.Reply{ClockMS: u.clock(), Outcome: scheduler.Refused}
	switch run, running := u.runs[command.Task]; {
	case command.Token < u.fence:
		reply.Fenced = true
		return reply
	case command.DeadlineMS < u.clock():
		return reply
	case running && run.number == command.Number:
		reply.Outcome = scheduler.Accepted
		return reply
	case running || command.Number <= u.revoked[command.Task]:
		return reply
	}
	reply.Outcome = scheduler.Accepted
	u.fence = command.Token
	p.extend(u, command.DeadlineMS)
	for _, other := range p.upstreams {
		p.advance(other)
		if _, running := other.runs[command.Task]; running {
			p.violations = append(p.violations, fmt.Sprintf("%s runs on %s and %s", command.Task, other.reg.ID, u.reg.ID))
		}
		// An end that was not acknowledged is lost with its upstream, which an entry that does
		// not reach it knows only once the leases have expired.
		if other.endedWell(command.Task) && (!other.hiddenFrom[e.name] || time.Now().Before(other.leaseEnd)) {
			p.violations = append(p.violations, fmt.Sprintf("%s was started on %s after it was done on %s", command.Task, u.reg.ID, other.reg.ID))
		}
	}
	if p.acknowledged[command.Task] {
		p.violations = append(p.violations, fmt.Sprintf("%s was started on %s after its end was recorded", command.Task, u.reg.ID))
	}
	ms := p.jobs[command.Task.Job].Steps[command.Task.Step].EstimateMS
	u.runs[command.Task] = fakeRun{command.Number, time.Now().Add(time.Duration(ms) * time.Millisecond)}
	p.starts = append(p.starts, fakeStart{command.Run, command.Token, time.Now()})
	return reply
}

// endedWell reports whether the upstream lists a successful end of a task.
func (u *fakeUpstream) endedWell(task workload.TaskID) bool {
	return slices.ContainsFunc(u.ended, func(end port.RunEnd) bool { return end.Task == task && end.Cause == scheduler.EndDone })
}

func (u *fakeUpstream) clock() int64 {
	return int64(float64(time.Since(u.born).Milliseconds()) * (1 - u.drift))
}

// extend extends the lease, which the upstream shortens to maxLease. The lock is held.
func (p *fakePlatform) extend(u *fakeUpstream, deadlineMS int64) {
	deadlineMS = min(deadlineMS, u.clock()+p.maxLease.Milliseconds())
	if end := u.born.Add(time.Duration(float64(deadlineMS)/(1-u.drift)) * time.Millisecond); deadlineMS > 0 && end.After(u.leaseEnd) {
		u.leaseEnd = end
	}
}

// renew carries out the part of a poll that changes the upstream. It reports whether the poll is fenced.
// The lock is held.
func (p *fakePlatform) renew(u *fakeUpstream, command port.PollCommand) (fenced bool) {
	p.advance(u)
	if command.Token < u.fence {
		return true
	}
	u.fence = command.Token
	p.extend(u, command.DeadlineMS)
	u.noted = max(u.noted, command.LastRecorded)
	u.ended = slices.DeleteFunc(u.ended, func(end port.RunEnd) bool {
		if end.Number <= u.noted && end.Cause == scheduler.EndDone {
			p.acknowledged[end.Task] = true
		}
		return end.Number <= u.noted
	})
	return false
}

// darken makes an upstream silent. Starts that it does not answer are lost, polls are carried out late.
func (p *fakePlatform) darken(id workload.UpstreamID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upstreams[id].dark = true
}

// restart begins the next incarnation of an upstream under its ID, which knows nothing of the former one.
func (p *fakePlatform) restart(id workload.UpstreamID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.upstreams[id]
	u.dark, u.born, u.fence, u.leaseEnd, u.count, u.noted, u.ended = false, time.Now(), 0, time.Time{}, 0, 0, nil
	u.reg.StartedUnixMS++
	u.runs, u.revoked = map[workload.TaskID]fakeRun{}, map[workload.TaskID]int64{}
}

// carryOutLate has an upstream carry out the polls that it did not answer, and returns their number.
func (p *fakePlatform) carryOutLate(id workload.UpstreamID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	calls := p.upstreams[id].latePolls
	for _, call := range calls {
		call()
	}
	p.upstreams[id].latePolls = nil
	return len(calls)
}

// advance ends the runs that are due. The lock is held.
func (p *fakePlatform) advance(u *fakeUpstream) {
	now := time.Now()
	for task, run := range u.runs {
		cause := scheduler.EndDone
		switch {
		case !now.Before(run.ends) && !run.ends.After(u.leaseEnd):
			p.done[task] = true
		case now.After(u.leaseEnd):
			cause = scheduler.EndLeaseExpired
		default:
			continue
		}
		u.end(task, cause)
	}
}

func (u *fakeUpstream) end(task workload.TaskID, cause scheduler.EndCause) {
	number := u.runs[task].number
	delete(u.runs, task)
	u.revoked[task] = max(u.revoked[task], number)
	u.count++
	u.ended = append(u.ended, port.RunEnd{Number: u.count, EndedRun: scheduler.EndedRun{Task: task, Run: number, Cause: cause}})
}

// Stop implements port.Upstreams.
func (e *fakeEntry) Stop(ctx context.Context, to port.Target, run scheduler.Run, epoch int64) (port.Reply, error) {
	e.p.mu.Lock()
	u := e.reach(to)
	if u == nil {
		e.p.mu.Unlock()
		return e.failure(ctx, to)
	}
	defer e.p.mu.Unlock()
	e.p.advance(u)
	if epoch < u.fence {
		return port.Reply{Outcome: scheduler.Refused, Fenced: true}, nil
	}
	u.revoked[run.Task] = max(u.revoked[run.Task], run.Number)
	if u.runs[run.Task].number == run.Number && run.Number > 0 {
		u.end(run.Task, scheduler.EndStopped)
	}
	return port.Reply{ClockMS: u.clock()}, nil
}

// Pace implements port.Upstreams.
func (e *fakeEntry) Pace(context.Context, port.Target, scheduler.Pace, int64) (port.Reply, error) {
	return port.Reply{}, nil
}

// Poll implements port.Upstreams.
func (e *fakeEntry) Poll(ctx context.Context, to port.Target, command port.PollCommand) (port.RunReport, port.Reply, error) {
	time.Sleep(2 * time.Millisecond)
	e.p.mu.Lock()
	lost := e.p.losePoll
	e.p.mu.Unlock()
	if lost != nil && lost() {
		<-ctx.Done()
		return port.RunReport{}, port.Reply{}, ctx.Err()
	}
	until := time.Now().Add(command.Wait)
	e.p.mu.Lock()
	born, carriedOut := e.p.upstreams[to.ID].born, false
	e.p.mu.Unlock()
	for {
		e.p.mu.Lock()
		u := e.reach(to)
		if u == nil {
			e.p.mu.Unlock()
			reply, err := e.failure(ctx, to)
			return port.RunReport{}, reply, err
		}
		if u.dark || u.born != born {
			if !carriedOut {
				u.latePolls = append(u.latePolls, func() { e.p.renew(u, command) })
			}
			e.p.mu.Unlock()
			<-ctx.Done()
			return port.RunReport{}, port.Reply{}, ctx.Err()
		}
		carriedOut = true
		if e.p.renew(u, command) {
			e.p.mu.Unlock()
			return port.RunReport{}, port.Reply{Outcome: scheduler.Refused, Fenced: true}, nil
		}
		if u.mute {
			e.p.mu.Unlock()
			<-ctx.Done()
			return port.RunReport{}, port.Reply{}, ctx.Err()
		}
		if len(u.ended) > 0 || !time.Now().Before(until) {
			report := port.RunReport{ClockMS: u.clock(), StartedUnixMS: u.reg.StartedUnixMS, Ended: slices.Clone(u.ended)}
			for task, run := range u.runs {
				report.Running = append(report.Running, scheduler.RunningRun{Task: task, Run: run.number, Percent: int(time.Now().UnixMilli() % 100)})
			}
			delay := u.delay
			e.p.mu.Unlock()
			select {
			case <-ctx.Done():
				return port.RunReport{}, port.Reply{}, ctx.Err()
			case <-time.After(delay):
				return report, port.Reply{ClockMS: report.ClockMS}, nil
			}
		}
		e.p.mu.Unlock()
		select {
		case <-ctx.Done():
			return port.RunReport{}, port.Reply{}, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
}
