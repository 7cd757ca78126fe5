package config

import (
	"maps"
	"math/bits"
	"slices"

	"github.com/samphirerail/samphirerail/internal/state"
)

// notConfirmed marks a pending reduction that not every entry registered in the
// domain has confirmed.
const notConfirmed int64 = -1

// maxPendingPerDomain is the maximum number of pending reductions that a ledger
// keeps for one domain.
const maxPendingPerDomain = 4

// pendingReduction is an amount by which a domain's allotment was reduced and
// that running tasks there may still use.
type pendingReduction struct {
	Domain state.DomainID `json:"domain"`
	Amount state.Vector   `json:"amount"`
	// Offset is the version from which on the domain's allotment is reduced.
	Offset int64 `json:"offset"`
	// ConfirmedAt is the version at which the confirmation of Offset by every
	// entry registered in the domain was complete, or notConfirmed.
	ConfirmedAt int64 `json:"folded"`
}

// ledger is the division of a team's limit among the domains. A ledger that is
// part of a view is immutable; changes are made to a clone.
type ledger struct {
	// Version is the offset of the last change of Target.
	Version int64 `json:"version"`
	// Target is the intended division; it sums to the limit.
	Target map[state.DomainID]state.Vector `json:"target"`
	// InForce is the allotment of each domain now, never above Target.
	InForce map[state.DomainID]state.Vector `json:"in_force"`
	// Pending are reductions that may not have taken effect in their domain.
	Pending []pendingReduction `json:"holds,omitempty"`
}

func (l *ledger) clone() *ledger {
	if l == nil {
		return &ledger{
			Version: NoVersion,
			Target:  map[state.DomainID]state.Vector{},
			InForce: map[state.DomainID]state.Vector{},
		}
	}
	return &ledger{
		Version: l.Version,
		Target:  maps.Clone(l.Target),
		InForce: maps.Clone(l.InForce),
		Pending: slices.Clone(l.Pending),
	}
}

// empty reports whether the ledger has no allotments and no pending reductions.
func (l *ledger) empty() bool {
	return len(l.Pending) == 0 && len(l.Target) == 0 && len(l.InForce) == 0
}

// reduce lowers the allotment of every domain to its target. The difference
// stays committed as a pending reduction until the domain no longer uses it.
func (l *ledger) reduce(offset int64) {
	for _, domain := range sortedKeys(l.InForce) {
		now := l.InForce[domain]
		lowered := now.Min(l.Target[domain])
		if lost := now.Sub(lowered); !lost.IsZero() {
			l.addPending(offset, domain, lost)
		}
		l.set(domain, lowered)
	}
}

// addPending records a pending reduction of a domain. If the domain already has
// maxPendingPerDomain of them, the amount is added to its last one, which then
// needs to be confirmed again from offset on.
func (l *ledger) addPending(offset int64, domain state.DomainID, amount state.Vector) {
	count, last := 0, 0
	for i, r := range l.Pending {
		if r.Domain == domain {
			count++
			last = i
		}
	}
	added := pendingReduction{Domain: domain, Amount: amount, Offset: offset, ConfirmedAt: notConfirmed}
	if count < maxPendingPerDomain {
		l.Pending = append(l.Pending, added)
		return
	}
	added.Amount = added.Amount.Add(l.Pending[last].Amount)
	l.Pending[last] = added
}

// raise increases the allotments of the domains towards their targets, as far as
// the limit allows beside all amounts in force and all pending reductions.
func (l *ledger) raise(limit state.Vector) {
	available := limit.Sub(l.committed()).Max(state.Vector{})
	for _, domain := range sortedKeys(l.Target) {
		now := l.InForce[domain]
		added := l.Target[domain].Sub(now).Max(state.Vector{}).Min(available)
		if added.IsZero() {
			continue
		}
		l.set(domain, now.Add(added))
		available = available.Sub(added)
	}
}

