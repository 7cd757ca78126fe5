package queue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/queue"
)

var one = state.Vector{CPUMilli: 1000, MemoryMB: 1000, Slots: 1}

// item returns an item with the class, urgency and deadline of j and the request one.
func item(id string, team state.TeamID, j state.Job, arrived state.Time) *queue.Item {
	return &queue.Item{
		Job: state.JobID(id), Team: team, Service: "fitting", Each: one, MinTasks: 1,
		Urgent: j.Urgent, Arrived: arrived, Rank: queue.Rank(&j, arrived),
	}
}

// drainOrder removes all items and returns their IDs in order.
func drainOrder(q *queue.Queue) string {
	ids := ""
	for it := q.Next(); it != nil; it = q.Next() {
		ids += string(it.Job) + " "
		q.Remove(it)
	}
	return ids
}

func TestOrderWithinTeam(t *testing.T) {
	batch := state.Job{Class: state.ClassBatch}
	urgent := state.Job{Class: state.ClassBatch, Urgent: true}
	soon := state.Job{Class: state.ClassRequest, Deadline: 2 * time.Second}
	later := state.Job{Class: state.ClassRequest, Deadline: 5 * time.Second}
	tests := []struct {
		name  string
		items []*queue.Item
		want  string
	}{
		{name: "urgent job before an early deadline", items: []*queue.Item{item("a", "t", soon, 0), item("b", "t", urgent, 1)}, want: "b a "},
		{name: "earliest deadline first", items: []*queue.Item{item("a", "t", later, 0), item("b", "t", soon, 1), item("c", "t", batch, 0)}, want: "b a c "},
		{name: "arrival order", items: []*queue.Item{item("a", "t", batch, 5), item("b", "t", batch, 5), item("c", "t", batch, 4)}, want: "c a b "},
		{name: "old batch job before new urgent job", items: []*queue.Item{item("a", "t", batch, 0), item("b", "t", urgent, time.Hour)}, want: "a b "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := queue.New(queue.Share)
			for _, it := range tt.items {
				q.Push(it)
			}
			is.New(t).Equal(drainOrder(q), tt.want)
		})
	}
}

func TestOrderBetweenTeams(t *testing.T) {
	tests := []struct {
		name      string
		objective queue.Objective
		entitled  bool
		want      string
	}{
		{name: "share", objective: queue.Share, entitled: true, want: "low high "},
		{name: "waiting", objective: queue.Waiting, entitled: true, want: "high low "},
		{name: "urgent above its share", objective: queue.Waiting, entitled: false, want: "low high "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := queue.New(tt.objective)
			q.SetShare("alder", 0.1, true)
			q.SetShare("birch", 0.3, tt.entitled)
			q.Push(item("low", "alder", state.Job{Class: state.ClassBatch}, 0))
			q.Push(item("high", "birch", state.Job{Class: state.ClassBatch, Urgent: true}, 1))
			is.New(t).Equal(drainOrder(q), tt.want)
		})
	}
}

// TestWaitingOrdersByRank submits the newer job for the team with the lower share, so that
// the order by share and the order by rank differ.
func TestWaitingOrdersByRank(t *testing.T) {
	batch := state.Job{Class: state.ClassBatch}
	urgent := state.Job{Class: state.ClassBatch, Urgent: true}
	tests := []struct {
		name                      string
		objective                 queue.Objective
		lowEntitled, highEntitled bool
		lowShareJob               state.Job
		want                      string
	}{
		{name: "share", objective: queue.Share, lowEntitled: true, highEntitled: true, lowShareJob: batch, want: "new old "},
		{name: "both within their share", objective: queue.Waiting, lowEntitled: true, highEntitled: true, lowShareJob: batch, want: "old new "},
		{name: "one above its share", objective: queue.Waiting, lowEntitled: true, highEntitled: false, lowShareJob: batch, want: "new old "},
		{name: "both above their share", objective: queue.Waiting, lowEntitled: false, highEntitled: false, lowShareJob: batch, want: "old new "},
		{name: "urgent above its share", objective: queue.Waiting, lowEntitled: false, highEntitled: false, lowShareJob: urgent, want: "old new "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := queue.New(tt.objective)
			q.SetShare("alder", 0.1, tt.lowEntitled)
			q.SetShare("birch", 0.3, tt.highEntitled)
			q.Push(item("new", "alder", tt.lowShareJob, 1))
			q.Push(item("old", "birch", batch, 0))
			is.New(t).Equal(drainOrder(q), tt.want)
		})
	}
}

func TestBlocked(t *testing.T) {
	is := is.New(t)
	q := queue.New(queue.Share)
	first := item("a", "alder", state.Job{Class: state.ClassBatch}, 0)
	q.Push(first)
	q.Push(item("b", "birch", state.Job{Class: state.ClassBatch}, 1))
	q.Block(first, queue.NoCapacity)
	is.Equal(q.Next(), nil) // The item of the other team has the same size and is blocked too.
	q.CapacityFreed("fitting", state.Vector{CPUMilli: 500, MemoryMB: 5000, Slots: 1})
	is.Equal(q.Next(), nil)
	q.CapacityFreed("fitting", one)
	is.Equal(q.Next(), first)
	q.Block(first, queue.OverTeamLimit)
	is.Equal(q.Blocked(first), queue.OverTeamLimit)
	is.Equal(q.Next().Job, state.JobID("b"))
	q.TeamLimitFreed("alder")
	is.Equal(q.Next(), first)
}

// TestMoreSizesThanInfeasibleSet blocks more sizes, none of which includes another, than are
// kept per service.
func TestMoreSizesThanInfeasibleSet(t *testing.T) {
	is := is.New(t)
	q := queue.New(queue.Share)
	for i := range 200 {
		it := item(fmt.Sprint(i), "alder", state.Job{Class: state.ClassBatch}, 0)
		it.Each = state.Vector{CPUMilli: int64(1000 + i), MemoryMB: int64(100000 - 300*i), Slots: 1}
		q.Push(it)
	}
	blocks := 0
	for it := q.Next(); it != nil; it = q.Next() {
		q.Block(it, queue.NoCapacity)
		blocks++
	}
	is.True(blocks <= 200)
	q.CapacityFreed("fitting", state.Vector{CPUMilli: 1 << 40, MemoryMB: 1 << 40, Slots: 8})
	is.True(q.Next() != nil)
}
