package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/evacuation"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// addIn adds upstreams of a failure domain.
func (sim *simulation) addIn(domain state.DomainID, n int, capacity state.Vector, labels ...string) {
	from := len(sim.upstreams)
	sim.add(n, capacity, labels...)
	for _, u := range sim.upstreams[from:] {
		u.reg.Domain = domain
		sim.s.SetUpstream(sim.now, u.reg)
	}
}

// evacuate sets the evacuated domains. From then on the test fails if a start is sent to one
// of them.
func (sim *simulation) evacuate(domains ...state.DomainID) []EvacuationChange {
	set := evacuation.NewSet(domains...)
	sim.onStart = func(start Start) {
		if d := sim.upstream(start.Upstream).reg.Domain; set.Has(d) {
			sim.t.Errorf("%s: start of %s on %s of the evacuated domain %s", sim.now, start.Task, start.Upstream, d)
		}
	}
	return sim.s.SetEvacuated(sim.now, set)
}

// runningIn returns the number of active runs in a domain.
func (sim *simulation) runningIn(domain state.DomainID) (n int) {
	for _, u := range sim.upstreams {
		if u.reg.Domain == domain {
			n += len(u.running)
		}
	}
	return n
}

// TestPlannedStartIsWithdrawn guards against a start in an evacuated domain that was planned,
// or planned and recorded, before the request arrived.
func TestPlannedStartIsWithdrawn(t *testing.T) {
	for _, recorded := range []bool{false, true} {
		t.Run(fmt.Sprintf("recorded %t", recorded), func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t, oneQueue(nil))
			sim.addIn("z1", 1, largeUpstream)
			sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{tasksOf(3, cores(1), 300)}})
			starts := sim.s.Plan(sim.now).Starts
			is.Equal(len(starts), 3)
			if recorded {
				sim.record()
			}
			sim.addIn("z2", 1, largeUpstream)
			changes := sim.evacuate("z1")
			is.Equal(len(changes), 1)
			is.Equal(len(changes[0].Withdrawn), 3)
			is.Equal(changes[0].Upstreams, 1)
			for _, start := range starts {
				is.True(!sim.s.MarkSent(sim.now, start.Run))
			}
			sim.advance(time.Second)
			is.Equal(sim.jobs[jobID(1)].phase, ledger.Complete)
		})
	}
}

// TestStartMovedToEvacuatedDomainIsNotSent guards against a planned start on an upstream
// whose registration names another domain by the time the start is sent.
func TestStartMovedToEvacuatedDomainIsNotSent(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.addIn("z1", 1, largeUpstream)
	sim.evacuate("z2")
	sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{tasksOf(1, cores(1), 300)}})
	start := sim.s.Plan(sim.now).Starts[0]
	sim.upstreams[0].reg.Domain = "z2"
	sim.s.SetUpstream(sim.now, sim.upstreams[0].reg)
	is.True(!sim.s.MarkSent(sim.now, start.Run))
	is.Equal(sim.s.Counts(sim.now).Runs, 0)
}

// TestGangWithMemberInEvacuatedDomain guards against starting the other members of a gang of
// which one may not start: they would wait for it in vain.
func TestGangWithMemberInEvacuatedDomain(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	for _, domain := range []state.DomainID{"z1", "z2", "z3"} {
		sim.addIn(domain, 1, largeUpstream)
	}
	sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{{Count: 3, Each: cores(20), EstimateMS: 300, Gang: true}}})
	starts := sim.s.Plan(sim.now).Starts
	is.Equal(len(starts), 3)
	sim.record()
	last := sim.upstream(starts[2].Upstream) // the others would be sent before it
	is.Equal(len(sim.evacuate(last.reg.Domain)[0].Withdrawn), 1)
	for _, start := range starts {
		is.True(!sim.s.MarkSent(sim.now, start.Run))
	}
	sim.advance(500 * time.Millisecond)
	is.Equal(sim.running(jobID(1)), 0) // two upstreams are left for three members
	sim.addIn("z4", 1, largeUpstream)
	sim.advance(500 * time.Millisecond)
	is.Equal(sim.jobs[jobID(1)].phase, ledger.Complete)
}

// TestTicketForEvacuatedDomainIsNotUsed guards against a start with a ticket that was
// requested, or obtained, before the evacuation.
func TestTicketForEvacuatedDomainIsNotUsed(t *testing.T) {
	for _, gang := range []bool{false, true} {
		t.Run(fmt.Sprintf("gang %t", gang), func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t, oneQueue(func(q *workload.Queue, _ *workload.Workspace) {
				q.Advice = &workload.Advice{DecisionMS: 50, PerUpstreamMS: 1, ValidMS: 200}
			}))
			sim.allowed = func(workload.StepID, workload.UpstreamID) bool { return true }
			sim.addIn("z1", 2, largeUpstream)
			sim.addIn("z2", 2, largeUpstream)
			step := workload.Step{Count: 2, Each: cores(20), EstimateMS: 300, Gang: gang}
			sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{step}})
			sim.advance(30 * time.Millisecond) // the search is in flight
			sim.evacuate("z1")
			sim.advance(500 * time.Millisecond)
			is.Equal(sim.jobs[jobID(1)].phase, ledger.Complete)

			sim.evacuate() // the tickets of the next step are renewed for all upstreams
			sim.submit(&workload.Job{ID: jobID(2), Steps: []workload.Step{step}})
			sim.advance(60 * time.Millisecond)
			plan := sim.s.Plan(sim.now)
			sim.evacuate("z1")
			sim.send(plan.Starts)
			sim.advance(time.Second)
			is.Equal(sim.jobs[jobID(2)].phase, ledger.Complete)
			is.Equal(sim.runningIn("z1"), 0)
		})
	}
}

