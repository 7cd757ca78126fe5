package journal

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// Job is an accepted job as it is stored in the journal. Points in time are
// wall-clock times in Unix milliseconds, since another process reads them.
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
	// DeadlineUnixMS is 0 if the job has no deadline.
	DeadlineUnixMS int64 `json:"deadline,omitempty"`
}

// FromSubmission returns the job of a submission accepted at the wall-clock time
// wall.
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

// Submission returns the job as a submission at the wall-clock time wall. It is
// not Fresh, since an earlier owner may have run the job.
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

// jobOverhead is an upper bound of the encoded size of a job without its payload,
// names and IDs, in bytes.
const jobOverhead = 512

// escapedBytes is the most that a byte of a name takes in JSON: six for a character that is escaped,
// and for one that is not valid UTF-8.
const escapedBytes = 6

// size returns an upper bound of the encoded size of the job, in bytes.
func (j *Job) size() int {
	names := len(j.ID) + len(j.Team) + len(j.Queue) + len(j.Service) + len(j.Class)
	return jobOverhead + escapedBytes*names + (len(j.Payload)+2)/3*4
}

// endEventSize is an upper bound of the encoded size of an end event without the
// job ID, in bytes.
const endEventSize = 64

// endEvent records that a job has ended, and in which state.
type endEvent struct {
	ID    state.JobID    `json:"id"`
	State state.JobState `json:"state"`
}

// event is the acceptance or the end of a job. Exactly one of its fields is set.
type event struct {
	Accepted *Job      `json:"accepted,omitempty"`
	Ended    *endEvent `json:"ended,omitempty"`
}

// batch is the content of one log record. The first batch of an owner, with
// Sequence 1, is its takeover.
type batch struct {
	Epoch devplatform.Epoch `json:"epoch"`
	// Sequence increases by one with each batch of an epoch.
	Sequence uint64 `json:"sequence"`
	// Base is the offset from which a reader finds every unfinished job.
	// BaseUnixMS is the time at which that offset was the tail.
	Base       int64   `json:"base"`
	BaseUnixMS int64   `json:"base_time"`
	Events     []event `json:"entries,omitempty"`
}

func (b *batch) encode() ([]byte, error) {
	data, err := json.Marshal(b)
	return data, eris.Wrap(err, "journal: encode batch")
}

func decode(data []byte) (batch, error) {
	var b batch
	err := json.Unmarshal(data, &b)
	return b, eris.Wrap(err, "journal: record is not a batch of job events; remove other writers from the stream")
}
