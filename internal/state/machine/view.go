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

// TaskView tells where a task of a job is. Task and VM are empty while it
// waits.
type TaskView struct {
	Index int
	Task  state.TaskID
	VM    state.VMID
	State TaskState
}

// JobView is what the machine knows of a job.
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
	// Waiting explains why a queued job waits; empty for others.
	Waiting string
	// Waited is the time since the job arrived, until it ended.
	Waited time.Duration
	// Retries is how much of the retry budget is used.
	Retries int
	// Adopted says that the job was rebuilt from what workers reported.
	Adopted bool
}

// TeamStats is what a team holds and what waits of it.
type TeamStats struct {
	Team   state.TeamID
	Usage  state.Vector
	Limit  state.Vector
	Queued int
	// Share is the team's dominant share of the fenced upstreams.
	Share float64
	// Corrected is the largest ratio of measured to declared use.
	Corrected float64
}

// Stats sums up a shard.
type Stats struct {
	// Queued counts jobs, Running counts tasks that may run.
	Queued    int
	Running   int
	Upstreams int
	// Fenced counts the upstreams that obey this owner.
	Fenced  int
	Ejected int
	// Unknown is the capacity that counts as full for every team.
	Unknown state.Vector
	// Capacity is that of all upstreams that were fenced.
	Capacity state.Vector
	// Teams are in the order of their IDs.
	Teams []TeamStats
}

// Job returns what is known of a job, and false when nothing is.
func (m *Machine) Job(id state.JobID) (JobView, bool) {
	j, ok := m.jobs[id]
	if !ok {
		return JobView{}, false
	}
	v := JobView{
		ID: id, Team: j.spec.Team, Class: j.spec.Class, State: j.state,
		Refusal: j.refusal, Retries: j.retries, Adopted: j.adopted,
	}
	for i := range j.slots {
		v.Tasks = append(v.Tasks, j.slots[i].view(i))
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

func (s *slot) view(index int) TaskView {
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

// explain tells why a job, or the rest of its tasks, waits.
func (m *Machine) explain(j *job) string {
	t := m.team(j.spec.Team)
	switch {
	case j.ending != nil:
		return "its running tasks are being stopped"
	case j.held:
		return fmt.Sprintf("%d upstreams of service %s are not fenced yet, and an earlier owner may run it there",
			m.service(j.spec.Service).unknown, j.spec.Service)
	case j.regroup:
		return "the gang's tasks are being stopped, to be placed again"
	case j.delayed > 0:
		return fmt.Sprintf("retry %d of %d waits", j.retries, m.cfg.MaxRetries)
	case !j.item.Queued():
		return ""
	}
	switch m.queue.Blocked(&j.item) {
	case queue.Limit:
		return fmt.Sprintf("team %s holds %s of %s, and %s on upstreams not fenced yet counts as held",
			t.id, t.usage, t.quota.Limit, m.unknown)
	case queue.Room:
		return fmt.Sprintf("no upstream of service %s has room for %s", j.spec.Service, j.amount)
	case queue.None:
	}
	return "other work goes first"
}

// Stats sums up the shard.
func (m *Machine) Stats() Stats {
	s := Stats{Running: m.running, Upstreams: len(m.upstreams), Unknown: m.unknown, Capacity: m.capacity}
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