// TestAwaitedTicketForEvacuatedDomain evacuates a domain while a reserved run there waits for
// a new ticket. The response must not start it.
func TestAwaitedTicketForEvacuatedDomain(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(func(q *workload.Queue, _ *workload.Workspace) {
		q.Advice = &workload.Advice{DecisionMS: 50, PerUpstreamMS: 1, ValidMS: 150}
	}))
	sim.allowed = func(workload.StepID, workload.UpstreamID) bool { return true }
	sim.addIn("z1", 1, cores(4))
	sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{tasksOf(2, cores(4), 400)}})
	awaiting := func() *run {
		for _, u := range sim.s.upstreams {
			for _, r := range u.runs {
				if r.phase == awaitingTicket {
					return r
				}
			}
		}
		return nil
	}
	for i := 0; awaiting() == nil; i++ {
		if i == 400 {
			t.Fatal("no run waits for a ticket")
		}
		sim.advance(5 * time.Millisecond)
	}
	sim.addIn("z2", 1, cores(4))
	is.Equal(len(sim.evacuate("z1")[0].Withdrawn), 1)
	sim.advance(2 * time.Second)
	is.Equal(sim.jobs[jobID(1)].phase, ledger.Complete)
}

// TestFailedLongRunningTaskLeavesEvacuatedDomain guards against restarting a long-running
// task in the domain where it failed.
func TestFailedLongRunningTaskLeavesEvacuatedDomain(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.addIn("z1", 2, largeUpstream) // the task avoids the one where it failed
	sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{{Count: 2, Each: cores(1), LongRunning: true}}})
	sim.advance(100 * time.Millisecond)
	is.Equal(sim.runningIn("z1"), 2)
	sim.addIn("z2", 1, largeUpstream)
	is.Equal(sim.evacuate("z1")[0].Running, 2)
	failed := sim.upstreams[0]
	sim.end(failed, sortedTasks(failed.running)[0], EndFailed)
	sim.advance(200 * time.Millisecond)
	is.Equal(sim.runningIn("z2"), 1)
	is.Equal(sim.running(jobID(1)), 2)
}

// TestBatchRunsEndInEvacuatedDomain checks that an evacuation stops no batch task and no gang.
func TestBatchRunsEndInEvacuatedDomain(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.addIn("z1", 2, largeUpstream)
	sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{{Count: 2, Each: cores(1), EstimateMS: 500, Checkpoints: true}}})
	sim.submit(&workload.Job{ID: jobID(2), Steps: []workload.Step{{Count: 2, Each: cores(20), EstimateMS: 500, Gang: true}}})
	sim.advance(100 * time.Millisecond)
	sim.addIn("z2", 2, largeUpstream)
	sim.evacuate("z1")
	sim.advance(450 * time.Millisecond)
	is.Equal(sim.phases()[ledger.Complete], 2)
}

// TestLostResponseInEvacuatedDomain guards against a second attempt in the domain after the
// response to a start was lost.
func TestLostResponseInEvacuatedDomain(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.addIn("z1", 2, largeUpstream) // the lost response counts as a fault of the first
	sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{tasksOf(1, cores(1), 300)}})
	lost := sim.s.Plan(sim.now).Starts[0]
	is.True(sim.s.MarkSent(sim.now, lost.Run))
	sim.s.StartResult(sim.now, lost.Run, Unconfirmed)
	sim.addIn("z2", 1, largeUpstream)
	sim.evacuate("z1")
	sim.advance(MaxStartDelay + 500*time.Millisecond)
	is.Equal(sim.jobs[jobID(1)].phase, ledger.Complete)
}

// TestNewOwnerKeepsEvacuation guards against starts of a new owner in an evacuated domain: of
// tasks whose starts its predecessor had recorded but not sent.
func TestNewOwnerKeepsEvacuation(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.addIn("z1", 1, largeUpstream)
	sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{tasksOf(2, cores(1), 300)}})
	sim.s.Plan(sim.now)
	sim.record()
	sim.addIn("z2", 1, largeUpstream)
	sim.takeOver()
	sim.evacuate("z1")
	sim.advance(MaxStartDelay + time.Second)
	is.Equal(sim.jobs[jobID(1)].phase, ledger.Complete)
}

