package trace

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

// Format identifies the line format and its version.
const Format = "samphirerail-trace/1"

// Header is the first line of a trace.
type Header struct {
	Format     string     `json:"format"`
	Deployment Deployment `json:"deployment"`
	Seed       uint64     `json:"seed"`
}

// Trace is a complete recording.
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

// Kind is the type of an event. It determines which fields of the event are set.
type Kind string

// The kinds of events.
const (
	// KindUpstream adds an upstream without tasks to the cell.
	KindUpstream Kind = "upstream"
	// KindTeam gives a team a quota in every failure domain.
	KindTeam Kind = "team"
	// KindSubmit means that a caller submits a job.
	KindSubmit Kind = "submit"
	// KindCancel means that a caller cancels a job.
	KindCancel Kind = "cancel"
	// KindLost means that an upstream fails together with all its tasks.
	KindLost Kind = "lost"
	// KindBack means that a lost upstream restarts without tasks.
	KindBack Kind = "back"
	// KindFaulty means that every task started on an upstream fails at once from now
	// on.
	KindFaulty Kind = "faulty"
	// KindRepaired means that a faulty upstream runs tasks normally again.
	KindRepaired Kind = "repaired"
	// KindResized means that the capacity of an upstream changes. Its tasks continue.
	KindResized Kind = "resized"
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
	// Capacity is the new capacity of a resized upstream.
	Capacity *Amount `json:"capacity,omitempty"`
}

// Time returns the virtual time of the event.
func (e *Event) Time() state.Time { return micros(e.AtMicros) }

// Amount is the resources that a task needs or an upstream has.
type Amount struct {
	CPUMilli     int64 `json:"cpu_milli"`
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators,omitempty"`
	Slots        int64 `json:"slots"`
}

// Vector converts the amount to a state.Vector.
func (a Amount) Vector() state.Vector {
	return state.Vector{CPUMilli: a.CPUMilli, MemoryMB: a.MemoryMB, Accelerators: a.Accelerators, Slots: a.Slots}
}

// AmountOf converts a state.Vector to an amount.
func AmountOf(v state.Vector) Amount {
	return Amount{CPUMilli: v.CPUMilli, MemoryMB: v.MemoryMB, Accelerators: v.Accelerators, Slots: v.Slots}
}

// Upstream describes an upstream VM of the cell.
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
	// Limit is the allotment of the team in each failure domain.
	Limit Amount `json:"limit"`
}

// Submit is a job as declared by its caller, together with its actual behaviour.
type Submit struct {
	ID      state.JobID    `json:"id"`
	Domain  state.DomainID `json:"domain"`
	Team    state.TeamID   `json:"team"`
	Class   state.Class    `json:"class"`
	Service state.Service  `json:"service"`
	Tasks   int            `json:"tasks"`
	Each    Amount         `json:"each"`
	// DeclaredMicros is the declared run time of a task in microseconds; 0 if none is
	// declared.
	DeclaredMicros int64 `json:"declared,omitempty"`
	// DeadlineMicros is the deadline in microseconds after the submission; 0 if there
	// is none.
	DeadlineMicros int64 `json:"deadline,omitempty"`
	Urgent         bool  `json:"urgent,omitempty"`
	Idempotent     bool  `json:"idempotent,omitempty"`
	Preemptible    bool  `json:"preemptible,omitempty"`
	// ActualMicros is the actual run time of a task in microseconds; 0 means that it
	// runs until cancelled.
	ActualMicros int64 `json:"actual,omitempty"`
	// UsePercent is the actual use of processors and memory, in percent of the declared
	// amounts.
	UsePercent int64 `json:"use_percent"`
	// Fails means that every run of a task of the job fails at its end.
	Fails bool `json:"fails,omitempty"`
	// CrashMicros is how long after its start a task of the job crashes its upstream, in
	// microseconds; 0 means never.
	CrashMicros int64 `json:"crash,omitempty"`
}

// CrashTime returns how long after its start a task crashes its upstream; 0 means never.
func (s *Submit) CrashTime() time.Duration { return micros(s.CrashMicros) }

// Spec returns the job as it is submitted to a shard at the given time.
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

// ActualRunTime returns the actual run time of a task; 0 means that it runs until
// cancelled.
func (s *Submit) ActualRunTime() time.Duration { return micros(s.ActualMicros) }

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
