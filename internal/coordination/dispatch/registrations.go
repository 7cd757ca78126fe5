package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// followUpstreams follows the upstream registrations until the term ends.
func (o *owner) followUpstreams(ctx context.Context) {
	next := int64(-1)
	readAt := time.Now()
	failing := false
	for ctx.Err() == nil {
		var batch port.Batch
		var err error
		full := next < 0
		sentAt, readFrom := o.clock(), o.now()
		if full {
			batch, err = port.ReadNewest(ctx, o.log, port.TopicUpstreams)
		} else {
			batch, err = o.log.Read(ctx, port.TopicUpstreams, next, registrationWait)
		}
		if errors.Is(err, port.ErrExpired) {
			next = -1
			continue
		}
		if err != nil {
			if !failing && ctx.Err() == nil {
				o.logger.Warn("registrations not readable", "from", next, "error", err)
			}
			failing = true
			o.wait(ctx, 100*time.Millisecond)
			continue
		}
		if failing {
			failing = false
			o.logger.Info("registrations readable again", "from", next)
		}
		next = batch.Next
		without := time.Since(readAt)
		readAt = time.Now()
		o.post(func() {
			o.noteLogReturn(without)
			o.applyRegistrations(batch, full)
			if batch.Next >= batch.End {
				o.registrationsAt = sentAt
				o.sched.RegistrationsRead(readFrom)
			}
		})
		if !full {
			o.wait(ctx, registrationGap)
		}
	}
}

const (
	// registrationWait is how long the log may hold a read of registrations open.
	registrationWait = time.Second
	// registrationGap is the minimum time between two reads of registrations.
	registrationGap = 50 * time.Millisecond
)

func (o *owner) wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// applyRegistrations processes a batch of registrations. A full batch lists all
// upstreams; those that it does not list are removed.
func (o *owner) applyRegistrations(batch port.Batch, full bool) {
	if full {
		o.sched.RegistrationsReloaded()
	}
	listed := map[workload.UpstreamID]bool{}
	for _, record := range o.listedFirst(batch.Records) {
		id := workload.UpstreamID(record.Key)
		if len(record.Value) == 0 {
			delete(o.invalid, id)
			o.removeUpstream(id)
			continue
		}
		reg, err := o.decoder.Upstream(record)
		if err != nil {
			o.rejectRegistration(id, record.Offset, err)
			continue
		}
		delete(o.invalid, id)
		listed[id] = true
		o.updateUpstream(reg)
	}
	if full {
		for id := range o.links {
			if !listed[id] {
				o.removeUpstream(id)
			}
		}
	}
}

// rejectRegistration processes a registration that can't be decoded. It names no upstream, so
// one with its ID is not used until a valid one is read. It is logged once until then.
func (o *owner) rejectRegistration(id workload.UpstreamID, offset int64, cause error) {
	if _, known := o.invalid[id]; !known {
		o.invalid[id] = struct{}{}
		o.logger.Warn("invalid upstream registration ignored", "upstream", id, "offset", offset, "error", cause)
	}
	if l := o.links[id]; l != nil { // it has not expired, so that nothing is deferred
		delete(o.expired, id)
		o.unlist(id, l)
	}
}

func (o *owner) updateUpstream(reg workload.Upstream) {
	delete(o.expired, reg.ID)
	l := o.links[reg.ID]
	isNew := l == nil
	if isNew {
		l = newLink()
		l.late = o.newLateCalls(reg.ID)
		_, l.withheld = o.leaseEnds.withheld[reg.ID]
		o.links[reg.ID] = l
	}
	old, had := o.sched.Registration(reg.ID)
	newest, restarted, deferred := l.register(port.Target{ID: reg.ID, Address: reg.Address}, reg.StartedUnixMS)
	if deferred {
		o.deferRegistration(l, reg, newest)
		return
	}
	l.later, reg.StartedUnixMS = nil, newest
	if restarted {
		l.wake()
	}
	if !had || old.Draining != reg.Draining || restarted {
		o.logger.Info("upstream registered", "upstream", reg.ID, "service", reg.Service, "address", reg.Address, "draining", reg.Draining, "born", reg.StartedUnixMS)
	}
	if change := o.sched.SetUpstream(o.now(), reg); change != nil {
		o.noteCapacity(change)
	}
	if isNew { // the first poll needs the address
		wait := o.scheduleFirstPoll(time.Now())
		o.spawn(func() {
			if o.sleep(o.ctx, nil, wait) {
				o.pollLoop(o.ctx, reg.ID, l)
			}
		})
	}
}

// deferRegistration keeps a registration that names a later incarnation than the one that answers
// polls, until that one is confirmed or the known one is lost: what it says is not true of the known
// one, whose announced leave it would hide. Only a smaller capacity applies at once, since starts
// may reach the later one.
func (o *owner) deferRegistration(l *link, reg workload.Upstream, known int64) {
	if l.later == nil || l.later.StartedUnixMS != reg.StartedUnixMS {
		o.logger.Info("registration names a later start than the upstream that answers; it is polled", "upstream", reg.ID, "born", reg.StartedUnixMS, "known", known)
	}
	l.later = &reg
	if change := o.sched.LimitCapacity(o.now(), reg.ID, reg.Capacity); change != nil {
		o.noteCapacity(change)
	}
	l.requestPoll()
}

// applyDeferred applies the deferred registration of an upstream, if any. It is deferred again if
// the known incarnation has answered meanwhile.
func (o *owner) applyDeferred(id workload.UpstreamID, l *link) {
	if current := o.links[id]; l.later != nil && (current == l || current == nil) {
		o.updateUpstream(*l.later)
	}
}

// removeUpstream processes the removal of an upstream from the platform's list.
func (o *owner) removeUpstream(id workload.UpstreamID) {
	l := o.links[id]
	if l == nil {
		return
	}
	if o.deferRemoval(id, l) {
		l.later = nil
		return
	}
	o.unlist(id, l)
}

// unlist removes an upstream from those that are used.
func (o *owner) unlist(id workload.UpstreamID, l *link) {
	l.later = nil
	o.sched.RemoveUpstream(id)
	o.logger.Info("upstream removed", "upstream", id)
	o.dropLinkIfUnknown(id, l)
}

// dropLinkIfUnknown stops polling an upstream that the scheduler has dropped, and reports whether
// it has. A deferred registration applies then: nothing else would apply it.
func (o *owner) dropLinkIfUnknown(id workload.UpstreamID, l *link) bool {
	if _, ok := o.sched.Registration(id); ok {
		return false
	}
	o.forgetLink(id, l)
	l.wake()
	delete(o.links, id)
	if later := l.later; later != nil {
		l.later = nil
		o.updateUpstream(*later)
	}
	return true
}
