package config

import (
	"cmp"

	"github.com/samphirerail/samphirerail/internal/state"
)

func (f *Fold) registerEntry(offset, base int64, body RegisterEntry) Result {
	if result := validateEntry(body); result.Outcome != Accepted {
		return result
	}
	if _, ok := f.unregistered.get(string(body.Entry)); ok && !f.skipUnregistered {
		return invalid("entry", "the entry was unregistered; restart it to get a new incarnation")
	}
	if _, ok := f.entries.rows[body.Entry]; ok {
		return invalid("entry", "the entry is registered already; nothing is to be done")
	}
	earlier, had := entryOn(f.entries.rows, body.Entry.VM())
	current := NoVersion
	if had {
		current = earlier.Registered
	}
	if base != current && !f.skipBase {
		return Result{Outcome: Conflict, Current: current}
	}
	if had {
		f.removeEntry(offset, earlier.ID)
	}
	f.entries.put(body.Entry, Entry{ID: body.Entry, Domain: body.Domain, Registered: offset, Confirmed: offset})
	return accepted()
}

// entryOn returns the entry that is registered on a VM, if any.
func entryOn(entries map[state.EntryID]Entry, vm state.VMID) (Entry, bool) {
	for id, entry := range entries {
		if id.VM() == vm {
			return entry, true
		}
	}
	return Entry{}, false
}

func (f *Fold) unregisterEntry(offset int64, id state.EntryID) Result {
	if _, ok := f.entries.rows[id]; !ok {
		return invalid("entry", "the entry is not registered; list the entries")
	}
	f.removeEntry(offset, id)
	return accepted()
}

func (f *Fold) removeEntry(offset int64, id state.EntryID) {
	f.entries.remove(id)
	f.recheck = true
	if _, ok := f.unregistered.get(string(id)); !ok {
		f.unregistered.add(string(id), offset)
	}
}

func (f *Fold) confirm(offset int64, body Confirm) Result {
	entry, ok := f.entries.rows[body.Entry]
	if !ok {
		return invalid("entry", "the entry is not registered; register it first")
	}
	if body.Version < 0 || body.Version >= offset {
		return invalid("version", "confirm a version that was folded before the record was written")
	}
	if body.Version > entry.Confirmed {
		entry.Confirmed = body.Version
		f.entries.put(body.Entry, entry)
		f.recheck = true
	}
	settled, ok := f.settled.rows[entry.Domain]
	if body.Settled && (!ok || body.Version > settled) {
		f.settled.put(entry.Domain, body.Version)
		f.recheck = true
	}
	return accepted()
}

func (f *Fold) joinUpstreams(offset int64, body JoinUpstreams) Result {
	if result := validateJoin(body); result.Outcome != Accepted {
		return result
	}
	for domain, d := range f.upstreams.rows {
		if domain == body.Domain {
			continue
		}
		for _, u := range body.Upstreams {
			if d.has(u.ID) {
				return invalid("upstreams.id", "the upstream belongs to another failure domain; drop it there first")
			}
		}
	}
	f.upstreams.put(body.Domain, f.upstreams.rows[body.Domain].add(offset, body.Upstreams))
	f.recheck = true
	return accepted()
}

func (f *Fold) dropUpstreams(body DropUpstreams) Result {
	d, ok := f.upstreams.rows[body.Domain]
	if !ok {
		return invalid("domain", "the failure domain has no upstreams; list the upstreams")
	}
	drop := make(map[state.VMID]bool, len(body.Upstreams))
	for _, id := range body.Upstreams {
		drop[id] = true
	}
	remaining := d.edit(func(u Upstream) (Upstream, bool) { return u, !drop[u.ID] })
	if remaining.empty() {
		f.upstreams.remove(body.Domain)
	} else {
		f.upstreams.put(body.Domain, remaining)
	}
	f.recheck = true
	return accepted()
}

func (f *Fold) drain(domain state.DomainID, id state.VMID, draining bool) Result {
	d := f.upstreams.rows[domain]
	if !d.has(id) {
		return invalid("upstream", "the failure domain has no such upstream; list the upstreams")
	}
	f.upstreams.put(domain, d.edit(func(u Upstream) (Upstream, bool) {
		if u.ID == id {
			u.Draining = draining
		}
		return u, true
	}))
	return accepted()
}

func (f *Fold) claimShard(offset int64, body ClaimShard) Result {
	if body.Shard == "" || body.Owner == "" {
		return invalid("shard", "name the shard and its owner")
	}
	old, ok := f.claims.rows[body.Shard]
	if ok && compareClaim(body, old) <= 0 {
		return Result{Outcome: Conflict, Current: old.Version}
	}
	f.claims.put(body.Shard, Claim{Shard: body.Shard, Number: body.Number, Owner: body.Owner, Version: offset})
	return accepted()
}

func compareClaim(a ClaimShard, b Claim) int {
	if c := cmp.Compare(a.Number, b.Number); c != 0 {
		return c
	}
	return cmp.Compare(a.Owner, b.Owner)
}
