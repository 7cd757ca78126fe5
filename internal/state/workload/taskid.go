package workload

import (
	"fmt"
	"strconv"
	"strings"
)

// TaskID identifies a task of a job.
type TaskID struct {
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// String returns the ID in the form that is sent to upstreams:
// JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	b := make([]byte, 0, idDigits+12)
	b = append(b, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// StepID returns the ID of the task's step.
func (t TaskID) StepID() StepID { return StepID{t.Job, t.Occurrence, t.Step} }

// StepID identifies a step of one occurrence of a job.
type StepID struct {
	Job        JobID
	Occurrence int
	Step       int
}

// String returns the ID in the form JOB.OCCURRENCE.STEP.
func (s StepID) String() string {
	return string(s.Job) + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// ParseTaskID parses the form that TaskID.String returns.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 || !JobID(parts[0]).Valid() {
		return TaskID{}, fmt.Errorf("task ID %q does not have the form JOB.OCCURRENCE.STEP.INDEX", text)
	}
	id := TaskID{Job: JobID(parts[0])}
	for i, field := range [...]*int{&id.Occurrence, &id.Step, &id.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("task ID %q: %q is not a number", text, parts[i+1])
		}
		*field = n
	}
	return id, nil
}
