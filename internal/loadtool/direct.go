package loadtool

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirerail/samphirerail/internal/transport/platformclient"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// directOwner is the owner name in the tool's epoch.
const directOwner = "loadtool/1"

// directEpoch is the tool's epoch number. It is higher than any that a new system uses.
const directEpoch = 1 << 40

// directLease is the duration of the tool's lease.
const directLease = 24 * time.Hour

// Direct is a Target that starts tasks on one upstream without an entry. It fences the
// upstream, so the upstream must not belong to a running system.
type Direct struct {
	worker *platformclient.Worker
	fence  devplatform.FenceReply
	epoch  devplatform.Epoch
	// runID makes the job IDs of this run unique.
	runID string
}

// NewDirect fences the upstream at an address (IP:port on the loopback network) and
// returns a target that uses up to callers connections. It fails with an *OptionError or
// with the error of the upstream.
func NewDirect(ctx context.Context, address string, callers int) (*Direct, error) {
	if err := CheckLoopback(address); err != nil {
		return nil, err
	}
	d := &Direct{
		worker: platformclient.NewWorker(address, platformclient.Options{MaxConnections: callers}),
		epoch:  devplatform.Epoch{Number: directEpoch, Owner: directOwner},
		runID:  fmt.Sprintf("load%d", time.Now().UnixNano()),
	}
	reply, err := d.worker.Fence(ctx, devplatform.FenceRequest{Epoch: d.epoch})
	if err != nil {
		d.worker.Close()
		return nil, eris.Wrapf(err, "load: can't fence the upstream at %s; use one that no running system owns", address)
	}
	d.fence = reply
	return d, nil
}

// Close closes the idle connections.
func (d *Direct) Close() { d.worker.Close() }

// Do implements Target. It starts the tasks of the call one after the other.
func (d *Direct) Do(ctx context.Context, call *Call) Outcome {
	outputs := make([][]byte, 0, call.Tasks)
	for index := range call.Tasks {
		reply, err := d.worker.Start(ctx, d.request(call, index))
		switch {
		case errors.Is(err, devplatform.ErrUnavailable):
			return OutcomeNoReply
		case err != nil:
			return OutcomeNotStarted
		case reply.Status.State != devplatform.TaskSucceeded:
			return Outcome(reply.Status.State)
		}
		outputs = append(outputs, reply.Status.Output)
	}
	return call.checkOutputs(outputs)
}

func (d *Direct) request(call *Call, index int) devplatform.StartRequest {
	job := fmt.Sprintf("%s.%d", d.runID, call.Number)
	return devplatform.StartRequest{
		Epoch:       d.epoch,
		Incarnation: d.fence.Incarnation,
		LeaseUntil:  d.fence.Clock + devplatform.WorkerClock(directLease),
		Wait:        true,
		Spec: devplatform.TaskSpec{
			TaskID: fmt.Sprintf("%s/%d/1", job, index), JobID: job, Team: "load", Class: string(call.Class),
			Resources: devplatform.Resources{CPUMilli: call.Job.CPUMilli, MemoryMB: call.Job.MemoryMB},
			RunTime:   call.Job.RunTime,
			Payload:   call.Payload(),
		},
	}
}
