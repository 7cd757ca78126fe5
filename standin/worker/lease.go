package worker

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// admit refuses a call for another incarnation or of an older epoch. Otherwise it raises
// the epoch of the worker to that of the call and records the contact. It fails with
// devplatform.ErrWrongIncarnation, *devplatform.FencedError or devplatform.ErrInvalid.
func (w *Worker) admit(incarnation string, epoch devplatform.Epoch) error {
	if incarnation != w.incarnation {
		return devplatform.ErrWrongIncarnation
	}
	return w.admitEpoch(epoch)
}

func (w *Worker) admitEpoch(epoch devplatform.Epoch) error {
	if epoch.Owner == "" {
		return fmt.Errorf("%w: epoch.owner must be set", devplatform.ErrInvalid)
	}
	if err := w.checkFence(epoch); err != nil {
		return err
	}
	if epoch.Compare(w.epoch) > 0 {
		w.epoch = epoch
		w.notifyWaiters()
	}
	w.lastContact = w.clock()
	return nil
}

// checkCurrent returns an error if a waiting call has become invalid because of a restart
// or a newer epoch.
func (w *Worker) checkCurrent(incarnation string, epoch devplatform.Epoch) error {
	if incarnation != w.incarnation {
		return devplatform.ErrWrongIncarnation
	}
	return w.checkFence(epoch)
}

// checkFence returns a *devplatform.FencedError if the epoch is older than that of the
// worker.
func (w *Worker) checkFence(epoch devplatform.Epoch) error {
	if epoch.Compare(w.epoch) >= 0 || w.faults.Ignore.Epochs {
		return nil
	}
	return &devplatform.FencedError{Current: w.epoch, SinceContact: time.Duration(w.clock() - w.lastContact)}
}

// renew extends the lease; it never shortens it.
func (w *Worker) renew(until devplatform.WorkerClock) {
	w.leaseUntil = max(w.leaseUntil, until)
	w.resetTimer(w.clock())
}

// acknowledge drops the events up to a sequence number, which the owner has received.
func (w *Worker) acknowledge(sequence int64) {
	w.events = slices.DeleteFunc(w.events, func(e devplatform.TaskEvent) bool { return e.Sequence <= sequence })
}

// leaseExpired reports whether the lease has expired at a time.
func (w *Worker) leaseExpired(now devplatform.WorkerClock) bool {
	return now >= w.leaseUntil && !w.faults.Ignore.LeaseEnds
}

// usage returns the usage of the tasks that have run for at least the usage lag.
func (w *Worker) usage() []devplatform.TaskUsage {
	var usage []devplatform.TaskUsage
	startedBefore := w.clock() - devplatform.WorkerClock(w.config.UsageLag)
	for _, id := range slices.Sorted(maps.Keys(w.running)) {
		if t := w.running[id]; t.status.StartedAt <= startedBefore {
			usage = append(usage, t.usage())
		}
	}
	return usage
}
