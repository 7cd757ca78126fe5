package config

import (
	"math"
	"slices"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/evacuation"
)

// write is the stored outcome of a folded record, kept for deduplication.
type write struct {
	Offset int64  `json:"offset"`
	Result Result `json:"result"`
}

// Counts are the numbers of records, by outcome, that were applied to a Fold
// since it was created.
type Counts struct {
	// Accepted counts accepted records. Only these can change the state.
	Accepted int64
	// Rejected counts records that were conflicts or invalid.
	Rejected int64
	// Duplicates counts records whose ID or offset was folded before.
	Duplicates int64
	// Skipped counts records of an unknown kind.
	Skipped int64
}

// Fold is the state after all records up to a version. It is not safe for
// concurrent use; its views are.
type Fold struct {
	version        int64
	contracts      table[state.TeamID, Contract]
	keys           table[string, Key]
	queues         table[state.QueueID, Queue]
	domains        []Domain
	domainsVersion int64
	evacuated      evacuation.Set
	entries        table[state.EntryID, Entry]
	upstreams      table[state.DomainID, *domainUpstreams]
	claims         table[state.ShardID, Claim]
	ledgers        table[state.TeamID, *ledger]
	// settled is, by domain, the newest version that an owner there has
	// confirmed as settled; see Confirm.Settled.
	settled table[state.DomainID, int64]
	writes  recent[write]
	// unregistered holds the most recently unregistered entries, with the
	// offset of their removal.
	unregistered recent[int64]
	counts       Counts
	// home is the domain whose upstreams are kept unpacked; see SetHome.
	home state.DomainID
	// recheck is set when a record may have completed the confirmations that a
	// pending change waits for.
	recheck bool
	view    *View

	// Disable single rules, for tests.
	skipConfirm, skipSettle, skipDeduplication, skipBase, skipUnregistered bool
}

// NewFold returns an empty Fold at NoVersion.
func NewFold() *Fold {
	return &Fold{
		version:        NoVersion,
		domainsVersion: NoVersion,
		contracts:      newTable[state.TeamID, Contract](),
		keys:           newTable[string, Key](),
		queues:         newTable[state.QueueID, Queue](),
		entries:        newTable[state.EntryID, Entry](),
		upstreams:      newTable[state.DomainID, *domainUpstreams](),
		claims:         newTable[state.ShardID, Claim](),
		ledgers:        newTable[state.TeamID, *ledger](),
		settled:        newTable[state.DomainID, int64](),
		writes:         newRecent[write](nil),
		unregistered:   newRecent[int64](nil),
	}
}

// SetHome sets the domain whose upstreams are read often. Views keep them
// unpacked; the upstreams of other domains are unpacked on every call. It has no
// other effect.
func (f *Fold) SetHome(domain state.DomainID) {
	f.home = domain
	f.view = nil
}

// Version returns the offset of the last folded record, or NoVersion.
func (f *Fold) Version() int64 { return f.version }

// Counts returns the numbers of records that were applied.
func (f *Fold) Counts() Counts { return f.counts }

// LookupWrite returns the result of the write with the given ID and the offset
// at which it was folded. ok is false unless the write is among the most recent
// ones, which are kept for deduplication.
func (f *Fold) LookupWrite(id string) (result Result, offset int64, ok bool) {
	w, ok := f.writes.get(id)
	return w.Result, w.Offset, ok
}

// Skip advances the version to an offset that holds no record to fold.
func (f *Fold) Skip(offset int64) {
	if offset > f.version {
		f.version = offset
		f.view = nil
	}
}

// Apply folds one record. The caller passes records in the order of their
// offsets; records of one batch have the same offset. A record at an offset
// below the version is a duplicate.
func (f *Fold) Apply(offset int64, record Record) Result {
	if offset < f.version {
		f.counts.Duplicates++
		return Result{Outcome: Duplicate}
	}
	f.version = offset
	f.view = nil
	result := f.applyOnce(offset, record)
	f.count(result)
	if f.recheck {
		f.recheck = false
		f.release(offset)
	}
	return result
}

func (f *Fold) applyOnce(offset int64, record Record) Result {
	if record.Body == nil {
		return Result{Outcome: Skipped}
	}
	if !deduplicated(record.Body) {
		return f.applyBody(offset, record)
	}
	if record.ID == "" {
		return invalid("id", "give the write an ID of its own")
	}
	if _, ok := f.writes.get(record.ID); ok && !f.skipDeduplication {
		return Result{Outcome: Duplicate}
	}
	result := f.applyBody(offset, record)
	f.writes.add(record.ID, write{Offset: offset, Result: result})
	return result
}

// deduplicated reports whether a second record with the same ID must be
// dropped. Records of the other kinds are idempotent, and too frequent to keep
// their IDs.
func deduplicated(body Body) bool {
	switch body.(type) {
	case Confirm, Snapshot:
		return false
	default:
		return true
	}
}

func (f *Fold) count(result Result) {
	switch result.Outcome {
	case Accepted:
		f.counts.Accepted++
	case Conflict, Invalid:
		f.counts.Rejected++
	case Duplicate:
		f.counts.Duplicates++
	case Skipped:
		f.counts.Skipped++
	}
}

