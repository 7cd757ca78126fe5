package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// gangLoad is a service with accelerators under two classes of jobs: gangs of
// wide tasks with little slack, and many single tasks with a lot of it.
type gangLoad struct {
	w    *world
	rand *rand.Rand
	// length is how long jobs are submitted.
	length state.Time
	next   int
	gangs  []workload.JobID
	single []workload.JobID
}

const (
	gangsPerSecond   = 4.06
	singlesPerSecond = 4.6
)

func newGangLoad(t testing.TB, seed uint64) *gangLoad {
	config := &workload.Config{
		Version: 1, Workspaces: []workload.Workspace{{Name: "w", Weight: 1000}}, Services: []workload.Service{{Name: "s"}},
		Queues: []workload.Queue{
			{Name: "gangs", Service: "s", MaxAttempts: 8, Stretch: 2.2, TargetMS: 1000, Priority: 1, Advice: &workload.Advice{DecisionMS: 550, PerUpstreamMS: 7.9, ValidMS: 2000}},
			{Name: "singles", Service: "s", MaxAttempts: 8, Stretch: 4, TargetMS: 3000, Priority: 2, Advice: &workload.Advice{DecisionMS: 150, PerUpstreamMS: 2.1, ValidMS: 2000}},
		},
	}
	l := &gangLoad{w: newWorld(t, config), rand: rand.New(rand.NewPCG(seed, 7)), length: 34 * time.Second}
	l.w.s.SetAskLimits(84, 56)
	l.w.allowed = func(step workload.StepID, id workload.UpstreamID) bool {
		share := 0.45
		if l.w.jobs[step.Job].spec.Queue == "gangs" {
			share = 0.3
		}
		h := rand.New(rand.NewPCG(uint64(step.Job[15])<<16|uint64(step.Job[14])<<8|uint64(step.Job[13]), uint64(id[1])<<16|uint64(id[2])<<8|uint64(id[3])))
		return h.Float64() < share
	}
	l.w.speed = func(id workload.UpstreamID) float64 {
		if id[3]%3 == 2 {
			return 1.3
		}
		return 1
	}
	l.w.effort = func(id workload.TaskID) float64 {
		h := rand.New(rand.NewPCG(uint64(id.Job[15])<<16|uint64(id.Job[14])<<8|uint64(id.Job[13]), 99))
		job := 0.67 + 0.75*h.Float64() // declared times are off by half
		for range id.Index {
			h.Float64()
		}
		return job * (0.85 + 0.3*h.Float64())
	}
	l.w.add(98, state.Vector{CPUMilli: 32000, MemoryMB: 131072, Accelerators: 8})
	for at := state.Time(0); at < l.length; at += l.gap(gangsPerSecond) {
		l.w.at(at, l.submitGang)
	}
	for at := state.Time(0); at < l.length; at += l.gap(singlesPerSecond) {
		l.w.at(at, l.submitSingles)
	}
	return l
}

func (l *gangLoad) gap(perSecond float64) state.Time {
	return time.Duration(l.rand.ExpFloat64() / perSecond * float64(time.Second))
}

// around draws a value with a mean and a relative spread.
func (l *gangLoad) around(mean, spread, most float64) float64 {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return min(most, mean*math.Exp(sigma*l.rand.NormFloat64()-sigma*sigma/2))
}

func (l *gangLoad) submitGang() {
	accelerators := []int64{2, 4, 8, 8}[l.rand.IntN(4)]
	l.gangs = append(l.gangs, l.submit("gangs", workload.Step{
		Count: max(1, int(l.around(3.3, 0.6, 16))), Gang: true, Checkpoints: true, EstimateMS: int64(l.around(5600, 0.5, 14000)),
		Each: state.Vector{CPUMilli: 15000, MemoryMB: 45000, Accelerators: accelerators},
	}))
}

func (l *gangLoad) submitSingles() {
	l.single = append(l.single, l.submit("singles", workload.Step{
		Count: max(1, int(l.around(13, 0.6, 64))), Checkpoints: true, EstimateMS: int64(l.around(3800, 0.5, 9400)),
		Each: state.Vector{CPUMilli: 2800, MemoryMB: 11000, Accelerators: 1},
	}))
}

func (l *gangLoad) submit(queue workload.QueueName, step workload.Step) workload.JobID {
	l.next++
	id := jobID(l.next)
	l.w.submit(&workload.Job{ID: id, Queue: queue, Workspace: "w", Steps: []workload.Step{step}})
	return id
}

// onTime returns the share of the jobs' work that was complete in its objective.
func (l *gangLoad) onTime(ids []workload.JobID) float64 {
	all, good := 0.0, 0.0
	for _, id := range ids {
		j := l.w.jobs[id]
		step := &j.spec.Steps[0]
		work := 0.3 + float64(step.EstimateMS)*float64(step.Count)/15000
		all += work
		stretch := 1.0
		for i := range step.Count {
			stretch = max(stretch, l.w.effort(workload.TaskID{Job: id, Index: i}))
		}
		q := l.w.config.Queue(j.spec.Queue)
		objective := time.Duration(float64(step.EstimateMS)*stretch*q.Stretch+float64(q.TargetMS)+q.Advice.CallMS(30)) * time.Millisecond
		if j.phase == ledger.Complete && j.ended-j.at <= objective {
			good += work
		}
	}
	return good / all
}

// TestGangsAreOnTimeUnderUsualLoad plays four fifths of the accelerators asked
// for, most of them by gangs, with advice that allows a third of the upstreams.
func TestGangsAreOnTimeUnderUsualLoad(t *testing.T) {
	for _, seed := range []uint64{0, 2} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			l := newGangLoad(t, seed)
			l.w.play(l.length + 20*time.Second)
			gangs, singles := l.onTime(l.gangs), l.onTime(l.single)
			t.Logf("on time: %.3f of %d gangs, %.3f of %d jobs of single tasks", gangs, len(l.gangs), singles, len(l.single))
			is.True(gangs >= 0.92)   // no class of work may fall behind the others by a tenth
			is.True(singles >= 0.95) // they have four times the slack
		})
	}
}
