package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// domainsOf returns in how many failure domains each job has runs.
func (sim *simulation) domainsOf() map[workload.JobID]int {
	seen := map[workload.JobID]map[state.DomainID]bool{}
	for _, u := range sim.upstreams {
		for task := range u.running {
			if seen[task.Job] == nil {
				seen[task.Job] = map[state.DomainID]bool{}
			}
			seen[task.Job][u.reg.Domain] = true
		}
	}
	out := map[workload.JobID]int{}
	for id, domains := range seen {
		out[id] = len(domains)
	}
	return out
}

// TestCutOfOneDomainHitsAThirdOfTheJobs plays a steady load of jobs with ten tasks on three
// domains and guards against jobs that have tasks in all of them.
func TestCutOfOneDomainHitsAThirdOfTheJobs(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	for _, domain := range []state.DomainID{"north", "east", "south"} {
		sim.addIn(domain, 8, largeUpstream)
	}
	const jobs = 60
	hit := 0
	for n := range jobs {
		sim.submit(&workload.Job{ID: jobID(n), Steps: []workload.Step{tasksOf(10, cores(1), 600)}})
		sim.advance(40 * time.Millisecond)
	}
	for _, n := range sim.domainsOf() {
		if n > 1 {
			hit++
		}
	}
	is.True(len(sim.domainsOf()) > 5)
	is.Equal(hit, 0)                                                                               // no job has tasks in two domains
	is.True(sim.runningIn("north") > 0 && sim.runningIn("east") > 0 && sim.runningIn("south") > 0) // the load is spread
}

// TestJobsUseOtherDomainsWhenTheirsIsFull guards against tasks that wait although another
// domain has room.
func TestJobsUseOtherDomainsWhenTheirsIsFull(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	for _, domain := range []state.DomainID{"north", "south"} {
		sim.addIn(domain, 1, cores(8))
	}
	sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{tasksOf(16, cores(1), 600)}})
	sim.advance(100 * time.Millisecond)
	is.Equal(sim.runningIn("north"), 8)
	is.Equal(sim.runningIn("south"), 8)
}

// TestLongRunningTasksAreSpread checks that standing tasks have no home domain.
func TestLongRunningTasksAreSpread(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.addIn("north", 1, cores(8))
	sim.addIn("south", 1, cores(8))
	step := tasksOf(8, cores(1), 600)
	step.LongRunning = true
	sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{step}})
	st := sim.s.jobs[jobID(1)].steps[0][0]
	sim.advance(100 * time.Millisecond)
	is.Equal(st.home, state.DomainID(""))
}
