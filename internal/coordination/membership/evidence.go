package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// applyReply applies the reply to a call of this entry. The reply proves which entry
// runs at the address now, so other entries known at the address or on the same VM are
// removed and recorded as replaced.
func (v *view) applyReply(address string, hb coordination.Heartbeat, now state.Time) {
	if hb.From == v.cfg.Self {
		delete(v.contacts, address)
		return
	}
	hb.Address = address
	delete(v.replaced, hb.From)
	for id, m := range v.members {
		if id != hb.From && (m.address == address || id.VM() == hb.From.VM()) {
			delete(v.members, id)
			v.replaced[id] = now
		}
	}
	v.update(factOf(hb), now, true)
	v.applyForwarded(hb, now)
}

// applyHeartbeat applies a heartbeat that another entry sent on its own initiative. The
// heartbeat may have been delayed, so it replaces no entry: when it conflicts with the
// view, a call to the address is scheduled instead.
func (v *view) applyHeartbeat(hb coordination.Heartbeat, now state.Time) {
	if hb.From == v.cfg.Self || hb.Address == v.cfg.Address {
		return
	}
	if v.conflicts(hb.From, hb.Address) {
		v.touch(hb.Address, hb.Domain, now).conflicting = true
		return
	}
	v.update(factOf(hb), now, true)
	v.applyForwarded(hb, now)
}

// applyForwarded applies the addresses and the gossiped facts that a heartbeat carries.
func (v *view) applyForwarded(hb coordination.Heartbeat, now state.Time) {
	for _, address := range hb.Peers {
		if _, known := v.contacts[address]; !known && address != v.cfg.Address {
			v.touch(address, "", now)
		}
	}
	for _, fact := range hb.Facts {
		if fact.From == v.cfg.Self || fact.Address == v.cfg.Address {
			continue
		}
		if _, ended := v.replaced[fact.From]; ended {
			continue
		}
		if v.conflicts(fact.From, fact.Address) {
			v.touch(fact.Address, fact.Domain, now).conflicting = true
			continue
		}
		v.update(fact, now, false)
	}
}

// conflicts reports whether an entry cannot exist beside the known ones: it was
// replaced, or another entry is known at its address or on its VM.
func (v *view) conflicts(id coordination.EntryID, address string) bool {
	if v.trustHeartbeats {
		return false
	}
	if _, ok := v.replaced[id]; ok {
		return true
	}
	for other, m := range v.members {
		if other != id && (m.address == address || other.VM() == id.VM()) {
			return true
		}
	}
	return false
}

// update stores a fact, unless the known fact about the entry has the same or a newer
// sequence. firstHand means that the fact came from the entry itself.
func (v *view) update(fact coordination.Fact, now state.Time, firstHand bool) {
	m, known := v.members[fact.From]
	if known && fact.Sequence <= m.sequence {
		return
	}
	heardAt := now - max(fact.Age, 0)
	if !known {
		m = &member{id: fact.From, heardAt: heardAt}
		v.members[fact.From] = m
	}
	m.domain = fact.Domain
	m.address = fact.Address
	m.sequence = fact.Sequence
	m.configVersion = max(m.configVersion, fact.ConfigVersion)
	m.leaving = fact.Leaving
	m.owned = fact.Owned
	m.heardAt = max(m.heardAt, heardAt)
	m.shared = newSharedFact(fact, m.heardAt, m.shared)
	v.touch(fact.Address, fact.Domain, now)
	if firstHand {
		m.firstHandAt = now
	}
	m.liveness = v.livenessOf(m, now)
}

func factOf(hb coordination.Heartbeat) coordination.Fact {
	return coordination.Fact{
		From:          hb.From,
		Domain:        hb.Domain,
		Address:       hb.Address,
		Sequence:      hb.Sequence,
		ConfigVersion: hb.ConfigVersion,
		Leaving:       hb.Leaving,
		Owned:         hb.Owned,
	}
}

// snapshot builds a Snapshot of the view. self describes the own entry.
func (v *view) snapshot(self Entry) *Snapshot {
	entries := make([]Entry, 0, len(v.members)+1)
	state, listed := v.isListed(self.ID)
	self.Listed = listed
	self.Leaving = self.Leaving || state == devplatform.VMLeaving
	entries = append(entries, self)
	for _, m := range v.members {
		state, listed := v.isListed(m.id)
		entries = append(entries, Entry{
			ID:            m.id,
			Domain:        m.domain,
			Address:       m.address,
			Liveness:      m.liveness,
			Leaving:       m.leaving || state == devplatform.VMLeaving,
			Listed:        listed,
			ConfigVersion: m.configVersion,
			Owned:         m.owned,
		})
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return &Snapshot{
		Entries:            entries,
		Upstreams:          v.upstreams,
		ListedEntries:      v.listedEntries,
		ListVersion:        v.listVersion,
		Stale:              !v.roundDone,
		SinceRemoteContact: v.sinceRemoteContact(),
	}
}

// sinceRemoteContact returns the time between the last evidence that any entry of another
// domain is running and the last tick, or NeverContacted if there was none.
func (v *view) sinceRemoteContact() time.Duration {
	shortest := NeverContacted
	for _, m := range v.members {
		if m.domain != v.cfg.Domain {
			shortest = min(shortest, v.lastTick-m.heardAt)
		}
	}
	return shortest
}
