// Package replay runs a trace against the state machine and the baseline and
// prints what was measured.
package replay

import (
	"fmt"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/baseline"
	"github.com/samphirerail/samphirerail/internal/state/emulator"
	"github.com/samphirerail/samphirerail/internal/state/machine"
	"github.com/samphirerail/samphirerail/internal/state/queue"
	"github.com/samphirerail/samphirerail/internal/state/trace"
)

// Policy names what a trace is replayed against.
type Policy string

// The policies.
const (
	// Machine is the state machine of a shard, one per failure domain.
	Machine Policy = "machine"
	// FirstFit is first come, first served on the first upstream with room.
	FirstFit Policy = "first_fit"
	// Both runs one after the other on the same trace.
	Both Policy = "both"
)

// Valid reports whether p is a known policy.
func (p Policy) Valid() bool { return p == Machine || p == FirstFit || p == Both }

// list returns the single policies that p stands for.
func (p Policy) list() []Policy {
	if p == Both {
		return []Policy{Machine, FirstFit}
	}
	return []Policy{p}
}

// Options choose how a trace is replayed.
type Options struct {
	Policy Policy
	// Objective orders the work of different teams in the state machine.
	Objective queue.Objective
}

// OptionError names an option that is not acceptable.
type OptionError struct {
	Option string
	Value  string
	Remedy string
}

func (e *OptionError) Error() string {
	return fmt.Sprintf("replay: %s %q is not acceptable; %s", e.Option, e.Value, e.Remedy)
}

// Validate fails with an *OptionError.
func (o Options) Validate() error {
	if !o.Policy.Valid() {
		return &OptionError{Option: "policy", Value: string(o.Policy), Remedy: "use machine, first_fit or both"}
	}
	if !o.Objective.Valid() {
		return &OptionError{Option: "objective", Value: string(o.Objective), Remedy: "use waiting or share"}
	}
	return nil
}

// DefaultObjective returns what a deployment weighs most.
func DefaultObjective(d trace.Deployment) queue.Objective {
	if d == trace.Coop {
		return queue.Waiting
	}
	return queue.Share
}

// Run replays a trace and returns one report per policy. It fails with an
// *OptionError.
func Run(t *trace.Trace, opts Options) ([]*emulator.Report, error) {
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	var reports []*emulator.Report
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) }
	for _, p := range opts.Policy.list() {
		reports = append(reports, emulator.Run(t, emulator.Options{
			Name:  string(p),
			New:   newPolicy(p, opts.Objective),
			Clock: clock,
		}))
	}
	return reports, nil
}

func newPolicy(p Policy, objective queue.Objective) func(state.DomainID) emulator.Policy {
	return func(state.DomainID) emulator.Policy {
		if p == FirstFit {
			return baseline.New()
		}
		cfg := machine.DefaultConfig()
		cfg.Objective = objective
		return machine.New(cfg)
	}
}
