package worker

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// admit refuses a call that is meant for another incarnation or that is of an
// older epoch; otherwise it raises the epoch.
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
	if err := w.fenced(epoch); err != nil {
		return err
	}
	if epoch.Compare(w.epoch) > 0 {
		w.epoch = epoch
		w.wake()
	}
	w.contactAt = w.clock()
	return nil
}

// current reports why a held call is not served any more.
func (w *Worker) current(incarnation string, epoch devplatform.Epoch) error {
	if incarnation != w.incarnation {
		return devplatform.ErrWrongIncarnation
	}
	return w.fenced(epoch)
}

func (w *Worker) fenced(epoch devplatform.Epoch) error {
	if epoch.Compare(w.epoch) >= 0 || w.faults.Ignore.Epochs {
		return nil
	}
	return &devplatform.FencedError{Current: w.epoch, SinceContact: time.Duration(w.clock() - w.contactAt)}
}

// renew extends the lease; it never shortens it.
func (w *Worker) renew(until devplatform.WorkerClock) {
	w.leaseUntil = max(w.leaseUntil, until)
	w.rearm(w.clock())
}

// acknowledge drops the events that the owner has seen.
func (w *Worker) acknowledge(sequence int64) {
	w.events = slices.DeleteFunc(w.events, func(e devplatform.TaskEvent) bool { return e.Sequence <= sequence })
}

// lapsed reports whether no lease holds at a time.
func (w *Worker) lapsed(now devplatform.WorkerClock) bool {
	return now >= w.leaseUntil && !w.faults.Ignore.LeaseEnds
}

// usage returns the use of the tasks that have run for the usage lag.
func (w *Worker) usage() []devplatform.TaskUsage {
	var usage []devplatform.TaskUsage
	measured := w.clock() - devplatform.WorkerClock(w.config.UsageLag)
	for _, id := range slices.Sorted(maps.Keys(w.running)) {
		if t := w.running[id]; t.status.StartedAt <= measured {
			usage = append(usage, t.usage())
		}
	}
	return usage
}
