package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/state/scheduler"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

const (
	// pollWait is how long an upstream may hold a poll open until a run ends. It
	// must leave time to renew the lease.
	pollWait = 1500 * time.Millisecond
	// shortPollWait replaces pollWait while serving and best-effort tasks share the
	// upstream, while a start is unconfirmed, or until a run whose stop was
	// acknowledged has ended.
	shortPollWait = 400 * time.Millisecond
	// idlePollInterval is the interval between polls of an upstream without runs.
	idlePollInterval = 4 * time.Second
	// recordWait bounds the wait before the next poll for run ends to be recorded.
	recordWait = 120 * time.Millisecond
	// pollTimeout bounds a poll in addition to its wait.
	pollTimeout = 800 * time.Millisecond
	// slowPollTimeout replaces pollTimeout in every other poll after a failed one, so that
	// an upstream that responds after up to 1.5 s keeps its lease of 5 s.
	slowPollTimeout = 2500 * time.Millisecond
	// commandTimeout bounds a command to an upstream. A lost command delays its whole
	// job, and a response takes a few milliseconds, or some tens on a busy owner.
	commandTimeout = 150 * time.Millisecond
	// lossyPollWait and lossyPollTimeout replace pollWait and pollTimeout while calls to
	// upstreams are lost: until a lost poll has timed out, the owner does not learn of the
	// run ends. After maxLostPolls lost ones in a row the upstream counts as not reached.
	lossyPollWait    = 300 * time.Millisecond
	lossyPollTimeout = 150 * time.Millisecond
	maxLostPolls     = 3
	// pollGapPerUpstream limits the polls of upstreams with runs to 4,000 per second.
	pollGapPerUpstream = 250 * time.Microsecond
	// firstPollInterval is the pause between the first polls of two upstreams for an owner
	// with a whole processor; one with a share of it pauses longer. A first poll opens a
	// connection, and if all began at once, most would time out on a small VM.
	firstPollInterval = 400 * time.Microsecond
	// verifyAfter is the gap between polls after which the upstream may have restarted
	// unnoticed. A restart during a poll makes that poll fail.
	verifyAfter = 300 * time.Millisecond
	// acknowledgeInterval is how often run ends are acknowledged where the gap between
	// polls is longer than verifyAfter. It takes a second poll, right after one that has
	// verified the incarnation.
	acknowledgeInterval = time.Second
	// failedPollRetry is the pause after a failed poll.
	failedPollRetry = 200 * time.Millisecond
)

// pollLoop polls one upstream until its link is removed or the context ends.
func (o *owner) pollLoop(ctx context.Context, id workload.UpstreamID, l *link) {
	incarnationKnown := false
	var polledAt time.Time
	for ctx.Err() == nil {
		l.mu.Lock()
		active, shortWait, removed, pollRequested, doubted := l.active, l.close, l.removed, l.pollRequested, l.doubted
		unrecorded := l.reported > l.recorded
		l.mu.Unlock()
		if removed {
			return
		}
		switch {
		case !incarnationKnown, pollRequested:
		case time.Since(polledAt) < o.pollGap():
			if !o.sleep(ctx, l, o.pollGap()-time.Since(polledAt)) { // a requested poll ends the gap
				return
			}
			continue
		case unrecorded:
			if !o.sleep(ctx, l, recordWait) {
				return
			}
		case !active:
			if !o.sleep(ctx, l, idlePollInterval) {
				return
			}
		}
		// After a gap the upstream may be a new incarnation, which numbers run ends from 1.
		verify := !incarnationKnown || doubted || time.Since(polledAt) > verifyAfter
		wait := time.Duration(0)
		l.mu.Lock()
		if !verify && l.active && !l.pollRequested && l.reported <= l.recorded {
			wait = pollWait
			if shortWait || l.close {
				wait = shortPollWait
			}
		}
		l.mu.Unlock()
		result := o.pollOnce(ctx, id, l, wait, verify)
		if result == pollInterrupted {
			continue
		}
		if result == pollLost {
			incarnationKnown = false
			continue
		}
		if result == pollSucceeded && verify && l.acknowledgementDue(time.Now()) {
			result = o.pollOnce(ctx, id, l, 0, false)
		}
		if result == pollInterrupted {
			continue
		}
		incarnationKnown = result == pollSucceeded
		polledAt = time.Now()
		if !incarnationKnown && !o.sleep(ctx, l, failedPollRetry) {
			return
		}
	}
}

// pollGap is the minimum time between two polls of an upstream. It grows with the number
// of upstreams that have runs, so that run ends are processed in batches where there are
// many.
func (o *owner) pollGap() time.Duration {
	return time.Duration(o.activeLinks.Load()) * pollGapPerUpstream
}

