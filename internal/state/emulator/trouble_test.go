package emulator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/emulator"
	"github.com/samphirerail/samphirerail/internal/state/machine"
	"github.com/samphirerail/samphirerail/internal/state/queue"
	"github.com/samphirerail/samphirerail/internal/state/trace"
)

var wholeUpstream = state.Vector{CPUMilli: 16_000, MemoryMB: 64_000, Slots: 8}

// troubleTrace returns a trace in which two of the jobs crash each upstream that starts them,
// and upstreams shrink to the size of one task and grow again.
func troubleTrace() *trace.Trace {
	t := &trace.Trace{}
	add := func(at time.Duration, e trace.Event) {
		e.AtMicros = at.Microseconds()
		t.Events = append(t.Events, e)
	}
	whole := trace.AmountOf(wholeUpstream)
	small := trace.AmountOf(state.Vector{CPUMilli: 2_000, MemoryMB: 64_000, Slots: 8})
	each := trace.AmountOf(state.Vector{CPUMilli: 2000, MemoryMB: 1000, Slots: 1})
	limit := trace.AmountOf(state.Vector{CPUMilli: 1_000_000, MemoryMB: 1_000_000, Slots: 1000})
	for i := range 10 {
		vm := state.VMID(fmt.Sprint("vm", i))
		add(0, trace.Event{Kind: trace.KindUpstream, Upstream: &trace.Upstream{VM: vm, Domain: "d", Rack: fmt.Sprint("r", i/2), Service: "s", Capacity: whole}})
	}
	add(0, trace.Event{Kind: trace.KindTeam, Team: &trace.Team{ID: "team", Weight: 1, MaxQueued: 1000, Limit: limit}})
	for i := range 200 {
		at := time.Second + time.Duration(i)*100*time.Millisecond
		job := &trace.Submit{
			ID: state.JobID(fmt.Sprint("job", i)), Domain: "d", Team: "team", Class: state.ClassBatch, Service: "s", Tasks: 2, Each: each,
			Idempotent: true, ActualMicros: time.Second.Microseconds(), UsePercent: 100,
		}
		if i == 50 || i == 100 {
			job.CrashMicros = (20 * time.Millisecond).Microseconds()
		}
		add(at, trace.Event{Kind: trace.KindSubmit, Submit: job})
		if n := i / 20; i%20 == 0 { // each upstream is small for 8 s
			add(at, trace.Event{Kind: trace.KindResized, VM: state.VMID(fmt.Sprint("vm", n)), Capacity: &small})
			if n >= 4 {
				add(at, trace.Event{Kind: trace.KindResized, VM: state.VMID(fmt.Sprint("vm", n-4)), Capacity: &whole})
			}
		}
	}
	return t
}

// forgetfulPolicy takes each restart of an upstream for an expired lease.
type forgetfulPolicy struct{ emulator.Policy }

func (p forgetfulPolicy) Step(now state.Time, ev machine.Event) []machine.Action {
	fenced, ok := ev.(machine.Fenced)
	if !ok {
		return p.Policy.Step(now, ev)
	}
	out := p.Policy.Step(now, machine.LeaseExpired{VM: fenced.VM})
	fenced.Incarnation = "1"
	return append(out, p.Policy.Step(now, fenced)...)
}

// rigidPolicy ignores that upstreams shrink.
type rigidPolicy struct{ emulator.Policy }

func (p rigidPolicy) Step(now state.Time, ev machine.Event) []machine.Action {
	if fenced, ok := ev.(machine.Fenced); ok {
		fenced.Capacity = wholeUpstream
		ev = fenced
	}
	return p.Policy.Step(now, ev)
}

// TestTroubleBreaksNoInvariant replays tasks that crash upstreams, and upstreams that shrink.
func TestTroubleBreaksNoInvariant(t *testing.T) {
	is := is.New(t)
	got := emulator.Run(troubleTrace(), emulator.Options{New: newMachine(queue.Waiting)})
	is.Equal(got.Violations, nil)
	is.Equal(got.Failed, 2)
	is.Equal(got.Succeeded, 198)
}

// TestUnguardedTroubleIsReported checks that the emulator reports policies without the guards.
func TestUnguardedTroubleIsReported(t *testing.T) {
	tests := []struct {
		name, rule string
		faulty     func(emulator.Policy) emulator.Policy
	}{
		{name: "crashes are not counted", rule: "crash budget", faulty: func(p emulator.Policy) emulator.Policy { return forgetfulPolicy{p} }},
		{name: "smaller capacities are ignored", rule: "capacity", faulty: func(p emulator.Policy) emulator.Policy { return rigidPolicy{p} }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			fresh := newMachine(queue.Waiting)
			got := emulator.Run(troubleTrace(), emulator.Options{New: func(d state.DomainID) emulator.Policy { return tt.faulty(fresh(d)) }})
			found := false
			for _, v := range got.Violations {
				found = found || v.Rule == tt.rule
			}
			is.True(found) // the violation is reported
		})
	}
}
