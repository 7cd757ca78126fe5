package machine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state"
)

// crashUntilGivenUp lets the VM of each start of a job crash, and returns the number of crashes
// until the job has failed. Other jobs run beside it.
func crashUntilGivenUp(t *testing.T, s *scenario, id state.JobID, detect func(vm state.VMID, incarnation string) []Event, most int) int {
	t.Helper()
	starts := actionsOf[Start](s.last)
	for crashes := 1; crashes <= most; crashes++ {
		var vm state.VMID
		for round := 0; vm == "" && round < 100; round++ {
			for _, start := range starts {
				s.do(Started{Task: start.Task})
				starts = append(starts, actionsOf[Start](s.last)...)
				if start.Job.ID == id {
					vm = start.VM
				}
			}
			starts = actionsOf[Start](s.wait(100 * time.Millisecond))
		}
		if vm == "" {
			t.Fatalf("the job was not started again after %d crashes", crashes-1)
		}
		s.wait(10 * time.Millisecond)
		starts = actionsOf[Start](s.last)
		for _, event := range detect(vm, fmt.Sprint(crashes+1)) {
			s.do(event)
			starts = append(starts, actionsOf[Start](s.last)...)
			for _, answer := range actionsOf[Answer](s.last) {
				if answer.Job == id {
					if answer.State != state.JobFailed {
						t.Fatalf("the job is %s, want failed", answer.State)
					}
					return crashes
				}
			}
		}
	}
	return most + 1
}

// TestTaskThatCrashesUpstreamsIsGivenUp guards against one task bringing down upstream after upstream.
func TestTaskThatCrashesUpstreamsIsGivenUp(t *testing.T) {
	restarted := func(vm state.VMID, incarnation string) []Event {
		return []Event{UpstreamUnreachable{VM: vm, Closed: true}, Fenced{VM: vm, Incarnation: incarnation, Capacity: small.Scale(4)}}
	}
	late := func(vm state.VMID, incarnation string) []Event {
		return []Event{UpstreamUnreachable{VM: vm, Closed: true}, LeaseExpired{VM: vm}, Fenced{VM: vm, Incarnation: incarnation, Capacity: small.Scale(4)}}
	}
	cases := []struct {
		name   string
		class  state.Class
		tasks  int
		detect func(vm state.VMID, incarnation string) []Event
	}{
		{name: "batch", class: state.ClassBatch, tasks: 1, detect: restarted},
		{name: "standing", class: state.ClassStanding, tasks: 1, detect: restarted},
		{name: "gang", class: state.ClassGang, tasks: 2, detect: restarted},
		{name: "standing, restart noticed after the lease", class: state.ClassStanding, tasks: 1, detect: late},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newScenario(DefaultConfig(), 6)
			for i := range 4 {
				s.submit(fmt.Sprint("other", i), func(j *state.Job) { j.Class = state.ClassStanding })
				for _, start := range actionsOf[Start](s.last) {
					s.do(Started{Task: start.Task})
				}
			}
			s.submit("fatal", func(j *state.Job) { j.Class, j.Tasks = c.class, c.tasks })
			crashes := crashUntilGivenUp(t, s, "fatal", c.detect, 6)
			is.True(crashes >= 2)
			is.True(crashes <= 5)
			for i := range 4 {
				is.True(!s.m.jobs[state.JobID(fmt.Sprint("other", i))].state.Ended())
			}
			t.Logf("%d crashes", crashes)
		})
	}
}

// TestSilentVMIsNoCrash guards against blaming tasks for a VM that only did not respond, or that left.
func TestSilentVMIsNoCrash(t *testing.T) {
	cases := []struct {
		name   string
		events []Event
	}{
		{name: "lease expired, same incarnation", events: []Event{UpstreamUnreachable{VM: "vm0"}, LeaseExpired{VM: "vm0"}, Fenced{VM: "vm0", Incarnation: "1", Capacity: small.Scale(4)}}},
		{name: "silent, then restarted", events: []Event{UpstreamUnreachable{VM: "vm0"}, Fenced{VM: "vm0", Incarnation: "2", Capacity: small.Scale(4)}}},
		{name: "silent, lease expired, then restarted", events: []Event{UpstreamUnreachable{VM: "vm0"}, LeaseExpired{VM: "vm0"}, Fenced{VM: "vm0", Incarnation: "2", Capacity: small.Scale(4)}}},
		{name: "silent, then removed from the list", events: []Event{UpstreamUnreachable{VM: "vm0"}, LeaseExpired{VM: "vm0"}, UpstreamRemoved{VM: "vm0"}}},
		{name: "removed from the list", events: []Event{UpstreamRemoved{VM: "vm0"}}},
		{name: "restarted after it announced that it leaves", events: []Event{UpstreamLeaving{VM: "vm0"}, UpstreamUnreachable{VM: "vm0", Closed: true}, Fenced{VM: "vm0", Incarnation: "2", Capacity: small.Scale(4)}}},
		{name: "left", events: []Event{UpstreamLeaving{VM: "vm0"}, UpstreamRemoved{VM: "vm0"}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newScenario(DefaultConfig(), 1)
			started := actionsOf[Start](s.submit("j", func(j *state.Job) { j.Class = state.ClassStanding }))
			s.do(Started{Task: started[0].Task})
			for _, event := range c.events {
				s.do(event)
			}
			is.True(s.m.jobs["j"].tasks[0].crashes.Empty())
		})
	}
}
