// Package inventory tells the owner of a shard what it may use, from the
// configuration and the platform's VM list, and keeps the configuration's
// list of upstreams in line with the platform's.
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
	absences *Absences

	mu          sync.Mutex
	version     uint64
	configured  int64
	listVersion int64
	// open says that the last Load met an upstream that is neither listed nor
	// known to be gone.
	open bool
}

// NewSource returns the source of a domain's shard.
func NewSource(domain state.DomainID, view func() *config.View, listed func() *membership.Snapshot, absences *Absences) *Source {
	return &Source{domain: domain, view: view, listed: listed, absences: absences, configured: config.NoVersion - 1}
}

// Version implements owner.Source. An absence can turn into proof without a
// change of the list, so the version also rises while one is open.
func (s *Source) Version() uint64 {
	configured, listed := s.view().Version(), s.listed().ListVersion
	s.mu.Lock()
	defer s.mu.Unlock()
	if configured != s.configured || listed != s.listVersion || s.open {
		s.configured, s.listVersion = configured, listed
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
	}
	open := false
	now := time.Now()
	for _, u := range view.Upstreams(s.domain) {
		joined := s.join(u, listed, now)
		open = open || joined.Address == "" && !joined.Gone
		inventory.Upstreams = append(inventory.Upstreams, joined)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open = open
	return inventory
}

// join combines what the configuration and the VM list tell of an upstream.
func (s *Source) join(u config.Upstream, listed *membership.Snapshot, now time.Time) owner.Upstream {
	out := owner.Upstream{VM: u.ID, Rack: u.Rack, Service: u.Service, Capacity: u.Capacity, Leaving: u.Draining}
	vm, ok := find(listed.Upstreams, u.ID)
	if !ok {
		out.Gone = s.absences.Gone(u.ID, now)
		return out
	}
	s.absences.Listed(u.ID)
	out.Address = vm.Address
	out.Incarnation = vm.Incarnation
	out.Leaving = out.Leaving || vm.State == devplatform.VMLeaving
	return out
}

func find(vms []devplatform.VM, id state.VMID) (devplatform.VM, bool) {
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