func (l *ledger) set(domain state.DomainID, amount state.Vector) {
	if amount.IsZero() {
		delete(l.InForce, domain)
		return
	}
	l.InForce[domain] = amount
}

// pending returns the sum of the pending reductions.
func (l *ledger) pending() state.Vector {
	var sum state.Vector
	for _, r := range l.Pending {
		sum = sum.Add(r.Amount)
	}
	return sum
}

// committed returns the sum of the allotments in force and the pending
// reductions.
func (l *ledger) committed() state.Vector {
	sum := l.pending()
	for _, amount := range l.InForce {
		sum = sum.Add(amount)
	}
	return sum
}

// split divides limit among the domains in proportion to their weights.
func split(limit state.Vector, domains []Domain) map[state.DomainID]state.Vector {
	weights := make(map[state.DomainID]state.Vector, len(domains))
	for _, d := range domains {
		weights[d.ID] = state.Vector{CPUMilli: d.Weight, MemoryMB: d.Weight, Accelerators: d.Weight, Slots: d.Weight}
	}
	return splitBy(limit, weights, weights)
}

// rescale divides limit in the proportions of target. A resource that is 0 in
// all of target is divided by the weights of the domains.
func rescale(limit state.Vector, target map[state.DomainID]state.Vector, domains []Domain) map[state.DomainID]state.Vector {
	fallback := make(map[state.DomainID]state.Vector, len(domains))
	for _, d := range domains {
		fallback[d.ID] = state.Vector{CPUMilli: d.Weight, MemoryMB: d.Weight, Accelerators: d.Weight, Slots: d.Weight}
	}
	return splitBy(limit, target, fallback)
}

func splitBy(limit state.Vector, weights, fallback map[state.DomainID]state.Vector) map[state.DomainID]state.Vector {
	out := make(map[state.DomainID]state.Vector, len(fallback))
	for _, field := range vectorFields {
		by := weights
		if total(weights, field) == 0 {
			by = fallback
		}
		parts := splitPart(*field(&limit), by, field)
		for domain, part := range parts {
			v := out[domain]
			*field(&v) = part
			out[domain] = v
		}
	}
	return out
}

// vectorFields are accessors of the components of a vector.
var vectorFields = [...]func(*state.Vector) *int64{
	func(v *state.Vector) *int64 { return &v.CPUMilli },
	func(v *state.Vector) *int64 { return &v.MemoryMB },
	func(v *state.Vector) *int64 { return &v.Accelerators },
	func(v *state.Vector) *int64 { return &v.Slots },
}

func total(amounts map[state.DomainID]state.Vector, field func(*state.Vector) *int64) int64 {
	var sum int64
	for _, v := range amounts {
		sum += *field(&v)
	}
	return sum
}

// splitPart divides amount in proportion to weights by the largest remainder
// method, so that the parts sum to amount. Of equal remainders, the domain whose
// ID sorts first gets the unit.
func splitPart(amount int64, weights map[state.DomainID]state.Vector, field func(*state.Vector) *int64) map[state.DomainID]int64 {
	sum := total(weights, field)
	out := make(map[state.DomainID]int64, len(weights))
	if sum == 0 {
		return out
	}
	domains := sortedKeys(weights)
	rest := amount
	remainders := make(map[state.DomainID]uint64, len(weights))
	for _, domain := range domains {
		v := weights[domain]
		high, low := bits.Mul64(uint64(amount), uint64(*field(&v)))
		part, remainder := bits.Div64(high, low, uint64(sum))
		out[domain] = int64(part)
		remainders[domain] = remainder
		rest -= int64(part)
	}
	slices.SortStableFunc(domains, func(a, b state.DomainID) int {
		return compareDescending(remainders[a], remainders[b])
	})
	for _, domain := range domains[:rest] {
		out[domain]++
	}
	return out
}

func compareDescending(a, b uint64) int {
	switch {
	case a > b:
		return -1
	case a < b:
		return 1
	default:
		return 0
	}
}
