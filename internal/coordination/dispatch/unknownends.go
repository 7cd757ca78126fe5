package dispatch

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/state/scheduler"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// unknownEndTime is how long the end of a run is kept unacknowledged whose job is not known:
// another entry may still record the job for a caller, whose time limit is shorter.
const unknownEndTime = time.Minute

// unknownEnds holds the ends that an upstream reported of jobs that are not known.
type unknownEnds struct {
	link *link
	ends []unknownEnd
	// newest is the number up to which ends are acknowledged once none is held any more.
	newest      int64
	incarnation int
}

type unknownEnd struct {
	port.RunEnd
	at time.Time
}

// holdUnknownEnds keeps the reported ends of jobs that are not known, so that they count if
// the job arrives. It returns the number up to which the ends of the upstream may be
// acknowledged, since an acknowledgement covers all earlier ends.
func (o *owner) holdUnknownEnds(id workload.UpstreamID, l *link, incarnation int, ends []port.RunEnd, newest int64) int64 {
	if !o.startsWithoutRecord {
		return newest
	}
	held := o.unknownEnds[id]
	if held != nil && (held.incarnation != incarnation || held.link != l) {
		held = nil // a new incarnation does not list them again
		delete(o.unknownEnds, id)
	}
	for _, e := range ends {
		if o.hasJob(e.Task.Job) {
			continue
		}
		if held == nil {
			held = &unknownEnds{link: l, incarnation: incarnation}
			o.unknownEnds[id] = held
		}
		o.logger.Info("end of an unknown job not acknowledged", "task", e.Task, "run", e.Run, "upstream", id, "how", e.Cause)
		held.ends = append(held.ends, unknownEnd{e, time.Now()})
	}
	if held == nil {
		return newest
	}
	held.newest = max(held.newest, newest)
	for _, e := range held.ends {
		newest = min(newest, e.Number-1)
	}
	return newest
}

// applyUnknownEnds applies the ends that were held of a job which has arrived.
func (o *owner) applyUnknownEnds(job workload.JobID) {
	for id, held := range o.unknownEnds {
		var ended []scheduler.EndedRun
		for _, e := range held.ends {
			if e.Task.Job == job {
				ended = append(ended, e.EndedRun)
			}
		}
		if len(ended) > 0 {
			o.sched.ApplyEnds(o.now(), id, ended)
			o.dropUnknownEnds(id, func(e unknownEnd) bool { return e.Task.Job == job })
		}
	}
}

// expireUnknownEnds drops the ends of jobs that have not arrived in time.
func (o *owner) expireUnknownEnds(now time.Time) {
	for id := range o.unknownEnds {
		o.dropUnknownEnds(id, func(e unknownEnd) bool { return now.Sub(e.at) > unknownEndTime })
	}
}

// dropUnknownEnds drops held ends of an upstream, and acknowledges with the next append what
// was held back for them.
func (o *owner) dropUnknownEnds(id workload.UpstreamID, drop func(unknownEnd) bool) {
	held := o.unknownEnds[id]
	rest := make([]unknownEnd, 0, len(held.ends))
	number := held.newest
	for _, e := range held.ends {
		if !drop(e) {
			rest = append(rest, e)
			number = min(number, e.Number-1)
		}
	}
	if len(rest) == len(held.ends) {
		return
	}
	if held.ends = rest; len(rest) == 0 {
		delete(o.unknownEnds, id)
	}
	if number > 0 {
		o.acks = append(o.acks, ack{held.link, held.incarnation, number})
	}
}
