package owner

import (
	"context"
	"errors"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/machine"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// maxControlBatch is the most tasks in one Control call.
const maxControlBatch = 1000

// control is a verb that waits to be sent to the worker.
type control struct {
	task state.TaskID
	verb devplatform.ControlVerb
}

// enqueueControl adds a verb to those on their way to the worker. They are sent
// in batches by one goroutine at a time and repeated until the worker answers,
// the upstream is dropped or its lease lapses.
func (u *upstream) enqueueControl(ctx context.Context, c control) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pending = append(u.pending, c)
	if u.controlling {
		return
	}
	u.controlling = true
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
		u.putBack(batch)
		sleep(ctx, delays.NextBackOff())
	}
}

// nextBatch takes the longest run of pending verbs that are alike.
func (u *upstream) nextBatch() []control {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for n < len(u.pending) && n < maxControlBatch && u.pending[n].verb == u.pending[0].verb {
		n++
	}
	batch := u.pending[:n]
	u.pending = u.pending[n:]
	if n == 0 {
		u.controlling = false
	}
	return batch
}

func (u *upstream) putBack(batch []control) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pending = append(append([]control{}, batch...), u.pending...)
}

// sendBatch reports whether the batch is settled: answered, or pointless
// because a newer owner or a new incarnation has taken the worker over.
func (u *upstream) sendBatch(ctx context.Context, batch []control) bool {
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
		u.reportControls(batch, reply.Tasks)
		return true
	case errors.As(err, &fenced):
		u.shard.fencedBy(fenced)
		return true
	case errors.Is(err, devplatform.ErrWrongIncarnation):
		return true
	}
	return false
}

func (u *upstream) reportControls(batch []control, statuses []devplatform.TaskStatus) {
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

// resolve asks the worker what became of a task until it answers.
func (u *upstream) resolve(ctx context.Context, task state.TaskID) {
	delays := newBackoff()
	for ctx.Err() == nil {
		reply, err := u.inspect(ctx, string(task))
		if err == nil {
			status := reply.Status
			status.Spec.TaskID = string(task)
			u.shard.send(u.outcome(machine.Start{Task: task}, status))
			return
		}
		sleep(ctx, delays.NextBackOff())
	}
}
