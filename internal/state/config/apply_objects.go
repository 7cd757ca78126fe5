package config

import (
	"slices"

	"github.com/samphirerail/samphirerail/internal/state"
)

func (f *Fold) contractVersion(team state.TeamID) int64 {
	if c, ok := f.contracts.rows[team]; ok {
		return c.Version
	}
	return NoVersion
}

func (f *Fold) putContract(offset, base int64, c Contract) Result {
	if result := validateContract(c); result.Outcome != Accepted {
		return result
	}
	if result := f.checkBase(base, f.contractVersion(c.Team)); result.Outcome != Accepted {
		return result
	}
	old, had := f.contracts.rows[c.Team]
	c.Version = offset
	f.contracts.put(c.Team, c)
	switch {
	case !had:
		f.setTarget(offset, c.Team, split(c.Limit, f.domains))
	case old.Limit != c.Limit:
		f.setTarget(offset, c.Team, rescale(c.Limit, f.ledgers.rows[c.Team].Target, f.domains))
	}
	return accepted()
}

func (f *Fold) withdrawContract(offset, base int64, team state.TeamID) Result {
	current := f.contractVersion(team)
	if result := f.checkBase(base, current); result.Outcome != Accepted {
		return result
	}
	if current == NoVersion {
		return invalid("team", "no contract of this name is in force; list the contracts")
	}
	f.contracts.remove(team)
	f.setTarget(offset, team, nil)
	return accepted()
}

// setTarget sets a new division of a team's limit among the domains. Reductions
// take effect at once; increases, as far as the limit allows them.
func (f *Fold) setTarget(offset int64, team state.TeamID, target map[state.DomainID]state.Vector) {
	l := f.ledgers.rows[team].clone()
	l.Version = offset
	l.Target = target
	l.reduce(offset)
	l.raise(f.contracts.rows[team].Limit)
	f.putLedger(team, l)
	if len(l.Pending) > 0 {
		f.releaseReductions(offset, team, f.confirmedVersions())
	}
}

func (f *Fold) moveAllotment(offset, base int64, move MoveAllotment) Result {
	l, ok := f.ledgers.rows[move.Team]
	if !ok || f.contractVersion(move.Team) == NoVersion {
		return invalid("team", "no contract of this name is in force; list the contracts")
	}
	if result := f.checkBase(base, l.Version); result.Outcome != Accepted {
		return result
	}
	if move.Amount.Negative() || move.Amount.IsZero() {
		return invalid("amount", "move a positive amount")
	}
	if move.From == move.To || !f.hasDomain(move.To) {
		return invalid("to", "name another listed failure domain")
	}
	if !move.Amount.Fits(l.Target[move.From]) {
		return invalid("amount", "move no more than the domain has")
	}
	target := l.clone().Target
	target[move.From] = target[move.From].Sub(move.Amount)
	target[move.To] = target[move.To].Add(move.Amount)
	f.setTarget(offset, move.Team, target)
	return accepted()
}

func (f *Fold) grantKey(offset, base int64, k Key) Result {
	if result := validateKey(k); result.Outcome != Accepted {
		return result
	}
	old, ok := f.keys.rows[k.ID]
	if ok && old.Withdrawn {
		return invalid("key.id", "the key was withdrawn; grant a key with a new ID")
	}
	current := NoVersion
	if ok {
		current = old.Version
	}
	if result := f.checkBase(base, current); result.Outcome != Accepted {
		return result
	}
	k.Version = offset
	k.Withdrawn = false
	f.keys.put(k.ID, k)
	return accepted()
}

func (f *Fold) withdrawKey(offset, base int64, id string) Result {
	k, ok := f.keys.rows[id]
	if !ok || k.Withdrawn {
		return invalid("key", "no key of this ID is in force; list the keys")
	}
	if result := f.checkBase(base, k.Version); result.Outcome != Accepted {
		return result
	}
	f.keys.put(id, Key{ID: id, Team: k.Team, Role: k.Role, Withdrawn: true, Version: offset})
	return accepted()
}

func (f *Fold) queueVersion(id state.QueueID) int64 {
	if q, ok := f.queues.rows[id]; ok {
		return q.Version
	}
	return NoVersion
}

func (f *Fold) openQueue(offset, base int64, q Queue) Result {
	if result := validateQueue(q); result.Outcome != Accepted {
		return result
	}
	if result := f.checkBase(base, f.queueVersion(q.ID)); result.Outcome != Accepted {
		return result
	}
	q.Version = offset
	f.queues.put(q.ID, q)
	return accepted()
}

func (f *Fold) closeQueue(base int64, id state.QueueID) Result {
	current := f.queueVersion(id)
	if result := f.checkBase(base, current); result.Outcome != Accepted {
		return result
	}
	if current == NoVersion {
		return invalid("queue", "no queue of this name is open; list the queues")
	}
	f.queues.remove(id)
	return accepted()
}

func (f *Fold) hasDomain(id state.DomainID) bool {
	return slices.ContainsFunc(f.domains, func(d Domain) bool { return d.ID == id })
}

func (f *Fold) putDomains(offset, base int64, domains []Domain) Result {
	if result := validateDomains(domains); result.Outcome != Accepted {
		return result
	}
	if result := f.checkBase(base, f.domainsVersion); result.Outcome != Accepted {
		return result
	}
	weightsChanged := !sameWeights(f.domains, domains)
	f.domains = slices.Clone(domains)
	f.domainsVersion = offset
	if !weightsChanged {
		return accepted()
	}
	for _, team := range sortedKeys(f.contracts.rows) {
		f.setTarget(offset, team, split(f.contracts.rows[team].Limit, f.domains))
	}
	return accepted()
}

// sameWeights reports whether two lists hold the same domains with the same
// weights, in any order, and so divide a limit in the same way.
func sameWeights(a, b []Domain) bool {
	weights := make(map[state.DomainID]int64, len(a))
	for _, d := range a {
		weights[d.ID] = d.Weight
	}
	for _, d := range b {
		if weights[d.ID] != d.Weight {
			return false
		}
	}
	return len(a) == len(b)
}
