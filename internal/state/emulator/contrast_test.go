package emulator_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/emulator"
	"github.com/samphirerail/samphirerail/internal/state/machine"
	"github.com/samphirerail/samphirerail/internal/state/queue"
)

// broken is a state machine whose input and output are falsified.
type broken struct {
	policy  emulator.Policy
	event   func(machine.Event) machine.Event
	actions func([]machine.Action) []machine.Action
}

func (b *broken) Step(now state.Time, ev machine.Event) []machine.Action {
	if b.event != nil {
		ev = b.event(ev)
	}
	out := b.policy.Step(now, ev)
	if b.actions != nil {
		out = b.actions(out)
	}
	return out
}

func doubledCapacity(ev machine.Event) machine.Event {
	switch ev := ev.(type) {
	case machine.UpstreamJoined:
		ev.Capacity = ev.Capacity.Scale(2)
		return ev
	case machine.Fenced:
		ev.Capacity = ev.Capacity.Scale(2)
		return ev
	}
	return ev
}

func doubledLimits(ev machine.Event) machine.Event {
	quotas, ok := ev.(machine.QuotasChanged)
	if !ok {
		return ev
	}
	var doubled []machine.Quota
	for _, q := range quotas.Quotas {
		q.Limit = q.Limit.Scale(2)
		doubled = append(doubled, q)
	}
	return machine.QuotasChanged{Quotas: doubled}
}

// unproved takes every lost start for one that never ran.
func unproved(ev machine.Event) machine.Event {
	if lost, ok := ev.(machine.StartUnknown); ok {
		return machine.StartRefused{Task: lost.Task}
	}
	return ev
}

func eachAnswer(change func(machine.Answer) []machine.Action) func([]machine.Action) []machine.Action {
	return func(actions []machine.Action) []machine.Action {
		var out []machine.Action
		for _, action := range actions {
			if a, ok := action.(machine.Answer); ok {
				out = append(out, change(a)...)
				continue
			}
			out = append(out, action)
		}
		return out
	}
}

func twice(a machine.Answer) []machine.Action { return []machine.Action{a, a} }

func never(machine.Answer) []machine.Action { return nil }

func partly(a machine.Answer) []machine.Action {
	if len(a.Outputs) > 1 {
		a.Outputs = a.Outputs[1:]
	}
	return []machine.Action{a}
}

func notRun(a machine.Answer) []machine.Action {
	if a.Refusal != nil {
		refusal := *a.Refusal
		refusal.Verdict = state.NotRun
		a.Refusal = &refusal
	}
	return []machine.Action{a}
}

// TestBreachesAreFound shows that the emulator finds what breaks an invariant.
func TestBreachesAreFound(t *testing.T) {
	tests := []struct {
		name    string
		event   func(machine.Event) machine.Event
		actions func([]machine.Action) []machine.Action
		rule    string
	}{
		{name: "capacity", event: doubledCapacity, rule: "capacity"},
		{name: "limit", event: doubledLimits, rule: "team limit"},
		{name: "rerun without proof", event: unproved, rule: "at most once"},
		{name: "two answers", actions: eachAnswer(twice), rule: "one answer"},
		{name: "no answer", actions: eachAnswer(never), rule: "one answer"},
		{name: "part of the answer", actions: eachAnswer(partly), rule: "whole answer"},
		{name: "false refusal", actions: eachAnswer(notRun), rule: "not run"},
	}
	recorded := readTrace(t, "testdata/coop.jsonl")
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			fresh := newMachine(queue.Waiting)
			got := emulator.Run(recorded, emulator.Options{LostAnswers: 20, New: func(d state.DomainID) emulator.Policy {
				return &broken{policy: fresh(d), event: tt.event, actions: tt.actions}
			}})
			found := false
			for _, b := range got.Breaches {
				found = found || b.Rule == tt.rule
			}
			is.True(found) // the breach is reported
		})
	}
}

// TestManyLostAnswers loses one answer in 20 and expects no breach.
func TestManyLostAnswers(t *testing.T) {
	is := is.New(t)
	recorded := readTrace(t, "testdata/coop.jsonl")
	got := emulator.Run(recorded, emulator.Options{LostAnswers: 20, New: newMachine(queue.Waiting)})
	is.Equal(got.Breaches, nil)
}
