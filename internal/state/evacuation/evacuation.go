// Package evacuation holds which failure domains the operators have evacuated. The load that
// it addresses is a deployment that goes on serving while one of its domains is taken out for
// maintenance: no task starts there, and the work of the other domains is not disturbed.
package evacuation

import (
	"cmp"
	"slices"

	"github.com/samphirerail/samphirerail/internal/state"
)

// Request is an operators' record about a domain.
type Request struct {
	Domain state.DomainID
	// Withdrawn says that the record withdraws an earlier request.
	Withdrawn bool
	// Offset is the record's position in the operators' log.
	Offset int64
	// Unexpected describes a value that this version does not know; empty if there is none.
	// The domain is evacuated nevertheless: a wrongly evacuated domain costs capacity, a
	// wrongly used one breaks the rule.
	Unexpected string
}

// Set is an immutable set of evacuated domains. The zero value is empty.
type Set struct{ domains []state.DomainID }

// NewSet returns the set of the given domains.
func NewSet(domains ...state.DomainID) Set {
	sorted := slices.Clone(domains)
	slices.Sort(sorted)
	return Set{domains: slices.Compact(sorted)}
}

// Has reports whether a domain is evacuated.
func (s Set) Has(domain state.DomainID) bool { return slices.Contains(s.domains, domain) }

// Len returns the number of evacuated domains.
func (s Set) Len() int { return len(s.domains) }

// Domains returns the evacuated domains in alphabetical order.
func (s Set) Domains() []state.DomainID { return slices.Clone(s.domains) }

// Equal reports whether both sets hold the same domains.
func (s Set) Equal(other Set) bool { return slices.Equal(s.domains, other.domains) }

// Without returns the domains of s that are not in other, in alphabetical order.
func (s Set) Without(other Set) []state.DomainID {
	return slices.DeleteFunc(s.Domains(), other.Has)
}

// Fold folds the operators' records into a set. The zero value has read nothing.
type Fold struct{ newest map[state.DomainID]Request }

// Apply applies a record. Records that are older than the newest one of the domain are
// ignored: after all newest records were read, the log repeats some earlier ones. It reports
// whether the set has changed.
func (f *Fold) Apply(r Request) (changed bool) {
	known, ok := f.newest[r.Domain]
	if ok && r.Offset <= known.Offset {
		return false
	}
	if f.newest == nil {
		f.newest = map[state.DomainID]Request{}
	}
	f.newest[r.Domain] = r
	return r.Withdrawn == (ok && !known.Withdrawn)
}

// Reload applies the newest record of every key, from a read that was complete up to the
// offset next. Requests that it does not contain were withdrawn, unless they are newer than
// the read. It returns the domains whose requests were withdrawn by their absence.
func (f *Fold) Reload(requests []Request, next int64) (absent []state.DomainID) {
	present := map[state.DomainID]bool{}
	for _, r := range requests {
		present[r.Domain] = true
		f.Apply(r)
	}
	for domain, known := range f.newest {
		if present[domain] || known.Offset >= next {
			continue
		}
		delete(f.newest, domain)
		if !known.Withdrawn {
			absent = append(absent, domain)
		}
	}
	slices.SortFunc(absent, cmp.Compare[state.DomainID])
	return absent
}

// Set returns the evacuated domains.
func (f *Fold) Set() Set {
	var domains []state.DomainID
	for domain, r := range f.newest {
		if !r.Withdrawn {
			domains = append(domains, domain)
		}
	}
	return NewSet(domains...)
}
