package owner

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/samphirerail/samphirerail/internal/state/machine"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

var tracer = otel.Tracer("samphirerail/owner")

// start performs a Start action and reports the outcome to the machine.
func (u *upstream) start(ctx context.Context, a machine.Start) {
	ctx, span := tracer.Start(ctx, "worker.start", trace.WithAttributes(
		attribute.String("task", string(a.Task)), attribute.String("vm", string(a.VM))))
	defer span.End()
	spec, err := u.taskSpec(a)
	if err != nil {
		u.shard.log.Error("cannot encode the labels of a task", "task", a.Task, "error", err)
		u.shard.send(machine.StartRefused{Task: a.Task})
		return
	}
	req := devplatform.StartRequest{
		Epoch:       u.shard.cfg.Epoch,
		Incarnation: a.Incarnation,
		Spec:        spec,
		LeaseUntil:  u.clock.extend(u.shard.cfg.Timing.Lease, time.Now()),
		Wait:        a.Wait,
	}
	callCtx, cancel := context.WithTimeout(ctx, u.startTimeout(a))
	defer cancel()
	reply, err := u.worker.Start(callCtx, req)
	if err != nil {
		span.RecordError(err)
		u.startFailed(a, err)
		return
	}
	u.clock.observe(reply.Clock, time.Now())
	u.shard.send(u.startEvent(a, reply.Status))
}

func (u *upstream) taskSpec(a machine.Start) (devplatform.TaskSpec, error) {
	data, err := encodeLabels(a.Job, u.shard.now(), time.Now())
	if err != nil {
		return devplatform.TaskSpec{}, err
	}
	return devplatform.TaskSpec{
		TaskID:    string(a.Task),
		JobID:     string(a.Job.ID),
		Team:      string(a.Job.Team),
		Class:     string(a.Job.Class),
		Resources: resourcesOf(a.Job.Each),
		RunTime:   a.Job.RunTime,
		Labels:    data,
		Payload:   a.Job.Payload,
	}, nil
}

// startEvent converts the state of a task that was to be started into an event for
// the machine.
func (u *upstream) startEvent(a machine.Start, status devplatform.TaskStatus) machine.Event {
	switch {
	case status.State == devplatform.TaskRunning:
		return machine.Started{Task: a.Task}
	case status.State == devplatform.TaskRefused:
		return machine.StartRefused{Task: a.Task}
	case status.State.Ended():
		return endedEvent(status)
	}
	return machine.StartUnconfirmed{Task: a.Task}
}

func (u *upstream) startFailed(a machine.Start, err error) {
	var fenced *devplatform.FencedError
	switch {
	case errors.As(err, &fenced):
		u.shard.fencedBy(fenced)
		u.shard.send(machine.StartRefused{Task: a.Task})
	case errors.Is(err, devplatform.ErrLeaving):
		u.shard.send(machine.UpstreamLeaving{VM: a.VM})
		u.shard.send(machine.StartRefused{Task: a.Task, VMFault: true})
	case errors.Is(err, devplatform.ErrWrongIncarnation), errors.Is(err, devplatform.ErrNotSent), errors.Is(err, devplatform.ErrTooLarge):
		u.shard.send(machine.StartRefused{Task: a.Task, VMFault: true})
	default:
		u.shard.log.Warn("no response to a start; outcome unconfirmed", "task", a.Task, "vm", a.VM, "error", err)
		u.shard.send(machine.StartUnconfirmed{Task: a.Task})
	}
}

// startTimeout returns the timeout of a Start call. A call with Wait set returns only
// at the end of the task and may take as long as the job.
func (u *upstream) startTimeout(a machine.Start) time.Duration {
	if !a.Wait {
		return u.shard.cfg.Timing.Call
	}
	if a.Job.Deadline == 0 {
		return u.shard.cfg.Timing.MaxRequest
	}
	return max(a.Job.Deadline-u.shard.now(), 0) + u.shard.cfg.Timing.Call
}

func (u *upstream) inspect(ctx context.Context, task string) (devplatform.StartReply, error) {
	ctx, cancel := context.WithTimeout(ctx, u.shard.cfg.Timing.Call)
	defer cancel()
	return u.worker.Inspect(ctx, devplatform.InspectRequest{TaskID: task})
}
