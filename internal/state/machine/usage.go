package machine

import "github.com/samphirerail/samphirerail/internal/state"

const (
	// correctionWeight is the weight of the newest measurement.
	correctionWeight = 0.2
	// maxRatio bounds how far a declared amount is corrected.
	maxRatio = 8.0
)

// correction is by how much the tasks of a team and class use more of a service
// than they declare.
type correction struct {
	team   state.TeamID
	class  state.Class
	cpu    float64
	memory float64
	// run is the average run time of succeeded tasks; ratio is that of those
	// that declared one, to what they declared.
	run   average
	ratio average
}

// measured takes in what tasks really use. Nothing that is committed changes.
func (m *Machine) measured(ev Usage) {
	for _, used := range ev.Tasks {
		a, ok := m.tasks[used.Task]
		if !ok || a.up.vm != ev.VM {
			continue
		}
		c := m.correction(a.job.spec)
		declared := a.job.spec.Each
		c.cpu = averageRatio(c.cpu, used.Used.CPUMilli, declared.CPUMilli)
		c.memory = averageRatio(c.memory, used.Used.MemoryMB, declared.MemoryMB)
	}
}

func averageRatio(average float64, used, declared int64) float64 {
	if declared <= 0 {
		return average
	}
	ratio := min(float64(used)/float64(declared), maxRatio)
	return average + correctionWeight*(ratio-average)
}

// correction returns the record for a job's team, class and service, which it
// adds when it is new.
func (m *Machine) correction(spec *state.Job) *correction {
	s := m.service(spec.Service)
	for i := range s.corrections {
		if s.corrections[i].team == spec.Team && s.corrections[i].class == spec.Class {
			return &s.corrections[i]
		}
	}
	s.corrections = append(s.corrections, correction{team: spec.Team, class: spec.Class, cpu: 1, memory: 1})
	return &s.corrections[len(s.corrections)-1]
}

// amountFor is what a task of a new job commits: what it declares, or more when
// such tasks were seen to use more, as far as the team's limit and the
// upstreams allow.
func (m *Machine) amountFor(spec *state.Job) state.Vector {
	c := m.correction(spec)
	if c.cpu <= 1 && c.memory <= 1 {
		return spec.Each
	}
	amount := spec.Each
	amount.CPUMilli = int64(float64(amount.CPUMilli) * max(c.cpu, 1))
	amount.MemoryMB = int64(float64(amount.MemoryMB) * max(c.memory, 1))
	// A gang or standing job holds all its tasks at once.
	share := int64(1)
	if spec.Class == state.ClassGang || spec.Class == state.ClassStanding {
		share = int64(spec.Tasks)
	}
	limit := m.team(spec.Team).quota.Limit
	limit.CPUMilli /= share
	limit.MemoryMB /= share
	amount.CPUMilli = min(amount.CPUMilli, limit.CPUMilli)
	amount.MemoryMB = min(amount.MemoryMB, limit.MemoryMB)
	amount = amount.Max(spec.Each)
	s := m.service(spec.Service)
	amount, _ = s.nearest(amount)
	amount = amount.Max(spec.Each)
	if _, fits := s.nearest(amount); !fits {
		return spec.Each
	}
	if spec.Class == state.ClassGang && s.roomWhenEmpty(amount) < spec.Tasks {
		return spec.Each
	}
	return amount
}
