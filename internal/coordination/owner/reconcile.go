package owner

import (
	"context"
	"slices"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/machine"
)

// reconcile updates the machine's upstreams and quotas to match the source. It does
// nothing when the source has not changed.
func (s *Shard) reconcile(ctx context.Context) {
	version := s.cfg.Source.Version()
	if version == s.version || s.resigned || s.awaitsJournal() {
		return
	}
	inventory := s.cfg.Source.Load()
	if !inventory.Known {
		return
	}
	first := s.configVersion < 0
	s.version = version
	s.configVersion = inventory.ConfigVersion
	list := inventory.Upstreams
	if !inventory.Evacuated.Equal(s.evacuated) {
		s.evacuated = inventory.Evacuated
		s.log.Info("evacuated domains changed", "domains", s.evacuated.Domains(), "own", s.evacuated.Has(s.cfg.Shard.Domain()), "version", inventory.ConfigVersion)
	}
	s.step(ctx, machine.EvacuationChanged{Evacuated: inventory.Evacuated})
	s.step(ctx, machine.QuotasChanged{Quotas: inventory.Quotas})
	chosen := probedSet(list)
	present := make(map[state.VMID]bool, len(list))
	for _, info := range list {
		present[info.VM] = !info.Gone
		if !info.Gone {
			s.reconcileOne(ctx, info, chosen[info.VM])
		}
	}
	for _, vm := range s.absent(present) {
		s.drop(ctx, vm)
	}
	for vm, u := range s.upstreams {
		u.probed.Store(chosen[vm])
	}
	s.resume(ctx)
	if first {
		s.publishSummary()
		s.notifyReady()
	}
}

func (s *Shard) notifyReady() {
	if s.cfg.OnReady != nil {
		s.spawn(s.cfg.OnReady)
	}
}

// probedSet returns the workers that other entries ask for their newest epoch.
func probedSet(list []Upstream) map[state.VMID]bool {
	chosen := make(map[state.VMID]bool, probedWorkers)
	for _, info := range toProbe(list) {
		chosen[info.VM] = true
	}
	return chosen
}

// toProbe returns the first probedWorkers upstreams that have an address.
func toProbe(list []Upstream) []Upstream {
	chosen := make([]Upstream, 0, probedWorkers)
	for _, info := range list {
		if len(chosen) < probedWorkers && !info.Gone && info.Address != "" {
			chosen = append(chosen, info)
		}
	}
	return chosen
}

// absent returns the upstreams that are no longer listed, sorted by VM so that the
// machine sees its events in a deterministic order.
func (s *Shard) absent(present map[state.VMID]bool) []state.VMID {
	var gone []state.VMID
	for vm := range s.upstreams {
		if !present[vm] {
			gone = append(gone, vm)
		}
	}
	slices.Sort(gone)
	return gone
}

func (s *Shard) reconcileOne(ctx context.Context, info Upstream, probed bool) {
	u, ok := s.upstreams[info.VM]
	if !ok {
		s.step(ctx, machine.UpstreamJoined{VM: info.VM, Rack: info.Rack, Service: info.Service, Capacity: info.Capacity})
		s.connect(ctx, info, probed)
		if info.Leaving {
			s.step(ctx, machine.UpstreamLeaving{VM: info.VM})
		}
		return
	}
	if u.info.Address != info.Address || u.info.Incarnation != info.Incarnation {
		u.cancel()
		s.connect(ctx, info, probed)
	}
	switch {
	case info.Leaving && !u.info.Leaving:
		s.step(ctx, machine.UpstreamLeaving{VM: info.VM})
	case !info.Leaving && u.info.Leaving:
		s.step(ctx, machine.UpstreamLeavingCancelled{VM: info.VM})
	}
	s.upstreams[info.VM].info.Leaving = info.Leaving
}

// connect starts the goroutine that runs the connection to a worker. An upstream
// without an address stays unfenced.
func (s *Shard) connect(ctx context.Context, info Upstream, probed bool) {
	u := newUpstream(s, info)
	linkCtx, cancel := context.WithCancel(ctx)
	u.cancel = cancel
	u.probed.Store(probed)
	s.upstreams[info.VM] = u
	if info.Address == "" {
		return
	}
	s.spawn(func() { u.run(linkCtx) })
}

func (s *Shard) drop(ctx context.Context, vm state.VMID) {
	s.upstreams[vm].cancel()
	delete(s.upstreams, vm)
	s.step(ctx, machine.UpstreamRemoved{VM: vm})
}
