package config

import (
	"maps"
	"math/bits"
	"slices"

	"github.com/samphirerail/samphirerail/internal/state"
)

// notFolded marks a hold whose cut is not yet folded by every entry.
const notFolded int64 = -1

// maxHoldsPerDomain is the most holds that a ledger keeps for one domain.
const maxHoldsPerDomain = 4

// hold is an amount that a domain has given up and may still be using.
type hold struct {
	Domain state.DomainID `json:"domain"`
	Amount state.Vector   `json:"amount"`
	// Offset is the version from which on the domain does without.
	Offset int64 `json:"offset"`
	// Folded is the version at which every entry registered in the domain had
	// confirmed Offset, or notFolded.
	Folded int64 `json:"folded"`
}

// ledger is how a team's limit is divided. A ledger is not changed once it is
// part of a view: changes are made to a clone.
type ledger struct {
	// Version is the offset of the last change of Target.
	Version int64 `json:"version"`
	// Target is the division wanted; it sums to the limit.
	Target map[state.DomainID]state.Vector `json:"target"`
	// InForce is what each domain may use now, never above Target.
	InForce map[state.DomainID]state.Vector `json:"in_force"`
	// Holds are cuts that may not have taken effect in their domain.
	Holds []hold `json:"holds,omitempty"`
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
		Holds:   slices.Clone(l.Holds),
	}
}

// empty reports whether the ledger gives and holds nothing.
func (l *ledger) empty() bool {
	return len(l.Holds) == 0 && len(l.Target) == 0 && len(l.InForce) == 0
}

// cut lowers every domain to its target. What it loses is held back until the
// domain is known to do without.
func (l *ledger) cut(offset int64) {
	for _, domain := range sortedKeys(l.InForce) {
		now := l.InForce[domain]
		lowered := now.Min(l.Target[domain])
		if lost := now.Sub(lowered); !lost.IsZero() {
			l.hold(offset, domain, lost)
		}
		l.set(domain, lowered)
	}
}

// hold holds an amount back. A domain with many holds gets no more of them: its
// last one grows and waits anew.
func (l *ledger) hold(offset int64, domain state.DomainID, amount state.Vector) {
	count, last := 0, 0
	for i, h := range l.Holds {
		if h.Domain == domain {
			count++
			last = i
		}
	}
	fresh := hold{Domain: domain, Amount: amount, Offset: offset, Folded: notFolded}
	if count < maxHoldsPerDomain {
		l.Holds = append(l.Holds, fresh)
		return
	}
	fresh.Amount = fresh.Amount.Add(l.Holds[last].Amount)
	l.Holds[last] = fresh
}

// raise lifts domains towards their targets as far as the limit has room for
// it beside all that is in force or held back.
func (l *ledger) raise(limit state.Vector) {
	room := limit.Sub(l.committed()).Max(state.Vector{})
	for _, domain := range sortedKeys(l.Target) {
		now := l.InForce[domain]
		added := l.Target[domain].Sub(now).Max(state.Vector{}).Min(room)
		if added.IsZero() {
			continue
		}
		l.set(domain, now.Add(added))
		room = room.Sub(added)
	}
}

func (l *ledger) set(domain state.DomainID, amount state.Vector) {
	if amount.IsZero() {
		delete(l.InForce, domain)
		return
	}
	l.InForce[domain] = amount
}

// held returns what is held back.
func (l *ledger) held() state.Vector {
	var sum state.Vector
	for _, h := range l.Holds {
		sum = sum.Add(h.Amount)
	}
	return sum
}

// committed returns what is in force or held back.
func (l *ledger) committed() state.Vector {
	sum := l.held()
	for _, amount := range l.InForce {
		sum = sum.Add(amount)
	}
	return sum
}

// split divides limit by the weights of the domains.
func split(limit state.Vector, domains []Domain) map[state.DomainID]state.Vector {
	weights := make(map[state.DomainID]state.Vector, len(domains))
	for _, d := range domains {
		weights[d.ID] = state.Vector{CPUMilli: d.Weight, MemoryMB: d.Weight, Accelerators: d.Weight, Slots: d.Weight}
	}
	return splitBy(limit, weights, weights)
}

// rescale divides limit as target does. A part of which target has nothing is
// divided by the weights of the domains.
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

// vectorFields are accessors of the parts of a vector.
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

// splitPart divides amount by largest remainder; the parts sum to amount. Ties
// go to the domain that sorts first.
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
