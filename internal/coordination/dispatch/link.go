package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
)

const (
	// slowClock is by how much an upstream's clock may lag behind the owner's.
	slowClock = 1.03
	// unknownClock is the deadline that renews nothing.
	unknownClock = 0
)

// link is what the control loop and the looker of one upstream share.
type link struct {
	mu     sync.Mutex
	target port.Target
	// bornUnixMS is the life that the registration names.
	bornUnixMS int64
	// clockMS is the upstream's clock at clockAt; 0 while unknown.
	clockMS int64
	clockAt time.Time
	// lapseAt is when every lease that was ever given must have run out.
	lapseAt time.Time
	// reported is the newest end handed to the scheduler, recorded the newest
	// one that the log holds.
	reported, recorded int64
	// life counts the lives of the upstream. What was said in a former one, and
	// ends of it that are recorded, mean nothing for this one.
	life          int
	active, close bool
	removed       bool
	kick          chan struct{}
	failures      int
	// hurried asks for a look at once; interrupt ends the one that waits at the
	// upstream, if any.
	hurried   bool
	interrupt context.CancelFunc
}

func newLink() *link { return &link{kick: make(chan struct{}, 1)} }

// wake makes the looker look at once.
func (l *link) wake() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// hurry has the upstream looked at now, though a look waits there.
func (l *link) hurry() {
	l.mu.Lock()
	l.hurried = true
	if l.interrupt != nil {
		l.interrupt()
	}
	l.mu.Unlock()
	l.wake()
}

// sample takes in the upstream's clock. A clock that went back is a new life.
func (l *link) sample(clockMS int64, now time.Time) (restarted bool) {
	if clockMS <= 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	restarted = l.clockMS > 0 && clockMS < l.clockMS-clockSlackMS
	l.clockMS, l.clockAt = clockMS, now
	return restarted
}

// clockSlackMS is by how much answers that overtake each other may make a clock
// seem to go back.
const clockSlackMS = 3000

// deadline returns the end of a lease that is given now, on the upstream's
// clock, and remembers when it must have run out.
func (l *link) deadline(now time.Time, lease time.Duration) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.clockMS == 0 {
		return unknownClock
	}
	since := now.Sub(l.clockAt)
	deadline := l.clockMS + (since + lease).Milliseconds()
	lapse := l.clockAt.Add(time.Duration(float64(since+lease) * slowClock))
	if lapse.After(l.lapseAt) {
		l.lapseAt = lapse
	}
	return deadline
}

// acknowledge takes in that the log holds the ends of a life up to a number.
func (l *link) acknowledge(life int, number int64) {
	l.mu.Lock()
	if life == l.life {
		l.recorded = max(l.recorded, number)
	}
	l.mu.Unlock()
	l.wake()
}

// forgetLife starts the numbering of ends anew.
func (l *link) forgetLife() {
	l.mu.Lock()
	l.life++
	l.reported, l.recorded, l.clockMS = 0, 0, 0
	l.mu.Unlock()
}

// fresh returns the ends that were not reported before and marks them as
// reported, and the life that they belong to.
func (l *link) fresh(ends []port.Ended) (out []port.Ended, life int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := l.reported
	for _, e := range ends {
		if e.Number > l.reported {
			out = append(out, e)
			newest = max(newest, e.Number)
		}
	}
	l.reported = newest
	return out, l.life
}
