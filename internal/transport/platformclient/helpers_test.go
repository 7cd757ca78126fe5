package platformclient

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/samphirerail/samphirerail/standin"
	"github.com/samphirerail/samphirerail/standin/devplatform"
	"github.com/samphirerail/samphirerail/standin/worker"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// serve serves a stand-in on loopback until the test ends.
func serve(t *testing.T, handler standin.Handler) *standin.Server {
	t.Helper()
	server, err := standin.Listen("127.0.0.1:0", handler)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Kill)
	return server
}

// workerHarness is a worker stand-in with a client that has fenced it.
type workerHarness struct {
	t      *testing.T
	is     *is.I
	ctx    context.Context
	worker *worker.Worker
	server *standin.Server
	client *Worker
	epoch  devplatform.Epoch
	fence  devplatform.FenceReply
}

func newWorkerHarness(t *testing.T, config worker.Config, options Options) *workerHarness {
	t.Helper()
	r := &workerHarness{t: t, is: is.New(t), ctx: t.Context(), epoch: devplatform.Epoch{Number: 1, Owner: "a/1"}}
	config.VMID = "vm-1"
	if config.Capacity == (devplatform.Capacity{}) {
		config.Capacity = devplatform.Capacity{
			Resources: devplatform.Resources{CPUMilli: 32000, MemoryMB: 64000}, Slots: 8, Connections: 64,
		}
	}
	r.worker = worker.New(config)
	t.Cleanup(r.worker.Close)
	r.server = serve(t, r.worker)
	r.client = NewWorker(r.server.Address(), options)
	t.Cleanup(r.client.Close)
	r.fenceWorker()
	return r
}

// fenceWorker fences the worker with the epoch of the harness.
func (r *workerHarness) fenceWorker() {
	r.t.Helper()
	reply, err := r.client.Fence(r.ctx, devplatform.FenceRequest{Epoch: r.epoch})
	r.is.NoErr(err)
	r.fence = reply
}

// leaseEnd returns the end of a lease of duration d from now, on the worker's clock.
func (r *workerHarness) leaseEnd(d time.Duration) devplatform.WorkerClock {
	r.t.Helper()
	reply, err := r.client.Inspect(r.ctx, devplatform.InspectRequest{TaskID: "clock"})
	r.is.NoErr(err)
	return reply.Clock + devplatform.WorkerClock(d)
}

func (r *workerHarness) start(id, payload string, lease time.Duration, wait bool) (devplatform.StartReply, error) {
	r.t.Helper()
	return r.client.Start(r.ctx, devplatform.StartRequest{
		Epoch: r.epoch, Incarnation: r.fence.Incarnation, LeaseUntil: r.leaseEnd(lease), Wait: wait,
		Spec: devplatform.TaskSpec{TaskID: id, JobID: "job-" + id, Team: "braid", Class: "request", Payload: []byte(payload)},
	})
}

func (r *workerHarness) sync(until devplatform.WorkerClock, ack int64, wait time.Duration) (devplatform.SyncReply, error) {
	return r.client.Sync(r.ctx, devplatform.SyncRequest{
		Epoch: r.epoch, Incarnation: r.fence.Incarnation, LeaseUntil: until, AckEvent: ack, Wait: wait,
	})
}

func (r *workerHarness) control(verb devplatform.ControlVerb, ids ...string) (devplatform.ControlReply, error) {
	return r.client.Control(r.ctx, devplatform.ControlRequest{
		Epoch: r.epoch, Incarnation: r.fence.Incarnation, Verb: verb, TaskIDs: ids,
	})
}

// state returns the state of a task as the worker reports it.
func (r *workerHarness) state(id string) devplatform.TaskState {
	r.t.Helper()
	reply, err := r.client.Inspect(r.ctx, devplatform.InspectRequest{TaskID: id})
	r.is.NoErr(err)
	return reply.Status.State
}

// eventually polls until ok returns true, for at most 30 s.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within 30 s: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}
