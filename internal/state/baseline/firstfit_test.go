package baseline_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/baseline"
	"github.com/samphirerail/samphirerail/internal/state/machine"
)

// TestOrder checks which jobs start, and in which order, on a single upstream when jobs are
// submitted one after the other and none ends.
func TestOrder(t *testing.T) {
	tests := []struct {
		name string
		// teams and slots are the team and the number of slots of each job, in order of
		// submission.
		teams []state.TeamID
		slots []int64
		want  []state.JobID
	}{
		{name: "all jobs fit", teams: []state.TeamID{"alder", "birch"}, slots: []int64{1, 1}, want: []state.JobID{"0", "1"}},
		{name: "first job without capacity blocks later jobs", teams: []state.TeamID{"alder", "birch", "birch"}, slots: []int64{3, 2, 1}, want: []state.JobID{"0"}},
		{name: "team at its limit blocks only its own jobs", teams: []state.TeamID{"alder", "alder", "birch"}, slots: []int64{3, 1, 1}, want: []state.JobID{"0", "2"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := baseline.New()
			capacity := state.Vector{CPUMilli: 4000, MemoryMB: 4000, Slots: 4}
			f.Step(0, machine.UpstreamJoined{VM: "a", Service: "fitting", Capacity: capacity})
			f.Step(0, machine.Fenced{VM: "a", Incarnation: "1", Capacity: capacity})
			limit := capacity
			limit.Slots = 3
			f.Step(0, machine.QuotasChanged{Quotas: []machine.Quota{
				{Team: "alder", Limit: limit, MaxQueued: 9}, {Team: "birch", Limit: capacity, MaxQueued: 9},
			}})
			var got []state.JobID
			for i, team := range tt.teams {
				id := state.JobID(rune('0' + i))
				job := state.Job{ID: id, Team: team, Class: state.ClassBatch, Service: "fitting", Tasks: 1, Each: state.Vector{Slots: tt.slots[i]}}
				for _, a := range f.Step(0, machine.Submit{Job: job}) {
					if s, ok := a.(machine.Start); ok {
						got = append(got, s.Job.ID)
					}
				}
			}
			is.Equal(got, tt.want)
		})
	}
}
