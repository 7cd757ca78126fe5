package dispatch

import (
	"context"
	"time"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/state/scheduler"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

const (
	// lookWait is how long an upstream may hold a look until a run ends. It
	// must leave time to renew the lease.
	lookWait = 1500 * time.Millisecond
	// closeLookWait is used while serving and filling tasks share the upstream,
	// or while an order got no answer.
	closeLookWait = 400 * time.Millisecond
	// idleLook is the interval of looks at an upstream without runs.
	idleLook = 4 * time.Second
	// recordWait bounds the wait for ends to be recorded before the next look.
	recordWait = 120 * time.Millisecond
	// lookTimeout bounds a look, beside its wait.
	lookTimeout = 800 * time.Millisecond
	// orderTimeout bounds an order. One that is lost holds up its whole job, and
	// an answer takes a few milliseconds.
	orderTimeout = 250 * time.Millisecond
	// lookGapPerUpstream bounds the looks of an owner at 4,000 a second.
	lookGapPerUpstream = 250 * time.Microsecond
	// verifyAfter is the gap between looks after which the upstream may have
	// restarted unnoticed; a restart ends a look that is under way.
	verifyAfter = 300 * time.Millisecond
	// silentRetry is the pause after a look without an answer.
	silentRetry = 200 * time.Millisecond
)

// lookAll looks at one upstream until its link is removed.
func (o *owner) lookAll(ctx context.Context, id workload.UpstreamID, l *link) {
	known := false
	var lookedAt time.Time
	for ctx.Err() == nil {
		l.mu.Lock()
		active, closely, removed, hurried := l.active, l.close, l.removed, l.hurried
		unrecorded := l.reported > l.recorded
		l.mu.Unlock()
		if removed {
			return
		}
		switch {
		case !known, hurried:
		case time.Since(lookedAt) < o.lookGap():
			if !o.sleep(ctx, nil, o.lookGap()-time.Since(lookedAt)) {
				return
			}
			continue
		case unrecorded:
			if !o.sleep(ctx, l, recordWait) {
				return
			}
		case !active:
			if !o.sleep(ctx, l, idleLook) {
				return
			}
		}
		// After a gap the upstream may live a new life, whose ends count from 1.
		verify := !known || time.Since(lookedAt) > verifyAfter
		wait := time.Duration(0)
		l.mu.Lock()
		if !verify && l.active && !l.hurried && l.reported <= l.recorded {
			wait = lookWait
			if closely || l.close {
				wait = closeLookWait
			}
		}
		l.mu.Unlock()
		result := o.lookOnce(ctx, id, l, wait, verify)
		if result == lookInterrupted {
			continue
		}
		known = result == lookAnswered
		lookedAt = time.Now()
		if !known && !o.sleep(ctx, l, silentRetry) {
			return
		}
	}
}

// lookGap is the least time between two looks at an upstream. It grows with the
// number of upstreams, so that ends are taken in together where there are many.
func (o *owner) lookGap() time.Duration {
	return time.Duration(o.linkCount.Load()) * lookGapPerUpstream
}

// sleep waits for a kick or a time; without a link only for the time. It
// reports false when the context ended.
func (o *owner) sleep(ctx context.Context, l *link, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	var kick chan struct{}
	if l != nil {
		kick = l.kick
	}
	select {
	case <-ctx.Done():
		return false
	case <-kick:
	case <-timer.C:
	}
	return true
}

// lookResult says how a look went.
type lookResult uint8

const (
	// lookUnanswered: the upstream gave no usable answer.
	lookUnanswered lookResult = iota
	lookAnswered
	// lookInterrupted: another look is more urgent; nothing was learnt.
	lookInterrupted
)

// lookOnce looks once. A look that verifies the life of the upstream
// acknowledges no ends.
func (o *owner) lookOnce(ctx context.Context, id workload.UpstreamID, l *link, wait time.Duration, verify bool) lookResult {
	callCtx, cancel := context.WithTimeout(ctx, wait+lookTimeout)
	defer cancel()
	l.mu.Lock()
	l.hurried = false
	if wait > 0 {
		l.interrupt = cancel
	}
	order := port.LookOrder{Epoch: o.epoch, LastSeen: l.recorded, Wait: wait}
	if verify {
		order.LastSeen = 0
	}
	// A lease that is offered to an upstream that does not answer would put off
	// the time at which its runs must have ended.
	active := l.active && l.failures == 0
	target, born, life := l.target, l.bornUnixMS, l.life
	l.mu.Unlock()
	sentAt := time.Now()
	if active && o.mayExtend() {
		order.DeadlineMS = l.deadline(sentAt, o.lease)
	}
	reply, status, err := o.upstreams.Look(callCtx, target, order)
	l.mu.Lock()
	l.interrupt = nil
	interrupted := err != nil && l.hurried
	l.mu.Unlock()
	if ctx.Err() != nil || interrupted {
		return lookInterrupted
	}
	now := time.Now()
	if err != nil || status.OtherLife || status.Outcome != scheduler.Accepted {
		o.lookFailed(id, l, status, err)
		return lookUnanswered
	}
	if status.Fenced {
		o.post(func() { o.fenced("upstream " + string(id)) })
		return lookUnanswered
	}
	l.mu.Lock()
	outdated := life != l.life
	l.mu.Unlock()
	if outdated {
		return lookUnanswered
	}
	o.checkLife(id, l, &reply, born, now)
	l.mu.Lock()
	recovered := l.failures > 0
	l.failures = 0
	l.mu.Unlock()
	if recovered {
		o.logger.Info("upstream reached again", "upstream", id)
	}
	o.report(id, l, &reply, sentAt)
	return lookAnswered
}

// checkLife notices that an upstream has restarted since it was registered.
func (o *owner) checkLife(id workload.UpstreamID, l *link, reply *port.LookReply, born int64, now time.Time) {
	restarted := l.sample(reply.ClockMS, now)
	if !restarted && (born == 0 || reply.BornUnixMS == 0 || reply.BornUnixMS == born) {
		return
	}
	o.logger.Warn("upstream restarted", "upstream", id, "born", reply.BornUnixMS, "registered", born)
	l.forgetLife()
	l.sample(reply.ClockMS, now)
	l.mu.Lock()
	l.bornUnixMS = reply.BornUnixMS
	l.mu.Unlock()
	newBorn := reply.BornUnixMS
	o.post(func() { o.newLife(id, newBorn) })
}

// report hands what an upstream said to the control loop.
func (o *owner) report(id workload.UpstreamID, l *link, reply *port.LookReply, sentAt time.Time) {
	ends, life := l.fresh(reply.Ended)
	look := scheduler.Look{SentAt: o.at(sentAt), Running: reply.Running, Partial: reply.Partial}
	newest := int64(0)
	for _, e := range ends {
		look.Ended = append(look.Ended, e.EndedRow)
		newest = max(newest, e.Number)
	}
	o.post(func() { o.looked(id, l, look, life, newest) })
}

// lookFailed counts a look without a usable answer.
func (o *owner) lookFailed(id workload.UpstreamID, l *link, status port.Reply, err error) {
	l.mu.Lock()
	l.failures++
	first := l.failures == 1
	lapsed := l.lapseAt.IsZero() || time.Now().After(l.lapseAt)
	l.mu.Unlock()
	if first {
		o.logger.Warn("upstream lost", "upstream", id, "outcome", status.Outcome, "reason", status.Reason, "other_life", status.OtherLife, "error", err)
	}
	o.post(func() { o.lost(id, l, lapsed, status.OtherLife) })
}
