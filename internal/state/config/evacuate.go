package config

import (
	"slices"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/evacuation"
)

// evacuate marks a domain as evacuated. It stays so if the list of domains changes.
func (f *Fold) evacuate(domain state.DomainID) Result {
	if !slices.ContainsFunc(f.domains, func(d Domain) bool { return d.ID == domain }) {
		return invalid("domain", "no failure domain has this name; look at the domains in the status")
	}
	f.evacuated = evacuation.NewSet(append(f.evacuated.Domains(), domain)...)
	return accepted()
}

func (f *Fold) restoreDomain(domain state.DomainID) Result {
	if !f.evacuated.Has(domain) {
		return invalid("domain", "the failure domain is not evacuated; look at the domains in the status")
	}
	f.evacuated = evacuation.NewSet(slices.DeleteFunc(f.evacuated.Domains(), func(d state.DomainID) bool { return d == domain })...)
	return accepted()
}

// Evacuated returns the evacuated failure domains.
func (v *View) Evacuated() evacuation.Set { return v.evacuated }
