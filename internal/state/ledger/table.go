package ledger

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// Row is a job with its newest recorded state. Its fields are replaced, never
// changed in place.
type Row struct {
	// Job is nil while only a cancellation or a state is known.
	Job *workload.Job
	// Offset is where the job was first read.
	Offset    int64
	State     JobState
	Cancelled bool
}

// Phase returns the phase as callers see it.
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
	// entryOffsets holds where the entries' registrations were read.
	entryOffsets map[string]int64
	claim        Claim
	// first is set while no claim but the newest was ever read.
	first bool
	// claimOffset is where the newest claim of a new epoch was read.
	claimOffset int64
	pending     map[workload.QueueName]int
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

// Rows calls f for each row with a job.
func (t *Table) Rows(f func(*Row)) {
	for _, row := range t.rows {
		if row.Job != nil {
			f(row)
		}
	}
}

// Claim returns the newest claim and where its epoch began.
func (t *Table) Claim() (Claim, int64) { return t.claim, t.claimOffset }

// FirstClaim reports whether the newest claim is the only one that was read.
func (t *Table) FirstClaim() bool { return t.first }

// OwnerGone reports whether the owner's process has ended: its VM registered
// another process after the claim.
func (t *Table) OwnerGone() bool {
	e, ok := t.entries[t.claim.Entry]
	return ok && e.Incarnation != t.claim.Incarnation && t.entryOffsets[e.Name] > t.claimOffset
}

// Entries returns the entries that registered and have not left, the one that
// registered last first.
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

// Pending returns the number of jobs of a queue of which no task has started.
func (t *Table) Pending(queue workload.QueueName) int { return t.pending[queue] }

// Change says what a record changed.
type Change struct {
	// NewJob is a job that was not known before.
	NewJob *Row
	// CancelledJob is a job whose cancellation was not known before.
	CancelledJob workload.JobID
	// NewClaim is set when the epoch changed.
	NewClaim *Claim
	// OwnerAlive is set for every record that only the owner writes.
	OwnerAlive bool
}

// Apply folds one record. A record that can't be read changes nothing.
func (t *Table) Apply(r Record) (Change, error) {
	if r.Key == keyOwner {
		return t.applyClaim(r)
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
			return Change{}, fmt.Errorf("ledger: the record at offset %d has the key %q, which names no job", r.Offset, r.Key)
		}
		return t.applyJob(r, id)
	}
	return Change{}, fmt.Errorf("ledger: the record at offset %d has an unknown key %q", r.Offset, r.Key)
}

func (t *Table) applyClaim(r Record) (Change, error) {
	var c Claim
	if err := decode(r, &c); err != nil {
		return Change{}, err
	}
	if c.Epoch < t.claim.Epoch {
		return Change{}, nil
	}
	change := Change{OwnerAlive: true}
	if c.Epoch > t.claim.Epoch {
		t.claimOffset = r.Offset
		t.first = t.claim.Epoch == 0
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
	if err := decode(r, &e); err != nil {
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
		job := &workload.Job{}
		if err := decode(r, job); err != nil {
			return change, err
		}
		if err := job.Validate(); err != nil {
			return change, fmt.Errorf("ledger: the job at offset %d is left aside: %w", r.Offset, err)
		}
		row.Job, row.Offset = job, r.Offset
		change.NewJob = row
	case r.Key[0] == kindCancel:
		if !row.Cancelled {
			change.CancelledJob = id
		}
		row.Cancelled = true
	default:
		var s JobState
		if err := decode(r, &s); err != nil {
			return change, err
		}
		row.State = s
		change.OwnerAlive = true
	}
	t.count(old, -1)
	t.count(row, 1)
	t.rows[id] = row
	return change, nil
}

// count keeps the number of pending jobs per queue.
func (t *Table) count(row *Row, by int) {
	if row != nil && row.Job != nil && row.Phase() == Queued {
		t.pending[row.Job.Queue] += by
	}
}

func decode(r Record, into any) error {
	if err := msgpack.Unmarshal(r.Value, into); err != nil {
		return fmt.Errorf("ledger: the record %q at offset %d cannot be read: %w", r.Key, r.Offset, err)
	}
	return nil
}
