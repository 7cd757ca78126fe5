package scheduler

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// smallEntry is the memory of the smallest entry, in bytes.
const smallEntry = 184 << 20

// heapInUse returns the bytes in use after a collection.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// newIdle returns a scheduler with some upstreams and without jobs.
func newIdle(t testing.TB) *Scheduler {
	sim := newSimulation(t, oneQueue(nil))
	sim.add(35, largeUpstream)
	return sim.s
}

// recovered returns the state of a job with the most tasks at work, on the upstreams of newIdle.
func recovered(spec *workload.Job) *ledger.JobState {
	out := &ledger.JobState{Phase: ledger.Running}
	n := 0
	for i := range spec.Steps {
		step := ledger.StepState{Step: i}
		for k := range spec.Steps[i].Count {
			if n < workload.MaxTasksAtWork {
				n++
				step.Tasks = append(step.Tasks, ledger.TaskState{Index: k, Run: 655_360_001, Upstream: workload.UpstreamID(fmt.Sprintf("u%03d", k%35))})
			}
		}
		out.Steps = append(out.Steps, step)
	}
	return out
}

func wide(steps, count int) *workload.Job {
	job := &workload.Job{Queue: "q", Workspace: "w"}
	for range steps {
		job.Steps = append(job.Steps, tasksOf(count, cores(1), 60_000))
	}
	return job
}

// memoryOf returns the memory of each of n jobs that are like spec.
func memoryOf(t testing.TB, n int, spec *workload.Job, recorded *ledger.JobState) int64 {
	if err := spec.Validate(); err != nil {
		t.Fatal(err)
	}
	s := newIdle(t)
	before := heapInUse()
	for i := range n {
		job := *spec
		job.ID = jobID(i)
		s.AddJob(time.Second, 1<<40, &job, recorded, false)
	}
	after := heapInUse()
	if len(s.jobs) != n {
		t.Fatalf("%d jobs, want %d", len(s.jobs), n)
	}
	runtime.KeepAlive(spec)
	runtime.KeepAlive(recorded)
	return (after - before) / int64(n)
}

// TestLargestJobsFitASmallEntry guards against jobs that take each owner over its memory limit in
// turn: the largest that are accepted take under a tenth of a small entry, and a hundred of them that
// an owner takes over leave it half of its memory.
func TestLargestJobsFitASmallEntry(t *testing.T) {
	overdue := func(j *workload.Job) *workload.Job {
		j.Repeat, j.PeriodMS = 1_000_000, 1
		return j
	}
	for _, tt := range []struct {
		name     string
		spec     *workload.Job
		recorded bool
	}{
		{name: "a year of minutes", spec: &workload.Job{Queue: "q", Workspace: "w", Repeat: 525_600, FirstUnixMS: 1 << 41, PeriodMS: 60_000, Steps: []workload.Step{tasksOf(2, cores(1), 300)}}},
		{name: "overdue occurrences", spec: overdue(wide(1, 1))},
		{name: "overdue occurrences of many steps", spec: overdue(wide(256, 1))},
		{name: "14 steps of 20,000 tasks", spec: wide(14, 20_000)},
		{name: "256 steps of 900 tasks", spec: wide(256, 900)},
		{name: "16,000 tasks, the most at work", spec: wide(1, 16_000), recorded: true},
		{name: "256 steps, the most at work", spec: wide(256, 900), recorded: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			const jobs = 100
			recorded := &ledger.JobState{}
			if tt.recorded {
				recorded = recovered(tt.spec)
			}
			each := memoryOf(t, jobs, tt.spec, recorded)
			t.Logf("%d bytes", each)
			if each > smallEntry/10 || each*jobs > smallEntry/2 {
				t.Errorf("a job takes %d bytes, %d of them %d MB of %d", each, jobs, each*jobs>>20, smallEntry>>20)
			}
		})
	}
}

// TestTakeoverOfLargestJobsIsQuick guards against an owner that does not serve in time because its
// predecessor had a hundred of the largest jobs at work, on few upstreams.
func TestTakeoverOfLargestJobsIsQuick(t *testing.T) {
	const recovery = 12 * time.Second // within which callers must be served
	s := newIdle(t)
	s.opts.UnconfirmedUntil = time.Minute
	spec := wide(1, 16_000)
	recorded := recovered(spec)
	began := time.Now()
	for i := range 100 {
		job := *spec
		job.ID = jobID(i)
		s.AddJob(time.Second, 1<<40, &job, recorded, false)
	}
	s.InheritJobs()
	s.Tick(1 << 40)
	s.Plan(time.Second)
	for id := range s.upstreams {
		var report RunReport
		for _, task := range s.unconfirmed[id] {
			report.Running = append(report.Running, RunningRun{Task: task.id(), Run: task.lastRun})
		}
		s.ApplyReport(2*time.Second, id, report)
	}
	s.Plan(3 * time.Second)
	took := time.Since(began)
	t.Logf("%s, %d runs", took, s.Counts(3*time.Second).Runs)
	if runs := s.Counts(3 * time.Second).Runs; runs != 100*workload.MaxTasksAtWork {
		t.Errorf("%d runs are known", runs)
	}
	if took > recovery {
		t.Errorf("the takeover took %s, %s are allowed", took, recovery)
	}
}

// BenchmarkJobMemory shows the memory of a job over its occurrences and over its tasks, before any is
// at work and with the most at work.
func BenchmarkJobMemory(b *testing.B) {
	run := func(name string, spec *workload.Job, recorded *ledger.JobState) {
		b.Run(name, func(b *testing.B) {
			var each int64
			for b.Loop() {
				each = memoryOf(b, 20, spec, recorded)
			}
			b.ReportMetric(float64(each), "B/job")
		})
	}
	for _, n := range []int{1, 100, 10_000, 525_600, 1_000_000} {
		spec := wide(1, 2)
		spec.Repeat, spec.PeriodMS, spec.FirstUnixMS = n, 60_000, 1<<41
		run(fmt.Sprintf("occurrences to come=%d", n), spec, &ledger.JobState{})
		spec.FirstUnixMS = 1
		run(fmt.Sprintf("overdue occurrences=%d", n), spec, &ledger.JobState{})
	}
	for _, n := range []int{1, 100, 1000, 3000, 20_000} {
		run(fmt.Sprintf("tasks=%d", n), wide(1, n), &ledger.JobState{})
		run(fmt.Sprintf("tasks=%d, at work=%d", n, min(n, workload.MaxTasksAtWork)), wide(1, n), recovered(wide(1, n)))
	}
	run("tasks=280000", wide(14, 20_000), &ledger.JobState{})
}
