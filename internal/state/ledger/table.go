package ledger

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// Row is a job with its newest recorded state. Field values are replaced and never
// modified in place.
type Row struct {
	// Job is nil while only a cancellation or a state has been read.
	Job *workload.Job
	// Offset is where the job was first read.
	Offset    int64
	State     JobState
	Cancelled bool
	// large is by how much the job exceeds the memory of an ordinary one.
	large int
}

// Phase returns the phase as shown to callers: a cancelled job that is not final yet
// counts as Cancelled.
func (r *Row) Phase() Phase {
	if r.Cancelled && !r.State.Phase.Final() {
		return Cancelled
	}
	return r.State.Phase
}

// Table is the fold of the log. It is not safe for concurrent use.
type Table struct {
	rows    map[workload.JobID]*Row
	entries map[string]Entry
	// entryOffsets holds the offsets of the entries' newest registrations.
	entryOffsets map[string]int64
	claim        Claim
	// firstClaim is set while the newest epoch is the only one that was read.
	firstClaim bool
	// claimOffset is the offset of the claim that began the newest epoch.
	claimOffset int64
	// previousEpoch is the epoch of the claim before the newest one.
	previousEpoch int64
	// leaseEnds is the newest record of lease ends.
	leaseEnds LeaseEnds
	pending   map[workload.QueueName]int
	// large is by how much all jobs exceed the memory of ordinary ones.
	large int
	// runTimes is the newest record of the learned run times, or nil.
	runTimes []byte
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		rows:         map[workload.JobID]*Row{},
		entries:      map[string]Entry{},
		entryOffsets: map[string]int64{},
		pending:      map[workload.QueueName]int{},
	}
}

// Row returns the row of a job, or nil.
func (t *Table) Row(id workload.JobID) *Row { return t.rows[id] }

// Len returns the number of rows.
func (t *Table) Len() int { return len(t.rows) }

// Rows calls f for each row with a job, in no particular order.
func (t *Table) Rows(f func(*Row)) {
	for _, row := range t.rows {
		if row.Job != nil {
			f(row)
		}
	}
}

// Claim returns the newest claim and the offset at which its epoch began.
func (t *Table) Claim() (Claim, int64) { return t.claim, t.claimOffset }

// FirstClaim reports whether the newest claim's epoch is the only one that was read.
func (t *Table) FirstClaim() bool { return t.firstClaim }

// RunTimes returns the newest record of the learned run times, or nil. It must not be
// modified.
func (t *Table) RunTimes() []byte { return t.runTimes }

// OwnerGone reports whether the owner's process has ended: its VM registered another
// process after the claim.
func (t *Table) OwnerGone() bool {
	e, ok := t.entries[t.claim.Entry]
	return ok && e.Incarnation != t.claim.Incarnation && t.entryOffsets[e.Name] > t.claimOffset
}

// Entries returns the entries that are registered and have not left, most recently
// registered first.
func (t *Table) Entries() []Entry {
	out := make([]Entry, 0, len(t.entries))
	for _, e := range t.entries {
		if !e.Gone {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(t.entryOffsets[b.Name], t.entryOffsets[a.Name]) })
	return out
}

// Pending returns the number of queued jobs of a queue, those without a started task.
func (t *Table) Pending(queue workload.QueueName) int { return t.pending[queue] }

// MaxLargeBytes bounds by how much all jobs may exceed the memory of ordinary ones. Every entry holds
// all jobs, so that the smallest VM sets the bound.
const MaxLargeBytes = 16 << 20

// HasRoomFor reports whether there is memory for one more job, beside further bytes of large jobs that
// the table does not hold yet. There always is for an ordinary job, and for the only large one.
func (t *Table) HasRoomFor(job *workload.Job, further int) bool {
	large, held := job.LargeBytes(), t.large+further
	return large == 0 || held == 0 || held+large <= MaxLargeBytes
}

// Change describes the effect of a record.
type Change struct {
	// NewJob is the job, if it was not known before.
	NewJob *Row
	// CancelledJob is the cancelled job, if its cancellation was not known before.
	CancelledJob workload.JobID
	// NewClaim is the claim, if it began a new epoch.
	NewClaim *Claim
	// OwnerAlive is set for records that only the owner writes.
	OwnerAlive bool
	// LeaseEnds is set for a record of lease ends.
	LeaseEnds bool
}

