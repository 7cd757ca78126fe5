package platformclient

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/standin/devplatform"
	"github.com/samphirerail/samphirerail/standin/faults"
	"github.com/samphirerail/samphirerail/standin/worker"
)

const hour = time.Hour

func TestWorkerContract(t *testing.T) {
	tests := []struct {
		name   string
		config worker.Config
		check  func(r *workerHarness)
	}{
		{name: "fence reports the VM ID, the capacity and the running tasks without their payload", check: func(r *workerHarness) {
			_, err := r.start("t1", `{"run_ms":3600000}`, hour, false)
			r.is.NoErr(err)
			r.fenceWorker()
			r.is.Equal(r.fence.VMID, "vm-1")
			r.is.Equal(r.fence.Capacity.Slots, int64(8))
			r.is.Equal(len(r.fence.Tasks), 1)
			r.is.Equal(r.fence.Tasks[0].State, devplatform.TaskRunning)
			r.is.Equal(r.fence.Tasks[0].Spec.JobID, "job-t1")
			r.is.Equal(len(r.fence.Tasks[0].Spec.Payload), 0)
			r.is.True(r.fence.LeaseUntil > r.fence.Clock)
		}},
		{name: "fence lists ended tasks with their output", check: func(r *workerHarness) {
			_, err := r.start("t1", "cloth", hour, true)
			r.is.NoErr(err)
			r.fenceWorker()
			r.is.Equal(r.fence.Tasks[0].State, devplatform.TaskSucceeded)
			r.is.Equal(string(r.fence.Tasks[0].Output), "cloth")
		}},
		{name: "fence raises the epoch, and calls of an older epoch are refused", check: func(r *workerHarness) {
			older := r.epoch
			r.epoch = devplatform.Epoch{Number: 2, Owner: "b/1"}
			r.fenceWorker()
			r.epoch = older
			calls := []func() error{
				func() error {
					_, err := r.client.Fence(r.ctx, devplatform.FenceRequest{Epoch: older})
					return err
				},
				func() error { _, err := r.start("late", "x", hour, false); return err },
				func() error { _, err := r.sync(r.leaseEnd(hour), 0, 0); return err },
				func() error { _, err := r.control(devplatform.VerbCancel, "late"); return err },
			}
			for _, call := range calls {
				var fenced *devplatform.FencedError
				r.is.True(errors.As(call(), &fenced))
				r.is.Equal(fenced.Current, devplatform.Epoch{Number: 2, Owner: "b/1"})
				r.is.True(fenced.SinceContact >= 0)
			}
			r.is.Equal(r.state("late"), devplatform.TaskUnknown)
		}},
		{name: "epochs of equal number compare by owner", check: func(r *workerHarness) {
			_, err := r.client.Fence(r.ctx, devplatform.FenceRequest{Epoch: devplatform.Epoch{Number: 1, Owner: "b/1"}})
			r.is.NoErr(err)
			_, err = r.client.Fence(r.ctx, devplatform.FenceRequest{Epoch: r.epoch})
			var fenced *devplatform.FencedError
			r.is.True(errors.As(err, &fenced))
		}},
		{name: "an epoch without an owner is invalid", check: func(r *workerHarness) {
			_, err := r.client.Fence(r.ctx, devplatform.FenceRequest{})
			r.is.True(errors.Is(err, devplatform.ErrInvalid))
		}},
		{name: "start with wait returns the complete result", check: func(r *workerHarness) {
			reply, err := r.start("t1", `{"run_ms":5,"output_bytes":3000000}`, hour, true)
			r.is.NoErr(err)
			r.is.Equal(reply.Status.State, devplatform.TaskSucceeded)
			r.is.Equal(len(reply.Status.Output), 3000000)
			r.is.True(reply.Status.EndedAt > reply.Status.StartedAt)
		}},
		{name: "a failed task returns its error text", check: func(r *workerHarness) {
			reply, err := r.start("t1", `{"fail":true,"output":"needle broke"}`, hour, true)
			r.is.NoErr(err)
			r.is.Equal(reply.Status.State, devplatform.TaskFailed)
			r.is.Equal(string(reply.Status.Output), "needle broke")
		}},
		{name: "start is idempotent by task ID", check: func(r *workerHarness) {
			for range 3 {
				_, err := r.start("t1", "x", hour, true)
				r.is.NoErr(err)
			}
			r.is.Equal(len(r.worker.History().Runs), 1)
		}},
		{name: "start without a task ID is invalid", check: func(r *workerHarness) {
			_, err := r.start("", "x", hour, false)
			r.is.True(errors.Is(err, devplatform.ErrInvalid))
		}},
		{name: "start whose lease has expired is refused, and so is its retry with a valid lease", check: func(r *workerHarness) {
			late, err := r.start("t1", "x", -time.Nanosecond, false)
			r.is.NoErr(err)
			r.is.Equal(late.Status.State, devplatform.TaskRefused)
			again, err := r.start("t1", "x", hour, false)
			r.is.NoErr(err)
			r.is.Equal(again.Status.State, devplatform.TaskRefused)
			r.is.Equal(len(r.worker.History().Runs), 0)
		}},
		{name: "start after the task was cancelled is refused", check: func(r *workerHarness) {
			cancelled, err := r.control(devplatform.VerbCancel, "t1")
			r.is.NoErr(err)
			r.is.Equal(cancelled.Tasks[0].State, devplatform.TaskRefused)
			late, err := r.start("t1", "x", hour, true)
			r.is.NoErr(err)
			r.is.Equal(late.Status.State, devplatform.TaskRefused)
			r.is.Equal(len(r.worker.History().Runs), 0)
		}},
		{name: "start for another incarnation is refused", check: func(r *workerHarness) {
			r.is.NoErr(r.worker.SetFaults(worker.Faults{Restart: true}))
			_, err := r.start("t1", "x", hour, false)
			r.is.True(errors.Is(err, devplatform.ErrWrongIncarnation))
			_, err = r.sync(r.leaseEnd(hour), 0, 0)
			r.is.True(errors.Is(err, devplatform.ErrWrongIncarnation))
			_, err = r.control(devplatform.VerbCancel, "t1")
			r.is.True(errors.Is(err, devplatform.ErrWrongIncarnation))
		}},
		{name: "a leaving worker refuses new tasks but replies to a repeated start", check: func(r *workerHarness) {
			_, err := r.start("t1", `{"run_ms":3600000}`, hour, false)
			r.is.NoErr(err)
			r.is.NoErr(r.worker.SetFaults(worker.Faults{Leaving: true}))
			_, err = r.start("t2", "x", hour, false)
			r.is.True(errors.Is(err, devplatform.ErrLeaving))
			repeat, err := r.start("t1", "", hour, false)
			r.is.NoErr(err)
			r.is.Equal(repeat.Status.State, devplatform.TaskRunning)
			reply, err := r.sync(r.leaseEnd(hour), 0, 0)
			r.is.NoErr(err)
			r.is.True(reply.Leaving)
			r.is.Equal(reply.Running, 1)
		}},
		{name: "a waiting sync returns when the worker starts to leave", check: func(r *workerHarness) {
			until := r.leaseEnd(hour)
			left := make(chan bool, 1)
			go func() {
				reply, _ := r.sync(until, 0, hour)
				left <- reply.Leaving
			}()
			eventually(r.t, "the sync waits", func() bool { r.fenceWorker(); return r.fence.LeaseUntil == until })
			r.is.NoErr(r.worker.SetFaults(worker.Faults{Leaving: true}))
			r.is.True(<-left)
		}},
		{name: "stop ends a running task but does not revoke a later start", check: func(r *workerHarness) {
			_, err := r.start("t1", `{"run_ms":3600000}`, hour, false)
			r.is.NoErr(err)
			reply, err := r.control(devplatform.VerbStop, "t1", "t2")
			r.is.NoErr(err)
			r.is.Equal(reply.Tasks[0].State, devplatform.TaskStopped)
			r.is.Equal(reply.Tasks[1].State, devplatform.TaskUnknown)
			second, err := r.start("t2", "x", hour, true)
			r.is.NoErr(err)
			r.is.Equal(second.Status.State, devplatform.TaskSucceeded)
		}},
		{name: "checkpoint ends a task as stopped, throttle leaves it running", check: func(r *workerHarness) {
			for _, id := range []string{"t1", "t2"} {
				_, err := r.start(id, `{"run_ms":3600000}`, hour, false)
				r.is.NoErr(err)
			}
			_, err := r.control(devplatform.VerbCheckpoint, "t1")
			r.is.NoErr(err)
			_, err = r.control(devplatform.VerbThrottle, "t2")
			r.is.NoErr(err)
			r.is.Equal(r.state("t1"), devplatform.TaskStopped)
			r.is.Equal(r.state("t2"), devplatform.TaskRunning)
		}},
		{name: "control of an unknown verb or of too many tasks is invalid", check: func(r *workerHarness) {
			_, err := r.control("explode", "t1")
			r.is.True(errors.Is(err, devplatform.ErrInvalid))
			_, err = r.control(devplatform.VerbStop, make([]string, worker.MaxControlTasks+1)...)
			r.is.True(errors.Is(err, devplatform.ErrInvalid))
		}},
		{name: "a start that waits returns when its task is stopped", check: func(r *workerHarness) {
			replies := make(chan devplatform.TaskState, 1)
			go func() {
				reply, _ := r.start("t1", `{"run_ms":3600000}`, hour, true)
				replies <- reply.Status.State
			}()
			eventually(r.t, "t1 runs", func() bool { return r.state("t1") == devplatform.TaskRunning })
			_, err := r.control(devplatform.VerbCancel, "t1")
			r.is.NoErr(err)
			r.is.Equal(<-replies, devplatform.TaskStopped)
		}},
		{name: "sync reports each ended task until it is acknowledged", check: func(r *workerHarness) {
			_, err := r.start("t1", `{"run_ms":1,"output":"done"}`, hour, false)
			r.is.NoErr(err)
			for range 2 {
				reply, err := r.sync(r.leaseEnd(hour), 0, hour)
				r.is.NoErr(err)
				r.is.Equal(len(reply.Events), 1)
				r.is.Equal(reply.Events[0].Sequence, int64(1))
				r.is.Equal(reply.Events[0].Status.State, devplatform.TaskSucceeded)
				r.is.Equal(string(reply.Events[0].Status.Output), "done")
			}
			reply, err := r.sync(r.leaseEnd(hour), 1, 0)
			r.is.NoErr(err)
			r.is.Equal(len(reply.Events), 0)
		}},
		{name: "a task whose start waited for its end causes no event", check: func(r *workerHarness) {
			_, err := r.start("t1", "x", hour, true)
			r.is.NoErr(err)
			reply, err := r.sync(r.leaseEnd(hour), 0, 0)
			r.is.NoErr(err)
			r.is.Equal(len(reply.Events), 0)
		}},
		{name: "a task whose start waited under an older epoch causes an event", check: func(r *workerHarness) {
			go func() { _, _ = r.start("t1", `{"run_ms":3600000}`, hour, true) }()
			eventually(r.t, "t1 runs", func() bool { return r.state("t1") == devplatform.TaskRunning })
			r.epoch.Number++
			r.fenceWorker()
			_, err := r.control(devplatform.VerbStop, "t1")
			r.is.NoErr(err)
			reply, err := r.sync(r.leaseEnd(hour), 0, hour)
			r.is.NoErr(err)
			r.is.Equal(reply.Events[0].Status.Spec.TaskID, "t1")
		}},
		{name: "a waiting sync returns when a newer owner fences the worker", check: func(r *workerHarness) {
			until := r.leaseEnd(hour)
			outcome := make(chan error, 1)
			go func() { _, err := r.sync(until, 0, hour); outcome <- err }()
			_, err := r.client.Fence(r.ctx, devplatform.FenceRequest{Epoch: devplatform.Epoch{Number: 9, Owner: "c/1"}})
			r.is.NoErr(err)
			var fenced *devplatform.FencedError
			r.is.True(errors.As(<-outcome, &fenced))
		}},
		{name: "a waiting sync returns when the worker restarts", check: func(r *workerHarness) {
			until := r.leaseEnd(hour)
			outcome := make(chan error, 1)
			go func() { _, err := r.sync(until, 0, hour); outcome <- err }()
			r.is.NoErr(r.worker.SetFaults(worker.Faults{Restart: true}))
			r.is.True(errors.Is(<-outcome, devplatform.ErrWrongIncarnation))
		}},
		{name: "usage is reported after its lag", config: worker.Config{UsageLag: 5 * time.Millisecond}, check: func(r *workerHarness) {
			_, err := r.start("t1", `{"run_ms":3600000,"use_percent":50}`, hour, false)
			r.is.NoErr(err)
			eventually(r.t, "the usage of t1 is reported", func() bool {
				reply, err := r.sync(r.leaseEnd(hour), 0, 0)
				r.is.NoErr(err)
				return len(reply.Usage) == 1 && reply.Usage[0].TaskID == "t1"
			})
			reply, err := r.client.Sync(r.ctx, devplatform.SyncRequest{
				Epoch: r.epoch, Incarnation: r.fence.Incarnation, LeaseUntil: r.leaseEnd(hour), SkipUsage: true,
			})
			r.is.NoErr(err)
			r.is.Equal(len(reply.Usage), 0)
			r.is.Equal(reply.Running, 1)
		}},
		{name: "every task stops when the lease expires", check: func(r *workerHarness) {
			reply, err := r.start("t1", `{"run_ms":3600000}`, 20*time.Millisecond, true)
			r.is.NoErr(err)
			r.is.Equal(reply.Status.State, devplatform.TaskStopped)
			r.is.True(reply.Clock >= reply.Status.EndedAt)
		}},
		{name: "a renewal that arrives after the lease it grants has expired has no effect", check: func(r *workerHarness) {
			until := r.leaseEnd(20 * time.Millisecond)
			_, err := r.start("t1", `{"run_ms":3600000}`, 10*time.Millisecond, false)
			r.is.NoErr(err)
			eventually(r.t, "t1 stopped", func() bool { return r.state("t1") == devplatform.TaskStopped })
			eventually(r.t, "the lease of the renewal has expired", func() bool { return r.leaseEnd(0) > until })
			reply, err := r.sync(until, 0, 0)
			r.is.NoErr(err)
			r.is.Equal(reply.Running, 0)
			late, err := r.start("t2", `{"run_ms":3600000}`, -time.Nanosecond, false)
			r.is.NoErr(err)
			r.is.Equal(late.Status.State, devplatform.TaskRefused)
		}},
		{name: "a renewal never shortens the lease", check: func(r *workerHarness) {
			_, err := r.start("t1", `{"run_ms":3600000}`, hour, false)
			r.is.NoErr(err)
			_, err = r.sync(1, 0, 0)
			r.is.NoErr(err)
			r.is.Equal(r.state("t1"), devplatform.TaskRunning)
		}},
		{name: "a renewal of an older epoch does not extend the lease", check: func(r *workerHarness) {
			_, err := r.start("t1", `{"run_ms":3600000}`, 50*time.Millisecond, false)
			r.is.NoErr(err)
			older := r.epoch
			r.epoch.Number++
			r.fenceWorker()
			r.epoch = older
			_, err = r.sync(r.leaseEnd(hour), 0, 0)
			var fenced *devplatform.FencedError
			r.is.True(errors.As(err, &fenced))
			eventually(r.t, "t1 stopped", func() bool { return r.state("t1") == devplatform.TaskStopped })
		}},
		{name: "the record of an ended task expires", config: worker.Config{RecordTime: time.Millisecond}, check: func(r *workerHarness) {
			_, err := r.start("t1", "x", hour, true)
			r.is.NoErr(err)
			eventually(r.t, "the record of t1 has expired", func() bool { return r.state("t1") == devplatform.TaskUnknown })
		}},
		{name: "a restart loses all tasks", check: func(r *workerHarness) {
			_, err := r.start("t1", `{"run_ms":3600000}`, hour, false)
			r.is.NoErr(err)
			before := r.fence.Incarnation
			r.is.NoErr(r.worker.SetFaults(worker.Faults{Restart: true}))
			r.is.Equal(r.state("t1"), devplatform.TaskUnknown)
			r.fenceWorker()
			r.is.True(r.fence.Incarnation != before)
			r.is.Equal(len(r.fence.Tasks), 0)
			r.is.Equal(r.worker.History().Runs[0].End, "lost")
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { tt.check(newWorkerHarness(t, tt.config, Options{})) })
	}
}

func TestWorkerFaults(t *testing.T) {
	const short = 300 * time.Millisecond
	tests := []struct {
		name    string
		options Options
		check   func(r *workerHarness)
	}{
		{name: "a lost reply is an unknown outcome, and the task has run", check: func(r *workerHarness) {
			r.setFaults(faults.Switches{DropReplies: faults.DropReplies{Next: 1}})
			_, err := r.start("t1", "x", hour, true)
			r.is.True(errors.Is(err, devplatform.ErrUnavailable))
			r.is.True(!errors.Is(err, devplatform.ErrNotSent))
			r.is.Equal(r.state("t1"), devplatform.TaskSucceeded)
			repeat, err := r.start("t1", "x", hour, true)
			r.is.NoErr(err)
			r.is.Equal(string(repeat.Status.Output), "x")
			r.is.Equal(len(r.worker.History().Runs), 1)
		}},
		{name: "a truncated reply is an error, not a partial result", check: func(r *workerHarness) {
			until := r.leaseEnd(hour)
			r.setFaults(faults.Switches{TruncateNext: 1})
			reply, err := r.sync(until, 0, 0)
			r.is.True(errors.Is(err, devplatform.ErrUnavailable))
			r.is.Equal(reply, devplatform.SyncReply{})
		}},
		{name: "a reply over the size limit is an error", options: Options{MaxReplyBytes: 4096}, check: func(r *workerHarness) {
			_, err := r.start("t1", `{"output_bytes":8192}`, hour, true)
			r.is.True(errors.Is(err, devplatform.ErrUnavailable))
		}},
		{name: "a worker that refuses calls is unavailable", check: func(r *workerHarness) {
			until := r.leaseEnd(hour)
			r.setFaults(faults.Switches{Down: faults.Refuse})
			_, err := r.sync(until, 0, 0)
			r.is.True(errors.Is(err, devplatform.ErrUnavailable))
		}},
		{name: "a worker that drops connections is unavailable", check: func(r *workerHarness) {
			until := r.leaseEnd(hour)
			r.setFaults(faults.Switches{Down: faults.Drop})
			_, err := r.sync(until, 0, 0)
			r.is.True(errors.Is(err, devplatform.ErrUnavailable))
		}},
		{name: "a call to a stopped server is not sent", check: func(r *workerHarness) {
			until := r.leaseEnd(hour)
			r.server.Kill()
			r.client.Close()
			_, err := r.sync(until, 0, 0)
			r.is.True(errors.Is(err, devplatform.ErrNotSent))
			r.is.True(!errors.Is(err, devplatform.ErrUnavailable))
		}},
		{name: "a start delayed until after its cancel is refused", options: Options{Timeout: short}, check: func(r *workerHarness) {
			r.setFaults(faults.Switches{Delay: faults.Delay{Path: devplatform.PathStart, Milliseconds: 2 * short.Milliseconds()}})
			_, err := r.start("t1", "x", hour, false)
			r.is.True(errors.Is(err, devplatform.ErrUnavailable))
			reply, err := r.control(devplatform.VerbCancel, "t1")
			r.is.NoErr(err)
			r.is.Equal(reply.Tasks[0].State, devplatform.TaskRefused)
			repeat, err := r.client.Start(r.ctx, devplatform.StartRequest{
				Epoch: r.epoch, Incarnation: r.fence.Incarnation, LeaseUntil: r.leaseEnd(hour),
				Spec: devplatform.TaskSpec{TaskID: "t2"},
			})
			r.is.True(errors.Is(err, devplatform.ErrUnavailable))
			r.is.Equal(repeat, devplatform.StartReply{})
			eventually(r.t, "the delayed start of t2 arrives", func() bool { return r.state("t2") == devplatform.TaskSucceeded })
			r.is.Equal(r.state("t1"), devplatform.TaskRefused)
		}},
		{name: "a call on unresponsive connections fails, and the next call opens a new one", options: Options{Timeout: short}, check: func(r *workerHarness) {
			r.openConnections(4)
			until := r.leaseEnd(hour)
			r.setFaults(faults.Switches{SilenceOpen: true})
			_, err := r.sync(until, 0, 0)
			r.is.True(errors.Is(err, devplatform.ErrUnavailable))
			_, err = r.sync(until, 0, 0)
			r.is.NoErr(err)
		}},
		{name: "a start that waits on an unresponsive connection returns", options: Options{Timeout: short}, check: func(r *workerHarness) {
			replies := make(chan devplatform.StartReply, 1)
			go func() {
				reply, err := r.start("t1", `{"run_ms":3600000,"output":"x"}`, hour, true)
				r.is.NoErr(err)
				replies <- reply
			}()
			eventually(r.t, "t1 runs", func() bool { return r.state("t1") == devplatform.TaskRunning })
			r.setFaults(faults.Switches{SilenceOpen: true})
			_, _ = r.client.Inspect(r.ctx, devplatform.InspectRequest{TaskID: "t1"})
			eventually(r.t, "t1 stopped", func() bool {
				_, err := r.control(devplatform.VerbStop, "t1")
				return err == nil
			})
			r.is.Equal((<-replies).Status.State, devplatform.TaskStopped)
		}},
		{name: "a call that finds no free connection is not sent", options: Options{Timeout: short, MaxConnections: 1}, check: func(r *workerHarness) {
			until := r.leaseEnd(hour)
			ctx, cancel := context.WithCancel(r.ctx)
			released := make(chan struct{})
			go func() {
				defer close(released)
				_, _ = r.client.Sync(ctx, devplatform.SyncRequest{
					Epoch: r.epoch, Incarnation: r.fence.Incarnation, LeaseUntil: until, Wait: hour,
				})
			}()
			eventually(r.t, "the only connection is in use", func() bool {
				_, err := r.client.Inspect(r.ctx, devplatform.InspectRequest{TaskID: "t1"})
				return errors.Is(err, devplatform.ErrNotSent)
			})
			cancel()
			<-released
			r.is.Equal(r.worker.History().LargestConnections, 1)
		}},
		{name: "a black-hole worker fails every start at once", check: func(r *workerHarness) {
			r.is.NoErr(r.worker.SetFaults(worker.Faults{BlackHole: true}))
			reply, err := r.start("t1", `{"run_ms":3600000}`, hour, true)
			r.is.NoErr(err)
			r.is.Equal(reply.Status.State, devplatform.TaskFailed)
		}},
		{name: "a run factor makes a task run longer than declared", check: func(r *workerHarness) {
			r.is.NoErr(r.worker.SetFaults(worker.Faults{RunFactor: 3}))
			reply, err := r.client.Start(r.ctx, devplatform.StartRequest{
				Epoch: r.epoch, Incarnation: r.fence.Incarnation, LeaseUntil: r.leaseEnd(hour), Wait: true,
				Spec: devplatform.TaskSpec{TaskID: "t1", RunTime: 10 * time.Millisecond},
			})
			r.is.NoErr(err)
			r.is.Equal(reply.Status.EndedAt-reply.Status.StartedAt, devplatform.WorkerClock(30*time.Millisecond))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { tt.check(newWorkerHarness(t, worker.Config{}, tt.options)) })
	}
}

func TestWorkerRecordsViolations(t *testing.T) {
	is := is.New(t)
	r := newWorkerHarness(t, worker.Config{Capacity: devplatform.Capacity{
		Resources: devplatform.Resources{CPUMilli: 1000, MemoryMB: 1000}, Slots: 1, Connections: 1,
	}}, Options{})
	for _, id := range []string{"t1", "t2"} {
		_, err := r.client.Start(r.ctx, devplatform.StartRequest{
			Epoch: r.epoch, Incarnation: r.fence.Incarnation, LeaseUntil: r.leaseEnd(hour),
			Spec: devplatform.TaskSpec{TaskID: id, Class: "standing", Resources: devplatform.Resources{CPUMilli: 600, MemoryMB: 600}},
		})
		is.NoErr(err)
	}
	r.openConnections(2)
	found := map[worker.ViolationKind]int64{}
	for _, v := range r.worker.History().Violations {
		found[v.Kind] = max(found[v.Kind], v.Held)
	}
	is.Equal(found, map[worker.ViolationKind]int64{
		worker.OverCPU: 1200, worker.OverMemory: 1200, worker.OverSlots: 2, worker.OverConnections: 2,
	})
}

// setFaults replaces the common injected faults of the worker.
func (r *workerHarness) setFaults(s faults.Switches) {
	r.t.Helper()
	r.is.NoErr(r.worker.SetFaults(worker.Faults{Switches: s}))
}

// openConnections makes the client open n connections, which are idle when it returns.
func (r *workerHarness) openConnections(n int) {
	r.t.Helper()
	const wait = 20 * time.Millisecond
	until := r.leaseEnd(hour)
	var opened atomic.Bool
	var syncs sync.WaitGroup
	for range n {
		syncs.Go(func() {
			for !opened.Load() {
				_, _ = r.sync(until, 0, wait)
			}
		})
	}
	eventually(r.t, "connections are open", func() bool {
		open, _ := r.worker.Gate().Connections()
		return open >= n
	})
	opened.Store(true)
	syncs.Wait()
}
