package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"

	"github.com/samphirerail/samphirerail/internal/state"
)

// AuthReason says why a key was refused.
type AuthReason string

// The reasons of an AuthError.
const (
	AuthUnknown   AuthReason = "unknown"
	AuthSecret    AuthReason = "wrong_secret"
	AuthWithdrawn AuthReason = "withdrawn"
)

// AuthError says that a key does not authenticate.
type AuthError struct {
	KeyID  string
	Reason AuthReason
}

func (e *AuthError) Error() string {
	switch e.Reason {
	case AuthWithdrawn:
		return fmt.Sprintf("config: key %q was withdrawn; ask an operator for a new key", e.KeyID)
	case AuthSecret:
		return fmt.Sprintf("config: the secret of key %q is wrong; check it or ask an operator for a new key", e.KeyID)
	case AuthUnknown:
		return fmt.Sprintf("config: key %q is unknown; ask an operator for a key", e.KeyID)
	}
	return fmt.Sprintf("config: key %q is refused; ask an operator for a key", e.KeyID)
}

// View is the state at one version. It does not change and is safe for
// concurrent use; the slices that it returns must not be modified.
type View struct {
	version        int64
	contracts      map[state.TeamID]Contract
	keys           map[string]Key
	queues         map[state.QueueID]Queue
	domains        []Domain
	domainsVersion int64
	entries        map[state.EntryID]Entry
	shards         map[state.DomainID]*shard
	claims         map[state.ShardID]Claim
	ledgers        map[state.TeamID]*ledger
	settled        map[state.DomainID]int64
	writes         []item[write]
	ended          []item[int64]
}

// View returns the present state. It costs little: parts that have not changed
// are shared with earlier views.
func (f *Fold) View() *View {
	if f.view == nil {
		f.keepHome()
		f.view = &View{
			version:        f.version,
			contracts:      f.contracts.share(),
			keys:           f.keys.share(),
			queues:         f.queues.share(),
			domains:        f.domains,
			domainsVersion: f.domainsVersion,
			entries:        f.entries.share(),
			shards:         f.shards.share(),
			claims:         f.claims.share(),
			ledgers:        f.ledgers.share(),
			settled:        f.settled.share(),
			writes:         f.writes.rows(),
			ended:          f.ended.rows(),
		}
	}
	return f.view
}

// keepHome unpacks the upstreams of the home domain.
func (f *Fold) keepHome() {
	s, ok := f.shards.rows[f.home]
	if !ok || s.InForce.len() == 0 || s.InForce.kept != nil {
		return
	}
	f.shards.put(f.home, &shard{InForce: s.InForce.keep(), Joins: s.Joins})
}

// Version returns the offset of the last folded record, or NoVersion.
func (v *View) Version() int64 { return v.version }

// Authenticate returns the key that a caller has shown. The error is an
// *AuthError.
func (v *View) Authenticate(keyID, secret string) (Key, error) {
	key, ok := v.keys[keyID]
	if !ok {
		return Key{}, &AuthError{KeyID: keyID, Reason: AuthUnknown}
	}
	if key.Withdrawn {
		return Key{}, &AuthError{KeyID: keyID, Reason: AuthWithdrawn}
	}
	hash := sha256.Sum256([]byte(secret))
	if subtle.ConstantTimeCompare(hash[:], key.Secret) != 1 {
		return Key{}, &AuthError{KeyID: keyID, Reason: AuthSecret}
	}
	return key, nil
}

// Contract returns the contract of a team.
func (v *View) Contract(team state.TeamID) (Contract, bool) {
	c, ok := v.contracts[team]
	return c, ok
}

// Contracts returns all contracts by team.
func (v *View) Contracts() []Contract { return sortedRows(v.contracts) }

// Key returns a key, which may be withdrawn.
func (v *View) Key(id string) (Key, bool) {
	k, ok := v.keys[id]
	return k, ok
}

// Keys returns all keys by ID, withdrawn ones too.
func (v *View) Keys() []Key { return sortedRows(v.keys) }

// Queue returns a queue.
func (v *View) Queue(id state.QueueID) (Queue, bool) {
	q, ok := v.queues[id]
	return q, ok
}

