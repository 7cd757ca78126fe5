package emulator_test

import (
	"os"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/baseline"
	"github.com/samphirerail/samphirerail/internal/state/emulator"
	"github.com/samphirerail/samphirerail/internal/state/machine"
	"github.com/samphirerail/samphirerail/internal/state/queue"
	"github.com/samphirerail/samphirerail/internal/state/trace"
)

func newMachine(objective queue.Objective) func(state.DomainID) emulator.Policy {
	return func(state.DomainID) emulator.Policy {
		cfg := machine.DefaultConfig()
		cfg.Objective = objective
		return machine.New(cfg)
	}
}

func newBaseline(state.DomainID) emulator.Policy { return baseline.New() }

func readTrace(t *testing.T, path string) *trace.Trace {
	t.Helper()
	is := is.New(t)
	file, err := os.Open(path)
	is.NoErr(err)
	defer file.Close()
	recorded, err := trace.Read(file)
	is.NoErr(err)
	return recorded
}

func wait(r *emulator.Report, group string) emulator.Wait {
	for _, w := range r.Waits {
		if w.Group == group {
			return w
		}
	}
	return emulator.Wait{}
}

// TestFixedTraces replays recorded traces and checks that no invariant is violated,
// that every job is answered, and that urgent work and work with a deadline fare no
// worse than with the baseline policy on the same trace.
func TestFixedTraces(t *testing.T) {
	tests := []struct {
		name      string
		path      string
		objective queue.Objective
	}{
		{name: "co-operative", path: "testdata/coop.jsonl", objective: queue.Waiting},
		{name: "oyster division", path: "testdata/oyster.jsonl", objective: queue.Share},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			recorded := readTrace(t, tt.path)
			got := emulator.Run(recorded, emulator.Options{Name: "machine", New: newMachine(tt.objective)})
			base := emulator.Run(recorded, emulator.Options{Name: "first_fit", New: newBaseline})
			is.Equal(got.Violations, nil)
			is.Equal(base.Violations, nil)
			is.Equal(got.Succeeded+got.Cancelled+got.Failed+got.Refused+got.Unknown, got.Jobs)
			is.True(wait(got, "urgent").P99MS <= wait(base, "urgent").P99MS) // urgent work waits no longer
			is.True(got.Late.Part <= base.Late.Part)                         // no more work is late
			is.True(got.Succeeded >= base.Succeeded)                         // no less work succeeds
			is.True(got.Overused <= base.Overused)                           // upstreams are overused no more often
			is.True(got.Shortfall <= base.Shortfall)                         // teams are no further below their fair share
		})
	}
}

// TestReplayIsDeterministic checks that two replays of one trace give equal reports.
func TestReplayIsDeterministic(t *testing.T) {
	is := is.New(t)
	recorded := readTrace(t, "testdata/coop.jsonl")
	opts := emulator.Options{New: newMachine(queue.Waiting)}
	is.Equal(emulator.Run(recorded, opts), emulator.Run(recorded, opts))
	opts.New = newBaseline
	is.Equal(emulator.Run(recorded, opts), emulator.Run(recorded, opts))
}

// TestCancelBurst submits 10,000 jobs of one team at once and cancels them at once.
func TestCancelBurst(t *testing.T) {
	is := is.New(t)
	opts := trace.DefaultOptions(trace.Oyster, 7)
	opts.Submissions = 300
	opts.Burst = 10_000
	generated, err := trace.Generate(opts)
	is.NoErr(err)
	got := emulator.Run(generated, emulator.Options{New: newMachine(queue.Share)})
	is.Equal(got.Violations, nil)
	is.Equal(got.Jobs, opts.Submissions+opts.Burst)
	is.Equal(got.Succeeded+got.Cancelled+got.Failed+got.Refused+got.Unknown, got.Jobs)
}
