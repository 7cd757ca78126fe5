package config

import (
	"math"
	"slices"

	"github.com/samphirerail/samphirerail/internal/state"
)

// write is what is remembered of a folded record.
type write struct {
	Offset int64  `json:"offset"`
	Result Result `json:"result"`
}

// Counts are numbers of records that a fold has met since it was made.
type Counts struct {
	// Accepted changed the state.
	Accepted int64
	// Rejected were conflicts or invalid.
	Rejected int64
	// Duplicates had an ID that was folded before.
	Duplicates int64
	// Skipped were of an unknown kind.
	Skipped int64
}

// Fold is the state after the records up to a version. It is not safe for
// concurrent use; its views are.
type Fold struct {
	version        int64
	contracts      table[state.TeamID, Contract]
	keys           table[string, Key]
	queues         table[state.QueueID, Queue]
	domains        []Domain
	domainsVersion int64
	entries        table[state.EntryID, Entry]
	shards         table[state.DomainID, *shard]
	claims         table[state.ShardID, Claim]
	ledgers        table[state.TeamID, *ledger]
	// settled is the newest version that an owner in the domain has settled.
	settled table[state.DomainID, int64]
	writes  recent[write]
	// ended are entries that were unregistered, with the offset.
	ended  recent[int64]
	counts Counts
	// home is the domain whose upstreams are read often.
	home state.DomainID
	// recheck says that what waits for confirmations must be looked at.
	recheck bool
	view    *View

	// These switch rules off, for tests.
	skipConfirm, skipSettle, skipRepeats, skipBase, skipEnded bool
}

// NewFold returns a fold that has folded nothing.
func NewFold() *Fold {
	return &Fold{
		version:        NoVersion,
		domainsVersion: NoVersion,
		contracts:      newTable[state.TeamID, Contract](),
		keys:           newTable[string, Key](),
		queues:         newTable[state.QueueID, Queue](),
		entries:        newTable[state.EntryID, Entry](),
		shards:         newTable[state.DomainID, *shard](),
		claims:         newTable[state.ShardID, Claim](),
		ledgers:        newTable[state.TeamID, *ledger](),
		settled:        newTable[state.DomainID, int64](),
		writes:         newRecent[write](nil),
		ended:          newRecent[int64](nil),
	}
}

// SetHome names the domain whose upstreams views have at hand; those of other
// domains are unpacked at each call. It changes nothing else.
func (f *Fold) SetHome(domain state.DomainID) {
	f.home = domain
	f.view = nil
}

// Version returns the offset of the last folded record, or NoVersion.
func (f *Fold) Version() int64 { return f.version }

// Counts returns how many records the fold has met.
func (f *Fold) Counts() Counts { return f.counts }

// Written returns what became of the write with the ID, as long as it is among
// the last writes.
func (f *Fold) Written(id string) (result Result, offset int64, ok bool) {
	w, ok := f.writes.get(id)
	return w.Result, w.Offset, ok
}

// Skip moves the version past an offset that holds no record.
func (f *Fold) Skip(offset int64) {
	if offset > f.version {
		f.version = offset
		f.view = nil
	}
}

// Apply folds one record. Offsets never fall; records of one batch share
// theirs. A record at an offset below the version is a duplicate.
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
	if !remembered(record.Body) {
		return f.change(offset, record)
	}
	if record.ID == "" {
		return invalid("id", "give the write an ID of its own")
	}
	if _, ok := f.writes.get(record.ID); ok && !f.skipRepeats {
		return Result{Outcome: Duplicate}
	}
	result := f.change(offset, record)
	f.writes.add(record.ID, write{Offset: offset, Result: result})
	return result
}

// remembered reports whether a second record with the same ID must be dropped.
// The others can be folded twice without harm and are many.
func remembered(body Body) bool {
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

func (f *Fold) change(offset int64, record Record) Result {
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
	case ClaimShard:
		return f.claimShard(offset, body)
	case Snapshot:
		return accepted()
	default:
		return Result{Outcome: Skipped}
	}
}

// checkBase returns an accepted result when base allows a change of an object
// at version current.
func (f *Fold) checkBase(base, current int64) Result {
	if base != AnyVersion && base != current && !f.skipBase {
		return Result{Outcome: Conflict, Current: current}
	}
	return accepted()
}

// release brings into force what every entry concerned has confirmed.
func (f *Fold) release(offset int64) {
	floors := f.floors()
	for _, domain := range sortedKeys(f.shards.rows) {
		s := f.shards.rows[domain]
		if len(s.Joins) == 0 {
			continue
		}
		if upTo := floors.of(domain); s.Joins[0].Offset <= upTo {
			f.shards.put(domain, s.admit(upTo))
		}
	}
	for _, team := range sortedKeys(f.ledgers.rows) {
		f.releaseHolds(offset, team, floors)
	}
}

func (f *Fold) releaseHolds(offset int64, team state.TeamID, floors floors) {
	old := f.ledgers.rows[team]
	changes := func(h hold) bool {
		return f.released(h) || h.Folded == notFolded && h.Offset <= floors.of(h.Domain)
	}
	if !slices.ContainsFunc(old.Holds, changes) {
		return
	}
	kept := make([]hold, 0, len(old.Holds))
	for _, h := range old.Holds {
		if h.Folded == notFolded && h.Offset <= floors.of(h.Domain) {
			h.Folded = offset
		}
		if !f.released(h) {
			kept = append(kept, h)
		}
	}
	l := old.clone()
	l.Holds = kept
	l.raise(f.contracts.rows[team].Limit)
	f.putLedger(team, l)
}

// released reports whether the domain is known to do without a held amount:
// no entry may place above the cut any more, and an owner has since stated
// that what runs fits.
func (f *Fold) released(h hold) bool {
	if f.skipConfirm {
		return true
	}
	if h.Folded == notFolded {
		return false
	}
	if f.skipSettle || f.shards.rows[h.Domain].empty() {
		return true
	}
	settled, ok := f.settled.rows[h.Domain]
	return ok && settled >= h.Folded
}

// floors holds, by domain, the newest version that all entries registered
// there have confirmed.
type floors map[state.DomainID]int64

// of returns the floor of a domain; without entries, any version counts as
// confirmed.
func (f floors) of(domain state.DomainID) int64 {
	if version, ok := f[domain]; ok {
		return version
	}
	return math.MaxInt64
}

func (f *Fold) floors() floors {
	out := floors{}
	if f.skipConfirm {
		return out
	}
	for _, entry := range f.entries.rows {
		out[entry.Domain] = min(out.of(entry.Domain), entry.Confirmed)
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
