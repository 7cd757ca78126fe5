package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// violations is a testing.TB that keeps the violations that a simulation finds.
type violations struct {
	testing.TB
	found []string
}

func (v *violations) Errorf(format string, args ...any) {
	v.found = append(v.found, fmt.Sprintf(format, args...))
}

// underSilence runs a scenario with the safeguard and without. With it there must be no
// violation, without it there must be one.
func underSilence(t *testing.T, scenario func(is *is.I, sim *simulation)) {
	t.Helper()
	for _, ignored := range []bool{false, true} {
		v := &violations{TB: t}
		sim := newSimulation(v, oneQueue(nil))
		sim.log.ignored = ignored
		scenario(is.New(t), sim)
		switch {
		case !ignored && len(v.found) > 0:
			t.Errorf("%d violations, the first: %s", len(v.found), v.found[0])
		case ignored && len(v.found) == 0:
			t.Error("no violation is found if new owners ignore the list")
		}
	}
}

// TestTakeoverAfterUnrecordedStarts guards against a second run of a task that the former
// owner started without a record on an upstream which the new owner does not reach.
func TestTakeoverAfterUnrecordedStarts(t *testing.T) {
	underSilence(t, func(is *is.I, sim *simulation) {
		sim.add(2, largeUpstream, "a")
		sim.add(1, largeUpstream, "b")
		sim.advance(50 * time.Millisecond)
		sim.listAll()
		sim.log.silent = true
		sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{tasksOf(4, cores(10), 60_000)}})
		sim.advance(200 * time.Millisecond)
		is.Equal(sim.running(jobID(1)), 4)
		is.Equal(len(sim.recorded), 0)
		sim.submit(&workload.Job{ID: jobID(2), Steps: []workload.Step{{Count: 1, Each: cores(1), EstimateMS: 100, Constraint: "b"}}})
		sim.firstBusy().hiddenFrom = 2
		sim.takeOver()
		sim.submit(&workload.Job{ID: jobID(3), Steps: []workload.Step{tasksOf(1, cores(1), 100)}})
		sim.advance(300 * time.Millisecond)
		is.Equal(sim.jobs[jobID(3)].phase, ledger.Complete) // unknown to the former owner
		if !sim.log.ignored {
			is.Equal(sim.jobs[jobID(2)].phase, ledger.Complete) // cannot run on the upstream that is not reached
			is.Equal(sim.running(jobID(1)), 4)
		}
		sim.advance(6 * time.Second)
		is.Equal(sim.running(jobID(1)), 4) // those of the lost upstream run elsewhere
	})
}

// TestUnrecordedEndsCount guards against running a task again that was started and ended
// without a record: its upstream reports the end to the new owner.
func TestUnrecordedEndsCount(t *testing.T) {
	underSilence(t, func(is *is.I, sim *simulation) {
		sim.add(3, state.Vector{CPUMilli: 12000, MemoryMB: 64000})
		sim.advance(50 * time.Millisecond)
		sim.listAll()
		sim.log.silent = true
		sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{tasksOf(6, cores(4), 100), tasksOf(6, cores(1), 5000, 0)}})
		sim.advance(500 * time.Millisecond)
		is.Equal(sim.running(jobID(1)), 6) // the second step, after ends without a record
		for _, u := range sim.upstreams {
			u.hiddenFrom = 2 // the new owner's first polls get no response
		}
		sim.takeOver()
		sim.advance(100 * time.Millisecond)
		for _, u := range sim.upstreams {
			u.hiddenFrom = 0
			sim.advance(50 * time.Millisecond)
		}
		is.Equal(sim.running(jobID(1)), 6)
		sim.advance(6 * time.Second)
		is.Equal(sim.phases()[ledger.Complete], 1)
	})
}

