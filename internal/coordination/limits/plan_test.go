package limits_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/coordination/limits"
	"github.com/samphirerail/samphirerail/internal/state"
)

func vector(n int64) state.Vector {
	return state.Vector{CPUMilli: n * 1000, MemoryMB: n * 1024, Slots: n}
}

func TestShort(t *testing.T) {
	tests := []struct {
		name  string
		usage limits.Usage
		short bool
	}{
		{name: "no queued jobs", usage: limits.Usage{Allotment: vector(4), Used: vector(4)}},
		{name: "queued job, allotment mostly unused", usage: limits.Usage{Allotment: vector(10), Used: vector(2), Queued: 1}},
		{name: "queued job, allotment nearly used up", usage: limits.Usage{Allotment: vector(10), Used: vector(9), Queued: 1}, short: true},
		{name: "queued job, no allotment", usage: limits.Usage{Queued: 1}, short: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(tt.usage.Short(), tt.short)
		})
	}
}

func TestPlan(t *testing.T) {
	south := limits.Request{Domain: "south", Team: "a"}
	tests := []struct {
		name     string
		usage    []limits.Usage
		requests []limits.Request
		want     []limits.Move
	}{
		{name: "no request", usage: []limits.Usage{{Team: "a", Allotment: vector(8)}}},
		{name: "half of the unused amount", usage: []limits.Usage{{Team: "a", Allotment: vector(8), Used: vector(2)}}, requests: []limits.Request{south}, want: []limits.Move{{Team: "a", To: "south", Amount: vector(3)}}},
		{name: "donor has queued jobs", usage: []limits.Usage{{Team: "a", Allotment: vector(8), Queued: 1}}, requests: []limits.Request{south}},
		{name: "nothing unused", usage: []limits.Usage{{Team: "a", Allotment: vector(8), Used: vector(8)}}, requests: []limits.Request{south}},
		{name: "used beyond the allotment", usage: []limits.Usage{{Team: "a", Allotment: vector(8), Used: vector(9)}}, requests: []limits.Request{south}},
		{name: "one move per team", usage: []limits.Usage{{Team: "a", Allotment: vector(8)}}, requests: []limits.Request{south, {Domain: "west", Team: "a"}}, want: []limits.Move{{Team: "a", To: "south", Amount: vector(4)}}},
		{name: "unknown team", usage: []limits.Usage{{Team: "b", Allotment: vector(8)}}, requests: []limits.Request{south}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(limits.Plan(tt.usage, tt.requests), tt.want)
		})
	}
}
