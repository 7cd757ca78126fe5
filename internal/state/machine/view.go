package machine

import (
	"fmt"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/queue"
)

// TaskState is the progress of a task.
type TaskState string

// The states of a task.
const (
	TaskWaiting   TaskState = "waiting"
	TaskStarting  TaskState = "starting"
	TaskResolving TaskState = "resolving"
	TaskRunning   TaskState = "running"
	TaskStopping  TaskState = "stopping"
	TaskDone      TaskState = "done"
)

// TaskView is the state and the location of one task of a job. Task and VM are empty
// while it waits.
type TaskView struct {
	Index int
	Task  state.TaskID
	VM    state.VMID
	State TaskState
}

// JobView is a snapshot of what the machine knows about a job.
type JobView struct {
	ID    state.JobID
	Team  state.TeamID
	Class state.Class
	State state.JobState
	Tasks []TaskView
	// Outputs are by task index; set when State is succeeded.
	Outputs [][]byte
	// Refusal is set when the job ended without success.
	Refusal *state.Refusal
	// Waiting explains why a queued job waits; empty for other jobs.
	Waiting string
	// Waited is the time since the job arrived; zero once the job has ended.
	Waited time.Duration
	// Retries is the number of retries that were used.
	Retries int
	// Adopted is set when the job was rebuilt from the tasks that workers reported.
	Adopted bool
}

// TeamStats is the usage and the queue length of a team.
type TeamStats struct {
	Team   state.TeamID
	Usage  state.Vector
	Limit  state.Vector
	Queued int
	// Share is the team's dominant share of the capacity of all fenced upstreams.
	Share float64
	// Corrected is the largest ratio of measured to declared use, at least 1.
	Corrected float64
}

// Stats is a summary of a shard.
type Stats struct {
	// Queued counts jobs, Running counts attempts that may be running.
	Queued    int
	Running   int
	Upstreams int
	// Fenced counts the upstreams that are fenced by this owner.
	Fenced  int
	Ejected int
	// Unreconciled is the capacity of the unreconciled upstreams, which counts as used
	// for every team.
	Unreconciled state.Vector
	// Capacity is the total capacity of all upstreams that were fenced.
	Capacity state.Vector
	// Teams are in the order of their IDs.
	Teams []TeamStats
}

// Job returns a snapshot of a job, and false when the job is not known.
func (m *Machine) Job(id state.JobID) (JobView, bool) {
	j, ok := m.jobs[id]
	if !ok {
		return JobView{}, false
	}
	v := JobView{
		ID: id, Team: j.spec.Team, Class: j.spec.Class, State: j.state,
		Refusal: j.refusal, Retries: j.retries, Adopted: j.adopted,
	}
	for i := range j.tasks {
		v.Tasks = append(v.Tasks, j.tasks[i].view(i))
	}
	if j.state == state.JobSucceeded {
		v.Outputs = j.outputs()
	}
	if !j.state.Ended() {
		v.Waited = m.now - j.arrived
		v.Waiting = m.explain(j)
	}
	return v, true
}

func (s *taskRecord) view(index int) TaskView {
	v := TaskView{Index: index, State: TaskWaiting}
	if s.done {
		v.State = TaskDone
	}
	a := s.current
	if a == nil {
		return v
	}
	v.Task = a.id
	v.VM = a.up.vm
	switch {
	case a.verb != "":
		v.State = TaskStopping
	case a.phase == phaseRunning:
		v.State = TaskRunning
	case a.phase == phaseResolving:
		v.State = TaskResolving
	default:
		v.State = TaskStarting
	}
	return v
}

// explain returns why a job, or the rest of its tasks, waits.
func (m *Machine) explain(j *job) string {
	t := m.team(j.spec.Team)
	switch {
	case j.deferred != nil:
		return "its running tasks are being stopped"
	case j.awaitingReconcile:
		return fmt.Sprintf("%d upstreams of service %s are not fenced yet, and an earlier owner may run it there",
			m.service(j.spec.Service).unreconciled, j.spec.Service)
	case j.gangRestart:
		return "the gang's tasks are being stopped, to be placed again"
	case j.delayed > 0:
		return fmt.Sprintf("retry %d of %d waits", j.retries, m.cfg.MaxRetries)
	case !j.item.Queued():
		return ""
	}
	if m.evacuated {
		return "the failure domain " + string(m.cfg.Domain) + " is evacuated"
	}
	switch m.queue.Blocked(&j.item) {
	case queue.OverTeamLimit:
		return fmt.Sprintf("team %s holds %s of %s, and %s on upstreams not fenced yet counts as held",
			t.id, t.usage, t.quota.Limit, m.unreconciled)
	case queue.NoCapacity:
		return fmt.Sprintf("no upstream of service %s has room for %s", j.spec.Service, j.amount)
	case queue.NotBlocked:
	}
	return "other work goes first"
}

// Stats returns a summary of the shard.
func (m *Machine) Stats() Stats {
	s := Stats{Running: m.running, Upstreams: len(m.upstreams), Unreconciled: m.unreconciled, Capacity: m.capacity}
	for _, u := range m.upstreams {
		if u.fenced {
			s.Fenced++
		}
		if u.health.ejected {
			s.Ejected++
		}
	}
	for _, t := range m.teamOrder {
		s.Queued += t.queued
		s.Teams = append(s.Teams, TeamStats{
			Team: t.id, Usage: t.usage, Limit: t.quota.Limit, Queued: t.queued,
			Share: t.usage.DominantShare(m.capacity), Corrected: m.corrected(t.id),
		})
	}
	return s
}

func (m *Machine) corrected(id state.TeamID) float64 {
	largest := 1.0
	for _, s := range m.services {
		for _, c := range s.corrections {
			if c.team == id {
				largest = max(largest, c.cpu, c.memory)
			}
		}
	}
	return largest
}
