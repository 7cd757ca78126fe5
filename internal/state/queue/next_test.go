package queue_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/queue"
)

// TestNextAfterChange blocks every item, so that Next returns nil, and checks that a change
// which may make an item placeable makes Next return it.
func TestNextAfterChange(t *testing.T) {
	item := func(id state.JobID, cpu int64, rank state.Time) *queue.Item {
		return &queue.Item{Job: id, Team: "alder", Service: "fitting", Each: state.Vector{CPUMilli: cpu, Slots: 1}, MinTasks: 1, Rank: rank}
	}
	tests := []struct {
		name   string
		cause  queue.BlockCause
		change func(q *queue.Queue, first *queue.Item)
		want   state.JobID
	}{
		{name: "no change", cause: queue.NoCapacity, change: func(*queue.Queue, *queue.Item) {}},
		{name: "smaller item pushed", cause: queue.NoCapacity, change: func(q *queue.Queue, _ *queue.Item) { q.Push(item("small", 10, 9)) }, want: "small"},
		{name: "capacity freed", cause: queue.NoCapacity, change: func(q *queue.Queue, _ *queue.Item) {
			q.CapacityFreed("fitting", state.Vector{CPUMilli: 2000, Slots: 1})
		}, want: "first"},
		{name: "capacity of another service freed", cause: queue.NoCapacity, change: func(q *queue.Queue, _ *queue.Item) {
			q.CapacityFreed("design", state.Vector{CPUMilli: 2000, Slots: 1})
		}},
		{name: "limit of the team freed", cause: queue.OverTeamLimit, change: func(q *queue.Queue, _ *queue.Item) { q.TeamLimitFreed("alder") }, want: "first"},
		{name: "limits of all teams freed", cause: queue.OverTeamLimit, change: func(q *queue.Queue, _ *queue.Item) { q.AllLimitsFreed() }, want: "first"},
		{name: "first item removed", cause: queue.OverTeamLimit, change: func(q *queue.Queue, first *queue.Item) { q.Remove(first) }, want: "second"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			q := queue.New(queue.Share)
			first := item("first", 1000, 1)
			q.Push(first)
			q.Push(item("second", 900, 2))
			for it := q.Next(); it != nil; it = q.Next() {
				q.Block(it, tt.cause)
			}
			tt.change(q, first)
			var got state.JobID
			if it := q.Next(); it != nil {
				got = it.Job
			}
			is.Equal(got, tt.want)
		})
	}
}
