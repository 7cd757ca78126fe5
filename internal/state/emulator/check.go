package emulator

import (
	"fmt"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/machine"
)

// maxBreaches is how many breaches a report holds.
const maxBreaches = 100

// Breach is an invariant that did not hold.
type Breach struct {
	// At is the virtual time in microseconds.
	AtMicros int64 `json:"at"`
	// Rule names the invariant.
	Rule   string `json:"rule"`
	Detail string `json:"detail"`
}

func (e *Emulator) breach(rule, format string, args ...any) {
	if len(e.breaches) < maxBreaches {
		e.breaches = append(e.breaches, Breach{AtMicros: e.now.Microseconds(), Rule: rule, Detail: fmt.Sprintf(format, args...)})
	}
}

// checkStart checks what a task that has just begun to run may break. It judges
// from what the workers run, not from what a policy believes.
func (e *Emulator) checkStart(w *worker, t *task, use *teamUse) {
	if !w.used.Fits(w.capacity) {
		e.breach("capacity", "%s runs %s and has %s", w.spec.VM, w.used, w.capacity)
	}
	if !use.used.Fits(use.limit) {
		e.breach("team limit", "%s runs %s in %s and may %s", use.team.ID, use.used, w.domain.id, use.limit)
	}
	if vm, twice := e.running[t.key]; twice {
		e.breach("one place", "task %d of %s runs on %s and %s", t.key.index, t.key.job, vm, w.spec.VM)
	}
	if !t.record.spec.Idempotent && e.starts[t.key] > 0 {
		e.breach("at most once", "task %d of %s runs again and is not idempotent", t.key.index, t.key.job)
	}
	if w.spec.Service != t.record.spec.Service {
		e.breach("service", "%s runs on %s of service %s", t.id, w.spec.VM, w.spec.Service)
	}
}

// checkAnswer checks that an answer is whole.
func (e *Emulator) checkAnswer(r *record) {
	a := &r.answer
	if a.State == state.JobSucceeded {
		e.checkOutputs(r)
		return
	}
	if a.Refusal == nil {
		e.breach("whole answer", "%s ended as %s without a reason", a.Job, a.State)
		return
	}
}

func (e *Emulator) checkOutputs(r *record) {
	if len(r.answer.Outputs) != r.spec.Tasks {
		e.breach("whole answer", "%s has %d outputs of %d", r.spec.ID, len(r.answer.Outputs), r.spec.Tasks)
		return
	}
	for i, out := range r.answer.Outputs {
		if string(out) != output(taskKey{r.spec.ID, i}) {
			e.breach("whole answer", "output %d of %s is %q", i, r.spec.ID, out)
		}
	}
}

func (e *Emulator) ran(r *record) bool {
	for i := range r.spec.Tasks {
		if e.starts[taskKey{r.spec.ID, i}] > 0 {
			return true
		}
	}
	return false
}

// checkAnswered checks, at the end, that each job was answered, that a refusal
// that says "not run" is true, and that nothing runs that nobody waits for.
func (e *Emulator) checkAnswered() {
	for _, r := range e.order {
		if r.answers == 0 {
			e.breach("one answer", "%s of class %s was never answered", r.spec.ID, r.spec.Class)
		}
		if refusal := r.answer.Refusal; refusal != nil && refusal.Verdict == state.NotRun && e.ran(r) {
			e.breach("not run", "%s is said not to have run, and did", r.spec.ID)
		}
	}
	for _, d := range e.domains {
		for _, w := range d.workers {
			for _, t := range w.tasks {
				e.breach("left running", "%s still runs on %s", t.id, w.spec.VM)
			}
		}
	}
}

var _ Policy = (*machine.Machine)(nil)
