package worker

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// classStanding is the class of tasks that run until they are stopped.
const classStanding = "standing"

// Payload is the input of a simulated task. A task whose payload is anything
// else succeeds at once and returns its payload.
type Payload struct {
	// RunMilliseconds is how long the task runs.
	RunMilliseconds int64 `json:"run_ms,omitempty"`
	// Output is the result, or the error text with Fail.
	Output string `json:"output,omitempty"`
	// Fail makes the task fail at its end.
	Fail bool `json:"fail,omitempty"`
	// OutputBytes, when not 0, replaces Output by that many bytes.
	OutputBytes int `json:"output_bytes,omitempty"`
	// UsePercent is the use of each resource in percent of the declared size;
	// 100 when 0.
	UsePercent int64 `json:"use_percent,omitempty"`
}

// plan is what a simulated task will do.
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
	epoch  devplatform.Epoch
	waited bool
	plan   plan
	run    *Run
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

// makePlan decides what a task will do.
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
	runs := time.Duration(payload.RunMilliseconds) * time.Millisecond
	if faults.RunFactor > 0 {
		runs = time.Duration(float64(max(runs, spec.RunTime)) * faults.RunFactor)
	}
	p.endAt = now + devplatform.WorkerClock(runs)
	return p
}

// parsePayload reads a payload; ok is false when it is no Payload object.
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

// usage returns what the task uses.
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
