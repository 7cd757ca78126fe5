package emulator

import (
	"fmt"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/machine"
)

// maxViolations is the maximum number of violations in a report.
const maxViolations = 100

// Violation describes a violated invariant.
type Violation struct {
	// AtMicros is the virtual time in microseconds.
	AtMicros int64 `json:"at"`
	// Rule names the invariant.
	Rule   string `json:"rule"`
	Detail string `json:"detail"`
}

// violation records that the invariant named rule is violated. Violations beyond
// maxViolations are ignored.
func (e *Emulator) violation(rule, format string, args ...any) {
	if len(e.violations) < maxViolations {
		e.violations = append(e.violations, Violation{AtMicros: e.now.Microseconds(), Rule: rule, Detail: fmt.Sprintf(format, args...)})
	}
}

// checkStart checks the invariants that the start of a task can violate. It checks the
// state of the workers, not the state that a policy keeps.
func (e *Emulator) checkStart(w *worker, t *task, use *teamUse) {
	if capacity := w.inForce(e.now); !w.used.Fits(capacity) {
		e.violation("capacity", "upstream %s runs %s and has a capacity of %s", w.spec.VM, w.used, capacity)
	}
	e.checkCrashes(t)
	if !use.used.Fits(use.limit) {
		e.violation("team limit", "team %s runs %s in domain %s and has a limit of %s", use.team.ID, use.used, w.domain.id, use.limit)
	}
	if vm, twice := e.running[t.key]; twice {
		e.violation("one place", "task %d of job %s runs on both %s and %s", t.key.index, t.key.job, vm, w.spec.VM)
	}
	if !t.record.spec.Idempotent && e.starts[t.key] > 0 {
		e.violation("at most once", "task %d of job %s runs again and is not idempotent", t.key.index, t.key.job)
	}
	if w.spec.Service != t.record.spec.Service {
		e.violation("service", "task %s runs on upstream %s of service %s", t.id, w.spec.VM, w.spec.Service)
	}
}

// checkAnswer checks that the final answer to a job is complete.
func (e *Emulator) checkAnswer(r *record) {
	a := &r.answer
	if a.State == state.JobSucceeded {
		e.checkOutputs(r)
		return
	}
	if a.Refusal == nil {
		e.violation("whole answer", "job %s ended as %s without a refusal", a.Job, a.State)
		return
	}
}

// checkOutputs checks that a succeeded job has the output of each of its tasks.
func (e *Emulator) checkOutputs(r *record) {
	if len(r.answer.Outputs) != r.spec.Tasks {
		e.violation("whole answer", "job %s has %d outputs for %d tasks", r.spec.ID, len(r.answer.Outputs), r.spec.Tasks)
		return
	}
	for i, out := range r.answer.Outputs {
		if string(out) != output(taskKey{r.spec.ID, i}) {
			e.violation("whole answer", "output %d of job %s is %q", i, r.spec.ID, out)
		}
	}
}

// anyTaskStarted reports whether a worker has ever started a task of the job.
func (e *Emulator) anyTaskStarted(r *record) bool {
	for i := range r.spec.Tasks {
		if e.starts[taskKey{r.spec.ID, i}] > 0 {
			return true
		}
	}
	return false
}

// checkAnswered checks, at the end of the replay, that each job was answered, that a
// refusal with the verdict "not run" is true, and that no task is still running.
func (e *Emulator) checkAnswered() {
	for _, r := range e.jobOrder {
		if r.answers == 0 {
			e.violation("one answer", "job %s of class %s was never answered", r.spec.ID, r.spec.Class)
		}
		if refusal := r.answer.Refusal; refusal != nil && refusal.Verdict == state.NotRun && e.anyTaskStarted(r) {
			e.violation("not run", "job %s was refused as not run, but a task of it ran", r.spec.ID)
		}
	}
	for _, d := range e.domains {
		for _, w := range d.workers {
			for _, t := range w.tasks {
				e.violation("left running", "task %s still runs on upstream %s at the end of the replay", t.id, w.spec.VM)
			}
		}
	}
}

var _ Policy = (*machine.Machine)(nil)
