package dispatch

import (
	"context"
	"time"

	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/scheduler"
)

const (
	// An owner older than yieldAfter yields to an entry with more than yieldFactor
	// times its processor share. By then the state of a new owner is complete.
	yieldAfter  = 5 * time.Second
	yieldFactor = 1.6
	// yieldCheckInterval is how often an owner checks for a larger entry.
	yieldCheckInterval = 2 * time.Second
	// stopTimeout bounds the final append of an owner that stops.
	stopTimeout = 1200 * time.Millisecond
)

// successor returns the entry that should claim next; its name is empty if there
// is none. Among the largest entries it is the one that started last, because that
// one stays longest in a rolling restart.
func (o *owner) successor() ledger.Entry {
	best := o.largestOthers()
	if len(best) == 0 {
		return ledger.Entry{}
	}
	return best[0]
}

// nominate notifies the successor, which would otherwise read the release from the
// log a little later.
func (o *owner) nominate(successor ledger.Entry) {
	if successor.Name == "" {
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, peerCallTimeout)
	defer cancel()
	if err := o.peers.Nominate(ctx, successor.Address, o.claim); err != nil {
		o.logger.Warn("successor not notified", "successor", successor.Name, "error", err)
	}
}

// largestOthers returns the other entries with the largest processor share.
func (o *owner) largestOthers() []ledger.Entry {
	var best []ledger.Entry
	o.replica.View(func(t *ledger.Table, _ int64) {
		for _, e := range t.Entries() {
			switch {
			case e.Name == o.self:
			case len(best) == 0 || e.CPUShare > best[0].CPUShare:
				best = []ledger.Entry{e}
			case e.CPUShare == best[0].CPUShare:
				best = append(best, e)
			}
		}
	})
	return best
}

// yieldToLarger releases ownership if a clearly larger entry could take it.
func (o *owner) yieldToLarger(now time.Time) {
	if o.releasing || o.at(now) < yieldAfter || now.Sub(o.yieldCheckedAt) < yieldCheckInterval {
		return
	}
	o.yieldCheckedAt = now
	if best := o.largestOthers(); len(best) > 0 && best[0].CPUShare > yieldFactor*o.cpuShare {
		o.logger.Info("ownership yielded", "epoch", o.epoch, "cpu_share", o.cpuShare, "larger", best[0].CPUShare)
		o.release(make(chan struct{}))
	}
}

// release records the job states and the end of the term, closes done after this
// append and ends the term. It must be called from the control loop.
func (o *owner) release(done chan struct{}) {
	if o.releaseBegan.IsZero() {
		o.releaseBegan = time.Now()
	}
	// Wait for the starts in flight: a gang of which only some members were started would
	// wait for the others in vain.
	gangsWait := o.withdrawStarts(false)
	awaitStarts := (o.startsInFlight > 0 || gangsWait) && time.Since(o.releaseBegan) < commandTimeout
	o.releasing = true
	if !o.flushing && len(o.requests) > 0 {
		o.startFlush(time.Now())
	}
	if awaitStarts || o.flushing {
		time.AfterFunc(urgentFlushGap, func() { o.post(func() { o.release(done) }) })
		return
	}
	for _, start := range o.pendingStarts {
		o.sched.StartResult(o.now(), start.Run, scheduler.Refused)
	}
	o.pendingStarts = nil
	o.withdrawStarts(true)
	o.returnHeldStarts()
	successor := o.successor()
	o.claim.Released, o.claim.Successor = true, successor.Name
	o.releaseStartList()
	ids, states := o.sched.Changed(time.Now().UnixMilli())
	var records []ledger.Record
	for i := range ids {
		if record, ok := o.stateRecord(ids[i], &states[i]); ok {
			records = append(records, record)
		}
	}
	last, err := ledger.ClaimRecord(&o.claim)
	if err != nil {
		o.logger.Error("release not encoded", "error", err)
	} else {
		records = append(records, last)
	}
	o.flushing = true
	o.spawn(func() {
		if rejected, ok := o.appendAll(records); ok {
			o.logRejected(rejected)
			o.logger.Info("ownership released", "epoch", o.epoch, "records", len(records), "successor", successor.Name)
			o.nominate(successor)
		} else {
			o.logger.Warn("release not recorded: the log has a newer owner or the term ended", "epoch", o.epoch, "records", len(records))
		}
		close(done)
		o.cancel()
	})
}
