package trace

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

// Format names the version of the line format.
const Format = "samphirerail-trace/1"

// Header is the first line of a trace.
type Header struct {
	Format     string     `json:"format"`
	Deployment Deployment `json:"deployment"`
	Seed       uint64     `json:"seed"`
}

// Trace is a whole recording.
type Trace struct {
	Header Header
	// Events are in order of time.
	Events []Event
}

// End returns the time of the last event.
func (t *Trace) End() state.Time {
	if len(t.Events) == 0 {
		return 0
	}
	return t.Events[len(t.Events)-1].Time()
}

// Kind tells what an event is, and which of its parts is set.
type Kind string

// The kinds of events.
const (
	// KindUpstream: an upstream without tasks becomes part of the cell.
	KindUpstream Kind = "upstream"
	// KindTeam: a team gets a quota in every failure domain.
	KindTeam Kind = "team"
	// KindSubmit: a caller submits a job.
	KindSubmit Kind = "submit"
	// KindCancel: a caller cancels a job.
	KindCancel Kind = "cancel"
	// KindLost: an upstream dies with all that it runs.
	KindLost Kind = "lost"
	// KindBack: a lost upstream starts again, empty.
	KindBack Kind = "back"
	// KindFaulty: from now on an upstream fails all it starts, at once.
	KindFaulty Kind = "faulty"
	// KindRepaired: a faulty upstream works again.
	KindRepaired Kind = "repaired"
)

// Event is one line of a trace.
type Event struct {
	// AtMicros is the virtual time in microseconds since the start.
	AtMicros int64       `json:"at"`
	Kind     Kind        `json:"event"`
	Upstream *Upstream   `json:"upstream,omitempty"`
	Team     *Team       `json:"team,omitempty"`
	Submit   *Submit     `json:"submit,omitempty"`
	Job      state.JobID `json:"job,omitempty"`
	VM       state.VMID  `json:"vm,omitempty"`
}

// Time returns the virtual time of the event.
func (e *Event) Time() state.Time { return micros(e.AtMicros) }

// Amount is what a task takes or an upstream has.
type Amount struct {
	CPUMilli     int64 `json:"cpu_milli"`
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators,omitempty"`
	Slots        int64 `json:"slots"`
}

// Vector returns the amount as the state layer has it.
func (a Amount) Vector() state.Vector {
	return state.Vector{CPUMilli: a.CPUMilli, MemoryMB: a.MemoryMB, Accelerators: a.Accelerators, Slots: a.Slots}
}

// AmountOf converts a vector.
func AmountOf(v state.Vector) Amount {
	return Amount{CPUMilli: v.CPUMilli, MemoryMB: v.MemoryMB, Accelerators: v.Accelerators, Slots: v.Slots}
}

// Upstream describes a VM of the cell.
type Upstream struct {
	VM       state.VMID     `json:"vm"`
	Domain   state.DomainID `json:"domain"`
	Rack     string         `json:"rack"`
	Service  state.Service  `json:"service"`
	Capacity Amount         `json:"capacity"`
}

// Team is the quota of a team, the same in every failure domain.
type Team struct {
	ID        state.TeamID `json:"id"`
	Weight    int          `json:"weight"`
	MaxQueued int          `json:"max_queued"`
	// Limit is the team's allotment in each failure domain.
	Limit Amount `json:"limit"`
}

// Submit is a job as its caller declares it, and how it really behaves.
type Submit struct {
	ID      state.JobID    `json:"id"`
	Domain  state.DomainID `json:"domain"`
	Team    state.TeamID   `json:"team"`
	Class   state.Class    `json:"class"`
	Service state.Service  `json:"service"`
	Tasks   int            `json:"tasks"`
	Each    Amount         `json:"each"`
	// DeclaredMicros is the declared run time of a task; 0 when there is none.
	DeclaredMicros int64 `json:"declared,omitempty"`
	// DeadlineMicros is counted from the submission; 0 when there is none.
	DeadlineMicros int64 `json:"deadline,omitempty"`
	Urgent         bool  `json:"urgent,omitempty"`
	Idempotent     bool  `json:"idempotent,omitempty"`
	Preemptible    bool  `json:"preemptible,omitempty"`
	// ActualMicros is how long a task really runs; 0 means until cancelled.
	ActualMicros int64 `json:"actual,omitempty"`
	// UsePercent is the real use of processors and memory, in percent of
	// what is declared.
	UsePercent int64 `json:"use_percent"`
	// Fails says that every run of the job's tasks fails at its end.
	Fails bool `json:"fails,omitempty"`
}

// Spec returns the job that a shard is given at a time.
func (s *Submit) Spec(now state.Time) state.Job {
	job := state.Job{
		ID: s.ID, Team: s.Team, Class: s.Class, Service: s.Service,
		Tasks: s.Tasks, Each: s.Each.Vector(), RunTime: micros(s.DeclaredMicros),
		Urgent: s.Urgent, Idempotent: s.Idempotent, Preemptible: s.Preemptible,
	}
	if s.DeadlineMicros > 0 {
		job.Deadline = now + micros(s.DeadlineMicros)
	}
	return job
}

// Actual returns how long a task really runs; 0 means until cancelled.
func (s *Submit) Actual() time.Duration { return micros(s.ActualMicros) }

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
