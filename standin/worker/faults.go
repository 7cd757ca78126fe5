package worker

import (
	"fmt"

	"github.com/samphirerail/samphirerail/standin/devplatform"
	"github.com/samphirerail/samphirerail/standin/faults"
)

// Ignore makes the worker break its protocol, to show what the rest of the
// system rests on.
type Ignore struct {
	// Epochs makes the worker serve owners of any epoch.
	Epochs bool `json:"epochs,omitempty"`
	// EarlyCancels makes a cancel of a task that is not known leave no record,
	// though the reply says that the task is refused.
	EarlyCancels bool `json:"early_cancels,omitempty"`
	// LeaseEnds makes tasks run on after the end of the lease.
	LeaseEnds bool `json:"lease_ends,omitempty"`
}

// Faults are the switches of a worker.
type Faults struct {
	faults.Switches
	// BlackHole makes every start fail at once.
	BlackHole bool `json:"black_hole,omitempty"`
	// RunFactor, when not 0, makes a task run that many times the longer of
	// its declared and its real run time.
	RunFactor float64 `json:"run_factor,omitempty"`
	// Leaving makes the worker take no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Ignore breaks the protocol.
	Ignore Ignore `json:"ignore,omitzero"`
	// Restart, when set, loses all tasks and begins a new incarnation. It
	// reads back as false.
	Restart bool `json:"restart,omitempty"`
}

// Faults returns the switches as they are now.
func (w *Worker) Faults() Faults {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.faults
	current.Switches = w.gate.Switches()
	return current
}

// SetFaults replaces the switches. It fails with devplatform.ErrInvalid.
func (w *Worker) SetFaults(f Faults) error {
	if f.RunFactor < 0 {
		return fmt.Errorf("%w: run_factor must not be negative", devplatform.ErrInvalid)
	}
	w.gate.Set(f.Switches)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if f.Restart {
		w.restart()
		f.Restart = false
	}
	if f.Leaving != w.faults.Leaving {
		w.leavingChanges++
		w.wake()
	}
	w.faults = f
	w.advance()
	return nil
}
