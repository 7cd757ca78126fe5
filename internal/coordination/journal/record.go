package journal

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// Job is an accepted job as the journal keeps it. Times are wall-clock times in
// milliseconds, since another process reads them.
type Job struct {
	ID             state.JobID   `json:"id"`
	Team           state.TeamID  `json:"team"`
	Queue          state.QueueID `json:"queue,omitempty"`
	Class          state.Class   `json:"class"`
	Service        state.Service `json:"service"`
	Tasks          int           `json:"tasks"`
	Each           state.Vector  `json:"each"`
	RunTime        time.Duration `json:"run_time,omitempty"`
	Urgent         bool          `json:"urgent,omitempty"`
	Idempotent     bool          `json:"idempotent,omitempty"`
	Preemptible    bool          `json:"preemptible,omitempty"`
	Payload        []byte        `json:"payload,omitempty"`
	AcceptedUnixMS int64         `json:"accepted"`
	// DeadlineUnixMS is 0 when there is no deadline.
	DeadlineUnixMS int64 `json:"deadline,omitempty"`
}

// FromSubmission returns the job of a submission accepted at wall.
func FromSubmission(s coordination.Submission, wall time.Time) Job {
	j := Job{
		ID: s.ID, Team: s.Team, Queue: s.Queue, Class: s.Class, Service: s.Service, Tasks: s.Tasks, Each: s.Each,
		RunTime: s.RunTime, Urgent: s.Urgent, Idempotent: s.Idempotent, Preemptible: s.Preemptible,
		Payload: s.Payload, AcceptedUnixMS: wall.UnixMilli(),
	}
	if s.DeadlineIn > 0 {
		j.DeadlineUnixMS = wall.Add(s.DeadlineIn).UnixMilli()
	}
	return j
}

// Submission returns the job as a submission at wall. An earlier owner may have
// run it, so it is not Fresh.
func (j *Job) Submission(wall time.Time) coordination.Submission {
	s := coordination.Submission{
		ID: j.ID, Team: j.Team, Queue: j.Queue, Class: j.Class, Service: j.Service, Tasks: j.Tasks, Each: j.Each,
		RunTime: j.RunTime, Urgent: j.Urgent, Idempotent: j.Idempotent, Preemptible: j.Preemptible, Payload: j.Payload,
	}
	if j.DeadlineUnixMS > 0 {
		s.DeadlineIn = max(time.UnixMilli(j.DeadlineUnixMS).Sub(wall), 1)
	}
	return s
}

// jobOverhead is an upper bound of the encoded size of a job without its
// payload, its names and its IDs, in bytes.
const jobOverhead = 512

// size returns an upper bound of the encoded size of the job in bytes.
func (j *Job) size() int {
	names := len(j.ID) + len(j.Team) + len(j.Queue) + len(j.Service)
	return jobOverhead + names + (len(j.Payload)+2)/3*4
}

// endedSize is an upper bound of the encoded size of an ended entry without the
// job ID, in bytes.
const endedSize = 64

// ended says that a job is over.
type ended struct {
	ID    state.JobID    `json:"id"`
	State state.JobState `json:"state"`
}

// entry is one of its fields.
type entry struct {
	Accepted *Job   `json:"accepted,omitempty"`
	Ended    *ended `json:"ended,omitempty"`
}

// batch is the content of one log record. The first batch of an owner, with
// Sequence 1, is its takeover.
type batch struct {
	Epoch devplatform.Epoch `json:"epoch"`
	// Sequence rises by one with each batch of an epoch.
	Sequence uint64 `json:"sequence"`
	// Base is the offset from which on a reader finds every unfinished job.
	Base       int64   `json:"base"`
	BaseUnixMS int64   `json:"base_time"`
	Entries    []entry `json:"entries,omitempty"`
}

func (b *batch) encode() ([]byte, error) {
	data, err := json.Marshal(b)
	return data, eris.Wrap(err, "journal: encode a batch")
}

func decode(data []byte) (batch, error) {
	var b batch
	err := json.Unmarshal(data, &b)
	return b, eris.Wrap(err, "journal: a record is not a batch; remove other writers from the stream")
}
