package machine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state"
)

// succeed ends the started tasks successfully.
func succeed(m *Machine, at state.Time, starts []Start) {
	for _, s := range starts {
		m.Step(at, Ended{Task: s.Task, End: EndSucceeded})
	}
}

// reservedShard returns a machine whose two upstreams are reserved for a gang. Three
// slots of each are in use by batch tasks with an expected run time of 20 s, and the
// measured run time of requests is 40 ms. The time is 6 s.
func reservedShard(t *testing.T) (m *Machine, running []Start) {
	t.Helper()
	m = gangShard(map[state.VMID]state.Service{"a": "fitting", "b": "fitting"}, 40)
	var at state.Time
	for i := range runSamples {
		id := state.JobID(fmt.Sprintf("d.r%d", i))
		starts := submitTo(m, at, id, "alder", state.ClassRequest, "fitting", 1)
		at += 40 * time.Millisecond
		succeed(m, at, starts)
	}
	m.correction(&state.Job{Team: "birch", Class: state.ClassBatch, Service: "fitting"}).run = average{value: float64(20 * time.Second), count: runSamples}
	running = submitTo(m, at, "d.b", "birch", state.ClassBatch, "fitting", 6)
	submitTo(m, at, "d.g", "birch", state.ClassGang, "fitting", 8)
	m.Step(6*time.Second, Tick{})
	is.New(t).True(m.service("fitting").reservedFor == m.jobs["d.g"])
	return m, running
}

func TestBackfill(t *testing.T) {
	tests := []struct {
		name  string
		class state.Class
		at    time.Duration
		want  int
	}{
		{name: "short request", class: state.ClassRequest, at: 6 * time.Second, want: 1},
		{name: "batch task of unknown run time", class: state.ClassBatch, at: 6 * time.Second, want: 0},
		{name: "standing job", class: state.ClassStanding, at: 6 * time.Second, want: 0},
		{name: "request that would end after the gang can start", class: state.ClassRequest, at: 20*time.Second + 190*time.Millisecond, want: 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m, _ := reservedShard(t)
			is.New(t).Equal(len(submitTo(m, tt.at, "d.s", "alder", tt.class, "fitting", 1)), tt.want)
		})
	}
}

// TestBackfillDoesNotDelayGang guards against backfill that postpones the gang: once
// the tasks that the gang waits for have ended, nothing more is placed on the reserved
// upstreams, although a backfilled task is still running there.
func TestBackfillDoesNotDelayGang(t *testing.T) {
	is := is.New(t)
	m, running := reservedShard(t)
	at := 7 * time.Second
	short := submitTo(m, at, "d.s1", "alder", state.ClassRequest, "fitting", 1)
	is.Equal(len(short), 1)
	succeed(m, at, running)
	is.Equal(len(submitTo(m, at, "d.s2", "alder", state.ClassRequest, "fitting", 1)), 0)
	gang := 0
	for _, a := range m.Step(at, Ended{Task: short[0].Task, End: EndSucceeded}) {
		if s, ok := a.(Start); ok && s.Job.ID == "d.g" {
			gang++
		}
	}
	is.Equal(gang, 8)
}

// TestShortTaskWaitsForReservedCapacity checks that a queued short task is placed when
// a reserved upstream gains capacity for it, ahead of a longer task that may not run
// there.
func TestShortTaskWaitsForReservedCapacity(t *testing.T) {
	is := is.New(t)
	m, running := reservedShard(t)
	at := 7 * time.Second
	fill := append(submitTo(m, at, "d.s1", "alder", state.ClassRequest, "fitting", 1), submitTo(m, at, "d.s2", "alder", state.ClassRequest, "fitting", 1)...)
	is.Equal(len(fill), 2)
	is.Equal(len(submitTo(m, at, "d.long", "alder", state.ClassBatch, "fitting", 1)), 0)
	is.Equal(len(submitTo(m, at, "d.s3", "alder", state.ClassRequest, "fitting", 1)), 0)
	started := m.Step(at, Ended{Task: running[0].Task, End: EndSucceeded})
	var jobs []state.JobID
	for _, a := range started {
		if s, ok := a.(Start); ok {
			jobs = append(jobs, s.Job.ID)
		}
	}
	is.Equal(jobs, []state.JobID{"d.s3"})
}
