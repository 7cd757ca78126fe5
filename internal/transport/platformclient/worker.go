package platformclient

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// Worker is the client of one worker.
type Worker struct{ caller *caller }

var _ devplatform.Worker = (*Worker)(nil)

// NewWorker returns a client of the worker at an address (IP:port).
func NewWorker(address string, options Options) *Worker {
	return &Worker{caller: newCaller([]string{address}, options)}
}

// Close drops the idle connections.
func (w *Worker) Close() { w.caller.close() }

// Fence implements devplatform.Worker.
func (w *Worker) Fence(ctx context.Context, req devplatform.FenceRequest) (devplatform.FenceReply, error) {
	return post[devplatform.FenceReply](ctx, w.caller, "worker.fence", devplatform.PathFence, req, w.caller.options.Timeout)
}

// Sync implements devplatform.Worker.
func (w *Worker) Sync(ctx context.Context, req devplatform.SyncRequest) (devplatform.SyncReply, error) {
	return post[devplatform.SyncReply](ctx, w.caller, "worker.sync", devplatform.PathSync, req, w.caller.options.Timeout+req.Wait)
}

// Control implements devplatform.Worker.
func (w *Worker) Control(ctx context.Context, req devplatform.ControlRequest) (devplatform.ControlReply, error) {
	return post[devplatform.ControlReply](ctx, w.caller, "worker.control", devplatform.PathControl, req, w.caller.options.Timeout)
}

// Inspect implements devplatform.Worker.
func (w *Worker) Inspect(ctx context.Context, req devplatform.InspectRequest) (devplatform.StartReply, error) {
	return post[devplatform.StartReply](ctx, w.caller, "worker.inspect", devplatform.PathInspect, req, w.caller.options.Timeout)
}

// Start implements devplatform.Worker. A start that waits may be held for long, so
// a connection that has gone silent is found by inspecting the task at
// intervals on another connection.
func (w *Worker) Start(ctx context.Context, req devplatform.StartRequest) (devplatform.StartReply, error) {
	if !req.Wait {
		return w.start(ctx, req, w.caller.options.Timeout)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var found atomic.Pointer[devplatform.StartReply]
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
func (w *Worker) awaitEnd(ctx context.Context, taskID string) *devplatform.StartReply {
	for {
		reply, err := w.Inspect(ctx, devplatform.InspectRequest{TaskID: taskID})
		if err == nil && reply.Status.State != devplatform.TaskRunning {
			return &reply
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(w.caller.options.Timeout):
		}
	}
}

func (w *Worker) start(ctx context.Context, req devplatform.StartRequest, timeout time.Duration) (devplatform.StartReply, error) {
	return post[devplatform.StartReply](ctx, w.caller, "worker.start", devplatform.PathStart, req, timeout)
}

// post makes a call with a JSON body.
func post[Reply any](ctx context.Context, c *caller, name, path string, body any, timeout time.Duration) (Reply, error) {
	var reply Reply
	_, err := c.do(ctx, call{name: name, method: http.MethodPost, path: path, body: body, timeout: timeout}, &reply)
	return reply, err
}
