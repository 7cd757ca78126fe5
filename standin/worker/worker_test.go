package worker

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/standin/devplatform"
)

var (
	older = devplatform.Epoch{Number: 1, Owner: "a/1"}
	newer = devplatform.Epoch{Number: 2, Owner: "b/1"}
)

// testWorker drives a worker on virtual time, without a network.
type testWorker struct {
	*Worker
	t  *testing.T
	is *is.I
}

func (w *testWorker) start(epoch devplatform.Epoch, id string, lease time.Duration, payload string) devplatform.TaskState {
	w.t.Helper()
	reply, err := w.Start(w.t.Context(), devplatform.StartRequest{
		Epoch: epoch, Incarnation: "i", LeaseUntil: devplatform.WorkerClock(lease),
		Spec: devplatform.TaskSpec{TaskID: id, Payload: []byte(payload)},
	})
	if err != nil {
		return devplatform.TaskState(err.Error())
	}
	return reply.Status.State
}

func (w *testWorker) sync(epoch devplatform.Epoch, lease, wait time.Duration) (devplatform.SyncReply, error) {
	return w.Sync(w.t.Context(), devplatform.SyncRequest{
		Epoch: epoch, Incarnation: "i", LeaseUntil: devplatform.WorkerClock(lease), Wait: wait,
	})
}

func (w *testWorker) control(epoch devplatform.Epoch, verb devplatform.ControlVerb, id string) {
	w.t.Helper()
	_, err := w.Control(w.t.Context(), devplatform.ControlRequest{Epoch: epoch, Incarnation: "i", Verb: verb, TaskIDs: []string{id}})
	w.is.NoErr(err)
}

func (w *testWorker) inspect(id string) devplatform.TaskStatus {
	w.t.Helper()
	reply, err := w.Inspect(w.t.Context(), devplatform.InspectRequest{TaskID: id})
	w.is.NoErr(err)
	return reply.Status
}

// onVirtualTime runs a check on virtual time against a new worker, whose clock starts at 0.
func onVirtualTime(t *testing.T, config Config, check func(w *testWorker)) {
	synctest.Test(t, func(t *testing.T) {
		config.VMID = "vm-1"
		config.Incarnation = "i"
		w := New(config)
		defer w.Close()
		check(&testWorker{Worker: w, t: t, is: is.New(t)})
	})
}