// TestFormerOwnerStartsAfterClaim guards against a second run of a task while two owners
// act: the log turned the former one away and it does not know of its successor.
func TestFormerOwnerStartsAfterClaim(t *testing.T) {
	underSilence(t, func(is *is.I, sim *simulation) {
		sim.add(3, largeUpstream)
		sim.advance(50 * time.Millisecond)
		sim.listAll()
		sim.log.silent, sim.log.keepFormer = true, true
		for i := range 12 {
			sim.submit(&workload.Job{ID: jobID(i), Steps: []workload.Step{tasksOf(2, cores(10), 300), tasksOf(1, cores(10), 300, 0)}})
		}
		sim.advance(100 * time.Millisecond)
		sim.upstreams[2].hiddenFrom = 2
		sim.takeOver()
		began := sim.phases()[ledger.Complete]
		sim.advance(950 * time.Millisecond)
		is.True(sim.log.former != nil && len(sim.upstreams[2].ended) > 2) // it went on starting tasks
		is.Equal(began, 0)
		sim.advance(20 * time.Second)
		is.Equal(sim.phases()[ledger.Complete], 12)
	})
}

// TestUnrecordedStartsSurviveSecondTakeover guards against forgetting the list of the
// owner before the last one, while its upstreams are not settled.
func TestUnrecordedStartsSurviveSecondTakeover(t *testing.T) {
	underSilence(t, func(is *is.I, sim *simulation) {
		sim.add(2, largeUpstream)
		sim.advance(50 * time.Millisecond)
		sim.listAll()
		sim.log.silent = true
		sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{tasksOf(4, cores(10), 60_000)}})
		sim.advance(100 * time.Millisecond)
		sim.upstreams[0].hiddenFrom = 2
		sim.takeOver()
		sim.advance(300 * time.Millisecond)
		sim.takeOver()
		sim.advance(2 * time.Second)
		if !sim.log.ignored {
			is.Equal(sim.running(jobID(1)), 4)
		}
	})
}

// TestUnrecordedRunsCountForWorkspace guards against exceeding a workspace's quota while
// its runs on an upstream that is not reached are not known.
func TestUnrecordedRunsCountForWorkspace(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(func(_ *workload.Queue, ws *workload.Workspace) { ws.Maximum = state.Vector{CPUMilli: 8000} }))
	sim.add(2, state.Vector{CPUMilli: 8000, MemoryMB: 64000})
	sim.advance(50 * time.Millisecond)
	sim.listAll()
	sim.log.silent = true
	sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{tasksOf(8, cores(1), 60_000)}})
	sim.advance(100 * time.Millisecond)
	sim.firstBusy().hiddenFrom = 2
	sim.takeOver()
	sim.submit(&workload.Job{ID: jobID(2), Steps: []workload.Step{tasksOf(4, cores(1), 100)}})
	sim.advance(2 * time.Second) // the simulation reports a workspace beyond its quota
	is.Equal(sim.running(jobID(2)), 0)
}

// TestIncompleteGangWaitsForUnsettledUpstream guards against stopping a gang that was
// started without a record, because one of its members is on an upstream that is not
// reached yet.
func TestIncompleteGangWaitsForUnsettledUpstream(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(3, largeUpstream)
	sim.advance(50 * time.Millisecond)
	sim.listAll()
	sim.log.silent = true
	sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{{Count: 3, Each: cores(20), EstimateMS: 800, Gang: true}}})
	sim.advance(100 * time.Millisecond)
	is.Equal(sim.running(jobID(1)), 3)
	sim.upstreams[1].hiddenFrom = 2
	sim.takeOver()
	sim.advance(200 * time.Millisecond)
	is.Equal(sim.running(jobID(1)), 3)
	sim.upstreams[1].hiddenFrom = 0
	sim.advance(time.Second)
	is.Equal(sim.jobs[jobID(1)].phase, ledger.Complete)
	is.Equal(sim.s.Counts(sim.now).Waiting.Unconfirmed, 0)
}

// TestGangIsStartedWholeWithoutRecord guards against starting some members of a gang: the
// others would wait on an upstream that is not listed.
func TestGangIsStartedWholeWithoutRecord(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, oneQueue(nil))
	sim.add(3, largeUpstream)
	sim.advance(50 * time.Millisecond)
	sim.listAll()
	sim.log.listed = sim.log.listed[:2]
	sim.log.silent = true
	sim.submit(&workload.Job{ID: jobID(1), Steps: []workload.Step{{Count: 3, Each: cores(20), EstimateMS: 200, Gang: true}}})
	sim.advance(300 * time.Millisecond)
	is.Equal(sim.running(jobID(1)), 0)
	sim.log.silent = false
	sim.advance(500 * time.Millisecond)
	is.Equal(sim.jobs[jobID(1)].phase, ledger.Complete)
}

