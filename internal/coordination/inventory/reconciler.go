package inventory

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/samphirerail/samphirerail/internal/coordination/membership"
	"github.com/samphirerail/samphirerail/internal/coordination/owner"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/config"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// maxJoinBatch is the largest number of upstreams that one record joins.
const maxJoinBatch = 500

// Writer reads the configuration and writes records to it.
type Writer interface {
	View() *config.View
	Write(ctx context.Context, record config.Record) (config.Result, int64, error)
}

// Reconciler reconciles the configured upstreams and registered entries of a domain
// with the platform's VM list, while this entry owns the domain's shard.
type Reconciler struct {
	Domain state.DomainID
	Config Writer
	// Listed returns the newest membership snapshot, which includes the VM list.
	Listed func() *membership.Snapshot
	// Owns reports whether this entry owns the domain's shard.
	Owns     func() bool
	Absences *AbsenceTracker
	// Interval is the time between two reconciliations.
	Interval time.Duration
	Logger   hclog.Logger
}

// Run reconciles at every interval until ctx ends.
func (r *Reconciler) Run(ctx context.Context) {
	ticker := time.NewTicker(r.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if r.Owns() {
			r.reconcile(ctx)
		}
	}
}

func (r *Reconciler) reconcile(ctx context.Context) {
	listed := r.Listed()
	if listed.ListVersion == 0 {
		return
	}
	view := r.Config.View()
	if missing := r.upstreamsToJoin(view, listed); len(missing) > 0 {
		r.write(ctx, config.JoinUpstreams{Domain: r.Domain, Upstreams: missing}, "upstreams joined", len(missing))
	}
	if gone := r.upstreamsToDrop(view, listed); len(gone) > 0 {
		r.write(ctx, config.DropUpstreams{Domain: r.Domain, Upstreams: gone}, "upstreams dropped", len(gone))
		for _, vm := range gone {
			r.Absences.Drop(vm)
		}
	}
	for _, entry := range r.entriesToUnregister(view, listed) {
		r.write(ctx, config.UnregisterEntry{Entry: entry}, "entry unregistered", 1)
	}
}

// entriesToUnregister returns the registered entries of the domain that are not
// live and whose VM no longer exists.
func (r *Reconciler) entriesToUnregister(view *config.View, listed *membership.Snapshot) []state.EntryID {
	var ended []state.EntryID
	now := time.Now()
	for _, registered := range view.RegisteredEntries(r.Domain) {
		vm := registered.ID.VM()
		if _, ok := findVM(listed.ListedEntries, vm); ok {
			r.Absences.MarkListed(vm)
			continue
		}
		entry, known := listed.Entry(registered.ID)
		if alive := known && entry.Live(); !alive && r.Absences.ConfirmAbsent(vm, now) {
			ended = append(ended, registered.ID)
		}
	}
	return ended
}

// upstreamsToJoin returns the live listed upstreams that are neither configured nor
// joining, at most maxJoinBatch.
func (r *Reconciler) upstreamsToJoin(view *config.View, listed *membership.Snapshot) []config.Upstream {
	known := map[state.VMID]bool{}
	for _, u := range view.Upstreams(r.Domain) {
		known[u.ID] = true
	}
	for _, u := range view.JoiningUpstreams(r.Domain) {
		known[u.ID] = true
	}
	var missing []config.Upstream
	for _, vm := range listed.Upstreams {
		if known[state.VMID(vm.ID)] || vm.State != devplatform.VMLive || len(missing) == maxJoinBatch {
			continue
		}
		missing = append(missing, config.Upstream{
			ID: state.VMID(vm.ID), Rack: vm.Rack, Service: state.Service(vm.Service), Capacity: owner.CapacityVector(vm.Capacity),
		})
	}
	return missing
}

// upstreamsToDrop returns the configured upstreams that no longer exist.
func (r *Reconciler) upstreamsToDrop(view *config.View, listed *membership.Snapshot) []state.VMID {
	var gone []state.VMID
	now := time.Now()
	for _, u := range view.Upstreams(r.Domain) {
		if _, ok := findVM(listed.Upstreams, u.ID); !ok && r.Absences.ConfirmAbsent(u.ID, now) {
			gone = append(gone, u.ID)
		}
	}
	return gone
}

func (r *Reconciler) write(ctx context.Context, body config.Body, message string, count int) {
	result, version, err := r.Config.Write(ctx, config.Record{Body: body})
	if err == nil {
		err = result.Err()
	}
	if err != nil {
		r.Logger.Warn("failed to write inventory change to the configuration", "domain", r.Domain, "count", count, "error", err)
		return
	}
	r.Logger.Info(message, "domain", r.Domain, "count", count, "version", version)
}
