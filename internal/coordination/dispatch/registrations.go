package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// followUpstreams keeps the registrations until the term ends.
func (o *owner) followUpstreams(ctx context.Context) {
	next := int64(-1)
	for ctx.Err() == nil {
		var batch port.Batch
		var err error
		full := next < 0
		callCtx, cancel := context.WithTimeout(ctx, registrationTimeout)
		if full {
			batch, err = o.log.Newest(callCtx, port.TopicUpstreams)
		} else {
			batch, err = o.log.Read(callCtx, port.TopicUpstreams, next, registrationWait)
		}
		cancel()
		if errors.Is(err, port.ErrExpired) {
			next = -1
			continue
		}
		if err != nil {
			o.wait(ctx, 100*time.Millisecond)
			continue
		}
		next = batch.Next
		o.post(func() { o.registrations(batch, full) })
		if !full {
			o.wait(ctx, registrationGap)
		}
	}
}

const (
	// registrationWait is how long the log may hold a read of registrations.
	registrationWait = time.Second
	// registrationTimeout bounds such a read and a full load.
	registrationTimeout = 3 * time.Second
	// registrationGap is the least time between two reads of registrations.
	registrationGap = 50 * time.Millisecond
)

func (o *owner) wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// registrations takes in a batch of registrations.
func (o *owner) registrations(batch port.Batch, full bool) {
	seen := map[workload.UpstreamID]bool{}
	for _, record := range batch.Records {
		id := workload.UpstreamID(record.Key)
		if len(record.Value) == 0 {
			o.removed(id)
			continue
		}
		reg, err := o.decoder.Upstream(record)
		if err != nil {
			o.logger.Warn("registration left aside", "upstream", id, "offset", record.Offset, "error", err)
			continue
		}
		seen[id] = true
		o.registered(reg)
	}
	if full {
		for id := range o.links {
			if !seen[id] {
				o.removed(id)
			}
		}
	}
}

func (o *owner) registered(reg workload.Upstream) {
	l := o.links[reg.ID]
	if l == nil {
		l = newLink()
		o.links[reg.ID] = l
		o.group.Go(func() { o.lookAll(o.ctx, reg.ID, l) })
	}
	old, had := o.sched.Registration(reg.ID)
	l.mu.Lock()
	l.target = port.Target{ID: reg.ID, Address: reg.Address}
	newLife := l.bornUnixMS != 0 && reg.BornUnixMS > l.bornUnixMS
	if l.bornUnixMS > reg.BornUnixMS {
		reg.BornUnixMS = l.bornUnixMS
	}
	l.bornUnixMS = reg.BornUnixMS
	l.mu.Unlock()
	if newLife {
		l.forgetLife()
		l.wake()
	}
	if !had || old.Draining != reg.Draining || newLife {
		o.logger.Info("upstream registered", "upstream", reg.ID, "service", reg.Service, "address", reg.Address, "draining", reg.Draining, "born", reg.BornUnixMS)
	}
	o.sched.SetUpstream(o.now(), reg)
}

// removed takes in that the platform's list has dropped an upstream.
func (o *owner) removed(id workload.UpstreamID) {
	l := o.links[id]
	if l == nil {
		return
	}
	o.sched.RemoveUpstream(id)
	o.logger.Info("upstream removed", "upstream", id)
	o.dropLinkIfGone(id, l)
}

// dropLinkIfGone ends the looks at an upstream that the scheduler has forgotten.
func (o *owner) dropLinkIfGone(id workload.UpstreamID, l *link) {
	if _, ok := o.sched.Registration(id); ok {
		return
	}
	l.mu.Lock()
	l.removed = true
	l.mu.Unlock()
	l.wake()
	delete(o.links, id)
}
