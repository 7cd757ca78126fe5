package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

const (
	// clockDriftFactor is the factor by which an upstream's clock may run slower than
	// the owner's.
	clockDriftFactor = 1.03
	// noDeadline is the deadline of a poll that renews no lease.
	noDeadline = 0
)

// link is the state that the control loop and the poll loop of one upstream share.
type link struct {
	mu     sync.Mutex
	target port.Target
	// startedUnixMS is the start time of the incarnation that the registration names.
	startedUnixMS int64
	// clockMS is the upstream's clock at clockAt, in milliseconds; 0 while unknown.
	clockMS int64
	clockAt time.Time
	// leasesEndAt is when every lease granted so far must have expired.
	leasesEndAt time.Time
	// withheld says that no lease may be granted, because the log may hold the end of the leases.
	withheld bool
	// reported is the number of the newest run end passed to the scheduler, recorded
	// that of the newest one in the log.
	reported, recorded int64
	// acknowledged is the number of the newest run end that the upstream may have dropped,
	// because a poll at acknowledgedAt told it that the log holds the end.
	acknowledged   int64
	acknowledgedAt time.Time
	// incarnation counts the incarnations of the upstream. Reports of a former one,
	// and its recorded run ends, do not apply to the current one.
	incarnation int
	// active says that the upstream has runs, close that they need shortPollWait.
	active, close bool
	removed       bool
	wakeup        chan struct{}
	failures      int
	// lostPolls counts the newest polls that had no response while calls were lost.
	lostPolls int
	// answered is set while the newest poll of the incarnation was answered, at polledAt.
	// unbroken is set while a poll is in progress that began so soon after an answered one
	// that the upstream cannot have restarted in between.
	answered, unbroken bool
	polledAt           time.Time
	// doubted is set when a registration names a later start than the incarnation that answers
	// polls: the next one verifies the incarnation.
	doubted bool
	// later is the newest registration if it names a later incarnation that is not confirmed.
	// Only the control loop uses it.
	later    *workload.Upstream
	commands linkCommands
	late     lateCalls
	// pollRequested asks for a poll at once; cancelPoll cancels the long poll in
	// progress, if any.
	pollRequested bool
	cancelPoll    context.CancelFunc
}

func newLink() *link { return &link{wakeup: make(chan struct{}, 1)} }

// wake ends the pause of the poll loop.
func (l *link) wake() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

// requestPoll has the upstream polled at once, and interrupts a long poll in progress.
func (l *link) requestPoll() {
	l.mu.Lock()
	l.pollRequested = true
	if l.cancelPoll != nil {
		l.cancelPoll()
	}
	l.mu.Unlock()
	l.wake()
}

// updateClock stores the upstream's clock. If the clock went back, the upstream has restarted:
// that is reported, and the clock is not stored before the incarnation begins.
func (l *link) updateClock(clockMS int64, now time.Time) (restarted bool) {
	if clockMS <= 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.clockMS > 0 && clockMS < l.clockMS-clockSlackMS {
		return true
	}
	l.clockMS, l.clockAt = clockMS, now
	return false
}

// clockSlackMS is how far a clock may appear to go back because responses arrive out
// of order.
const clockSlackMS = 3000

// deadline returns the end of a lease granted now, on the upstream's clock, and
// extends leasesEndAt accordingly. It returns noDeadline if none may be granted.
func (l *link) deadline(now time.Time, lease time.Duration) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.clockMS == 0 || l.withheld {
		return noDeadline
	}
	elapsed := now.Sub(l.clockAt)
	deadline := l.clockMS + (elapsed + lease).Milliseconds()
	leaseEnd := l.clockAt.Add(time.Duration(float64(elapsed+lease) * clockDriftFactor))
	if leaseEnd.After(l.leasesEndAt) {
		l.leasesEndAt = leaseEnd
	}
	return deadline
}

// pollTimes returns how long the next poll may be held open, and how long its response may take
// beyond that. short says that both are kept short because calls to upstreams are lost. The
// caller holds the lock.
func (l *link) pollTimes(held time.Duration, lossy bool) (wait, timeout time.Duration, short bool) {
	switch {
	case lossy && l.failures == 0 && l.lostPolls < maxLostPolls:
		return min(held, lossyPollWait), lossyPollTimeout, true
	case l.failures%2 == 1:
		return held, slowPollTimeout, false
	}
	return held, pollTimeout, false
}

// recordPoll records a successful poll, which acknowledged the run ends up to a number unless
// it was sent to verify the incarnation. It reports whether polls failed before.
func (l *link) recordPoll(now time.Time, acknowledged int64, verify bool) (recovered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	recovered = l.failures > 0
	l.failures, l.lostPolls, l.answered, l.polledAt = 0, 0, true, now
	l.doubted = l.doubted && !verify
	if acknowledged > 0 {
		l.acknowledged, l.acknowledgedAt = acknowledged, now
	}
	return recovered
}

// acknowledge records that the log holds the run ends of an incarnation up to number.
func (l *link) acknowledge(incarnation int, number int64) {
	l.mu.Lock()
	if incarnation == l.incarnation {
		l.recorded = max(l.recorded, number)
	}
	l.mu.Unlock()
	l.wake()
}

// acknowledgementDue reports whether the log holds run ends that the upstream does not know
// to be recorded, and the last acknowledgement is acknowledgeInterval ago.
func (l *link) acknowledgementDue(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.recorded > l.acknowledged && now.Sub(l.acknowledgedAt) >= acknowledgeInterval
}

// register applies a registration and returns the start time of the newest incarnation that is
// known, and whether the registration begins a new one. While the known incarnation answers polls,
// its next report decides that, since what runs on it would count as lost: the registration is
// deferred, and nothing of it applied.
func (l *link) register(target port.Target, startedUnixMS int64) (newest int64, restarted, deferred bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	restarted = l.startedUnixMS != 0 && startedUnixMS > l.startedUnixMS
	if restarted && l.answered {
		l.doubted = true
		return l.startedUnixMS, false, true
	}
	l.target = target
	l.startedUnixMS = max(l.startedUnixMS, startedUnixMS)
	if restarted {
		l.resetEnds() // a poll in between would acknowledge ends of the former incarnation
	}
	return l.startedUnixMS, restarted, false
}

// beginIncarnation restarts the numbering of run ends for a new incarnation.
// It returns the number of the incarnation.
func (l *link) beginIncarnation() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resetEnds()
	return l.incarnation
}

// resetEnds is beginIncarnation for callers that hold the lock.
func (l *link) resetEnds() {
	l.incarnation++
	l.reported, l.recorded, l.acknowledged, l.clockMS = 0, 0, 0, 0
	l.answered, l.unbroken = false, false
}

// isNewest reports whether an incarnation is the newest one.
func (l *link) isNewest(incarnation int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return incarnation == l.incarnation
}

// newEnds returns the run ends that were not reported before and marks them as reported. It
// reports false, and does neither, if the incarnation that reported them is not the newest one.
func (l *link) newEnds(ends []port.RunEnd, incarnation int) (out []port.RunEnd, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if incarnation != l.incarnation {
		return nil, false
	}
	newest := l.reported
	for _, e := range ends {
		if e.Number > l.reported {
			out = append(out, e)
			newest = max(newest, e.Number)
		}
	}
	l.reported = newest
	return out, true
}
