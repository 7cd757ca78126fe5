package machine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state"
)

// gangShard returns a machine with upstreams of four slots and two teams.
func gangShard(vms map[state.VMID]state.Service, limit int64) *Machine {
	m := New(DefaultConfig())
	capacity := state.Vector{CPUMilli: 4000, MemoryMB: 4000, Slots: 4}
	for vm, service := range vms {
		m.Step(0, UpstreamJoined{VM: vm, Service: service, Capacity: capacity})
		m.Step(0, Fenced{VM: vm, Incarnation: "1", Capacity: capacity})
	}
	all := capacity.Scale(10)
	all.Slots = limit
	m.Step(0, QuotasChanged{Quotas: []Quota{
		{Team: "alder", Weight: 1, MaxQueued: 10, Limit: all},
		{Team: "birch", Weight: 1, MaxQueued: 10, Limit: capacity.Scale(10)},
	}})
	return m
}

func submitTo(m *Machine, at state.Time, id state.JobID, team state.TeamID, class state.Class, service state.Service, tasks int) []Start {
	var starts []Start
	for _, a := range m.Step(at, Submit{Job: state.Job{
		ID: id, Team: team, Class: class, Service: service, Tasks: tasks,
		Each: state.Vector{CPUMilli: 1000, MemoryMB: 1000, Slots: 1}, Idempotent: true,
	}}) {
		if s, ok := a.(Start); ok {
			starts = append(starts, s)
		}
	}
	return starts
}

func TestGangReservesDrainableUpstreams(t *testing.T) {
	is := is.New(t)
	m := gangShard(map[state.VMID]state.Service{"a": "fitting"}, 40)
	is.Equal(len(submitTo(m, 0, "d.1", "birch", state.ClassStanding, "fitting", 2)), 2)
	capacity := m.upstreams["a"].capacity
	m.Step(0, UpstreamJoined{VM: "b", Service: "fitting", Capacity: capacity})
	m.Step(0, Fenced{VM: "b", Incarnation: "1", Capacity: capacity})
	m.Step(0, UpstreamUnreachable{VM: "a"})
	is.Equal(len(submitTo(m, 0, "d.2", "birch", state.ClassBatch, "fitting", 3)), 3)
	m.Step(0, UpstreamReachable{VM: "a"})
	is.Equal(len(submitTo(m, 0, "d.3", "alder", state.ClassGang, "fitting", 4)), 0)
	m.Step(m.cfg.GangReserveAfter, Tick{})
	is.True(m.upstreams["b"].reservedFor == m.jobs["d.3"]) // upstream a cannot be drained because a standing job runs there
}

func TestGangOfTeamAtLimitReservesNothing(t *testing.T) {
	is := is.New(t)
	m := gangShard(map[state.VMID]state.Service{"a": "fitting", "b": "fitting", "c": "design"}, 6)
	running := submitTo(m, 0, "d.1", "birch", state.ClassBatch, "fitting", 4)
	is.Equal(len(running), 4)
	is.Equal(len(submitTo(m, 0, "d.2", "alder", state.ClassGang, "fitting", 6)), 0)
	m.Step(m.cfg.GangReserveAfter, Tick{})
	is.True(m.service("fitting").reservedFor == m.jobs["d.2"])
	at := m.cfg.GangReserveAfter + time.Second
	is.Equal(len(submitTo(m, at, "d.3", "alder", state.ClassRequest, "design", 1)), 1)
	m.Step(at, Started{Task: running[0].Task})
	m.Step(at, Ended{Task: running[0].Task, End: EndSucceeded})
	is.True(m.service("fitting").reservedFor == nil) // the gang would exceed the limit of its team
	is.Equal(len(submitTo(m, at, "d.4", "birch", state.ClassRequest, "fitting", 1)), 1)
}
