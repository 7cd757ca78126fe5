package platformclient

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/samphirerail/samphirerail/platform"
)

// Worker is the client of one worker.
type Worker struct{ caller *caller }

var _ platform.Worker = (*Worker)(nil)

// NewWorker returns a client of the worker at an address (IP:port).
func NewWorker(address string, options Options) *Worker {
	return &Worker{caller: newCaller([]string{address}, options)}
}

// Close drops the idle connections.
func (w *Worker) Close() { w.caller.close() }

// Fence implements platform.Worker.
func (w *Worker) Fence(ctx context.Context, req platform.FenceRequest) (platform.FenceReply, error) {
	return post[platform.FenceReply](ctx, w.caller, "worker.fence", platform.PathFence, req, w.caller.options.Timeout)
}

// Sync implements platform.Worker.
func (w *Worker) Sync(ctx context.Context, req platform.SyncRequest) (platform.SyncReply, error) {
	return post[platform.SyncReply](ctx, w.caller, "worker.sync", platform.PathSync, req, w.caller.options.Timeout+req.Wait)
}

// Control implements platform.Worker.
func (w *Worker) Control(ctx context.Context, req platform.ControlRequest) (platform.ControlReply, error) {
	return post[platform.ControlReply](ctx, w.caller, "worker.control", platform.PathControl, req, w.caller.options.Timeout)
}

// Inspect implements platform.Worker.
func (w *Worker) Inspect(ctx context.Context, req platform.InspectRequest) (platform.StartReply, error) {
	return post[platform.StartReply](ctx, w.caller, "worker.inspect", platform.PathInspect, req, w.caller.options.Timeout)
}

// Start implements platform.Worker. A start that waits may be held for long, so
// a connection that has gone silent is found by inspecting the task at
// intervals on another connection.
func (w *Worker) Start(ctx context.Context, req platform.StartRequest) (platform.StartReply, error) {
	if !req.Wait {
		return w.start(ctx, req, w.caller.options.Timeout)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var found atomic.Pointer[platform.StartReply]
	watch := time.AfterFunc(w.caller.options.Timeout, func() {
		found.Store(w.awaitEnd(ctx, req.Spec.TaskID))
		cancel()
	})
	defer watch.Stop()
	reply, err := w.start(ctx, req, 0)
	inspected := found.Load()
	if err != nil && inspected != nil && inspected.Status.State.Ended() {
		return *inspected, nil
	}
	return reply, err
}

// awaitEnd inspects a task until it runs no more. It returns nil when ctx ends
// first.
func (w *Worker) awaitEnd(ctx context.Context, taskID string) *platform.StartReply {
	for {
		reply, err := w.Inspect(ctx, platform.InspectRequest{TaskID: taskID})
		if err == nil && reply.Status.State != platform.TaskRunning {
			return &reply
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(w.caller.options.Timeout):
		}
	}
}

func (w *Worker) start(ctx context.Context, req platform.StartRequest, timeout time.Duration) (platform.StartReply, error) {
	return post[platform.StartReply](ctx, w.caller, "worker.start", platform.PathStart, req, timeout)
}

// post makes a call with a JSON body.
func post[Reply any](ctx context.Context, c *caller, name, path string, body any, timeout time.Duration) (Reply, error) {
	var reply Reply
	_, err := c.do(ctx, call{name: name, method: http.MethodPost, path: path, body: body, timeout: timeout}, &reply)
	return reply, err
}
