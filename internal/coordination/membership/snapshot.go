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

// Liveness is how sure an entry is that another one lives.
type Liveness int

// The states of an entry as seen by another one.
const (
	// Dead: silent for longer than the bound, or never heard of.
	Dead Liveness = iota
	// Suspect: silent for a while; it still counts as alive.
	Suspect
	// Alive: heard of lately.
	Alive
)

// Entry is what is known of one entry process.
type Entry struct {
	ID       coordination.EntryID
	Domain   state.DomainID
	Address  string
	Liveness Liveness
	// Leaving says that the entry or its VM is about to stop.
	Leaving bool
	// Listed says that the newest VM list names this incarnation.
	Listed        bool
	ConfigVersion int64
	Owned         []coordination.ShardLoad
}

// Live reports whether the entry is not dead.
func (e *Entry) Live() bool { return e.Liveness != Dead }

// Snapshot is what an entry knows at one instant. It is immutable.
type Snapshot struct {
	// Entries are the entries of every domain, the own one among them, by ID.
	Entries []Entry
	// Upstreams are the listed upstream VMs of the own domain, by ID.
	Upstreams []devplatform.VM
	// ListedEntries are the listed entry VMs of every domain, by ID.
	ListedEntries []devplatform.VM
	// ListVersion is the version of the newest VM list; 0 when none was read.
	ListVersion int64
	// Stale says that the entry has just started or was paused, and has not
	// yet contacted every entry of its domain.
	Stale bool
	// RemoteSilence is the time since any entry of another domain gave a sign
	// of life, up to the snapshot; NeverHeard when none did.
	RemoteSilence time.Duration
}

// NeverHeard is the silence of entries that were never heard of.
const NeverHeard time.Duration = math.MaxInt64

// Owner is a shard's owner as the entries tell it.
type Owner struct {
	Entry coordination.EntryID
	// Address is IP:port of the owner's internal listener.
	Address string
	Epoch   devplatform.Epoch
	// Ready says that the owner takes work.
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

// Owner returns the live owner with the newest epoch that is ready. When none
// is ready it returns the newest live claimant with Ready false.
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

func better(load coordination.ShardLoad, best Owner) bool {
	if load.Ready != best.Ready {
		return load.Ready
	}
	return load.Epoch.Compare(best.Epoch) > 0
}

// Claims returns the epochs of a shard that entries tell, dead ones included.
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

// InDomain returns the entries of a domain, by ID.
func (s *Snapshot) InDomain(domain state.DomainID) []Entry {
	var entries []Entry
	for i := range s.Entries {
		if s.Entries[i].Domain == domain {
			entries = append(entries, s.Entries[i])
		}
	}
	return entries
}

// sameFacts reports whether two snapshots differ in nothing but loads.
func sameFacts(a, b *Snapshot) bool {
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
