package ledger

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// TooLargeError means that the state of a job does not fit one record.
type TooLargeError struct {
	Job          workload.JobID
	Bytes, Limit int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("ledger: the state of job %s has %d bytes, a record holds %d; cancel the job and submit it in parts", e.Job, e.Bytes, e.Limit)
}

// Cut says what was left out of a job's state so that it fits one record.
type Cut struct {
	// Crashes and Checkpoints count the tasks whose crashes and whose checkpoints were left out,
	// Failed the numbers of failed runs of which only the count was kept.
	Crashes, Checkpoints, Failed int
}

// maxCrashBytes bounds what the crashes of a job's tasks take in a record that is full.
const maxCrashBytes = 24 << 10

// FitState returns the record of a job's state, which is cut if it does not fit one record: what is
// held against tasks after crashes first, the least certain first, then checkpoints, then the
// numbers of failed runs but the newest of each task. It returns a *TooLargeError if that is not
// enough.
func FitState(id workload.JobID, s *JobState, limits Limits) (Record, Cut, error) {
	limits = limits.WithDefaults()
	var cut Cut
	r, err := StateRecord(id, s)
	if err != nil || r.Size() <= limits.RecordBytes {
		return r, cut, err
	}
	fitted := *s
	for _, step := range []func(*JobState, *Cut) error{cutCrashes, cutCheckpoints, cutFailed} {
		if err := step(&fitted, &cut); err != nil {
			return r, cut, err
		}
		if r, err = StateRecord(id, &fitted); err != nil || r.Size() <= limits.RecordBytes {
			return r, cut, err
		}
	}
	return r, cut, &TooLargeError{Job: id, Bytes: r.Size(), Limit: limits.RecordBytes}
}

func cutCrashes(s *JobState, cut *Cut) error {
	kept := slices.Clone(s.Crashes)
	slices.SortStableFunc(kept, func(a, b TaskCrashes) int {
		return cmp.Or(-cmp.Compare(a.Certain, b.Certain), -cmp.Compare(a.Uncertain, b.Uncertain), -cmp.Compare(a.Shared, b.Shared))
	})
	for len(kept) > 0 {
		data, err := appendCrashes(nil, kept, false)
		if err != nil {
			return err
		}
		if len(data) <= maxCrashBytes {
			break
		}
		kept = kept[:len(kept)*maxCrashBytes/len(data)]
	}
	cut.Crashes = len(s.Crashes) - len(kept)
	s.Crashes = kept
	return nil
}

// editTasks calls f for a copy of each recorded task.
func (s *JobState) editTasks(f func(*TaskState)) {
	s.Steps = slices.Clone(s.Steps)
	for i := range s.Steps {
		tasks := slices.Clone(s.Steps[i].Tasks)
		for k := range tasks {
			f(&tasks[k])
		}
		s.Steps[i].Tasks = tasks
	}
}

func cutCheckpoints(s *JobState, cut *Cut) error {
	s.editTasks(func(t *TaskState) {
		if t.Checkpoint != "" {
			t.Checkpoint = ""
			cut.Checkpoints++
		}
	})
	return nil
}

// cutFailed replaces the numbers of failed runs by -1, -2 and so on, but the newest one of each
// task. Their count decides when the job has failed; the numbers only tell ends apart that are
// reported again.
func cutFailed(s *JobState, cut *Cut) error {
	s.editTasks(func(t *TaskState) {
		if len(t.Failed) < 2 {
			return
		}
		newest := slices.Max(t.Failed)
		failed := make([]int64, 0, len(t.Failed))
		for i := range len(t.Failed) - 1 {
			failed = append(failed, -int64(i)-1)
		}
		t.Failed = append(failed, newest)
		cut.Failed += len(failed)
	})
	return nil
}
