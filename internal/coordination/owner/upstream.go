package owner

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/machine"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// silentAfter is the number of Syncs in a row without an answer after which an
// upstream counts as silent.
const silentAfter = 2

// probedSyncWait is the longest time that a probed worker may hold a Sync. It is
// shorter than ownership's ContactBound, so that a probe by another entry finds
// a recent contact while the owner lives.
const probedSyncWait = time.Second

// usageInterval is the least time between two reports of usage by one worker.
const usageInterval = 30 * time.Second

// upstream is the owner's link to one worker: it fences it, renews its lease
// and brings its news. One goroutine runs it; others start and stop tasks
// through it.
type upstream struct {
	shard  *Shard
	info   Upstream
	worker devplatform.Worker
	clock  leaseClock
	cancel context.CancelFunc

	mu          sync.Mutex
	incarnation string
	pending     []control
	controlling bool

	// probed workers are those that other entries ask for the newest epoch.
	probed atomic.Bool

	// The fields below belong to the goroutine of run.
	fenced   bool
	silent   bool
	lapsed   bool
	leaving  bool
	failures int
	ackEvent int64
	// usageAt is when the worker last reported usage; zero when it never did.
	usageAt time.Time
}

func newUpstream(s *Shard, info Upstream) *upstream {
	return &upstream{shard: s, info: info, worker: s.cfg.Dial(info.Address)}
}

// newBackoff returns the delays between attempts to reach a worker.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 50 * time.Millisecond
	b.MaxInterval = 2 * time.Second
	return b
}

// run fences the worker and then syncs with it until ctx ends.
func (u *upstream) run(ctx context.Context) {
	delays := newBackoff()
	for ctx.Err() == nil {
		if u.step(ctx) {
			delays.Reset()
			continue
		}
		u.checkLapse()
		sleep(ctx, delays.NextBackOff())
	}
}

// step makes one call to the worker and reports whether it was answered.
func (u *upstream) step(ctx context.Context) bool {
	if !u.fenced {
		return u.fence(ctx)
	}
	return u.sync(ctx)
}

// fence raises the worker's epoch. A worker that was restarted has forgotten the
// epochs that it saw, so an owner that was fenced elsewhere, or that has been
// paused, must not fence again.
func (u *upstream) fence(ctx context.Context) bool {
	if !u.shard.mayFence() {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, u.shard.cfg.Timing.Call)
	defer cancel()
	reply, err := u.worker.Fence(callCtx, devplatform.FenceRequest{Epoch: u.shard.cfg.Epoch})
	if err != nil {
		u.failed(ctx, err)
		return false
	}
	if reply.VMID != string(u.info.VM) {
		u.shard.log.Warn("address belongs to another VM", "vm", u.info.VM, "address", u.info.Address, "found", reply.VMID)
		return false
	}
	u.clock.reset(reply.Clock, reply.LeaseUntil, time.Now())
	u.setIncarnation(reply.Incarnation)
	u.ackEvent = 0
	u.fenced, u.lapsed, u.silent, u.failures = true, false, false, 0
	u.shard.send(u.fencedEvent(reply))
	return true
}

func (u *upstream) fencedEvent(reply devplatform.FenceReply) machine.Fenced {
	ev := machine.Fenced{VM: u.info.VM, Incarnation: reply.Incarnation, Capacity: CapacityVector(reply.Capacity)}
	now, wall := u.shard.now(), time.Now()
	for _, status := range reply.Tasks {
		task, err := adopt(status, now, wall)
		if err != nil {
			u.shard.log.Error("can't read a task's labels", "vm", u.info.VM, "task", status.Spec.TaskID, "error", err)
		}
		ev.Tasks = append(ev.Tasks, task)
	}
	return ev
}