// Apply folds one record into the table. It returns an error for a record that can't be
// decoded or is invalid; such a record changes nothing.
func (t *Table) Apply(r Record) (Change, error) {
	if r.Key == keyOwner {
		return t.applyClaim(r)
	}
	if r.Key == keyRunTimes {
		if t.runTimes = r.Value; len(r.Value) == 0 {
			t.runTimes = nil
		}
		return Change{OwnerAlive: true}, nil
	}
	if r.Key == keyLeaseEnds {
		return t.applyLeaseEnds(r)
	}
	if r.Key == "" {
		return Change{}, fmt.Errorf("ledger: the record at offset %d has an empty key", r.Offset)
	}
	id := workload.JobID(r.Key[1:])
	switch r.Key[0] {
	case kindEntry:
		return Change{}, t.applyEntry(r)
	case kindJob, kindCancel, kindState:
		if !id.Valid() {
			return Change{}, fmt.Errorf("ledger: the record at offset %d has the key %q, which contains no valid job ID", r.Offset, r.Key)
		}
		return t.applyJob(r, id)
	}
	return Change{}, fmt.Errorf("ledger: the record at offset %d has an unknown key %q", r.Offset, r.Key)
}

func (t *Table) applyClaim(r Record) (Change, error) {
	var c Claim
	if err := decodeClaim(r, &c); err != nil {
		return Change{}, err
	}
	if c.Epoch < t.claim.Epoch {
		return Change{}, nil
	}
	change := Change{OwnerAlive: true}
	if c.Epoch > t.claim.Epoch {
		t.claimOffset, t.previousEpoch = r.Offset, t.claim.Epoch
		t.firstClaim = t.claim.Epoch == 0
		change.NewClaim = &c
	}
	t.claim = c
	return change, nil
}

func (t *Table) applyEntry(r Record) error {
	if len(r.Value) == 0 {
		delete(t.entries, r.Key[1:])
		return nil
	}
	var e Entry
	if _, err := decodePrefix(r, &e); err != nil {
		return err
	}
	t.entries[e.Name] = e
	t.entryOffsets[e.Name] = r.Offset
	return nil
}

func (t *Table) applyJob(r Record, id workload.JobID) (Change, error) {
	old := t.rows[id]
	row := &Row{Offset: r.Offset}
	if old != nil {
		*row = *old
	}
	var change Change
	switch {
	case len(r.Value) == 0:
		t.count(old, -1)
		delete(t.rows, id)
		return change, nil
	case r.Key[0] == kindJob:
		if row.Job != nil {
			return change, nil
		}
		job, err := JobOf(r)
		if err != nil {
			return change, err
		}
		row.Job, row.Offset, row.large = job, r.Offset, job.LargeBytes()
		change.NewJob = row
	case r.Key[0] == kindCancel:
		if !row.Cancelled {
			change.CancelledJob = id
		}
		row.Cancelled = true
	default:
		var s JobState
		if err := decodeState(r, &s); err != nil {
			return change, err
		}
		if err := s.validate(); err != nil {
			return change, fmt.Errorf("ledger: ignoring the invalid state %q at offset %d: %w", r.Key, r.Offset, err)
		}
		row.State = s
		change.OwnerAlive = true
	}
	if row.large > 0 && row.State.Phase.Final() {
		row.Job = row.Job.Ended()
		row.large = row.Job.LargeBytes()
	}
	t.count(old, -1)
	t.count(row, 1)
	t.rows[id] = row
	return change, nil
}

// count adds a row to the sums of the table, or takes it out if by is -1.
func (t *Table) count(row *Row, by int) {
	if row == nil || row.Job == nil {
		return
	}
	t.large += by * row.large
	if row.Phase() == Queued {
		t.pending[row.Job.Queue] += by
	}
}

func unreadable(r Record, cause error) error {
	return fmt.Errorf("ledger: the record %q at offset %d cannot be read: %w", r.Key, r.Offset, cause)
}
