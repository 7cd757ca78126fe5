package emulator

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

const (
	// restartTime is how long an upstream is down after a task has crashed it.
	restartTime = 3 * time.Second
	// resizeNotice is how long after an upstream has shrunk starts may still exceed its capacity.
	resizeNotice = 4500 * time.Millisecond
	// A task under which crashLimit upstreams have crashed may be started crashStartLimit times
	// more.
	crashLimit, crashStartLimit = 3, 2
)

// crashAfter lets a task crash its upstream after a time, unless it has ended by then.
func (e *Emulator) crashAfter(w *worker, t *task, after time.Duration) {
	e.after(after, func() {
		if t.ended {
			return
		}
		e.crashes[t.key]++
		e.crash(w)
		e.after(restartTime, func() { e.restart(w) })
	})
}

// checkCrashes checks how often a task that crashes its upstreams is started.
func (e *Emulator) checkCrashes(t *task) {
	if e.crashes[t.key] < crashLimit {
		return
	}
	if e.crashStarts[t.key]++; e.crashStarts[t.key] > crashStartLimit {
		e.violation("crash budget", "task %d of job %s is started for the %d. time after %d upstreams have crashed under it", t.key.index, t.key.job, e.crashStarts[t.key], e.crashes[t.key])
	}
}

// resize changes the capacity of an upstream. Its tasks continue.
func (e *Emulator) resize(w *worker, capacity state.Vector) {
	w.former, w.formerUntil = w.inForce(e.now), e.now+resizeNotice
	w.capacity = capacity
	if w.alive {
		e.after(messageTime, func() {
			if w.alive {
				e.fence(w)
			}
		})
	}
}

// inForce returns the capacity that starts must not exceed.
func (w *worker) inForce(now state.Time) state.Vector {
	if now < w.formerUntil {
		return w.capacity.Max(w.former)
	}
	return w.capacity
}
