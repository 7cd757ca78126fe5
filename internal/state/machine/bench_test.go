package machine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

const (
	benchUpstreams = 2600
	benchRunning   = 21000
)

var benchSize = state.Vector{CPUMilli: 3000, MemoryMB: 4000, Slots: 1}

// benchMachine returns a machine with fenced upstreams and running tasks.
func benchMachine(b *testing.B, upstreams, running int) (*Machine, []state.TaskID) {
	b.Helper()
	m := New(DefaultConfig())
	var quotas []Quota
	for i := range 6 {
		quotas = append(quotas, Quota{Team: benchTeam(i), Weight: 1 + i%3, MaxQueued: 100000, Limit: state.Vector{CPUMilli: 1 << 40, MemoryMB: 1 << 40, Accelerators: 1 << 20, Slots: 1 << 20}})
	}
	m.Step(0, QuotasChanged{Quotas: quotas})
	for i := range upstreams {
		vm := state.VMID(fmt.Sprintf("vm%05d", i))
		size := state.Vector{CPUMilli: 32000, MemoryMB: 64000, Slots: 8}
		m.Step(0, UpstreamJoined{VM: vm, Rack: fmt.Sprintf("r%d", i/40), Service: "fitting", Capacity: size})
		m.Step(0, Fenced{VM: vm, Incarnation: "1", Capacity: size})
	}
	var tasks []state.TaskID
	for i := range running {
		tasks = append(tasks, benchSubmit(m, i)...)
	}
	return m, tasks
}

func benchTeam(i int) state.TeamID { return state.TeamID(fmt.Sprintf("team%d", i%6)) }

func benchSubmit(m *Machine, i int) []state.TaskID {
	var started []state.TaskID
	for _, a := range m.Step(state.Time(i)*time.Microsecond, Submit{Job: state.Job{
		ID: state.JobID(fmt.Sprintf("home.%08d", i)), Team: benchTeam(i), Class: state.ClassRequest, Service: "fitting",
		Tasks: 1, Each: benchSize, Idempotent: true,
	}}) {
		if s, ok := a.(Start); ok {
			started = append(started, s.Task)
		}
	}
	return started
}

// BenchmarkCycle submits a job and ends an earlier one.
func BenchmarkCycle(b *testing.B) {
	for _, upstreams := range []int{260, benchUpstreams, 10 * benchUpstreams} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			// More jobs than slots are queued, so that each end frees capacity.
			running := upstreams * benchRunning / benchUpstreams
			m, tasks := benchMachine(b, upstreams, running)
			b.ReportAllocs()
			next := running
			for b.Loop() {
				tasks = append(tasks, benchSubmit(m, next)...)
				next++
				for _, a := range m.Step(state.Time(next)*time.Microsecond, Ended{Task: tasks[0], End: EndSucceeded}) {
					if s, ok := a.(Start); ok {
						tasks = append(tasks, s.Task)
					}
				}
				tasks = tasks[1:]
			}
		})
	}
}

// BenchmarkFullCycle submits a job and ends an earlier one while the shard is full and
// jobs are queued.
func BenchmarkFullCycle(b *testing.B) {
	m, tasks := benchMachine(b, benchUpstreams, 8*benchUpstreams+5000)
	b.ReportAllocs()
	next := 8*benchUpstreams + 5000
	var cycles []time.Duration
	for b.Loop() {
		begin := time.Now()
		tasks = append(tasks, benchSubmit(m, next)...)
		next++
		for _, a := range m.Step(state.Time(next)*time.Microsecond, Ended{Task: tasks[0], End: EndSucceeded}) {
			if s, ok := a.(Start); ok {
				tasks = append(tasks, s.Task)
			}
		}
		tasks = tasks[1:]
		cycles = append(cycles, time.Since(begin))
	}
	slices.Sort(cycles)
	b.ReportMetric(float64(cycles[len(cycles)*99/100].Microseconds()), "p99-us/op")
}

// BenchmarkTakeover fences all upstreams, with the tasks that run there, while jobs are
// queued.
func BenchmarkTakeover(b *testing.B) {
	old, _ := benchMachine(b, benchUpstreams, benchRunning)
	for b.Loop() {
		b.StopTimer()
		m, _ := benchMachine(b, 0, 0)
		b.StartTimer()
		for i := range benchUpstreams {
			u := old.upstreams[state.VMID(fmt.Sprintf("vm%05d", i))]
			m.Step(0, UpstreamJoined{VM: u.vm, Rack: u.rack, Service: u.service, Capacity: u.capacity})
		}
		for i := range 1000 {
			benchSubmit(m, 1000000+i)
		}
		for i := range benchUpstreams {
			u := old.upstreams[state.VMID(fmt.Sprintf("vm%05d", i))]
			ev := Fenced{VM: u.vm, Incarnation: u.incarnation, Capacity: u.capacity}
			for _, a := range u.attempts {
				ev.Tasks = append(ev.Tasks, AdoptedTask{Task: a.id, Job: *a.job.spec})
			}
			m.Step(time.Second, ev)
		}
	}
}

// BenchmarkCancelBurst cancels 10,000 queued jobs.
func BenchmarkCancelBurst(b *testing.B) {
	const burst = 10000
	for b.Loop() {
		b.StopTimer()
		full := 8 * benchUpstreams
		m, _ := benchMachine(b, benchUpstreams, full+burst)
		b.StartTimer()
		for i := range burst {
			m.Step(time.Second, CancelJob{Job: state.JobID(fmt.Sprintf("home.%08d", full+i)), Team: benchTeam(full + i)})
		}
	}
}
