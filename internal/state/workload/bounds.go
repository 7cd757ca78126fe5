package workload

import "fmt"

// What an owner keeps and records of a job is bounded: the tasks that were started and are not
// complete, and for each step of an occurrence at work a bit for each task.
const (
	// MaxTasksAtWork is how many tasks of a job may be started and not complete. Others wait.
	// At 66 bytes each, with upstream IDs of 32 bytes and nine failed runs, they take 198,000
	// bytes of a record.
	MaxTasksAtWork = 3000
	// SparePlaces is how many of these are left to steps of which no task was placed, one to each, so
	// that a step goes on beside others whose tasks can't run.
	SparePlaces = MaxSteps
	// MaxProgressBytes bounds the rest of a job's state in a record, in bytes.
	MaxProgressBytes = 36 << 10
	// stepBytes is the most that a step takes there beside its bits: the numbers of the
	// occurrence and the step, and the lengths of the bits and of the list of tasks.
	stepBytes = 24
	// maxAfter bounds how often a step may name earlier ones.
	maxAfter = MaxSteps
)

// ProgressBytes returns the most that the state of one occurrence takes in a record beside the
// tasks that are at work.
func (j *Job) ProgressBytes() (n int) {
	for i := range j.Steps {
		n += stepBytes + (j.Steps[i].Count+7)/8
	}
	return n
}

// largestGang returns the number of tasks of the largest gang, or of the largest that is not
// long-running.
func (j *Job) largestGang(lasting bool) (n int) {
	for i := range j.Steps {
		if s := &j.Steps[i]; s.Gang && (lasting || !s.LongRunning) {
			n = max(n, s.Count)
		}
	}
	return n
}

// LastingTasks returns the number of long-running tasks of all occurrences.
func (j *Job) LastingTasks() (n int64) {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			n += int64(j.Steps[i].Count) * int64(j.Occurrences())
		}
	}
	return n
}

// atOnce returns the most tasks of a step that are not long-running and must be at work together.
func (j *Job) atOnce() (n int) {
	n = j.largestGang(false)
	for i := range j.Steps {
		if !j.Steps[i].LongRunning {
			n = max(n, 1)
		}
	}
	return n
}

// CheckHeld returns an *InvalidJobError for a job that an owner can't hold, whichever release has
// accepted it.
func (j *Job) CheckHeld() error {
	if n := j.ProgressBytes(); n > MaxProgressBytes {
		return &InvalidJobError{fmt.Sprintf("the state of its %d steps takes up to %d bytes (%d for each step and a bit for each task), the most is %d", len(j.Steps), n, stepBytes, MaxProgressBytes)}
	}
	if n := j.largestGang(true); n > MaxTasksAtWork {
		return &InvalidJobError{fmt.Sprintf("a gang has %d tasks, the most is %d", n, MaxTasksAtWork)}
	}
	return nil
}

// checkBounds returns an *InvalidJobError for a job that can't be held, or whose tasks can't all
// have their turn: long-running tasks are at work together and beside those of another step, and
// their occurrences stay open.
func (j *Job) checkBounds() error {
	if err := j.CheckHeld(); err != nil {
		return err
	}
	if lasting, others := j.LastingTasks(), j.atOnce(); lasting+int64(others) > MaxTasksAtWork {
		return &InvalidJobError{fmt.Sprintf("%d long-running tasks in all occurrences, beside %d others that must be at work together, the most is %d", lasting, others, MaxTasksAtWork)}
	}
	if n := int64(j.Occurrences()) * int64(j.ProgressBytes()); j.LongRunning() && n > MaxProgressBytes {
		return &InvalidJobError{fmt.Sprintf("the state of its %d occurrences, none of which ends, takes up to %d bytes, the most is %d", j.Occurrences(), n, MaxProgressBytes)}
	}
	for i := range j.Steps {
		if n := len(j.Steps[i].After); n > maxAfter {
			return &InvalidJobError{fmt.Sprintf("step %d waits for %d steps, the most is %d", i, n, maxAfter)}
		}
	}
	return nil
}