// scheduleFirstPoll returns how long the first poll of an upstream that became known at now
// has to wait.
func (o *owner) scheduleFirstPoll(now time.Time) time.Duration {
	if o.nextFirstPoll.Before(now) {
		o.nextFirstPoll = now
	}
	wait := o.nextFirstPoll.Sub(now)
	share := min(1, o.cpuShare)
	if share <= 0 {
		share = 1
	}
	o.nextFirstPoll = o.nextFirstPoll.Add(time.Duration(float64(firstPollInterval) / share))
	return wait
}

// sleep waits until the link is woken or the time has passed; without a link only for
// the time. It reports false if the context ended.
func (o *owner) sleep(ctx context.Context, l *link, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	var wakeup chan struct{}
	if l != nil {
		wakeup = l.wakeup
	}
	select {
	case <-ctx.Done():
		return false
	case <-wakeup:
	case <-timer.C:
	}
	return true
}

// pollResult is the outcome of a poll.
type pollResult uint8

const (
	// pollFailed means that the upstream gave no usable response.
	pollFailed pollResult = iota
	// pollSucceeded means that the report was passed to the control loop.
	pollSucceeded
	// pollUnverified means that the report was passed on, but does not say which incarnation made it.
	pollUnverified
	// pollInterrupted means that the poll was cancelled without a result, because another
	// poll was requested or the context ended.
	pollInterrupted
	// pollLost means that the poll had no response while calls to upstreams are lost; it is
	// repeated at once.
	pollLost
)

// pollOnce polls an upstream once and renews the lease of its runs. With verify set
// it acknowledges no run ends, because the upstream may be a new incarnation.
func (o *owner) pollOnce(ctx context.Context, id workload.UpstreamID, l *link, wait time.Duration, verify bool) pollResult {
	l.mu.Lock()
	wait, timeout, short := l.pollTimes(wait, o.lossy.Load())
	callCtx, cancel := context.WithTimeout(ctx, wait+timeout)
	defer cancel()
	l.pollRequested, l.unbroken = false, !verify
	if wait > 0 {
		l.cancelPoll = cancel
	}
	command := port.PollCommand{Token: l.late.token, LastRecorded: l.recorded, Wait: wait}
	if verify || l.recorded <= l.acknowledged { // none is repeated, since it could be carried out late
		command.LastRecorded = 0
	}
	// A lease offered to an upstream that does not respond would postpone the time at
	// which its runs must have ended.
	active := l.active && l.failures == 0
	target, startedUnixMS, incarnation := l.target, l.startedUnixMS, l.incarnation
	l.mu.Unlock()
	sentAt := time.Now()
	if active && o.mayAct() {
		command.DeadlineMS = l.deadline(sentAt, o.lease)
	}
	report, reply, err := o.upstreams.Poll(callCtx, target, command)
	if err != nil && !port.ConnectionClosed(err) && (command.DeadlineMS != noDeadline || command.LastRecorded > 0) {
		l.noteUnanswered(command.Token, time.Now())
	}
	l.mu.Lock()
	l.cancelPoll, l.unbroken = nil, false
	interrupted := err != nil && l.pollRequested
	l.mu.Unlock()
	if ctx.Err() != nil || interrupted {
		return pollInterrupted
	}
	now := time.Now()
	if errors.Is(err, context.DeadlineExceeded) && short {
		o.recordLostPoll(id, l, sentAt.Add(wait))
		return pollLost
	}
	switch {
	case reply.Fenced && l.isSuperseded(command.Token):
		return pollInterrupted
	case reply.Fenced:
		o.loseOwnership("upstream " + string(id))
		return pollFailed
	case err != nil || reply.OtherIncarnation || reply.Outcome != scheduler.Accepted:
		o.recordPollFailure(id, l, reply, err)
		return pollFailed
	}
	if !l.isNewest(incarnation) {
		return pollFailed
	}
	if report.Invalid != nil {
		o.logger.Warn("invalid rows of a run report ignored", "upstream", id, "error", report.Invalid)
	}
	incarnation, verified := o.identify(id, l, &report, startedUnixMS, incarnation, now)
	if !o.postReport(id, l, &report, sentAt, incarnation) {
		return pollFailed
	}
	o.recordAnswer(id, l, &command, verify, now)
	if !verified {
		return pollUnverified
	}
	return pollSucceeded
}

// identify returns the number of the incarnation that made a report, which is the known one unless
// the upstream has restarted. A report that lacks the start time that the registration names may be
// of a later incarnation: it is not verified, and does not show that runs are missing.
func (o *owner) identify(id workload.UpstreamID, l *link, report *port.RunReport, startedUnixMS int64, known int, now time.Time) (incarnation int, verified bool) {
	verified = startedUnixMS == 0 || report.StartedUnixMS != 0
	report.Partial = report.Partial || !verified
	switch {
	case o.hasRestarted(id, l, report, startedUnixMS, now):
		return o.beginIncarnation(id, l, report, now), verified
	case startedUnixMS == 0 && report.StartedUnixMS != 0:
		o.learnStart(id, l, report.StartedUnixMS)
	}
	return known, verified
}

