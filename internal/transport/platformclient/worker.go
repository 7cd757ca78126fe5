package platformclient

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// Worker is a client of one worker. It is safe for concurrent use.
type Worker struct{ client *httpClient }

var _ devplatform.Worker = (*Worker)(nil)

// NewWorker returns a client of the worker at an address (IP:port).
func NewWorker(address string, options Options) *Worker {
	return &Worker{client: newHTTPClient([]string{address}, options)}
}

// Close closes the idle connections.
func (w *Worker) Close() { w.client.close() }

// Fence implements devplatform.Worker.
func (w *Worker) Fence(ctx context.Context, req devplatform.FenceRequest) (devplatform.FenceReply, error) {
	return post[devplatform.FenceReply](ctx, w.client, "worker.fence", devplatform.PathFence, req, w.client.options.Timeout)
}

// Sync implements devplatform.Worker.
func (w *Worker) Sync(ctx context.Context, req devplatform.SyncRequest) (devplatform.SyncReply, error) {
	return post[devplatform.SyncReply](ctx, w.client, "worker.sync", devplatform.PathSync, req, w.client.options.Timeout+req.Wait)
}

// Control implements devplatform.Worker.
func (w *Worker) Control(ctx context.Context, req devplatform.ControlRequest) (devplatform.ControlReply, error) {
	return post[devplatform.ControlReply](ctx, w.client, "worker.control", devplatform.PathControl, req, w.client.options.Timeout)
}

// Inspect implements devplatform.Worker.
func (w *Worker) Inspect(ctx context.Context, req devplatform.InspectRequest) (devplatform.StartReply, error) {
	return post[devplatform.StartReply](ctx, w.client, "worker.inspect", devplatform.PathInspect, req, w.client.options.Timeout)
}

// Start implements devplatform.Worker. A start with Wait set may get its reply long
// after the request, without a timeout. To detect a connection that no longer responds,
// Start inspects the task at intervals of Options.Timeout on another connection.
func (w *Worker) Start(ctx context.Context, req devplatform.StartRequest) (devplatform.StartReply, error) {
	if !req.Wait {
		return w.start(ctx, req, w.client.options.Timeout)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var found atomic.Pointer[devplatform.StartReply]
	timer := time.AfterFunc(w.client.options.Timeout, func() {
		found.Store(w.awaitEnd(ctx, req.Spec.TaskID))
		cancel()
	})
	defer timer.Stop()
	reply, err := w.start(ctx, req, 0)
	inspected := found.Load()
	if err != nil && inspected != nil && inspected.Status.State.Ended() {
		return *inspected, nil
	}
	return reply, err
}

// awaitEnd inspects a task at intervals of Options.Timeout until it is not running and
// returns the last reply. It returns nil when ctx ends first.
func (w *Worker) awaitEnd(ctx context.Context, taskID string) *devplatform.StartReply {
	for {
		reply, err := w.Inspect(ctx, devplatform.InspectRequest{TaskID: taskID})
		if err == nil && reply.Status.State != devplatform.TaskRunning {
			return &reply
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(w.client.options.Timeout):
		}
	}
}

func (w *Worker) start(ctx context.Context, req devplatform.StartRequest, timeout time.Duration) (devplatform.StartReply, error) {
	return post[devplatform.StartReply](ctx, w.client, "worker.start", devplatform.PathStart, req, timeout)
}

// post makes a POST call with a JSON body and decodes its reply.
func post[Reply any](ctx context.Context, c *httpClient, name, path string, body any, timeout time.Duration) (Reply, error) {
	var reply Reply
	_, err := c.do(ctx, call{name: name, method: http.MethodPost, path: path, body: body, timeout: timeout}, &reply)
	return reply, err
}
