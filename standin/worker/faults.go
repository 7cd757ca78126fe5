package worker

import (
	"fmt"

	"github.com/samphirerail/samphirerail/standin/devplatform"
	"github.com/samphirerail/samphirerail/standin/faults"
)

// ProtocolViolations makes the worker violate rules of the protocol, to demonstrate which
// guarantees depend on each of its mechanisms.
type ProtocolViolations struct {
	// Epochs makes the worker accept calls of any epoch.
	Epochs bool `json:"epochs,omitempty"`
	// Revocations makes a cancel of an unknown task leave no record, although the reply
	// states that the task is refused.
	Revocations bool `json:"early_cancels,omitempty"`
	// LeaseEnds makes tasks keep running after the expiry of the lease.
	LeaseEnds bool `json:"lease_ends,omitempty"`
}

// Faults holds the fault switches of a worker.
type Faults struct {
	faults.Switches
	// BlackHole makes every new task fail immediately.
	BlackHole bool `json:"black_hole,omitempty"`
	// RunFactor, if not 0, makes a new task run that many times the longer of its declared
	// and its simulated run time.
	RunFactor float64 `json:"run_factor,omitempty"`
	// Leaving makes the worker refuse new tasks.
	Leaving bool `json:"leaving,omitempty"`
	// Ignore selects the rules of the protocol to violate.
	Ignore ProtocolViolations `json:"ignore,omitzero"`
	// Restart, if set, loses all tasks and starts a new incarnation. It reads back as
	// false.
	Restart bool `json:"restart,omitempty"`
}

// Faults returns the current fault switches.
func (w *Worker) Faults() Faults {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.faults
	current.Switches = w.gate.Switches()
	return current
}

// SetFaults replaces the fault switches. It fails with devplatform.ErrInvalid.
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
		w.notifyWaiters()
	}
	w.faults = f
	w.advance()
	return nil
}
