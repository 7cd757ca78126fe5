package worker

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// MaxControlTasks is the maximum number of tasks in one Control call.
const MaxControlTasks = 1000

// Fence implements devplatform.Worker.
func (w *Worker) Fence(_ context.Context, req devplatform.FenceRequest) (devplatform.FenceReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if err := w.admitEpoch(req.Epoch); err != nil {
		return devplatform.FenceReply{}, err
	}
	reply := devplatform.FenceReply{
		VMID:        w.config.VMID,
		Incarnation: w.incarnation,
		Clock:       w.clock(),
		Capacity:    w.config.Capacity,
		LeaseUntil:  w.leaseUntil,
	}
	for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
		reply.Tasks = append(reply.Tasks, w.tasks[id].report())
	}
	return reply, nil
}

// Start implements devplatform.Worker. It runs a simulated task; see Payload.
func (w *Worker) Start(ctx context.Context, req devplatform.StartRequest) (devplatform.StartReply, error) {
	if req.Spec.TaskID == "" {
		return devplatform.StartReply{}, fmt.Errorf("%w: spec.task_id must be set", devplatform.ErrInvalid)
	}
	w.mu.Lock()
	t, err := w.begin(req, traceParent(ctx))
	restarted := w.restarted
	w.mu.Unlock()
	if err != nil {
		return devplatform.StartReply{}, err
	}
	if req.Wait {
		select {
		case <-t.done:
		case <-restarted:
			return devplatform.StartReply{}, devplatform.ErrUnavailable
		case <-ctx.Done():
			return devplatform.StartReply{}, devplatform.ErrUnavailable
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return devplatform.StartReply{Status: t.report(), Clock: w.clock()}, nil
}

// begin returns the task of a start request, which it creates unless the task ID is known.
func (w *Worker) begin(req devplatform.StartRequest, traceParent string) (*task, error) {
	w.advance()
	if err := w.admit(req.Incarnation, req.Epoch); err != nil {
		return nil, err
	}
	if t, known := w.tasks[req.Spec.TaskID]; known {
		w.renew(req.LeaseUntil)
		return t, nil
	}
	if w.faults.Leaving {
		return nil, devplatform.ErrLeaving
	}
	w.renew(req.LeaseUntil)
	now := w.clock()
	if w.leaseExpired(now) {
		return w.recordRefused(req.Spec, now), nil
	}
	t := &task{
		status:     devplatform.TaskStatus{Spec: req.Spec, State: devplatform.TaskRunning, StartedAt: now},
		epoch:      req.Epoch,
		startWaits: req.Wait,
		plan:       makePlan(req.Spec, w.faults, now),
		done:       make(chan struct{}),
	}
	w.tasks[t.id()] = t
	w.running[t.id()] = t
	t.run = w.journal.begin(w.newRun(t, traceParent))
	w.checkCapacity(t)
	w.advance()
	return t, nil
}

// recordRefused records a task as refused, so that it never runs on this incarnation.
func (w *Worker) recordRefused(spec devplatform.TaskSpec, now devplatform.WorkerClock) *task {
	t := &task{
		status: devplatform.TaskStatus{Spec: spec, State: devplatform.TaskRefused, StartedAt: now, EndedAt: now},
		done:   make(chan struct{}),
	}
	close(t.done)
	w.tasks[spec.TaskID] = t
	w.ended = append(w.ended, spec.TaskID)
	return t
}

// Sync implements devplatform.Worker. It returns early if Faults.Leaving changes, and fails
// if the worker restarts or is fenced while the call waits.
func (w *Worker) Sync(ctx context.Context, req devplatform.SyncRequest) (devplatform.SyncReply, error) {
	deadline := time.NewTimer(req.Wait)
	defer deadline.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if err := w.admit(req.Incarnation, req.Epoch); err != nil {
		return devplatform.SyncReply{}, err
	}
	w.renew(req.LeaseUntil)
	w.acknowledge(req.AckEvent)
	leavingChanges := w.leavingChanges
	for len(w.events) == 0 && leavingChanges == w.leavingChanges {
		if !w.await(ctx, deadline) {
			break
		}
		if err := w.checkCurrent(req.Incarnation, req.Epoch); err != nil {
			return devplatform.SyncReply{}, err
		}
	}
	w.advance()
	reply := devplatform.SyncReply{
		Incarnation: w.incarnation,
		Clock:       w.clock(),
		Events:      slices.Clone(w.events),
		Leaving:     w.faults.Leaving,
		Running:     len(w.running),
	}
	if !req.SkipUsage {
		reply.Usage = w.usage()
	}
	return reply, nil
}

// await releases the lock until a waiting Sync has to check again. It returns false if the
// deadline has passed or ctx has ended. The caller must hold mu.
func (w *Worker) await(ctx context.Context, deadline *time.Timer) bool {
	changed := w.changed
	w.mu.Unlock()
	defer w.mu.Lock()
	select {
	case <-changed:
		return true
	case <-deadline.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// Control implements devplatform.Worker.
func (w *Worker) Control(_ context.Context, req devplatform.ControlRequest) (devplatform.ControlReply, error) {
	if len(req.TaskIDs) > MaxControlTasks {
		return devplatform.ControlReply{}, fmt.Errorf("%w: task_ids holds %d, at most %d", devplatform.ErrInvalid, len(req.TaskIDs), MaxControlTasks)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if !validVerb(req.Verb) {
		return devplatform.ControlReply{}, fmt.Errorf("%w: verb %q is not known", devplatform.ErrInvalid, req.Verb)
	}
	if err := w.admit(req.Incarnation, req.Epoch); err != nil {
		return devplatform.ControlReply{}, err
	}
	reply := devplatform.ControlReply{}
	for _, id := range req.TaskIDs {
		reply.Tasks = append(reply.Tasks, w.apply(req.Verb, id))
	}
	reply.Clock = w.clock()
	w.resetTimer(reply.Clock)
	return reply, nil
}

func validVerb(verb devplatform.ControlVerb) bool {
	switch verb {
	case devplatform.VerbStop, devplatform.VerbCancel, devplatform.VerbCheckpoint, devplatform.VerbThrottle:
		return true
	}
	return false
}

// apply applies a verb to one task and returns the resulting state.
func (w *Worker) apply(verb devplatform.ControlVerb, id string) devplatform.TaskStatus {
	t, known := w.tasks[id]
	if !known && verb == devplatform.VerbCancel {
		return w.revokeStart(id)
	}
	if !known {
		return unknownTask(id)
	}
	if t.status.State != devplatform.TaskRunning {
		return t.report()
	}
	now := w.clock()
	if verb == devplatform.VerbThrottle {
		t.plan.endAt = now + 2*(t.plan.endAt-now)
	} else {
		w.finish(t, devplatform.TaskStopped, nil, now)
	}
	return t.report()
}

// revokeStart records a task whose start has not arrived as refused, so that a late start
// has no effect.
func (w *Worker) revokeStart(id string) devplatform.TaskStatus {
	if w.faults.Ignore.Revocations {
		return devplatform.TaskStatus{Spec: devplatform.TaskSpec{TaskID: id}, State: devplatform.TaskRefused}
	}
	return w.recordRefused(devplatform.TaskSpec{TaskID: id}, w.clock()).report()
}

// Inspect implements devplatform.Worker. The status includes the payload.
func (w *Worker) Inspect(_ context.Context, req devplatform.InspectRequest) (devplatform.StartReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	t, known := w.tasks[req.TaskID]
	if !known {
		return devplatform.StartReply{Status: unknownTask(req.TaskID), Clock: w.clock()}, nil
	}
	return devplatform.StartReply{Status: t.status, Clock: w.clock()}, nil
}

func unknownTask(id string) devplatform.TaskStatus {
	return devplatform.TaskStatus{Spec: devplatform.TaskSpec{TaskID: id}, State: devplatform.TaskUnknown}
}
