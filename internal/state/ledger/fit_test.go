package ledger

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// drawJob draws a job up to the largest that is accepted.
func drawJob(t *rapid.T) *workload.Job {
	job := &workload.Job{ID: id, Queue: "q", Payload: strings.Repeat("x", rapid.IntRange(0, 4000).Draw(t, "payload"))}
	for range rapid.IntRange(1, 256).Draw(t, "steps") {
		count := rapid.IntRange(1, 20_000).Draw(t, "count")
		job.Steps = append(job.Steps, workload.Step{Count: count, Each: state.Vector{CPUMilli: 1, Slots: 1}, After: []int{}})
	}
	for job.Validate() != nil { // as a whole it is too large
		job.Steps = job.Steps[:len(job.Steps)-1]
	}
	return job
}

// largestState returns a state of a job with the most tasks at work, each with the longest entry.
func largestState(job *workload.Job, seed uint64) *JobState {
	r := rand.New(rand.NewPCG(seed, 1))
	s := &JobState{Phase: Running}
	atWork := 0
	for i := range job.Steps {
		step := StepState{Step: i, Done: make([]byte, (job.Steps[i].Count+7)/8)}
		for k := range job.Steps[i].Count {
			if atWork == workload.MaxTasksAtWork || r.IntN(3) == 0 {
				step.SetDone(k)
				continue
			}
			atWork++
			task := TaskState{Index: k, Run: math.MaxInt64 - int64(k), Checkpoint: "0123456789abcdef", Upstream: workload.UpstreamID(fmt.Sprintf("%032d", k))}
			for n := range r.IntN(10) {
				task.Failed = append(task.Failed, math.MaxInt64-int64(n))
			}
			step.Tasks = append(step.Tasks, task)
			s.Crashes = append(s.Crashes, TaskCrashes{Step: i, Index: k, Certain: r.IntN(3), Uncertain: r.IntN(9), Shared: 1, BlamePercent: 80, AgeMS: math.MaxInt64})
		}
		s.Steps = append(s.Steps, step)
	}
	return s
}

// TestLargestStateFitsARecord guards against a job whose state can't be recorded, so that nothing
// else is either: whatever job is accepted, its largest state fits one record.
func TestLargestStateFitsARecord(t *testing.T) {
	limits := Limits{}.WithDefaults()
	rapid.Check(t, func(t *rapid.T) {
		job := drawJob(t)
		s := largestState(job, rapid.Uint64().Draw(t, "seed"))
		record, _, err := FitState(job.ID, s, limits)
		if err != nil {
			t.Fatal(err)
		}
		if record.Size() > limits.RecordBytes {
			t.Fatalf("a record of %d bytes, of %d", record.Size(), limits.RecordBytes)
		}
		table := NewTable()
		if _, err := table.Apply(record); err != nil {
			t.Fatal(err)
		}
		got := table.Row(job.ID).State
		for i := range s.Steps {
			if len(got.Steps[i].Tasks) != len(s.Steps[i].Tasks) || string(got.Steps[i].Done) != string(s.Steps[i].Done) {
				t.Fatalf("step %d lost tasks or completed ones", i)
			}
			for k, task := range got.Steps[i].Tasks {
				if want := s.Steps[i].Tasks[k]; len(task.Failed) != len(want.Failed) || task.Run != want.Run || task.Upstream != want.Upstream {
					t.Fatalf("task %d of step %d: %v, want %v", k, i, task, want)
				}
			}
		}
		if record, err := JobRecord(job); err != nil || record.Size() > limits.RecordBytes {
			t.Fatalf("the job itself has %d bytes, of %d: %v", record.Size(), limits.RecordBytes, err)
		}
	})
}

// TestStateThatFitsIsNotCut guards against a loss of crashes or checkpoints without need.
func TestStateThatFitsIsNotCut(t *testing.T) {
	is := is.New(t)
	s := &JobState{Phase: Running, Steps: []StepState{{Tasks: []TaskState{{Index: 2, Run: 9, Failed: []int64{4, 7}, Checkpoint: "c", Upstream: "u"}}}}, Crashes: []TaskCrashes{{Index: 2, Certain: 1}}}
	want := must(StateRecord(id, s))
	got, cut, err := FitState(id, s, Limits{RecordBytes: want.Size()})
	is.NoErr(err)
	is.Equal(got, want)
	is.Equal(cut, Cut{})
	_, cut, err = FitState(id, s, Limits{RecordBytes: want.Size() - 1})
	is.NoErr(err)
	is.Equal(cut, Cut{Checkpoints: 1})
	is.Equal(s.Steps[0].Tasks[0].Checkpoint, "c") // the owner's own state is not changed
	var tooLarge *TooLargeError
	_, _, err = FitState(id, s, Limits{RecordBytes: 8})
	is.True(errors.As(err, &tooLarge))
}