// TestUnreadableListHoldsInheritedTasks guards against a list of a newer version, which an
// entry must not take for an empty one.
func TestUnreadableListHoldsInheritedTasks(t *testing.T) {
	is := is.New(t)
	config := oneQueue(nil)
	config.Index()
	s := New(config, Options{FirstRun: 1, StartList: StartList{Unreadable: true}, UnconfirmedUntil: 10 * time.Second})
	s.AddJob(time.Second, 1000, &workload.Job{ID: jobID(1), Queue: "q", Workspace: "w", Steps: []workload.Step{tasksOf(1, cores(1), 100)}}, &ledger.JobState{}, false)
	s.InheritJobs()
	s.SetUpstream(time.Second, workload.Upstream{ID: "u", Service: "s", Capacity: largeUpstream})
	s.ApplyReport(time.Second, "u", RunReport{SentAt: time.Second})
	is.Equal(len(s.Plan(2*time.Second).Starts), 0)
	is.True(s.UnsettledStarts().Unreadable)
	is.Equal(len(s.Plan(10*time.Second).Starts), 1)
	is.True(!s.UnsettledStarts().Unreadable)
}

// TestSettledUpstreamsReleaseTasks checks what ends the wait for a listed upstream, and that
// a partial report does not: an end that it omits would be taken for a task without a run.
func TestSettledUpstreamsReleaseTasks(t *testing.T) {
	cases := []struct {
		name   string
		settle func(s *Scheduler)
		want   int
	}{
		{name: "nothing", settle: func(*Scheduler) {}},
		{name: "complete report", settle: func(s *Scheduler) { s.ApplyReport(time.Second, "listed", RunReport{SentAt: time.Second}) }, want: 1},
		{name: "partial report", settle: func(s *Scheduler) {
			s.ApplyReport(time.Second, "listed", RunReport{SentAt: time.Second, Partial: true})
		}},
		{name: "connection refused", settle: func(s *Scheduler) { s.SettleUpstream("listed") }, want: 1},
		{name: "replaced", settle: func(s *Scheduler) { s.ReleaseRuns(time.Second, "listed", LossRestarted) }, want: 1},
		{name: "unreachable", settle: func(s *Scheduler) { s.MarkUnreachable(time.Second, "listed") }},
		{name: "removed from the platform's list", settle: func(s *Scheduler) { s.RemoveUpstream("listed") }},
		{name: "another incarnation is registered", settle: func(s *Scheduler) {
			s.SetUpstream(time.Second, workload.Upstream{ID: "listed", Service: "s", StartedUnixMS: 7, Capacity: largeUpstream})
		}},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			config := oneQueue(nil)
			config.Index()
			list := StartList{StartList: ledger.StartList{ConfigVersion: 1, Upstreams: []ledger.ListedUpstream{{Service: "s", ID: "listed"}}}}
			s := New(config, Options{FirstRun: 1, StartList: list, UnconfirmedUntil: 10 * time.Second})
			s.AddJob(time.Second, 1000, &workload.Job{ID: jobID(1), Queue: "q", Workspace: "w", Steps: []workload.Step{tasksOf(1, cores(1), 100)}}, &ledger.JobState{}, false)
			s.InheritJobs()
			for _, id := range []workload.UpstreamID{"u", "listed"} {
				s.SetUpstream(time.Second, workload.Upstream{ID: id, Service: "s", StartedUnixMS: 3, Capacity: largeUpstream})
			}
			s.ApplyReport(time.Second, "u", RunReport{SentAt: time.Second})
			tt.settle(s)
			is.Equal(len(s.Plan(2*time.Second).Starts), tt.want)
			_, known := s.Registration("listed")
			is.True(known || tt.want == 1) // it is polled as long as it is not settled
		})
	}
}

