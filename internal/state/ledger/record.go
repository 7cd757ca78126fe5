// Package ledger holds the records of the shared job log and folds them into a table
// that every entry keeps. Any entry appends jobs and cancellations of its callers, the
// owner appends progress, and an entry becomes the owner by appending a claim.
package ledger

import (
	"bytes"
	"fmt"
	"math/bits"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// Record is one keyed record of the log.
type Record struct {
	Key string
	// Value is empty in a record that deletes the key.
	Value []byte
	// Offset is the record's position in the log; it is unset in new records.
	Offset int64
}

// The first byte of a key is the kind of the record, except for keyOwner and the following keys.
const (
	kindJob    = 'j'
	kindCancel = 'c'
	kindState  = 's'
	kindEntry  = 'n'
	// keyOwner is the key of the claims; the record with it holds the newest one.
	keyOwner = "owner"
	// keyRunTimes is the key of the learned run times.
	keyRunTimes = "runtimes"
	// keyLeaseEnds is the key of the lease ends on upstreams that are not reached.
	keyLeaseEnds = "leaseends"
)

// DirectoryPages are the keys after which the pages begin that hold the registered entries
// and the newest claim, in the order of the keys.
var DirectoryPages = []string{string(kindEntry), keyOwner[:len(keyOwner)-1]}

// Claim records that an entry owns the placement of tasks.
type Claim struct {
	// Epoch increases with each claim. It is the fencing token for the log and the
	// upstreams.
	Epoch int64
	Entry string
	// Incarnation identifies the process among those of the same entry.
	Incarnation string
	// Address is where the owner serves calls from other entries.
	Address string
	Domain  state.DomainID
	// Released says that the owner gave up ownership in an orderly handover.
	Released bool
	// Successor is the entry that should claim after a release; empty for any.
	Successor string
	// StartList is an encoded StartList. A claim that follows another one holds the list of
	// the latter until its owner has polled these upstreams. It follows the other fields in
	// the record, where entries of a former release ignore it; a further field of the encoded
	// array would make them reject the record.
	StartList []byte `msgpack:"-"`
}

// Entry is the registration of an entry process.
type Entry struct {
	Name        string
	Incarnation string
	// Address is where the entry serves calls from other entries.
	Address string
	Domain  state.DomainID
	// Gone says that the entry has left.
	Gone bool
	// CPUShare is the share of a processor that the entry has; 1 is a whole processor.
	CPUShare float64
}

// Phase is the progress of a job.
type Phase uint8

// Phases of a job. Complete, Failed and Cancelled are final.
const (
	Queued Phase = iota
	Running
	Complete
	Failed
	Cancelled
)

// Final reports whether the phase can no longer change.
func (p Phase) Final() bool { return p >= Complete }

// String returns the phase as written to logs.
func (p Phase) String() string {
	names := [...]string{"queued", "running", "complete", "failed", "cancelled"}
	if int(p) >= len(names) {
		return fmt.Sprintf("phase %d", uint8(p))
	}
	return names[p]
}

// JobState is the state of a job as recorded by the owner.
type JobState struct {
	Phase Phase
	// FinalUnixMS is when the phase became final, in Unix milliseconds.
	FinalUnixMS int64
	Steps       []StepState
	// Crashes holds the tasks under which upstreams have crashed. It follows the other fields in
	// the record, as Claim.StartList does.
	Crashes []TaskCrashes `msgpack:"-"`
	// Series is the progress of a job that repeats, nil for another job and in the states that
	// former releases wrote. It follows the crashes in the record.
	Series *Series `msgpack:"-"`
}

// StepState is the progress of a step in one occurrence.
type StepState struct {
	Occurrence int
	Step       int
	// Done is a bit set of the completed tasks.
	Done []byte
	// Tasks holds the tasks that were started and are not complete.
	Tasks []TaskState
}

// TaskState is the progress of a task that is not complete.
type TaskState struct {
	Index int
	// Run is the number of the newest run.
	Run int64
	// Failed holds the numbers of the failed runs.
	Failed     []int64
	Checkpoint string
	// Upstream is where the newest run may exist; "" for none. It is recorded before
	// the run is started.
	Upstream workload.UpstreamID
}

// validate returns an error for a state that no release of this version writes.
func (s *JobState) validate() error {
	if s.Phase > Cancelled {
		return fmt.Errorf("the phase %d is unknown; upgrade the entry", uint8(s.Phase))
	}
	if err := s.Series.validate(); err != nil {
		return err
	}
	for i := range s.Steps {
		step := &s.Steps[i]
		if step.Occurrence < 0 || step.Step < 0 {
			return fmt.Errorf("step %d of occurrence %d does not exist", step.Step, step.Occurrence)
		}
		for _, t := range step.Tasks {
			if t.Index < 0 {
				return fmt.Errorf("task %d of step %d does not exist", t.Index, step.Step)
			}
		}
	}
	for _, c := range s.Crashes {
		if c.Occurrence < 0 || c.Step < 0 || c.Index < 0 || c.Certain < 0 || c.Uncertain < 0 || c.Shared < 0 {
			return fmt.Errorf("the crashes of task %d of step %d in occurrence %d are invalid (%d certain, %d uncertain, %d shared)", c.Index, c.Step, c.Occurrence, c.Certain, c.Uncertain, c.Shared)
		}
	}
	return nil
}

// SetDone marks a task as complete.
func (s *StepState) SetDone(index int) {
	for len(s.Done) <= index/8 {
		s.Done = append(s.Done, 0)
	}
	s.Done[index/8] |= 1 << (index % 8)
}

// SetAllDone marks all of a number of tasks as complete.
func (s *StepState) SetAllDone(count int) {
	s.Done = bytes.Repeat([]byte{0xff}, (count+7)/8)
	if rest := count % 8; rest > 0 {
		s.Done[len(s.Done)-1] = 1<<rest - 1
	}
}

// CountDone returns the number of complete tasks.
func (s *StepState) CountDone() (n int) {
	for _, b := range s.Done {
		n += bits.OnesCount8(b)
	}
	return n
}

// IsDone reports whether a task is complete.
func (s *StepState) IsDone(index int) bool {
	return index/8 < len(s.Done) && s.Done[index/8]&(1<<(index%8)) != 0
}

// JobRecord returns the record of an accepted job.
func JobRecord(job *workload.Job) (Record, error) {
	r, err := encode(string(kindJob)+string(job.ID), job)
	if err != nil || job.Domain == "" {
		return r, err
	}
	domain, err := msgpack.Marshal(string(job.Domain))
	r.Value = append(r.Value, domain...)
	return r, err
}

// CancelRecord returns the record of a cancellation at a time in Unix milliseconds.
func CancelRecord(id workload.JobID, unixMS int64) (Record, error) {
	return encode(string(kindCancel)+string(id), unixMS)
}

// StateRecord returns the record of a job's state.
func StateRecord(id workload.JobID, s *JobState) (Record, error) {
	stored := *s
	if s.Series != nil && s.Series.Unlisted {
		stored.Phase, stored.FinalUnixMS = Cancelled, 0 // see Series
	}
	r, err := encode(string(kindState)+string(id), &stored)
	if err != nil {
		return r, err
	}
	if r.Value, err = appendCrashes(r.Value, s.Crashes, s.Series != nil); err != nil {
		return r, err
	}
	r.Value, err = appendSeries(r.Value, s)
	return r, err
}

// ClaimRecord returns the record of a claim.
func ClaimRecord(c *Claim) (Record, error) {
	r, err := encode(keyOwner, c)
	r.Value = append(r.Value, c.StartList...)
	return r, err
}

// EntryRecord returns the record of an entry's registration.
func EntryRecord(e *Entry) (Record, error) { return encode(string(kindEntry)+e.Name, e) }

// RunTimesRecord returns the record of the learned run times, as encoded by package
// runtimes. Entries that do not know it ignore it with a log line.
func RunTimesRecord(data []byte) Record { return Record{Key: keyRunTimes, Value: data} }

// JobOf returns the job in a record, or nil without an error if the record is of
// another kind. It returns an error if the job is invalid or has another ID than the key.
func JobOf(r Record) (*workload.Job, error) {
	if r.Key == "" || r.Key[0] != kindJob {
		return nil, nil
	}
	job := &workload.Job{}
	addition, err := splitValue(r.Value)
	if err != nil {
		return nil, unreadable(r, err)
	}
	value := bytes.NewReader(r.Value)
	decoder := msgpack.GetDecoder()
	defer msgpack.PutDecoder(decoder)
	decoder.UsePreallocateValues(true)
	decoder.Reset(value)
	if err := decoder.Decode(job); err != nil {
		return nil, unreadable(r, err)
	}
	if _, err := splitValue(addition); err == nil {
		if domain, err := decoder.DecodeString(); err == nil {
			job.Domain = state.DomainID(domain) // else it is an addition of a newer version
		}
	}
	if string(job.ID) != r.Key[1:] || !job.ID.Valid() {
		return nil, fmt.Errorf("ledger: the record %q at offset %d holds the job %q", r.Key, r.Offset, job.ID)
	}
	if err := job.CheckForm(); err != nil {
		return nil, fmt.Errorf("ledger: the record %q at offset %d holds an invalid job: %w", r.Key, r.Offset, err)
	}
	return job, nil
}

// ClaimOf returns the claim in a record; ok is false if the record is of another kind
// or cannot be decoded.
func ClaimOf(r Record) (claim Claim, ok bool) {
	if r.Key != keyOwner {
		return claim, false
	}
	return claim, decodeClaim(r, &claim) == nil
}

// decodeClaim decodes a claim and the list that follows it.
func decodeClaim(r Record, into *Claim) error {
	rest, err := decodePrefix(r, into)
	into.StartList = rest
	if err == nil && into.Epoch > maxEpoch {
		return fmt.Errorf("ledger: ignoring the claim of %q at offset %d: its epoch is %d, the most is %d", into.Entry, r.Offset, into.Epoch, int64(maxEpoch))
	}
	return err
}

// maxEpoch bounds the epoch of a claim, so that epochs of later claims do not overflow. Each claim
// adds some 2^16.
const maxEpoch = 1 << 61

// decodePrefix decodes the value at the beginning of a record and returns what follows it, nil
// if nothing does.
func decodePrefix(r Record, into any) (rest []byte, err error) {
	if rest, err = splitValue(r.Value); err == nil {
		err = msgpack.Unmarshal(r.Value, into)
	}
	if err != nil {
		return nil, unreadable(r, err)
	}
	if len(rest) == 0 {
		return nil, nil
	}
	return rest, nil
}

// CancelOf returns the job that a record cancels; false if the record is of another
// kind.
func CancelOf(r Record) (workload.JobID, bool) {
	if r.Key == "" || r.Key[0] != kindCancel {
		return "", false
	}
	return workload.JobID(r.Key[1:]), true
}

// StateOf returns the job whose state a record holds; false if the record is of another kind.
func StateOf(r Record) (workload.JobID, bool) {
	if r.Key == "" || r.Key[0] != kindState {
		return "", false
	}
	return workload.JobID(r.Key[1:]), true
}

// DropRecords returns the records that delete a job from the log.
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
	// Field names would make up most of a record. Fields are encoded by position, and a
	// struct with another number of fields cannot be decoded. What is added to a record must
	// follow the struct as a value of its own; entries that do not know it ignore it.
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(value); err != nil {
		return Record{}, fmt.Errorf("ledger: cannot encode the record %q: %w", key, err)
	}
	return Record{Key: key, Value: data.Bytes()}, nil
}
