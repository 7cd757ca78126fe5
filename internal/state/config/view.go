package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/evacuation"
)

// AuthReason is the reason why authentication failed.
type AuthReason string

// The reasons of an AuthError.
const (
	AuthUnknown   AuthReason = "unknown"
	AuthSecret    AuthReason = "wrong_secret"
	AuthWithdrawn AuthReason = "withdrawn"
)

// AuthError is returned when authentication with a key fails.
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

// View is an immutable view of the state at one version. It is safe for
// concurrent use. The slices that its methods return must not be modified.
type View struct {
	version        int64
	contracts      map[state.TeamID]Contract
	keys           map[string]Key
	queues         map[state.QueueID]Queue
	domains        []Domain
	domainsVersion int64
	evacuated      evacuation.Set
	entries        map[state.EntryID]Entry
	upstreams      map[state.DomainID]*domainUpstreams
	claims         map[state.ShardID]Claim
	ledgers        map[state.TeamID]*ledger
	settled        map[state.DomainID]int64
	writes         []item[write]
	unregistered   []item[int64]
}

// View returns the current state. The call is cheap: parts that have not changed
// are shared with earlier views.
func (f *Fold) View() *View {
	if f.view == nil {
		f.unpackHome()
		f.view = &View{
			version:        f.version,
			contracts:      f.contracts.share(),
			keys:           f.keys.share(),
			queues:         f.queues.share(),
			domains:        f.domains,
			domainsVersion: f.domainsVersion,
			evacuated:      f.evacuated,
			entries:        f.entries.share(),
			upstreams:      f.upstreams.share(),
			claims:         f.claims.share(),
			ledgers:        f.ledgers.share(),
			settled:        f.settled.share(),
			writes:         f.writes.rows(),
			unregistered:   f.unregistered.rows(),
		}
	}
	return f.view
}

// unpackHome caches the unpacked upstreams of the home domain.
func (f *Fold) unpackHome() {
	d, ok := f.upstreams.rows[f.home]
	if !ok || d.InForce.len() == 0 || d.InForce.unpacked != nil {
		return
	}
	f.upstreams.put(f.home, &domainUpstreams{InForce: d.InForce.withUnpacked(), Pending: d.Pending})
}

// Version returns the offset of the last folded record, or NoVersion.
func (v *View) Version() int64 { return v.version }

// Authenticate returns the key with the given ID if secret is its secret. Any
// error is an *AuthError.
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

// Contract returns the contract of a team, if it has one.
func (v *View) Contract(team state.TeamID) (Contract, bool) {
	c, ok := v.contracts[team]
	return c, ok
}

// Contracts returns all contracts, sorted by team.
func (v *View) Contracts() []Contract { return sortedRows(v.contracts) }

// Key returns the key with the given ID, which may be withdrawn.
func (v *View) Key(id string) (Key, bool) {
	k, ok := v.keys[id]
	return k, ok
}

// Keys returns all keys, including withdrawn ones, sorted by ID.
func (v *View) Keys() []Key { return sortedRows(v.keys) }

// Queue returns the queue with the given ID.
func (v *View) Queue(id state.QueueID) (Queue, bool) {
	q, ok := v.queues[id]
	return q, ok
}

// Queues returns all queues, sorted by ID.
func (v *View) Queues() []Queue { return sortedRows(v.queues) }

// Domains returns the failure domains in the order set by the operators.
func (v *View) Domains() []Domain { return v.domains }

// DomainsVersion returns the version of the list of failure domains.
func (v *View) DomainsVersion() int64 { return v.domainsVersion }

// Allotment returns the amount that a team may have running in a domain now.
func (v *View) Allotment(team state.TeamID, domain state.DomainID) state.Vector {
	if l, ok := v.ledgers[team]; ok {
		return l.InForce[domain]
	}
	return state.Vector{}
}

// AllotmentTarget returns the amount that a team may have running in a domain
// once all pending reductions are released.
func (v *View) AllotmentTarget(team state.TeamID, domain state.DomainID) state.Vector {
	if l, ok := v.ledgers[team]; ok {
		return l.Target[domain]
	}
	return state.Vector{}
}

// AllotmentVersion returns the version of a team's allotments, which is the base
// of a MoveAllotment.
func (v *View) AllotmentVersion(team state.TeamID) int64 {
	if l, ok := v.ledgers[team]; ok {
		return l.Version
	}
	return NoVersion
}

// PendingReduction returns the amount by which a team's allotments were reduced
// and that the domains concerned may still use.
func (v *View) PendingReduction(team state.TeamID) state.Vector {
	if l, ok := v.ledgers[team]; ok {
		return l.pending()
	}
	return state.Vector{}
}

// Upstreams returns the upstreams of a domain that are in force, sorted by ID.
func (v *View) Upstreams(domain state.DomainID) []Upstream {
	if d, ok := v.upstreams[domain]; ok {
		return d.InForce.all()
	}
	return nil
}

// HasUpstream reports whether an upstream of a domain is known, in force or
// pending.
func (v *View) HasUpstream(domain state.DomainID, id state.VMID) bool {
	return v.upstreams[domain].has(id)
}

// JoiningUpstreams returns the new upstreams of a domain that not every entry
// registered there has confirmed.
func (v *View) JoiningUpstreams(domain state.DomainID) []Upstream {
	var out []Upstream
	if d, ok := v.upstreams[domain]; ok {
		for _, j := range d.Pending {
			out = append(out, j.Upstreams...)
		}
	}
	return out
}

// RegisteredEntries returns the entries registered in a domain, sorted by ID.
func (v *View) RegisteredEntries(domain state.DomainID) []Entry {
	var out []Entry
	for _, id := range sortedKeys(v.entries) {
		if entry := v.entries[id]; entry.Domain == domain {
			out = append(out, entry)
		}
	}
	return out
}

// Entries returns all registered entries, sorted by ID.
func (v *View) Entries() []Entry { return sortedRows(v.entries) }

// Entry returns the registered entry with the given ID.
func (v *View) Entry(id state.EntryID) (Entry, bool) {
	e, ok := v.entries[id]
	return e, ok
}

// EntryOn returns the entry registered on a VM. Its Registered is the base for
// the registration of a later incarnation.
func (v *View) EntryOn(vm state.VMID) (Entry, bool) { return entryOn(v.entries, vm) }

// Claim returns the newest claim on a shard.
func (v *View) Claim(shard state.ShardID) (Claim, bool) {
	c, ok := v.claims[shard]
	return c, ok
}

// ConfirmDue reports whether a pending change needs a confirmation of this
// version by the entry, and whether a pending reduction of its domain waits for
// the owner to confirm that running work fits; see Confirm.Settled.
func (v *View) ConfirmDue(id state.EntryID) (confirm, settle bool) {
	entry, ok := v.entries[id]
	if !ok {
		return false, false
	}
	if d, ok := v.upstreams[entry.Domain]; ok && len(d.Pending) > 0 {
		confirm = d.Pending[len(d.Pending)-1].Offset > entry.Confirmed
	}
	settled, hasSettled := v.settled[entry.Domain]
	for _, l := range v.ledgers {
		for _, r := range l.Pending {
			if r.Domain != entry.Domain {
				continue
			}
			confirm = confirm || r.Offset > entry.Confirmed
			settle = settle || r.ConfirmedAt != notConfirmed && (!hasSettled || settled < r.ConfirmedAt)
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