// TestEvacuateAndRestore evacuates one domain, all domains, and one without upstreams, and
// takes them back. Accepted jobs wait meanwhile.
func TestEvacuateAndRestore(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.addIn("z1", 1, largeUpstream)
	sim.addIn("z2", 1, largeUpstream)
	job := &workload.Job{ID: jobID(1), Queue: "q", Workspace: "w", Steps: []workload.Step{tasksOf(2, cores(1), 200)}}
	refused := func() bool {
		retryAfter, refused := sim.s.RefuseEvacuated(job)
		is.Equal(refused, retryAfter >= evacuatedReturn)
		return refused
	}
	changes := sim.evacuate("z1", "mistyped")
	is.Equal(changes, []EvacuationChange{{Domain: "mistyped", Evacuated: true}, {Domain: "z1", Evacuated: true, Upstreams: 1}})
	is.Equal(sim.s.EvacuatedUnknown(), []state.DomainID{"mistyped"})
	is.True(!refused())
	sim.evacuate("z1", "z2")
	is.True(refused())
	sim.submit(job) // accepted before the evacuation
	sim.advance(time.Second)
	is.Equal(sim.jobs[job.ID].phase, ledger.Queued)
	is.Equal(len(sim.evacuate("z1", "z2")), 0) // no change
	changes = sim.evacuate("z1")
	is.Equal(changes, []EvacuationChange{{Domain: "z2", Upstreams: 1}})
	is.True(!refused())
	sim.advance(400 * time.Millisecond)
	is.Equal(sim.jobs[job.ID].phase, ledger.Complete)
}

// TestRefusalsCountRemainingDomains guards against accepting a job that cannot start before an
// evacuated domain is restored.
func TestRefusalsCountRemainingDomains(t *testing.T) {
	cases := []struct {
		name    string
		step    workload.Step
		refused bool
	}{
		{name: "fits the remaining domain", step: tasksOf(8, cores(2), 100)},
		{name: "label only in the evacuated domain", step: workload.Step{Count: 1, Each: cores(1), Constraint: "fast"}, refused: true},
		{name: "label nowhere", step: workload.Step{Count: 1, Each: cores(1), Constraint: "none"}},
		{name: "data in the evacuated domain", step: workload.Step{Count: 1, Each: cores(1), Affinity: "r1"}},
		{name: "too large for the remaining upstreams", step: workload.Step{Count: 1, Each: cores(16)}, refused: true},
		{name: "too large for all upstreams", step: workload.Step{Count: 1, Each: cores(64)}},
		{name: "gang that the remaining domain holds", step: workload.Step{Count: 4, Each: cores(4), Gang: true}},
		{name: "gang that needs both domains", step: workload.Step{Count: 6, Each: cores(4), Gang: true}, refused: true},
		{name: "gang larger than both domains", step: workload.Step{Count: 60, Each: cores(4), Gang: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t, oneQueue(nil))
			sim.addIn("z1", 2, largeUpstream, "fast", "r1")
			sim.addIn("z2", 2, state.Vector{CPUMilli: 8000, MemoryMB: 64000}, "slow", "r2")
			job := &workload.Job{ID: jobID(1), Queue: "q", Workspace: "w", Steps: []workload.Step{tasksOf(1, cores(1), 100), c.step}}
			_, refused := sim.s.RefuseEvacuated(job)
			is.True(!refused)
			sim.evacuate("z1")
			_, refused = sim.s.RefuseEvacuated(job)
			is.Equal(refused, c.refused)
		})
	}
}

// TestLoadDuringEvacuation runs a load that uses two thirds of three domains, evacuates one
// and restores it. It counts the jobs that end within their objective.
func TestLoadDuringEvacuation(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	for i := range 3 {
		sim.addIn(state.DomainID(fmt.Sprintf("z%d", i)), 4, state.Vector{CPUMilli: 8000, MemoryMB: 64000})
	}
	startsInZ0, restored := 0, false
	for i := range 600 { // 20 jobs a second of 10 tasks of 0.3 s use 60 of 96 cores
		switch i {
		case 200:
			sim.evacuate("z0")
		case 400:
			sim.evacuate()
			restored = true
			sim.onStart = func(start Start) {
				if sim.upstream(start.Upstream).reg.Domain == "z0" {
					startsInZ0++
				}
			}
		}
		sim.submit(&workload.Job{ID: jobID(i), Steps: []workload.Step{tasksOf(10, cores(1), 300)}})
		sim.advance(50 * time.Millisecond)
	}
	sim.advance(2 * time.Second)
	inTime := 0
	for _, j := range sim.jobs {
		if j.phase == ledger.Complete && j.ended-j.at <= 1100*time.Millisecond {
			inTime++
		}
	}
	is.True(restored)
	is.True(startsInZ0 > 300) // a third of 2000
	t.Logf("%d of 600 jobs in time", inTime)
	is.True(inTime >= 570) // the remaining domains are used to 94 %
}
