// Package ledger is the shared log of jobs: its records and their fold into a
// table that every entry keeps. Callers' entries add jobs and cancellations,
// the owner adds progress, and an entry becomes the owner by a claim.
package ledger

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// Record is one keyed record of the log.
type Record struct {
	Key string
	// Value is empty in a record that drops the key.
	Value []byte
	// Offset is the record's place in the log; it is not set in new records.
	Offset int64
}

// The first byte of a key says what the record holds.
const (
	kindJob    = 'j'
	kindCancel = 'c'
	kindState  = 's'
	kindEntry  = 'n'
	// keyOwner holds the newest claim.
	keyOwner = "owner"
)

// Claim says that an entry owns the placement of tasks.
type Claim struct {
	// Epoch rises with each claim and fences the store and the upstreams.
	Epoch int64
	Entry string
	// Incarnation tells lives of the entry apart.
	Incarnation string
	Address     string
	Domain      state.DomainID
	// Released says that the owner gave up ownership in order.
	Released bool
	// Successor is the entry that should claim after a release; empty for any.
	Successor string
}

// Entry is an entry process that takes part.
type Entry struct {
	Name        string
	Incarnation string
	// Address serves the calls between entries.
	Address string
	Domain  state.DomainID
	Gone    bool
	// CPUShare is the part of a processor that the entry has.
	CPUShare float64
}

// Phase is the progress of a job.
type Phase uint8

// The phases of a job.
const (
	Queued Phase = iota
	Running
	Complete
	Failed
	Cancelled
)

// Final reports whether the phase does not change any more.
func (p Phase) Final() bool { return p >= Complete }

// String names the phase in logs.
func (p Phase) String() string {
	return [...]string{"queued", "running", "complete", "failed", "cancelled"}[p]
}

// JobState is what the owner records about a job.
type JobState struct {
	Phase Phase
	// FinalUnixMS is when the phase became final.
	FinalUnixMS int64
	Steps       []StepState
}

// StepState is the progress of a step of one occurrence.
type StepState struct {
	Occurrence int
	Step       int
	// Done has a bit for each task that ended well.
	Done []byte
	// Tasks holds the tasks that were started and have not ended well.
	Tasks []TaskState
}

// TaskState is the progress of a task that has not ended well.
type TaskState struct {
	Index int
	// Run is the number of the newest run.
	Run int64
	// Failed holds the runs that ended by a fault.
	Failed     []int64
	Checkpoint string
	// Upstream may run the newest run; "" for none. It is recorded before the
	// run is started.
	Upstream workload.UpstreamID
}

// SetDone marks a task as ended well.
func (s *StepState) SetDone(index int) {
	for len(s.Done) <= index/8 {
		s.Done = append(s.Done, 0)
	}
	s.Done[index/8] |= 1 << (index % 8)
}

// IsDone reports whether a task ended well.
func (s *StepState) IsDone(index int) bool {
	return index/8 < len(s.Done) && s.Done[index/8]&(1<<(index%8)) != 0
}

// JobRecord returns the record of an accepted job.
func JobRecord(job *workload.Job) (Record, error) {
	return encode(string(kindJob)+string(job.ID), job)
}

// CancelRecord returns the record of a cancellation.
func CancelRecord(id workload.JobID, unixMS int64) (Record, error) {
	return encode(string(kindCancel)+string(id), unixMS)
}

// StateRecord returns the record of a job's progress.
func StateRecord(id workload.JobID, s *JobState) (Record, error) {
	return encode(string(kindState)+string(id), s)
}

// ClaimRecord returns the record of a claim.
func ClaimRecord(c *Claim) (Record, error) { return encode(keyOwner, c) }

// EntryRecord returns the record of an entry.
func EntryRecord(e *Entry) (Record, error) { return encode(string(kindEntry)+e.Name, e) }

// JobOf returns the job in a record, or nil if the record holds something else.
func JobOf(r Record) (*workload.Job, error) {
	if r.Key == "" || r.Key[0] != kindJob {
		return nil, nil
	}
	job := &workload.Job{}
	return job, decode(r, job)
}

// ClaimOf returns the claim in a record; ok is false if the record holds something
// else or cannot be read.
func ClaimOf(r Record) (claim Claim, ok bool) {
	if r.Key != keyOwner {
		return claim, false
	}
	return claim, decode(r, &claim) == nil
}

// CancelOf returns the job that a record cancels.
func CancelOf(r Record) (workload.JobID, bool) {
	if r.Key == "" || r.Key[0] != kindCancel {
		return "", false
	}
	return workload.JobID(r.Key[1:]), true
}

// DropRecords returns the records that remove a job from the log.
func DropRecords(id workload.JobID) []Record {
	return []Record{
		{Key: string(kindState) + string(id)},
		{Key: string(kindCancel) + string(id)},
		{Key: string(kindJob) + string(id)},
	}
}

func encode(key string, value any) (Record, error) {
	var data bytes.Buffer
	encoder := msgpack.NewEncoder(&data)
	// Field names would take most of a record; fields are only ever appended.
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(value); err != nil {
		return Record{}, fmt.Errorf("ledger: cannot encode the record %q: %w", key, err)
	}
	return Record{Key: key, Value: data.Bytes()}, nil
}
