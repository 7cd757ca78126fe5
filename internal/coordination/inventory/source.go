// Package inventory provides the owner of a shard with the upstreams and quotas
// that it may use, from the configuration and the platform's VM list. It also
// reconciles the upstreams in the configuration with the VM list.
package inventory

import (
	"slices"
	"sync"
	"time"

	"github.com/samphirerail/samphirerail/internal/coordination/membership"
	"github.com/samphirerail/samphirerail/internal/coordination/owner"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/config"
	"github.com/samphirerail/samphirerail/internal/state/machine"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// Source implements owner.Source for the shard of one domain. It is safe for
// concurrent use.
type Source struct {
	domain   state.DomainID
	view     func() *config.View
	listed   func() *membership.Snapshot
	absences *AbsenceTracker

	mu            sync.Mutex
	version       uint64
	configVersion int64
	listVersion   int64
	// unconfirmed reports whether the last Load had an upstream that is neither
	// listed nor confirmed to be gone.
	unconfirmed bool
}

// NewSource returns the Source of a domain's shard. The functions view and listed
// return the newest configuration and the newest membership snapshot.
func NewSource(domain state.DomainID, view func() *config.View, listed func() *membership.Snapshot, absences *AbsenceTracker) *Source {
	return &Source{domain: domain, view: view, listed: listed, absences: absences, configVersion: config.NoVersion - 1}
}

// Version implements owner.Source. The absence of an upstream can be confirmed
// without a change of the VM list, so the version also increases with each call
// while an absence is unconfirmed.
func (s *Source) Version() uint64 {
	configVersion, listVersion := s.view().Version(), s.listed().ListVersion
	s.mu.Lock()
	defer s.mu.Unlock()
	if configVersion != s.configVersion || listVersion != s.listVersion || s.unconfirmed {
		s.configVersion, s.listVersion = configVersion, listVersion
		s.version++
	}
	return s.version
}

// Load implements owner.Source.
func (s *Source) Load() owner.Inventory {
	view, listed := s.view(), s.listed()
	inventory := owner.Inventory{
		Known:         listed.ListVersion > 0 && view.Version() >= 0,
		ConfigVersion: view.Version(),
		Quotas:        quotas(view, s.domain),
		Evacuated:     view.Evacuated(),
	}
	unconfirmed := false
	now := time.Now()
	for _, u := range view.Upstreams(s.domain) {
		upstream := s.mergeUpstream(u, listed, now)
		unconfirmed = unconfirmed || upstream.Address == "" && !upstream.Gone
		inventory.Upstreams = append(inventory.Upstreams, upstream)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unconfirmed = unconfirmed
	return inventory
}

// mergeUpstream combines the configuration and the VM list entry of an upstream.
func (s *Source) mergeUpstream(u config.Upstream, listed *membership.Snapshot, now time.Time) owner.Upstream {
	out := owner.Upstream{VM: u.ID, Rack: u.Rack, Service: u.Service, Capacity: u.Capacity, Leaving: u.Draining}
	vm, ok := findVM(listed.Upstreams, u.ID)
	if !ok {
		out.Gone = s.absences.ConfirmAbsent(u.ID, now)
		return out
	}
	s.absences.MarkListed(u.ID)
	out.Address = vm.Address
	out.Incarnation = vm.Incarnation
	out.Leaving = out.Leaving || vm.State == devplatform.VMLeaving
	return out
}

func findVM(vms []devplatform.VM, id state.VMID) (devplatform.VM, bool) {
	i, ok := slices.BinarySearchFunc(vms, id, func(vm devplatform.VM, id state.VMID) int { return compareID(vm.ID, id) })
	if !ok {
		return devplatform.VM{}, false
	}
	return vms[i], true
}

func compareID(a string, b state.VMID) int {
	switch {
	case a < string(b):
		return -1
	case a > string(b):
		return 1
	}
	return 0
}

func quotas(view *config.View, domain state.DomainID) []machine.Quota {
	contracts := view.Contracts()
	list := make([]machine.Quota, 0, len(contracts))
	for _, c := range contracts {
		list = append(list, machine.Quota{
			Team: c.Team, Limit: view.Allotment(c.Team, domain), Weight: c.Weight, MaxQueued: c.MaxQueued,
		})
	}
	return list
}
