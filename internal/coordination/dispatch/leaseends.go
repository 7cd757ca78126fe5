package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/scheduler"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// The owner records until when leases can last on upstreams that it does not reach, so that the
// next owner need not count them from its own claim. It grants none there until the log holds a
// record without the upstream. See docs/design/takeover-waits.md.

const (
	// leaseEndsDelay is how long after a failed poll the lease end of an upstream is recorded, unless it is
	// reached again. One that answers after up to 1.5 s must not wait for a withdrawal between its leases.
	leaseEndsDelay = 1800 * time.Millisecond
	// leaseEndsGap is the minimum time between two records, but for a withdrawal.
	leaseEndsGap = 500 * time.Millisecond
	// leaseEndsRefresh is after what time a record is written again, because an entry that reads an
	// old one for the first time does not know its age.
	leaseEndsRefresh = 2 * time.Second
	// leaseEndsCheck is the minimum time between two checks for upstreams to record.
	leaseEndsCheck = 100 * time.Millisecond
	// maxLeaseEnds bounds the upstreams of a record: 1,024 take some 30 kB.
	maxLeaseEnds = 1024
	// maxRewritten is the number of upstreams up to which a withdrawal repeats the others. A longer
	// list is withdrawn as a whole, since many upstreams may be reached again one after the other.
	maxRewritten = 64
)

// leaseEnds is the state of the recorded lease ends. Only the control loop uses it.
type leaseEnds struct {
	// lost holds the upstreams whose newest poll failed, and since when polls fail.
	lost map[workload.UpstreamID]time.Time
	// newest holds the upstreams of the newest record, withheld those of every record that the
	// log may hold as the newest.
	newest, withheld   map[workload.UpstreamID]struct{}
	writtenAt, checked time.Time
	// due says that a record is due since it was last checked.
	due bool
	// rejected says that the log has refused a record for good; only withdrawals are written then.
	rejected bool
}

// inheritLeaseEnds returns, in scheduler time of an owner that begins at the given clock, the ends of
// the leases on upstreams that the former owner did not reach.
func (p *ownerDeps) inheritLeaseEnds(epoch int64, clock time.Duration) map[workload.UpstreamID]state.Time {
	ends, receivedAt := p.replica.LeaseEnds(epoch)
	if len(ends) == 0 {
		return nil
	}
	out := make(map[workload.UpstreamID]state.Time, len(ends))
	unconfirmed := p.unconfirmedTime()
	for _, end := range ends {
		left := time.Duration(float64(end.LeftMS)*clockDriftFactor) * time.Millisecond
		out[end.Upstream] = min(unconfirmed, receivedAt+left+time.Millisecond-clock)
	}
	p.logger.Info("lease ends inherited", "epoch", epoch, "upstreams", len(ends), "received_ms_ago", (clock - receivedAt).Milliseconds())
	return out
}

// unconfirmedTime is the time after a claim from which no run of a former owner exists on an
// upstream that was not reached since.
func (p *ownerDeps) unconfirmedTime() time.Duration {
	return logContactTimeout + time.Duration(float64(p.lease)*clockDriftFactor) + commandTimeout
}

// noteContactLost records that a poll failed.
func (o *owner) noteContactLost(id workload.UpstreamID) {
	if _, known := o.leaseEnds.lost[id]; known {
		return
	}
	if o.leaseEnds.lost == nil {
		o.leaseEnds.lost = map[workload.UpstreamID]time.Time{}
	}
	o.leaseEnds.lost[id] = time.Now()
}

// withhold stops the grant of leases to an upstream that is not reached, and returns when all granted
// ones have ended. It reports false if the upstream is reached.
func (l *link) withhold() (end time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failures == 0 {
		return end, false
	}
	l.withheld = true
	return l.leasesEnd(), true
}

// grantAgain allows granting leases, and has them renewed at once if the upstream has runs.
func (l *link) grantAgain() {
	l.mu.Lock()
	l.withheld = false
	renew := l.active && l.failures == 0
	l.mu.Unlock()
	if renew {
		l.requestPoll()
	}
}

// isReached reports whether the newest poll was answered.
func (l *link) isReached() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answered && l.failures == 0
}

// leaseEndsDue reports whether a record of lease ends is due, and whether a lease waits for it.
func (o *owner) leaseEndsDue(now time.Time) (due, urgent bool) {
	e := &o.leaseEnds
	for id := range e.newest {
		if l := o.links[id]; !e.rejected && l != nil && l.isReached() {
			return true, true
		}
	}
	if e.due || now.Sub(e.checked) < leaseEndsCheck || now.Sub(e.writtenAt) < leaseEndsGap {
		return e.due, false
	}
	e.checked = now
	wanted := o.wantedLeaseEnds(now)
	for _, id := range wanted {
		_, written := e.newest[id]
		e.due = e.due || !written
	}
	e.due = e.due || len(wanted) != len(e.newest) || (len(wanted) > 0 && now.Sub(e.writtenAt) >= leaseEndsRefresh)
	return e.due, false
}

