package emulator_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/emulator"
	"github.com/samphirerail/samphirerail/internal/state/machine"
	"github.com/samphirerail/samphirerail/internal/state/queue"
)

// faultyPolicy wraps a policy and falsifies its input and output.
type faultyPolicy struct {
	policy  emulator.Policy
	event   func(machine.Event) machine.Event
	actions func([]machine.Action) []machine.Action
}

func (p *faultyPolicy) Step(now state.Time, ev machine.Event) []machine.Action {
	if p.event != nil {
		ev = p.event(ev)
	}
	out := p.policy.Step(now, ev)
	if p.actions != nil {
		out = p.actions(out)
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

// startUnconfirmedAsRefused reports every unconfirmed start as refused, as if the task had
// never run.
func startUnconfirmedAsRefused(ev machine.Event) machine.Event {
	if unconfirmed, ok := ev.(machine.StartUnconfirmed); ok {
		return machine.StartRefused{Task: unconfirmed.Task}
	}
	return ev
}

func mapAnswers(change func(machine.Answer) []machine.Action) func([]machine.Action) []machine.Action {
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

func duplicateAnswer(a machine.Answer) []machine.Action { return []machine.Action{a, a} }

func dropAnswer(machine.Answer) []machine.Action { return nil }

func truncateAnswer(a machine.Answer) []machine.Action {
	if len(a.Outputs) > 1 {
		a.Outputs = a.Outputs[1:]
	}
	return []machine.Action{a}
}

func claimNotRun(a machine.Answer) []machine.Action {
	if a.Refusal != nil {
		refusal := *a.Refusal
		refusal.Verdict = state.NotRun
		a.Refusal = &refusal
	}
	return []machine.Action{a}
}

// TestViolationsAreReported checks that the emulator reports each kind of violated
// invariant.
func TestViolationsAreReported(t *testing.T) {
	tests := []struct {
		name    string
		event   func(machine.Event) machine.Event
		actions func([]machine.Action) []machine.Action
		rule    string
	}{
		{name: "capacity", event: doubledCapacity, rule: "capacity"},
		{name: "limit", event: doubledLimits, rule: "team limit"},
		{name: "rerun of an unconfirmed start", event: startUnconfirmedAsRefused, rule: "at most once"},
		{name: "duplicate answer", actions: mapAnswers(duplicateAnswer), rule: "one answer"},
		{name: "missing answer", actions: mapAnswers(dropAnswer), rule: "one answer"},
		{name: "incomplete answer", actions: mapAnswers(truncateAnswer), rule: "whole answer"},
		{name: "false refusal", actions: mapAnswers(claimNotRun), rule: "not run"},
	}
	recorded := readTrace(t, "testdata/coop.jsonl")
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			fresh := newMachine(queue.Waiting)
			got := emulator.Run(recorded, emulator.Options{LostResponses: 20, New: func(d state.DomainID) emulator.Policy {
				return &faultyPolicy{policy: fresh(d), event: tt.event, actions: tt.actions}
			}})
			found := false
			for _, v := range got.Violations {
				found = found || v.Rule == tt.rule
			}
			is.True(found) // the violation is reported
		})
	}
}

// TestLostStartResponsesCauseNoViolation loses the response to one start in 20 and
// expects no violation.
func TestLostStartResponsesCauseNoViolation(t *testing.T) {
	is := is.New(t)
	recorded := readTrace(t, "testdata/coop.jsonl")
	got := emulator.Run(recorded, emulator.Options{LostResponses: 20, New: newMachine(queue.Waiting)})
	is.Equal(got.Violations, nil)
}