func TestWorkerOnVirtualTime(t *testing.T) {
	tests := []struct {
		name   string
		config Config
		check  func(w *testWorker)
	}{
		{name: "a task ends after its run time, before the lease expires", check: func(w *testWorker) {
			w.is.Equal(w.start(older, "t1", 10*time.Second, `{"run_ms":3000}`), devplatform.TaskRunning)
			reply, err := w.sync(older, 10*time.Second, time.Hour)
			w.is.NoErr(err)
			w.is.Equal(reply.Events[0].Status.EndedAt, devplatform.WorkerClock(3*time.Second))
			w.is.Equal(reply.Events[0].Status.State, devplatform.TaskSucceeded)
		}},
		{name: "tasks are stopped exactly when the lease expires", check: func(w *testWorker) {
			w.start(older, "t1", 10*time.Second, `{"run_ms":10001}`)
			time.Sleep(10*time.Second - 1)
			w.is.Equal(w.inspect("t1").State, devplatform.TaskRunning)
			time.Sleep(time.Nanosecond)
			w.is.Equal(w.inspect("t1").State, devplatform.TaskStopped)
			w.is.Equal(w.inspect("t1").EndedAt, devplatform.WorkerClock(10*time.Second))
		}},
		{name: "a waiting sync reports tasks stopped by the expiry of the lease", check: func(w *testWorker) {
			w.start(older, "t1", time.Second, `{"run_ms":5000}`)
			reply, err := w.sync(older, time.Second, time.Hour)
			w.is.NoErr(err)
			w.is.Equal(reply.Events[0].Status.State, devplatform.TaskStopped)
			w.is.Equal(reply.Clock, devplatform.WorkerClock(time.Second))
		}},
		{name: "fencing keeps the lease, and the newer owner renews it", check: func(w *testWorker) {
			w.start(older, "t1", 10*time.Second, `{"run_ms":20000}`)
			fence, err := w.Fence(w.t.Context(), devplatform.FenceRequest{Epoch: newer})
			w.is.NoErr(err)
			w.is.Equal(fence.LeaseUntil, devplatform.WorkerClock(10*time.Second))
			_, err = w.sync(newer, 30*time.Second, 0)
			w.is.NoErr(err)
			time.Sleep(25 * time.Second)
			w.is.Equal(w.inspect("t1").State, devplatform.TaskSucceeded)
		}},
		{name: "a fenced owner gets the time since the last call of the newer owner", check: func(w *testWorker) {
			_, err := w.sync(newer, time.Second, 0)
			w.is.NoErr(err)
			time.Sleep(7 * time.Second)
			_, err = w.sync(older, time.Hour, 0)
			var fenced *devplatform.FencedError
			w.is.True(errors.As(err, &fenced))
			w.is.Equal(fenced.SinceContact, 7*time.Second)
		}},
		{name: "throttle doubles the remaining run time", check: func(w *testWorker) {
			w.start(older, "t1", time.Hour, `{"run_ms":10000}`)
			time.Sleep(4 * time.Second)
			w.control(older, devplatform.VerbThrottle, "t1")
			time.Sleep(12 * time.Second)
			w.is.Equal(w.inspect("t1").EndedAt, devplatform.WorkerClock(16*time.Second))
		}},
		{name: "usage is reported after the usage lag", config: Config{UsageLag: 5 * time.Second}, check: func(w *testWorker) {
			w.start(older, "t1", time.Hour, `{"run_ms":60000}`)
			for _, want := range []int{0, 1} {
				reply, err := w.sync(older, 0, 0)
				w.is.NoErr(err)
				w.is.Equal(len(reply.Usage), want)
				time.Sleep(5 * time.Second)
			}
		}},
		{name: "records are kept for the record time", config: Config{RecordTime: time.Minute}, check: func(w *testWorker) {
			w.start(older, "t1", time.Hour, "x")
			w.control(older, devplatform.VerbCancel, "t2")
			time.Sleep(time.Minute)
			w.is.Equal(w.inspect("t1").State, devplatform.TaskSucceeded)
			w.is.Equal(w.inspect("t2").State, devplatform.TaskRefused)
			time.Sleep(time.Nanosecond)
			w.is.Equal(w.inspect("t1").State, devplatform.TaskUnknown)
			w.is.Equal(w.inspect("t2").State, devplatform.TaskUnknown)
		}},
		{name: "the history keeps the newest runs up to its limit", config: Config{HistoryLimit: 2}, check: func(w *testWorker) {
			for _, id := range []string{"t1", "t2", "t3"} {
				w.start(older, id, time.Hour, "x")
			}
			history := w.History()
			w.is.Equal(len(history.Runs), 2)
			w.is.Equal(history.Runs[0].TaskID, "t2")
			w.is.Equal(history.DroppedRuns, 1)
		}},
		{name: "the history contains start, end and epoch of a run", check: func(w *testWorker) {
			w.start(older, "t1", time.Hour, `{"run_ms":2000}`)
			time.Sleep(time.Minute)
			run := w.History().Runs[0]
			w.is.Equal(run.EndUnixNano-run.StartUnixNano, (2 * time.Second).Nanoseconds())
			w.is.Equal(run.End, string(devplatform.TaskSucceeded))
			w.is.Equal(run.Epoch, older)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { onVirtualTime(t, tt.config, tt.check) })
	}
}

// TestWorkerMechanisms checks for each mechanism of the protocol that a violation is
// prevented with it and occurs without it.
func TestWorkerMechanisms(t *testing.T) {
	tests := []struct {
		name    string
		without ProtocolViolations
		// scenario makes a sequence of calls and reports whether the violation occurred.
		scenario func(w *testWorker) bool
	}{
		{name: "epochs prevent a replaced owner from starting tasks", without: ProtocolViolations{Epochs: true}, scenario: func(w *testWorker) bool {
			_, err := w.Fence(w.t.Context(), devplatform.FenceRequest{Epoch: newer})
			w.is.NoErr(err)
			return w.start(older, "t1", time.Hour, `{"run_ms":1000}`) == devplatform.TaskRunning
		}},
		{name: "epochs prevent a replaced owner from renewing the lease", without: ProtocolViolations{Epochs: true}, scenario: func(w *testWorker) bool {
			w.start(older, "t1", time.Second, `{"run_ms":60000}`)
			_, err := w.Fence(w.t.Context(), devplatform.FenceRequest{Epoch: newer})
			w.is.NoErr(err)
			_, _ = w.sync(older, time.Minute, 0)
			time.Sleep(30 * time.Second)
			return w.inspect("t1").State == devplatform.TaskRunning
		}},
		{name: "the record of a cancel revokes a start that arrives later", without: ProtocolViolations{Revocations: true}, scenario: func(w *testWorker) bool {
			w.control(older, devplatform.VerbCancel, "t1")
			return w.start(older, "t1", time.Hour, `{"run_ms":1000}`) == devplatform.TaskRunning
		}},
		{name: "the expiry of the lease stops the tasks of an unreachable owner", without: ProtocolViolations{LeaseEnds: true}, scenario: func(w *testWorker) bool {
			w.start(older, "t1", time.Second, `{"run_ms":60000}`)
			time.Sleep(30 * time.Second)
			return w.inspect("t1").State == devplatform.TaskRunning
		}},
		{name: "the worker's clock refuses a start that arrives after its lease expired", without: ProtocolViolations{LeaseEnds: true}, scenario: func(w *testWorker) bool {
			time.Sleep(30 * time.Second)
			return w.start(older, "t1", time.Second, `{"run_ms":60000}`) == devplatform.TaskRunning
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, ignore := range []ProtocolViolations{{}, tt.without} {
				onVirtualTime(t, Config{}, func(w *testWorker) {
					w.is.NoErr(w.SetFaults(Faults{Ignore: ignore}))
					w.is.Equal(tt.scenario(w), ignore != ProtocolViolations{})
				})
			}
		})
	}
}