func (f *Fold) applyBody(offset int64, record Record) Result {
	switch body := record.Body.(type) {
	case PutContract:
		return f.putContract(offset, record.Base, body.Contract)
	case WithdrawContract:
		return f.withdrawContract(offset, record.Base, body.Team)
	case GrantKey:
		return f.grantKey(offset, record.Base, body.Key)
	case WithdrawKey:
		return f.withdrawKey(offset, record.Base, body.Key)
	case OpenQueue:
		return f.openQueue(offset, record.Base, body.Queue)
	case CloseQueue:
		return f.closeQueue(record.Base, body.Queue)
	case PutDomains:
		return f.putDomains(offset, record.Base, body.Domains)
	case RegisterEntry:
		return f.registerEntry(offset, record.Base, body)
	case UnregisterEntry:
		return f.unregisterEntry(offset, body.Entry)
	case Confirm:
		return f.confirm(offset, body)
	case MoveAllotment:
		return f.moveAllotment(offset, record.Base, body)
	case JoinUpstreams:
		return f.joinUpstreams(offset, body)
	case DropUpstreams:
		return f.dropUpstreams(body)
	case DrainUpstream:
		return f.drain(body.Domain, body.Upstream, true)
	case UndrainUpstream:
		return f.drain(body.Domain, body.Upstream, false)
	case EvacuateDomain:
		return f.evacuate(body.Domain)
	case RestoreDomain:
		return f.restoreDomain(body.Domain)
	case ClaimShard:
		return f.claimShard(offset, body)
	case Snapshot:
		return accepted()
	default:
		return Result{Outcome: Skipped}
	}
}

// checkBase returns an accepted result if a record with the given base may
// change an object at version current, and a conflict otherwise.
func (f *Fold) checkBase(base, current int64) Result {
	if base != AnyVersion && base != current && !f.skipBase {
		return Result{Outcome: Conflict, Current: current}
	}
	return accepted()
}

// release brings into force the pending changes that all entries concerned have
// confirmed.
func (f *Fold) release(offset int64) {
	confirmed := f.confirmedVersions()
	for _, domain := range sortedKeys(f.upstreams.rows) {
		d := f.upstreams.rows[domain]
		if len(d.Pending) == 0 {
			continue
		}
		if upTo := confirmed.version(domain); d.Pending[0].Offset <= upTo {
			f.upstreams.put(domain, d.activate(upTo))
		}
	}
	for _, team := range sortedKeys(f.ledgers.rows) {
		f.releaseReductions(offset, team, confirmed)
	}
}

func (f *Fold) releaseReductions(offset int64, team state.TeamID, confirmed confirmedVersions) {
	old := f.ledgers.rows[team]
	changed := func(r pendingReduction) bool {
		return f.released(r) || r.ConfirmedAt == notConfirmed && r.Offset <= confirmed.version(r.Domain)
	}
	if !slices.ContainsFunc(old.Pending, changed) {
		return
	}
	kept := make([]pendingReduction, 0, len(old.Pending))
	for _, r := range old.Pending {
		if r.ConfirmedAt == notConfirmed && r.Offset <= confirmed.version(r.Domain) {
			r.ConfirmedAt = offset
		}
		if !f.released(r) {
			kept = append(kept, r)
		}
	}
	l := old.clone()
	l.Pending = kept
	l.raise(f.contracts.rows[team].Limit)
	f.putLedger(team, l)
}

// released reports whether the domain no longer uses the amount of a pending
// reduction: every entry there has confirmed the reduction, so that none places
// tasks above it, and an owner has since confirmed that the running tasks fit.
// A domain without upstreams runs nothing and needs no owner's confirmation.
func (f *Fold) released(r pendingReduction) bool {
	if f.skipConfirm {
		return true
	}
	if r.ConfirmedAt == notConfirmed {
		return false
	}
	if f.skipSettle || f.upstreams.rows[r.Domain].empty() {
		return true
	}
	settled, ok := f.settled.rows[r.Domain]
	return ok && settled >= r.ConfirmedAt
}

// confirmedVersions holds, by domain, the newest version that all entries
// registered there have confirmed.
type confirmedVersions map[state.DomainID]int64

// version returns the confirmed version of a domain. In a domain without
// entries, every version counts as confirmed.
func (v confirmedVersions) version(domain state.DomainID) int64 {
	if version, ok := v[domain]; ok {
		return version
	}
	return math.MaxInt64
}

func (f *Fold) confirmedVersions() confirmedVersions {
	out := confirmedVersions{}
	if f.skipConfirm {
		return out
	}
	for _, entry := range f.entries.rows {
		out[entry.Domain] = min(out.version(entry.Domain), entry.Confirmed)
	}
	return out
}

func (f *Fold) putLedger(team state.TeamID, l *ledger) {
	if _, ok := f.contracts.rows[team]; !ok && l.empty() {
		f.ledgers.remove(team)
		return
	}
	f.ledgers.put(team, l)
}
