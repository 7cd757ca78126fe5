package membership

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// Liveness is how certain an entry is that another one is running.
type Liveness int

// The liveness states of an entry as seen by another one.
const (
	// Dead means that the entry was not heard from within the timeout, or never.
	Dead Liveness = iota
	// Suspect means that the entry has missed heartbeats; it still counts as live.
	Suspect
	// Alive means that the entry was heard from recently.
	Alive
)

// Entry describes one entry process.
type Entry struct {
	ID       coordination.EntryID
	Domain   state.DomainID
	Address  string
	Liveness Liveness
	// Leaving means that the entry or its VM is about to stop.
	Leaving bool
	// Listed means that the newest VM list names this incarnation.
	Listed        bool
	ConfigVersion int64
	Owned         []coordination.ShardLoad
}

// Live reports whether the entry is not dead.
func (e *Entry) Live() bool { return e.Liveness != Dead }

// Snapshot is the view of an entry at one instant. It is immutable.
type Snapshot struct {
	// Entries are the entries of every domain, including the own entry, sorted by ID.
	Entries []Entry
	// Upstreams are the listed upstream VMs of the own domain, sorted by ID.
	Upstreams []devplatform.VM
	// ListedEntries are the listed entry VMs of every domain, sorted by ID.
	ListedEntries []devplatform.VM
	// ListVersion is the version of the newest VM list; 0 if none was read.
	ListVersion int64
	// Stale means that the entry has just started or was paused, and has not yet
	// contacted every entry of its domain.
	Stale bool
	// SinceRemoteContact is the time between the last evidence that any entry of another
	// domain is running and the snapshot; NeverContacted if there was none.
	SinceRemoteContact time.Duration
}

// NeverContacted is the SinceRemoteContact if no entry of another domain was ever heard
// from.
const NeverContacted time.Duration = math.MaxInt64

// Owner is the owner of a shard as reported by the entries.
type Owner struct {
	Entry coordination.EntryID
	// Address is the address (IP:port) of the internal listener of the owner.
	Address string
	Epoch   devplatform.Epoch
	// Ready means that the owner accepts work.
	Ready bool
}

// Entry returns the entry with the given ID.
func (s *Snapshot) Entry(id coordination.EntryID) (*Entry, bool) {
	i, ok := slices.BinarySearchFunc(s.Entries, id, func(e Entry, id coordination.EntryID) int {
		return strings.Compare(string(e.ID), string(id))
	})
	if !ok {
		return nil, false
	}
	return &s.Entries[i], true
}

// Owner returns the live and ready owner with the newest epoch. If none is ready, it
// returns the live claimant with the newest epoch and Ready false. It reports whether
// there is one.
func (s *Snapshot) Owner(shard coordination.ShardID) (Owner, bool) {
	var best Owner
	found := false
	for i := range s.Entries {
		e := &s.Entries[i]
		if !e.Live() {
			continue
		}
		for _, load := range e.Owned {
			if load.Shard != shard || found && !better(load, best) {
				continue
			}
			best = Owner{Entry: e.ID, Address: e.Address, Epoch: load.Epoch, Ready: load.Ready}
			found = true
		}
	}
	return best, found
}

// better reports whether load precedes best as the owner: ready first, then the newer
// epoch.
func better(load coordination.ShardLoad, best Owner) bool {
	if load.Ready != best.Ready {
		return load.Ready
	}
	return load.Epoch.Compare(best.Epoch) > 0
}

// Claims returns the epochs of a shard that entries report, including dead entries.
func (s *Snapshot) Claims(shard coordination.ShardID) []devplatform.Epoch {
	var claims []devplatform.Epoch
	for i := range s.Entries {
		for _, load := range s.Entries[i].Owned {
			if load.Shard == shard {
				claims = append(claims, load.Epoch)
			}
		}
	}
	return claims
}

// InDomain returns the entries of a domain, sorted by ID.
func (s *Snapshot) InDomain(domain state.DomainID) []Entry {
	var entries []Entry
	for i := range s.Entries {
		if s.Entries[i].Domain == domain {
			entries = append(entries, s.Entries[i])
		}
	}
	return entries
}

// sameExceptLoads reports whether two snapshots differ in nothing but loads.
func sameExceptLoads(a, b *Snapshot) bool {
	return a.Stale == b.Stale && a.ListVersion == b.ListVersion && slices.EqualFunc(a.Entries, b.Entries, sameEntry)
}

func sameEntry(a, b Entry) bool {
	if a.ID != b.ID || a.Address != b.Address || a.Liveness != b.Liveness || a.Leaving != b.Leaving {
		return false
	}
	if a.Listed != b.Listed || a.ConfigVersion != b.ConfigVersion {
		return false
	}
	return sameOwned(a.Owned, b.Owned)
}
