package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// resize changes the capacity of an upstream and its registration.
func (sim *simulation) resize(u *simUpstream, capacity state.Vector) *CapacityChange {
	u.reg.Capacity = capacity
	return sim.s.SetUpstream(sim.now, u.reg)
}

// TestShrunkCapacityHoldsForEveryUnsentStart guards against starts that were decided before an upstream shrank and bring it over its capacity.
func TestShrunkCapacityHoldsForEveryUnsentStart(t *testing.T) {
	advice := &workload.Advice{DecisionMS: 11, PerUpstreamMS: 0.15, ValidMS: 1500}
	cases := []struct {
		name   string
		advice *workload.Advice
		step   workload.Step
		// unsent brings the starts to the state in which the upstream shrinks, and returns those
		// to send.
		unsent func(sim *simulation) []Start
		// withdrawn is how many starts do not fit half of the capacity.
		withdrawn int
	}{
		{name: "planned", step: tasksOf(8, cores(4), 500), withdrawn: 4, unsent: func(sim *simulation) []Start { return sim.s.Plan(sim.now).Starts }},
		{name: "recorded", step: tasksOf(8, cores(4), 500), withdrawn: 4, unsent: func(sim *simulation) []Start {
			starts := sim.s.Plan(sim.now).Starts
			sim.record()
			return starts
		}},
		{name: "waiting for tickets", step: tasksOf(8, cores(4), 500), withdrawn: 4, advice: advice, unsent: func(sim *simulation) []Start {
			p := sim.s.Plan(sim.now) // searches for upstreams
			sim.s.ApplyAdvice(sim.now, &p.AdviceRequests[0], map[workload.UpstreamID]string{"u000": "t"}, sim.now, false)
			request := sim.s.Plan(sim.now + time.Second).AdviceRequests[0] // the tickets of the search have expired
			sim.at(time.Millisecond, func() { sim.advise(&request) })
			return nil
		}},
		{name: "with tickets", step: tasksOf(8, cores(4), 500), withdrawn: 4, advice: advice, unsent: func(sim *simulation) []Start {
			p := sim.s.Plan(sim.now)
			sim.s.ApplyAdvice(sim.now, &p.AdviceRequests[0], map[workload.UpstreamID]string{"u000": "t"}, sim.now+time.Minute, false)
			return sim.s.Plan(sim.now).Starts
		}},
		{name: "gang", step: workload.Step{Count: 8, Each: cores(4), EstimateMS: 500, Gang: true}, withdrawn: 1, unsent: func(sim *simulation) []Start {
			return sim.s.Plan(sim.now).Starts
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t, oneQueue(func(q *workload.Queue, _ *workload.Workspace) { q.Advice = c.advice }))
			sim.add(1, largeUpstream)
			sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{c.step}})
			starts := c.unsent(sim)
			change := sim.resize(sim.upstreams[0], state.Vector{CPUMilli: 16_000, MemoryMB: 64_000})
			is.Equal(len(change.Withdrawn), c.withdrawn)
			is.True(change.Used.CPUMilli <= 16_000)
			sent := 0
			for _, start := range starts {
				if sim.s.MarkSent(sim.now, start.Run) {
					sent++
					is.Equal(sim.executeStart(sim.epoch, sim.now+simLease, start), Accepted) // checks the capacity
					sim.s.StartResult(sim.now, start.Run, Accepted)
				}
			}
			if starts != nil && !c.step.Gang {
				is.Equal(sent, 4)
			}
			if c.step.Gang {
				is.Equal(sent, 0)
				sim.resize(sim.upstreams[0], largeUpstream)
			}
			sim.allowed = func(workload.StepID, workload.UpstreamID) bool { return true }
			sim.advance(3 * time.Second)
			is.Equal(sim.jobs[jobID(1)].phase, ledger.Complete)
		})
	}
}

