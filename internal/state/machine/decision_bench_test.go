package machine

import (
	"fmt"
	"testing"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

// benchRackSize is the number of upstreams in a rack.
const benchRackSize = 20

// decisionMachine returns a machine with upstreams of 8 slots, of which six are in use.
func decisionMachine(b *testing.B, upstreams int) *Machine {
	b.Helper()
	cfg := DefaultConfig()
	cfg.Retention, cfg.RetentionNotIdempotent = time.Millisecond, time.Millisecond
	m := New(cfg)
	large := state.Vector{CPUMilli: 1 << 40, MemoryMB: 1 << 40, Slots: 1 << 30}
	m.Step(1, QuotasChanged{Quotas: []Quota{{Team: "t", Limit: large, Weight: 1, MaxQueued: 1 << 20}}})
	size := state.Vector{CPUMilli: 32000, MemoryMB: 65536, Slots: 8}
	for i := range upstreams {
		vm := state.VMID(fmt.Sprintf("u%06d", i))
		m.Step(1, UpstreamJoined{VM: vm, Rack: fmt.Sprint("r", i/benchRackSize), Service: "fitting", Capacity: size})
		m.Step(1, Fenced{VM: vm, Incarnation: "i", Capacity: size})
	}
	for i := range 6 * upstreams {
		if !withStart(m.Step(2, Submit{Job: benchJob(fmt.Sprint("held", i))}), func(Start) {}) {
			b.Fatal("a job did not start")
		}
	}
	return m
}

func benchJob(id string) state.Job {
	return state.Job{
		ID: state.JobID(id), Team: "t", Class: state.ClassRequest, Service: "fitting", Tasks: 1, Idempotent: true,
		Each: state.Vector{CPUMilli: 100, MemoryMB: 64, Slots: 1},
	}
}

// withStart calls f for the first start among the actions. It returns false when there
// is none.
func withStart(actions []Action, f func(Start)) bool {
	for _, a := range actions {
		if start, ok := a.(Start); ok {
			f(start)
			return true
		}
	}
	return false
}

// BenchmarkDecision submits one request, which is placed at once, and ends it.
func BenchmarkDecision(b *testing.B) {
	for _, upstreams := range []int{260, 2600, 26000} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			m := decisionMachine(b, upstreams)
			now, n := time.Second, 0
			b.ReportAllocs()
			for b.Loop() {
				n++
				now += 50 * time.Microsecond
				ok := withStart(m.Step(now, Submit{Job: benchJob(fmt.Sprint("j", n))}), func(s Start) {
					m.Step(now, Ended{Task: s.Task, End: EndSucceeded})
				})
				if !ok {
					b.Fatal("a job did not start")
				}
				if n%1000 == 0 {
					m.Step(now, Tick{})
				}
			}
		})
	}
}