// TestServiceOfFormerConfiguration guards against taking a listed upstream for irrelevant
// because another configuration assigns the queue to another service than the former owner's.
func TestServiceOfFormerConfiguration(t *testing.T) {
	for version, want := range map[int64]int{1: 1, 2: 0} {
		is := is.New(t)
		config := oneQueue(nil)
		config.Index()
		list := StartList{StartList: ledger.StartList{ConfigVersion: version, Upstreams: []ledger.ListedUpstream{{Service: "other", ID: "listed"}}}}
		s := New(config, Options{FirstRun: 1, StartList: list, UnconfirmedUntil: 10 * time.Second})
		s.AddJob(time.Second, 1000, &workload.Job{ID: jobID(1), Queue: "q", Workspace: "w", Steps: []workload.Step{tasksOf(1, cores(1), 100)}}, &ledger.JobState{}, false)
		s.InheritJobs()
		s.SetUpstream(time.Second, workload.Upstream{ID: "u", Service: "s", Capacity: largeUpstream})
		s.ApplyReport(time.Second, "u", RunReport{SentAt: time.Second})
		is.Equal(len(s.Plan(2*time.Second).Starts), want)
	}
}

// TestRandomSilencesAndTakeovers alternates silences of the log with takeovers at which
// random upstreams are not reached, with lost responses, and with former owners that go on.
func TestRandomSilencesAndTakeovers(t *testing.T) {
	const seeds = 10
	found := 0
	for seed := range uint64(seeds) {
		for _, ignored := range []bool{false, true} {
			v := &violations{TB: t}
			sim := newSimulation(v, oneQueue(nil))
			sim.log.ignored = ignored
			runRandomSilences(sim, seed)
			if !ignored {
				for _, violation := range v.found {
					t.Errorf("seed %d: %s", seed, violation)
				}
				if n := sim.phases()[ledger.Complete]; n != len(sim.jobs) {
					t.Errorf("seed %d: %d of %d jobs complete", seed, n, len(sim.jobs))
				}
			} else if len(v.found) > 0 {
				found++
			}
		}
	}
	if t.Logf("without the list %d of %d seeds have violations", found, seeds); found < seeds/2 {
		t.Error("the scenarios do not show that the list is needed")
	}
}

func runRandomSilences(sim *simulation, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 7))
	sim.rand = rand.New(rand.NewPCG(seed, 8))
	sim.add(6, state.Vector{CPUMilli: 10000, MemoryMB: 64000})
	n := 0
	load := func(d time.Duration) {
		for end := sim.now + d; sim.now < end; n++ {
			sim.submit(&workload.Job{ID: jobID(n), Steps: []workload.Step{
				tasksOf(1+n%3, cores(int64(1+n%3)), int64(100+r.IntN(900))),
				{Count: 2, Each: cores(1), EstimateMS: 100, Gang: n%2 == 0, After: []int{0}},
			}})
			sim.advance(100 * time.Millisecond)
		}
	}
	for range 5 {
		load(500 * time.Millisecond)
		sim.listAll()
		sim.log.listed = slices.DeleteFunc(sim.log.listed, func(workload.UpstreamID) bool { return r.IntN(8) == 0 })
		sim.lostResponseRate = []float64{0, 0.35}[r.IntN(2)]
		sim.log.silent = true
		load(time.Duration(300+r.IntN(1500)) * time.Millisecond)
		sim.lostResponseRate = 0
		sim.log.keepFormer = r.IntN(2) == 0
		if r.IntN(5) == 0 { // the log is back before the owner fails
			sim.log.silent = false
			load(200 * time.Millisecond)
		}
		for _, u := range sim.upstreams {
			if r.IntN(4) == 0 {
				u.hiddenFrom = sim.epoch + 1
			}
		}
		sim.takeOver()
		load(time.Duration(300+r.IntN(2000)) * time.Millisecond)
		if r.IntN(2) == 0 { // reached before their leases expire
			sim.log.former = nil
			for _, u := range sim.upstreams {
				u.hiddenFrom = 0
			}
		}
		load(7 * time.Second)
		for _, u := range sim.upstreams { // lost ones are replaced under the same ID
			if u.down {
				u.down, u.hiddenFrom, u.polled = false, 0, false
				clear(u.revoked)
				u.reg.StartedUnixMS++
				sim.s.SetUpstream(sim.now, u.reg)
			}
		}
	}
	sim.advance(30 * time.Second)
}
