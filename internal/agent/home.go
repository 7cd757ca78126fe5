package agent

import (
	"math/rand/v2"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/coordination/membership"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/config"
)

// homeDomain returns the home domain of a new job: the entry's own one, unless that is
// evacuated. Then it is another domain, chosen at random by the domains' weights, preferably
// one with an owner. If all domains are evacuated it is the own one, whose owner refuses the
// job.
func homeDomain(own state.DomainID, view *config.View, members *membership.Snapshot) state.DomainID {
	evacuated := view.Evacuated()
	if !evacuated.Has(own) {
		return own
	}
	var owned, others []config.Domain
	for _, d := range view.Domains() {
		if evacuated.Has(d.ID) {
			continue
		}
		others = append(others, d)
		if owner, ok := members.Owner(coordination.DomainShard(d.ID, 0)); ok && owner.Ready {
			owned = append(owned, d)
		}
	}
	if len(owned) > 0 {
		others = owned
	}
	return chooseByWeight(others, own)
}

// chooseByWeight returns a domain at random by the domains' weights, or the default if there
// is none.
func chooseByWeight(domains []config.Domain, otherwise state.DomainID) state.DomainID {
	total := int64(0)
	for _, d := range domains {
		total += d.Weight
	}
	if total <= 0 {
		return otherwise
	}
	n := rand.Int64N(total)
	for _, d := range domains {
		if n -= d.Weight; n < 0 {
			return d.ID
		}
	}
	return otherwise
}