// learnStart records when an upstream began whose registration does not say so.
func (o *owner) learnStart(id workload.UpstreamID, l *link, startedUnixMS int64) {
	l.mu.Lock()
	if l.startedUnixMS == 0 {
		l.startedUnixMS = startedUnixMS
	}
	l.mu.Unlock()
	o.post(func() { o.sched.LearnStart(id, startedUnixMS) })
}

// recordLostPoll records that a short poll had no answer, which was due at the given time.
func (o *owner) recordLostPoll(id workload.UpstreamID, l *link, due time.Time) {
	l.mu.Lock()
	l.lostPolls++
	l.late.supersede(time.Now())
	n := l.lostPolls
	l.mu.Unlock()
	o.logger.Info("poll lost; repeated at once", "upstream", id, "lost_in_a_row", n)
	o.post(func() { o.noteLostPoll(id, o.at(due)) })
}

// hasRestarted detects a restart of the upstream since its registration.
func (o *owner) hasRestarted(id workload.UpstreamID, l *link, report *port.RunReport, startedUnixMS int64, now time.Time) bool {
	restarted := l.updateClock(report.ClockMS, now)
	if !restarted && (startedUnixMS == 0 || report.StartedUnixMS == 0 || report.StartedUnixMS == startedUnixMS) {
		return false
	}
	o.logger.Warn("upstream restarted", "upstream", id, "born", report.StartedUnixMS, "registered", startedUnixMS)
	return true
}

// beginIncarnation begins the incarnation of the upstream that made a report, and returns its
// number.
func (o *owner) beginIncarnation(id workload.UpstreamID, l *link, report *port.RunReport, now time.Time) int {
	incarnation := l.beginIncarnation()
	l.updateClock(report.ClockMS, now)
	l.mu.Lock()
	l.startedUnixMS = report.StartedUnixMS
	l.mu.Unlock()
	newStartedUnixMS := report.StartedUnixMS
	o.post(func() {
		o.handleRestart(id, newStartedUnixMS)
		if l.later != nil && l.later.StartedUnixMS <= newStartedUnixMS {
			o.applyDeferred(id, l)
		}
	})
	return incarnation
}

// postReport passes the run report of an upstream's incarnation to the control loop. It reports
// false if a newer incarnation has registered since the report was checked.
func (o *owner) postReport(id workload.UpstreamID, l *link, report *port.RunReport, sentAt time.Time, incarnation int) bool {
	ends, ok := l.newEnds(report.Ended, incarnation)
	if !ok {
		return false
	}
	clock := time.Duration(report.ClockMS) * time.Millisecond
	converted := scheduler.RunReport{SentAt: o.at(sentAt), Clock: clock, Running: report.Running, Partial: report.Partial}
	newestEnd := int64(0)
	for _, e := range ends {
		converted.Ended = append(converted.Ended, e.EndedRun)
		newestEnd = max(newestEnd, e.Number)
	}
	o.post(func() {
		switch {
		case o.links[id] != l:
		case l.isNewest(incarnation):
			o.handleReport(id, l, converted, incarnation, o.holdUnknownEnds(id, l, incarnation, ends, newestEnd))
		default: // the runs ended with the former incarnation
			o.sched.ApplyEnds(o.now(), id, converted.Ended)
		}
	})
	return true
}

// pollFailure is what a failed poll shows.
type pollFailure struct {
	// leasesExpired says that the leases granted by this owner have expired.
	leasesExpired bool
	// replaced says that another upstream responds at the address, which is only reused after
	// the former one has ended.
	replaced bool
	// closed says that the connection was closed or refused.
	closed bool
}

// recordPollFailure counts a failed poll and reports it to the control loop.
func (o *owner) recordPollFailure(id workload.UpstreamID, l *link, reply port.Reply, err error) {
	l.mu.Lock()
	l.failures++
	l.answered = false
	first := l.failures == 1
	l.late.supersede(time.Now())
	leasesExpired := time.Now().After(l.leasesEnd())
	l.mu.Unlock()
	if first {
		o.logger.Warn("upstream poll failed", "upstream", id, "outcome", reply.Outcome, "reason", reply.Reason, "other_life", reply.OtherIncarnation, "error", err)
	}
	failure := pollFailure{leasesExpired: leasesExpired, replaced: reply.OtherIncarnation, closed: reply.NotListening || port.ConnectionClosed(err)}
	o.post(func() {
		if reply.NotListening && o.links[id] == l {
			o.sched.SettleUpstream(id)
		}
		o.handlePollFailure(id, l, failure)
		o.applyDeferred(id, l)
	})
}
