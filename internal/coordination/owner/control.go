package owner

import (
	"context"
	"errors"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/machine"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// maxControlBatch is the maximum number of tasks in one Control call.
const maxControlBatch = 1000

// pendingControl is a control command that waits to be sent to the worker.
type pendingControl struct {
	task state.TaskID
	verb devplatform.ControlVerb
}

// enqueueControl queues a command for the worker. Commands are sent in batches by one
// goroutine at a time and retried until the worker answers or ctx ends.
func (u *upstream) enqueueControl(ctx context.Context, c pendingControl) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pending = append(u.pending, c)
	if u.sendingControls {
		return
	}
	u.sendingControls = true
	u.shard.spawn(func() { u.sendControls(ctx) })
}

func (u *upstream) sendControls(ctx context.Context) {
	delays := newBackoff()
	for ctx.Err() == nil {
		batch := u.nextBatch()
		if len(batch) == 0 {
			return
		}
		if u.sendBatch(ctx, batch) {
			delays.Reset()
			continue
		}
		u.requeueBatch(batch)
		sleep(ctx, delays.NextBackOff())
	}
}

// nextBatch dequeues the longest run of commands with the same verb, up to
// maxControlBatch.
func (u *upstream) nextBatch() []pendingControl {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for n < len(u.pending) && n < maxControlBatch && u.pending[n].verb == u.pending[0].verb {
		n++
	}
	batch := u.pending[:n]
	u.pending = u.pending[n:]
	if n == 0 {
		u.sendingControls = false
	}
	return batch
}

func (u *upstream) requeueBatch(batch []pendingControl) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pending = append(append([]pendingControl{}, batch...), u.pending...)
}

// sendBatch sends a batch and reports whether it is done: the worker answered, or the
// commands no longer apply because the worker has a newer owner or a new incarnation.
func (u *upstream) sendBatch(ctx context.Context, batch []pendingControl) bool {
	callCtx, cancel := context.WithTimeout(ctx, u.shard.cfg.Timing.Call)
	defer cancel()
	req := devplatform.ControlRequest{Epoch: u.shard.cfg.Epoch, Incarnation: u.currentIncarnation(), Verb: batch[0].verb}
	for _, c := range batch {
		req.TaskIDs = append(req.TaskIDs, string(c.task))
	}
	reply, err := u.worker.Control(callCtx, req)
	var fenced *devplatform.FencedError
	switch {
	case err == nil:
		u.clock.observe(reply.Clock, time.Now())
		u.handleControlReply(batch, reply.Tasks)
		return true
	case errors.As(err, &fenced):
		u.shard.fencedBy(fenced)
		return true
	case errors.Is(err, devplatform.ErrWrongIncarnation):
		return true
	}
	return false
}

func (u *upstream) handleControlReply(batch []pendingControl, statuses []devplatform.TaskStatus) {
	for i, status := range statuses {
		if i >= len(batch) {
			return
		}
		status.Spec.TaskID = string(batch[i].task)
		if status.State.Ended() {
			u.shard.send(endedEvent(status))
		}
		if status.State == devplatform.TaskRunning && batch[i].verb == devplatform.VerbThrottle {
			u.shard.send(machine.Started{Task: batch[i].task})
		}
	}
}

// resolve queries the state of a task whose start is unconfirmed, with retries until
// the worker answers or ctx ends.
func (u *upstream) resolve(ctx context.Context, task state.TaskID) {
	delays := newBackoff()
	for ctx.Err() == nil {
		reply, err := u.inspect(ctx, string(task))
		if err == nil {
			status := reply.Status
			status.Spec.TaskID = string(task)
			u.shard.send(u.startEvent(machine.Start{Task: task}, status))
			return
		}
		sleep(ctx, delays.NextBackOff())
	}
}
