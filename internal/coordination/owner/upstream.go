package owner

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/machine"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// unreachableAfter is the number of consecutive failed calls after which an upstream
// is reported as not responding.
const unreachableAfter = 2

// probedSyncWait is the longest time for which a probed worker may delay its answer
// to a Sync. It is shorter than ownership's ContactBound, so that a probe by another
// entry finds a recent contact while the owner is alive.
const probedSyncWait = time.Second

// usageInterval is the minimum time between two usage reports of one worker.
const usageInterval = 30 * time.Second

// upstream is the owner's connection to one worker: it fences the worker, renews its
// lease and forwards its events to the machine. One goroutine runs it; others start
// and stop tasks through it.
type upstream struct {
	shard  *Shard
	info   Upstream
	worker devplatform.Worker
	clock  leaseClock
	cancel context.CancelFunc

	mu              sync.Mutex
	incarnation     string
	pending         []pendingControl
	sendingControls bool

	// probed says that other entries ask this worker for its newest epoch.
	probed atomic.Bool

	// The fields below are accessed by the goroutine of run only.
	fenced       bool
	unreachable  bool
	leaseExpired bool
	leaving      bool
	failures     int
	ackEvent     int64
	// usageAt is the time of the worker's last usage report; zero before the first.
	usageAt time.Time
}

func newUpstream(s *Shard, info Upstream) *upstream {
	return &upstream{shard: s, info: info, worker: s.cfg.Dial(info.Address)}
}

// newBackoff returns the backoff between failed calls to a worker.
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
		if u.callOnce(ctx) {
			delays.Reset()
			continue
		}
		u.checkLeaseExpiry()
		sleep(ctx, delays.NextBackOff())
	}
}

// callOnce makes one call to the worker, Fence or Sync, and reports whether it
// succeeded.
func (u *upstream) callOnce(ctx context.Context) bool {
	if !u.fenced {
		return u.fence(ctx)
	}
	return u.sync(ctx)
}

// fence raises the worker's epoch. A worker loses its epoch when it restarts, so an
// owner that was fenced by another worker, or that has been paused, must not fence
// again: it could take the worker from a newer owner.
func (u *upstream) fence(ctx context.Context) bool {
	if !u.shard.mayFence() {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, u.shard.cfg.Timing.Call)
	defer cancel()
	reply, err := u.worker.Fence(callCtx, devplatform.FenceRequest{Epoch: u.shard.cfg.Epoch})
	if err != nil {
		u.handleCallError(ctx, err)
		return false
	}
	if reply.VMID != string(u.info.VM) {
		u.shard.log.Warn("worker at this address belongs to another VM; not using it", "vm", u.info.VM, "address", u.info.Address, "found", reply.VMID)
		return false
	}
	u.clock.reset(reply.Clock, reply.LeaseUntil, time.Now())
	u.setIncarnation(reply.Incarnation)
	u.ackEvent = 0
	u.fenced, u.leaseExpired, u.unreachable, u.failures = true, false, false, 0
	u.shard.send(u.fencedEvent(reply))
	return true
}

func (u *upstream) fencedEvent(reply devplatform.FenceReply) machine.Fenced {
	ev := machine.Fenced{VM: u.info.VM, Incarnation: reply.Incarnation, Capacity: CapacityVector(reply.Capacity)}
	now, wall := u.shard.now(), time.Now()
	for _, status := range reply.Tasks {
		task, err := adopt(status, now, wall)
		if err != nil {
			u.shard.log.Error("cannot decode the labels of a task", "vm", u.info.VM, "task", status.Spec.TaskID, "error", err)
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
		u.handleCallError(ctx, err)
		return false
	}
	u.failures = 0
	u.clock.observe(reply.Clock, time.Now())
	if u.leaseExpired {
		u.fenced = false
		return true
	}
	if u.unreachable {
		u.unreachable = false
		u.shard.send(machine.UpstreamReachable{VM: u.info.VM})
	}
	u.handleSyncReply(reply)
	return true
}

// syncWait returns how long the worker may delay its answer to the next Sync when it
// has nothing to report.
func (u *upstream) syncWait() time.Duration {
	longest := u.shard.cfg.Timing.SyncWait
	if u.probed.Load() {
		return min(longest, probedSyncWait)
	}
	return longest
}

// syncRequest returns the next request, which renews the lease if the last call was
// answered. After a failed call it does not renew: a renewal may arrive although its
// answer is lost, and the owner could then never conclude that the lease has expired.
func (u *upstream) syncRequest() devplatform.SyncRequest {
	timing := u.shard.cfg.Timing
	req := devplatform.SyncRequest{
		Epoch:       u.shard.cfg.Epoch,
		Incarnation: u.currentIncarnation(),
		AckEvent:    u.ackEvent,
		SkipUsage:   time.Since(u.usageAt) < usageInterval,
	}
	if u.failures > 0 {
		req.LeaseUntil = u.clock.latestRequested()
		return req
	}
	req.LeaseUntil = u.clock.extend(timing.Lease, time.Now())
	req.Wait = u.syncWait()
	return req
}

func (u *upstream) handleSyncReply(reply devplatform.SyncReply) {
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
		End:    taskEnd(status.State),
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

// handleCallError handles an error of Fence or Sync.
func (u *upstream) handleCallError(ctx context.Context, err error) {
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
	closed := u.failures == 1 && port.ConnectionClosed(err)
	if (closed || u.failures >= unreachableAfter) && !u.unreachable {
		u.unreachable = true
		u.shard.log.Warn("upstream is not responding", "vm", u.info.VM, "address", u.info.Address, "closed", closed, "error", err)
		u.shard.send(machine.UpstreamUnreachable{VM: u.info.VM, Closed: closed})
	}
}

// checkLeaseExpiry reports to the machine, once, that the worker's lease has certainly
// expired.
func (u *upstream) checkLeaseExpiry() {
	if u.leaseExpired || !u.fenced || !u.clock.expired(time.Now()) {
		return
	}
	u.leaseExpired = true
	u.shard.log.Warn("lease of upstream expired", "vm", u.info.VM)
	u.shard.send(machine.LeaseExpired{VM: u.info.VM})
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