// Queues returns all queues by ID.
func (v *View) Queues() []Queue { return sortedRows(v.queues) }

// Domains returns the failure domains in the operators' order.
func (v *View) Domains() []Domain { return v.domains }

// DomainsVersion returns the version of the list of failure domains.
func (v *View) DomainsVersion() int64 { return v.domainsVersion }

// Allotment returns what a team may have running in a domain now.
func (v *View) Allotment(team state.TeamID, domain state.DomainID) state.Vector {
	if l, ok := v.ledgers[team]; ok {
		return l.InForce[domain]
	}
	return state.Vector{}
}

// AllotmentTarget returns what a team may have running in a domain once every
// change is confirmed.
func (v *View) AllotmentTarget(team state.TeamID, domain state.DomainID) state.Vector {
	if l, ok := v.ledgers[team]; ok {
		return l.Target[domain]
	}
	return state.Vector{}
}

// AllotmentVersion returns the version of a team's allotments: the base of a
// MoveAllotment.
func (v *View) AllotmentVersion(team state.TeamID) int64 {
	if l, ok := v.ledgers[team]; ok {
		return l.Version
	}
	return NoVersion
}

// InTransit returns what was taken from domains that may still use it.
func (v *View) InTransit(team state.TeamID) state.Vector {
	if l, ok := v.ledgers[team]; ok {
		return l.held()
	}
	return state.Vector{}
}

// Upstreams returns the upstreams of a domain that are in force, by ID.
func (v *View) Upstreams(domain state.DomainID) []Upstream {
	if s, ok := v.shards[domain]; ok {
		return s.InForce.all()
	}
	return nil
}

// HasUpstream reports whether an upstream of a domain is known, in force or not.
func (v *View) HasUpstream(domain state.DomainID, id state.VMID) bool {
	return v.shards[domain].has(id)
}

// JoiningUpstreams returns the upstreams of a domain that not every entry
// registered there has confirmed.
func (v *View) JoiningUpstreams(domain state.DomainID) []Upstream {
	var out []Upstream
	if s, ok := v.shards[domain]; ok {
		for _, j := range s.Joins {
			out = append(out, j.Upstreams...)
		}
	}
	return out
}

// RegisteredEntries returns the entries registered in a domain, by ID.
func (v *View) RegisteredEntries(domain state.DomainID) []Entry {
	var out []Entry
	for _, id := range sortedKeys(v.entries) {
		if entry := v.entries[id]; entry.Domain == domain {
			out = append(out, entry)
		}
	}
	return out
}

// Entries returns all registered entries by ID.
func (v *View) Entries() []Entry { return sortedRows(v.entries) }

// Entry returns a registered entry.
func (v *View) Entry(id state.EntryID) (Entry, bool) {
	e, ok := v.entries[id]
	return e, ok
}

// EntryOn returns the entry registered on a VM. Its Registered is the base of
// the registration of a later incarnation.
func (v *View) EntryOn(vm state.VMID) (Entry, bool) { return entryOn(v.entries, vm) }

// Claim returns the newest claim on a shard.
func (v *View) Claim(shard state.ShardID) (Claim, bool) {
	c, ok := v.claims[shard]
	return c, ok
}

// ConfirmDue reports whether an entry owes a confirmation of this version, and
// whether its domain waits for its owner to settle.
func (v *View) ConfirmDue(id state.EntryID) (confirm, settle bool) {
	entry, ok := v.entries[id]
	if !ok {
		return false, false
	}
	if s, ok := v.shards[entry.Domain]; ok && len(s.Joins) > 0 {
		confirm = s.Joins[len(s.Joins)-1].Offset > entry.Confirmed
	}
	settled, hasSettled := v.settled[entry.Domain]
	for _, l := range v.ledgers {
		for _, h := range l.Holds {
			if h.Domain != entry.Domain {
				continue
			}
			confirm = confirm || h.Offset > entry.Confirmed
			settle = settle || h.Folded != notFolded && (!hasSettled || settled < h.Folded)
		}
	}
	return confirm, settle
}

func sortedRows[K ~string, V any](rows map[K]V) []V {
	out := make([]V, 0, len(rows))
	for _, key := range sortedKeys(rows) {
		out = append(out, rows[key])
	}
	return out
}