// TestRunsAboveShrunkCapacityContinue guards against stops of runs that an upstream still runs, and starts beside them.
func TestRunsAboveShrunkCapacityContinue(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(1, largeUpstream)
	sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{tasksOf(8, cores(4), 2000)}})
	sim.advance(100 * time.Millisecond)
	is.Equal(sim.running(jobID(1)), 8)
	change := sim.resize(sim.upstreams[0], state.Vector{CPUMilli: 8000, MemoryMB: 64_000})
	is.Equal(len(change.Withdrawn), 0)
	sim.submit(&workload.Job{ID: jobID(2), Steps: []workload.Step{tasksOf(1, cores(1), 100)}})
	sim.advance(time.Second)
	is.Equal(sim.running(jobID(1)), 8)
	is.Equal(sim.running(jobID(2)), 0)
	sim.advance(1500 * time.Millisecond)
	is.Equal(sim.jobs[jobID(1)].phase, ledger.Complete)
	is.Equal(sim.jobs[jobID(2)].phase, ledger.Complete)
	sim.resize(sim.upstreams[0], largeUpstream)
	sim.submit(&workload.Job{ID: jobID(3), Steps: []workload.Step{tasksOf(1, cores(30), 100)}})
	sim.advance(300 * time.Millisecond)
	is.Equal(sim.jobs[jobID(3)].phase, ledger.Complete)
}

// TestNoStartBesideAdoptedRunsAboveCapacity guards against a start on an upstream that reports more runs than were known when it was planned.
func TestNoStartBesideAdoptedRunsAboveCapacity(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(1, largeUpstream)
	sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{tasksOf(1, cores(20), 5000)}})
	sim.submit(&workload.Job{ID: jobID(2), Steps: []workload.Step{tasksOf(1, cores(20), 5000)}})
	starts := sim.s.Plan(sim.now).Starts
	is.Equal(len(starts), 1)
	other := workload.TaskID{Job: jobID(1)}
	if starts[0].Task == other {
		other.Job = jobID(2)
	}
	sim.s.ApplyReport(sim.now, "u000", RunReport{SentAt: sim.now, Running: []RunningRun{{Task: other, Run: 7, Percent: 1}}})
	is.True(!sim.s.MarkSent(sim.now, starts[0].Run))
}

// TestTaskOnShrunkUpstreamIsHeldBack guards against a second run of a task that a former owner started, without a record, on an upstream that has shrunk since.
func TestTaskOnShrunkUpstreamIsHeldBack(t *testing.T) {
	is := is.New(t)
	config := oneQueue(nil)
	config.Index()
	list := ledger.StartList{ConfigVersion: 1, Upstreams: []ledger.ListedUpstream{{Service: "s", ID: "u000"}}}
	s := New(config, Options{FirstRun: 10_000, UnconfirmedUntil: time.Minute, StartList: StartList{StartList: list}})
	job := &workload.Job{ID: jobID(1), Queue: "q", Workspace: "w", Steps: []workload.Step{tasksOf(1, cores(20), 500)}}
	s.AddJob(time.Second, 1000, job, &ledger.JobState{}, false)
	s.InheritJobs()
	s.SetUpstream(time.Second, workload.Upstream{ID: "u000", Service: "s", Capacity: state.Vector{CPUMilli: 8000, MemoryMB: 64_000}})
	s.SetUpstream(time.Second, workload.Upstream{ID: "u001", Service: "s", Capacity: largeUpstream})
	s.ApplyReport(time.Second, "u001", RunReport{SentAt: time.Second})
	is.Equal(len(s.Plan(time.Second).Starts), 0)
	s.ApplyReport(time.Second, "u000", RunReport{SentAt: time.Second})
	is.Equal(len(s.Plan(time.Second).Starts), 1)
}

// TestShrunkUpstreamRefusesNoJobForGood guards against refusals of jobs that fit once an upstream has grown again.
func TestShrunkUpstreamRefusesNoJobForGood(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(1, largeUpstream)
	sim.advance(20 * time.Second)
	for n := range 100 {
		sim.resize(sim.upstreams[0], state.Vector{CPUMilli: int64(100 + n), MemoryMB: 64_000})
	}
	is.Equal(len(sim.s.admission.kinds), 1)
	spec := &workload.Job{ID: jobID(1), Queue: "q", Workspace: "w", Steps: []workload.Step{tasksOf(1, cores(30), 500)}}
	is.True(!sim.s.neverRuns(sim.now, spec, sim.config.Queue("q")))
}
