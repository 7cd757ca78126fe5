package ledger

import (
	"fmt"

	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// LeaseEnds says until when leases can last on upstreams that an owner does not reach. The owner
// grants none there until the log holds a newer record of the same epoch that lacks the upstream.
// It says nothing once another owner than the one of that epoch was the newest: an owner of a
// former release grants leases without a record.
type LeaseEnds struct {
	// Epoch is the owner's.
	Epoch     int64
	Upstreams []LeaseEnd
}

// LeaseEnd is the end of the leases on an upstream.
type LeaseEnd struct {
	Upstream workload.UpstreamID
	// LeftMS is the time from the begin of the append until all leases have ended, at most, in
	// milliseconds of the owner's clock.
	LeftMS int64
}

// LeaseEndsRecord returns the record of the lease ends. Entries that do not know it ignore it with a
// log line.
func LeaseEndsRecord(l *LeaseEnds) (Record, error) { return encode(keyLeaseEnds, l) }

// IsLeaseEnds reports whether a record holds lease ends.
func IsLeaseEnds(r Record) bool { return r.Key == keyLeaseEnds }

// applyLeaseEnds keeps the newest record of the lease ends. What replaces a record that can't be
// read may be the withdrawal of an older one, so that one is dropped.
func (t *Table) applyLeaseEnds(r Record) (Change, error) {
	t.leaseEnds = LeaseEnds{}
	if len(r.Value) == 0 || r.Offset < t.claimOffset { // claims between them may not have been read
		return Change{}, nil
	}
	var l LeaseEnds
	if _, err := decodePrefix(r, &l); err != nil {
		return Change{}, err
	}
	for _, end := range l.Upstreams {
		if end.LeftMS < 0 {
			return Change{}, fmt.Errorf("ledger: the record %q at offset %d holds %d ms for upstream %q; ignoring it", r.Key, r.Offset, end.LeftMS, end.Upstream)
		}
	}
	t.leaseEnds = l
	return Change{OwnerAlive: true, LeaseEnds: true}, nil
}

// LeaseEnds returns what the owner before the newest one recorded last, which must not be modified;
// nothing if it recorded none.
func (t *Table) LeaseEnds() []LeaseEnd {
	if t.leaseEnds.Epoch == 0 || t.leaseEnds.Epoch != t.previousEpoch {
		return nil
	}
	return t.leaseEnds.Upstreams
}

// ForgetLeaseEnds drops the lease ends, after a read that may have skipped records: a withdrawal, or the
// claim of an owner in between.
func (t *Table) ForgetLeaseEnds() { t.leaseEnds = LeaseEnds{} }
