// Package workload describes what callers submit and what operators configure: jobs
// with their steps, queues, workspaces and the upstreams that run tasks. It holds data
// and validation only.
package workload

import (
	"fmt"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

// JobID identifies a job. It is chosen by the caller and has 16 hexadecimal digits.
type JobID string

// idDigits is the length of a JobID.
const idDigits = 16

// Valid reports whether id has the form of a JobID.
func (id JobID) Valid() bool {
	if len(id) != idDigits {
		return false
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// Names of configured objects.
type (
	// QueueName names a queue.
	QueueName string
	// WorkspaceName names the workspace of a customer team.
	WorkspaceName string
	// ServiceName names a pool of upstreams.
	ServiceName string
	// UpstreamID identifies one registration of an upstream.
	UpstreamID string
)

// Job is an accepted job. It is immutable.
type Job struct {
	ID        JobID
	Queue     QueueName
	Workspace WorkspaceName
	// SubmittedUnixMS is the wall-clock time of the accepting entry, in Unix
	// milliseconds.
	SubmittedUnixMS int64
	// Payload is passed to each task.
	Payload string
	Steps   []Step
	// Repeat is the number of occurrences of a timed job, which start every PeriodMS
	// from FirstUnixMS on; 0 for a job that runs once.
	Repeat      int
	FirstUnixMS int64
	PeriodMS    int64
	// Domain is the failure domain of the entry that the caller reached; empty if not known.
	// It is not part of the encoded job, but follows it in the record.
	Domain state.DomainID `msgpack:"-"`
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(1, j.Repeat) }

// Due returns when an occurrence may start, in Unix milliseconds; 0 for at once.
func (j *Job) Due(occurrence int) int64 {
	if j.Repeat == 0 {
		return 0
	}
	return j.FirstUnixMS + int64(occurrence)*j.PeriodMS
}

// LongRunning reports whether any step of the job runs until the job is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Step is a set of identical tasks.
type Step struct {
	Count int
	// Each is the demand of one task; Slots is 1.
	Each state.Vector
	// EstimateMS is the declared run time of a task. It is often wrong.
	EstimateMS int64
	// After lists the indexes of earlier steps that must be complete before this one
	// starts.
	After []int
	// Gang steps make progress only while all their tasks run.
	Gang bool
	// SameRack requests that all tasks of the step run on one rack.
	SameRack bool
	// Checkpoints says that tasks can resume from a checkpoint.
	Checkpoints bool
	// Constraint is a label that the upstream must have; empty for none.
	Constraint string
	// Affinity is the rack on which the tasks run fastest; empty for none.
	Affinity string
	// MaxPerUpstream bounds the tasks of the step on one upstream; 0 for no bound.
	MaxPerUpstream int
	// Speculative steps allow copies of a task to run in parallel.
	Speculative bool
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool
	// Image names what the tasks run.
	Image string
	// TargetMS is the response time objective of a serving task; 0 for none.
	TargetMS int64
	// Fills marks best-effort tasks, which use only processor time that others leave.
	// Their CPU does not count against an upstream's capacity.
	Fills bool
	// MayMiss is the number of tasks of a long-running step that the scheduler may have
	// interrupted at a time.
	MayMiss int
}

// Demand returns the part of an upstream's capacity that a task of the step uses.
func (s *Step) Demand() state.Vector {
	demand := s.Each
	if s.Fills {
		demand.CPUMilli = 0
	}
	return demand
}

// Estimate returns the declared run time of a task.
func (s *Step) Estimate() time.Duration { return time.Duration(s.EstimateMS) * time.Millisecond }

// Limits of the form of a job.
const (
	// MaxSteps is the largest number of steps.
	MaxSteps        = 256
	maxTasksPerStep = 20_000
	maxRepeat       = 1_000_000
	maxPayload      = 4_000
)

// InvalidJobError is the reason why a submitted job is rejected.
type InvalidJobError struct{ Reason string }

func (e *InvalidJobError) Error() string {
	return "workload: invalid job: " + e.Reason + "; correct the job and submit it again"
}

// Validate returns an *InvalidJobError if the job can't be accepted.
func (j *Job) Validate() error {
	if err := j.CheckForm(); err != nil {
		return err
	}
	return j.checkBounds()
}

// CheckForm returns an *InvalidJobError if no release accepts the job. A former one may have
// accepted a job of this form that Validate rejects.
func (j *Job) CheckForm() error {
	switch {
	case len(j.Payload) > maxPayload:
		return &InvalidJobError{fmt.Sprintf("the payload has %d bytes, the most is %d", len(j.Payload), maxPayload)}
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return &InvalidJobError{fmt.Sprintf("%d steps, want 1 to %d", len(j.Steps), MaxSteps)}
	case j.Repeat < 0 || j.Repeat > maxRepeat || (j.Repeat > 1 && j.PeriodMS <= 0):
		return &InvalidJobError{fmt.Sprintf("%d occurrences every %d ms", j.Repeat, j.PeriodMS)}
	}
	for i := range j.Steps {
		if err := j.Steps[i].validate(i); err != nil {
			return err
		}
	}
	return nil
}

func (s *Step) validate(index int) error {
	if s.Count < 1 || s.Count > maxTasksPerStep {
		return &InvalidJobError{fmt.Sprintf("step %d has %d tasks, want 1 to %d", index, s.Count, maxTasksPerStep)}
	}
	if s.Each.Negative() || s.EstimateMS < 0 || s.MaxPerUpstream < 0 || s.TargetMS < 0 || s.MayMiss < 0 {
		return &InvalidJobError{fmt.Sprintf("step %d has a negative amount", index)}
	}
	for _, before := range s.After {
		if before < 0 || before >= index {
			return &InvalidJobError{fmt.Sprintf("step %d waits for step %d, which does not come before it", index, before)}
		}
	}
	return nil
}
