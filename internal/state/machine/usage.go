package machine

import "github.com/samphirerail/samphirerail/internal/state"

const (
	// correctionWeight is the weight of the newest measurement.
	correctionWeight = 0.2
	// maxRatio bounds the ratio by which a declared amount is corrected.
	maxRatio = 8.0
)

// correction is the ratio of measured to declared use for the tasks of one team and
// class on a service.
type correction struct {
	team   state.TeamID
	class  state.Class
	cpu    float64
	memory float64
	// run is the average run time of succeeded tasks; ratio is, for those that declared
	// a run time, the average ratio of measured to declared run time.
	run   average
	ratio average
}

// recordUsage updates the corrections from measured use. Committed amounts do not
// change.
func (m *Machine) recordUsage(ev Usage) {
	for _, used := range ev.Tasks {
		a, ok := m.attempts[used.Task]
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

// correction returns the record for a job's team, class and service, and creates it if
// necessary.
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

// amountFor returns what each task of a new job commits: what it declares, or more when
// such tasks were measured to use more, as far as the team's limit and the upstreams
// allow.
func (m *Machine) amountFor(spec *state.Job) state.Vector {
	c := m.correction(spec)
	if c.cpu <= 1 && c.memory <= 1 {
		return spec.Each
	}
	amount := spec.Each
	amount.CPUMilli = int64(float64(amount.CPUMilli) * max(c.cpu, 1))
	amount.MemoryMB = int64(float64(amount.MemoryMB) * max(c.memory, 1))
	// A gang or standing job commits the amounts of all its tasks at once.
	concurrentTasks := int64(1)
	if spec.Class == state.ClassGang || spec.Class == state.ClassStanding {
		concurrentTasks = int64(spec.Tasks)
	}
	limit := m.team(spec.Team).quota.Limit
	limit.CPUMilli /= concurrentTasks
	limit.MemoryMB /= concurrentTasks
	amount.CPUMilli = min(amount.CPUMilli, limit.CPUMilli)
	amount.MemoryMB = min(amount.MemoryMB, limit.MemoryMB)
	amount = amount.Max(spec.Each)
	s := m.service(spec.Service)
	amount, _ = s.closestFit(amount)
	amount = amount.Max(spec.Each)
	if _, fits := s.closestFit(amount); !fits {
		return spec.Each
	}
	if spec.Class == state.ClassGang && s.placesWhenEmpty(amount) < spec.Tasks {
		return spec.Each
	}
	return amount
}
