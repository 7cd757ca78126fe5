package dispatch

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/state/scheduler"
)

// startMargin is subtracted from the limit of a view. It covers the time from the check of a
// start to its arrival at the upstream.
const startMargin = time.Second

// view is a part of the platform's records that a start relies on. What the newest read of it
// does not show takes effect within the limit; 0 is no limit.
type view struct {
	name       string
	limit, age time.Duration
}

// window returns how much longer the newest read allows starts to be executed.
func (v *view) window() time.Duration { return v.limit - v.age }

// recent reports whether the newest read allows starts to be sent.
func (v *view) recent() bool {
	// A limit that the margin would use up is halved instead, so that starts stay possible.
	return v.limit <= 0 || v.window() > min(startMargin, v.limit/2)
}

// views returns the evacuations and the capacities as the owner knows them.
func (o *owner) views() []view {
	var out []view
	if o.evacuationLimit > 0 {
		_, age := o.replica.Evacuation()
		out = append(out, view{"evacuations", o.evacuationLimit, age})
	}
	if o.capacityLimit > 0 {
		out = append(out, view{"capacities", o.capacityLimit, o.clock() - o.registrationsAt})
	}
	return out
}

// mayStart reports whether the evacuations and the capacities were read recently enough to send
// starts.
func (o *owner) mayStart() bool { return o.outdatedView() == nil }

// outdatedView returns a view that was not read recently enough to send starts, or nil.
func (o *owner) outdatedView() *view {
	for _, v := range o.views() {
		if !v.recent() {
			return &v
		}
	}
	return nil
}

// heldStarts are recorded starts that wait until their views were read again. since is when the
// first of them was held.
type heldStarts struct {
	starts []scheduler.Start
	since  time.Time
}

// holdStarts keeps recorded starts until sendHeldStarts.
func (o *owner) holdStarts(starts []scheduler.Start) {
	if len(starts) == 0 {
		return
	}
	if len(o.held.starts) == 0 {
		o.held.since = time.Now()
		if v := o.outdatedView(); v != nil {
			o.logger.Warn("starts held: the platform's records were not read recently enough", "view", v.name, "starts", len(starts), "age_ms", v.age.Milliseconds(), "limit", v.limit, "epoch", o.epoch)
		}
	}
	o.metrics.evacuation.held.Inc(int64(len(starts)))
	o.held.starts = append(o.held.starts, starts...)
}

// sendHeldStarts sends the held starts if the views were read recently enough.
func (o *owner) sendHeldStarts() {
	if len(o.held.starts) == 0 || o.releasing || !o.mayAct() || !o.mayStart() {
		return
	}
	starts := o.held.starts
	o.held.starts = nil
	o.logger.Info("held starts sent", "starts", len(starts), "held_ms", time.Since(o.held.since).Milliseconds())
	o.sendStarts(starts)
}

// returnHeldStarts releases the runs of held starts at the end of the term.
func (o *owner) returnHeldStarts() {
	for _, start := range o.held.starts {
		o.sched.StartResult(o.now(), start.Run, scheduler.Refused)
	}
	o.held.starts = nil
}

// startLease returns the lease of a start that is sent now. An upstream refuses starts that
// arrive after their lease, so one that is delayed on the way, or by a pause of this process,
// is not executed when an evacuation or a smaller capacity has taken effect meanwhile. renew
// says that the lease is so short that it must be renewed at once.
func (o *owner) startLease() (lease time.Duration, renew bool) {
	lease = o.lease
	for _, v := range o.views() {
		lease = min(lease, v.window())
	}
	return lease, lease < o.lease/2
}