// wantedLeaseEnds returns the upstreams on which runs may exist and which are not reached.
func (o *owner) wantedLeaseEnds(now time.Time) (wanted []workload.UpstreamID) {
	e := &o.leaseEnds
	if e.rejected {
		return nil
	}
	for id, since := range e.lost {
		switch {
		case o.links[id] == nil:
			delete(e.lost, id)
		case now.Sub(since) < leaseEndsDelay, !o.sched.MayHaveRuns(id):
		case o.sched.AwaitsNextIncarnation(id):
			// A start without a response may be carried out by the next incarnation, whose leases
			// are not known.
		default:
			wanted = append(wanted, id)
		}
	}
	if o.registrationsAt > 0 && now.Sub(o.base) >= leaseEndsDelay {
		for _, id := range o.sched.UnconfirmedUpstreams() {
			if o.links[id] == nil {
				wanted = append(wanted, id)
			}
		}
	}
	if len(wanted) > maxLeaseEnds {
		slices.Sort(wanted) // the same ones each time
		wanted = wanted[:maxLeaseEnds]
	}
	return wanted
}

// appendLeaseEnds appends the record of the lease ends if it is due, and returns its upstreams, or nil.
func (o *owner) appendLeaseEnds(now time.Time, records []ledger.Record) ([]ledger.Record, map[workload.UpstreamID]struct{}) {
	e := &o.leaseEnds
	due, urgent := o.leaseEndsDue(now)
	if !due {
		return records, nil
	}
	wanted := o.wantedLeaseEnds(now)
	if urgent && len(wanted) > maxRewritten {
		wanted = nil
	}
	if e.withheld == nil {
		e.withheld = map[workload.UpstreamID]struct{}{}
	}
	list, longest := map[workload.UpstreamID]struct{}{}, time.Duration(0)
	out := ledger.LeaseEnds{Epoch: o.epoch}
	for _, id := range wanted {
		until := o.sched.UnconfirmedUntil(id)
		if l := o.links[id]; l != nil {
			granted, ok := l.withhold()
			if !ok {
				continue
			}
			until = max(until, o.at(granted))
		}
		left := max(0, until-o.now())
		longest = max(longest, left)
		list[id], e.withheld[id] = struct{}{}, struct{}{}
		out.Upstreams = append(out.Upstreams, ledger.LeaseEnd{Upstream: id, LeftMS: (left + time.Millisecond - 1).Milliseconds()})
	}
	record, err := ledger.LeaseEndsRecord(&out)
	if err != nil {
		o.logger.Error("lease ends not encoded", "upstreams", len(list), "error", err)
		return records, nil
	}
	if len(list) != len(e.newest) {
		o.logger.Info("lease ends recorded", "epoch", o.epoch, "upstreams", len(list), "before", len(e.newest), "longest_ms", longest.Milliseconds())
	}
	e.newest, e.writtenAt, e.due = list, now, false
	return append(records, record), list
}

// finishLeaseEnds notes that the log holds the record with a list of upstreams, unless it is among
// the rejected ones. Other upstreams are granted leases again.
func (o *owner) finishLeaseEnds(list map[workload.UpstreamID]struct{}, rejected []ledger.Record) {
	if list == nil {
		return
	}
	e := &o.leaseEnds
	for i := range rejected {
		if ledger.IsLeaseEnds(rejected[i]) {
			e.rejected, e.newest = true, maps.Clone(e.withheld) // until a withdrawal is recorded
			return
		}
	}
	for id := range e.withheld {
		if _, listed := list[id]; listed {
			continue
		}
		delete(e.withheld, id)
		if l := o.links[id]; l != nil {
			l.grantAgain()
		}
	}
}

// refuseWithheld returns the capacity of a start on an upstream to which no lease may be granted, and
// reports whether that is so.
func (o *owner) refuseWithheld(start *scheduler.Start) bool {
	if _, withheld := o.leaseEnds.withheld[start.Upstream]; !withheld {
		return false
	}
	o.logger.Info("start not sent: the log holds the end of the leases on its upstream", "task", start.Task, "run", start.Number, "upstream", start.Upstream)
	o.sched.StartResult(o.now(), start.Run, scheduler.Refused)
	return true
}