func (u *upstream) sync(ctx context.Context) bool {
	req := u.syncRequest()
	callCtx, cancel := context.WithTimeout(ctx, req.Wait+u.shard.cfg.Timing.Call)
	defer cancel()
	reply, err := u.worker.Sync(callCtx, req)
	if err != nil {
		u.failed(ctx, err)
		return false
	}
	u.failures = 0
	u.clock.observe(reply.Clock, time.Now())
	if u.lapsed {
		u.fenced = false
		return true
	}
	if u.silent {
		u.silent = false
		u.shard.send(machine.UpstreamBack{VM: u.info.VM})
	}
	u.deliver(reply)
	return true
}

// syncWait is how long the worker may hold the next Sync.
func (u *upstream) syncWait() time.Duration {
	longest := u.shard.cfg.Timing.SyncWait
	if u.probed.Load() {
		return min(longest, probedSyncWait)
	}
	return longest
}

// syncRequest renews the lease of a worker that answers. One that does not is
// only asked for a sign of life: a renewal whose answer is lost may have
// arrived, so that its lease would never be known to have lapsed.
func (u *upstream) syncRequest() devplatform.SyncRequest {
	timing := u.shard.cfg.Timing
	req := devplatform.SyncRequest{
		Epoch:       u.shard.cfg.Epoch,
		Incarnation: u.currentIncarnation(),
		AckEvent:    u.ackEvent,
		SkipUsage:   time.Since(u.usageAt) < usageInterval,
	}
	if u.failures > 0 {
		req.LeaseUntil = u.clock.unchanged()
		return req
	}
	req.LeaseUntil = u.clock.extend(timing.Lease, time.Now())
	req.Wait = u.syncWait()
	return req
}

func (u *upstream) deliver(reply devplatform.SyncReply) {
	for _, ev := range reply.Events {
		u.ackEvent = max(u.ackEvent, ev.Sequence)
		u.shard.send(endedEvent(ev.Status))
	}
	if len(reply.Usage) > 0 {
		u.usageAt = time.Now()
		u.shard.send(usageEvent(u.info.VM, reply.Usage))
	}
	if reply.Leaving && !u.leaving {
		u.leaving = true
		u.shard.send(machine.UpstreamLeaving{VM: u.info.VM})
	}
}

func endedEvent(status devplatform.TaskStatus) machine.Ended {
	return machine.Ended{
		Task:   state.TaskID(status.Spec.TaskID),
		End:    endOf(status.State),
		Output: status.Output,
		Ran:    time.Duration(status.EndedAt - status.StartedAt),
	}
}

func usageEvent(vm state.VMID, usage []devplatform.TaskUsage) machine.Usage {
	ev := machine.Usage{VM: vm}
	for _, t := range usage {
		ev.Tasks = append(ev.Tasks, machine.TaskUsage{Task: state.TaskID(t.TaskID), Used: usageVector(t.Resources)})
	}
	return ev
}

// failed takes in an error of Fence or Sync.
func (u *upstream) failed(ctx context.Context, err error) {
	var fenced *devplatform.FencedError
	switch {
	case ctx.Err() != nil:
		return
	case errors.As(err, &fenced):
		u.shard.fencedBy(fenced)
		return
	case errors.Is(err, devplatform.ErrWrongIncarnation):
		u.fenced = false
		return
	}
	u.failures++
	if u.failures >= silentAfter && !u.silent {
		u.silent = true
		u.shard.log.Warn("upstream does not answer", "vm", u.info.VM, "address", u.info.Address, "error", err)
		u.shard.send(machine.UpstreamSilent{VM: u.info.VM})
	}
}

// checkLapse tells the machine once when the worker's lease has ended for
// certain.
func (u *upstream) checkLapse() {
	if u.lapsed || !u.fenced || !u.clock.lapsed(time.Now()) {
		return
	}
	u.lapsed = true
	u.shard.log.Warn("lease lapsed", "vm", u.info.VM)
	u.shard.send(machine.LeaseLapsed{VM: u.info.VM})
}

func (u *upstream) setIncarnation(incarnation string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.incarnation = incarnation
}

func (u *upstream) currentIncarnation() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.incarnation
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
