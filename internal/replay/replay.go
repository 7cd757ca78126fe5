// Package replay replays a trace against the scheduler's state machine and against a
// first-fit baseline, and writes the results as a table, as JSON or as a plot.
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

// Policy names the scheduling policy that a trace is replayed against.
type Policy string

// The policies.
const (
	// Machine is the state machine of a shard, one per failure domain.
	Machine Policy = "machine"
	// FirstFit serves jobs in order of arrival and places each on the first upstream with
	// enough free capacity.
	FirstFit Policy = "first_fit"
	// Both replays the same trace against Machine and then FirstFit.
	Both Policy = "both"
)

// Valid reports whether p is a known policy.
func (p Policy) Valid() bool { return p == Machine || p == FirstFit || p == Both }

// policies returns the policies to replay, in order.
func (p Policy) policies() []Policy {
	if p == Both {
		return []Policy{Machine, FirstFit}
	}
	return []Policy{p}
}

// Options configures a replay.
type Options struct {
	Policy Policy
	// Objective orders the work of different teams in the state machine.
	Objective queue.Objective
}

// OptionError reports an invalid option and how to correct it.
type OptionError struct {
	Option string
	Value  string
	Remedy string
}

func (e *OptionError) Error() string {
	return fmt.Sprintf("replay: option %s has the invalid value %q; %s", e.Option, e.Value, e.Remedy)
}

// Validate checks the options. It fails with an *OptionError.
func (o Options) Validate() error {
	if !o.Policy.Valid() {
		return &OptionError{Option: "policy", Value: string(o.Policy), Remedy: "use machine, first_fit or both"}
	}
	if !o.Objective.Valid() {
		return &OptionError{Option: "objective", Value: string(o.Objective), Remedy: "use waiting or share"}
	}
	return nil
}

// DefaultObjective returns the scheduling objective of a deployment.
func DefaultObjective(d trace.Deployment) queue.Objective {
	if d == trace.Coop {
		return queue.Waiting
	}
	return queue.Share
}

// Run replays a trace and returns one report per policy, in the order of opts.Policy. It
// fails with an *OptionError.
func Run(t *trace.Trace, opts Options) ([]*emulator.Report, error) {
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	var reports []*emulator.Report
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) }
	for _, p := range opts.Policy.policies() {
		reports = append(reports, emulator.Run(t, emulator.Options{
			Name:  string(p),
			New:   newPolicy(p, opts.Objective),
			Clock: clock,
		}))
	}
	return reports, nil
}

// newPolicy returns a constructor for the policy of one failure domain.
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
