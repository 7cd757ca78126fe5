package worker

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// classStanding is the class of tasks that run until they are stopped.
const classStanding = "standing"

// Payload is the input of a simulated task, encoded as JSON. A task with any other payload
// succeeds immediately and returns the payload as its output.
type Payload struct {
	// RunMilliseconds is the simulated run time.
	RunMilliseconds int64 `json:"run_ms,omitempty"`
	// Output is the result, or the error text if Fail is set.
	Output string `json:"output,omitempty"`
	// Fail makes the task fail at its end.
	Fail bool `json:"fail,omitempty"`
	// OutputBytes, if not 0, replaces Output by that many bytes.
	OutputBytes int `json:"output_bytes,omitempty"`
	// UsePercent is the reported usage of processor and memory in percent of the declared
	// amounts; 0 means 100.
	UsePercent int64 `json:"use_percent,omitempty"`
}

// plan is the predetermined course of a simulated task.
type plan struct {
	// ends is false for a task that runs until it is stopped.
	ends       bool
	endAt      devplatform.WorkerClock
	state      devplatform.TaskState
	output     []byte
	usePercent int64
}

// task is the worker's record of one task.
type task struct {
	status devplatform.TaskStatus
	// epoch is that of the start request. startWaits is set if that request waits for the
	// end of the task.
	epoch      devplatform.Epoch
	startWaits bool
	plan       plan
	run        *Run
	// done is closed when the task has ended.
	done chan struct{}
}

func (t *task) id() string { return t.status.Spec.TaskID }

// report returns the status without the payload.
func (t *task) report() devplatform.TaskStatus {
	status := t.status
	status.Spec.Payload = nil
	return status
}

// makePlan returns the plan for a task that starts now with the given faults.
func makePlan(spec devplatform.TaskSpec, faults Faults, now devplatform.WorkerClock) plan {
	if faults.BlackHole {
		return plan{ends: true, endAt: now, state: devplatform.TaskFailed, output: []byte("worker: the task failed at once; try another upstream")}
	}
	payload, ok := parsePayload(spec.Payload)
	p := plan{ends: spec.Class != classStanding, state: devplatform.TaskSucceeded, usePercent: payload.UsePercent}
	if !ok {
		p.output = spec.Payload
	} else {
		p.output = payload.result()
	}
	if payload.Fail {
		p.state = devplatform.TaskFailed
	}
	runTime := time.Duration(payload.RunMilliseconds) * time.Millisecond
	if faults.RunFactor > 0 {
		runTime = time.Duration(float64(max(runTime, spec.RunTime)) * faults.RunFactor)
	}
	p.endAt = now + devplatform.WorkerClock(runTime)
	return p
}

// parsePayload decodes a payload. It returns ok false unless data is a non-empty Payload
// object without unknown fields.
func parsePayload(data []byte) (payload Payload, ok bool) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&payload); err != nil || payload == (Payload{}) || decoder.More() {
		return Payload{}, false
	}
	return payload, true
}

func (p Payload) result() []byte {
	if p.OutputBytes > 0 {
		return bytes.Repeat([]byte{'x'}, p.OutputBytes)
	}
	return []byte(p.Output)
}

// usage returns the simulated resource usage of the task.
func (t *task) usage() devplatform.TaskUsage {
	percent := t.plan.usePercent
	if percent == 0 {
		percent = 100
	}
	declared := t.status.Spec.Resources
	return devplatform.TaskUsage{TaskID: t.id(), Resources: devplatform.Resources{
		CPUMilli:     declared.CPUMilli * percent / 100,
		MemoryMB:     declared.MemoryMB * percent / 100,
		Accelerators: declared.Accelerators,
	}}
}
