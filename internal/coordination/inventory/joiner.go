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

// maxJoin is the most upstreams of one record.
const maxJoin = 500

// Writer writes configuration records.
type Writer interface {
	View() *config.View
	Write(ctx context.Context, record config.Record) (config.Result, int64, error)
}

// Joiner keeps the configuration's upstreams of a domain in line with the VM
// list while this entry owns the domain's shard.
type Joiner struct {
	Domain   state.DomainID
	Config   Writer
	Listed   func() *membership.Snapshot
	Owns     func() bool
	Absences *Absences
	Interval time.Duration
	Logger   hclog.Logger
}

// Run compares and writes until ctx ends.
func (j *Joiner) Run(ctx context.Context) {
	ticker := time.NewTicker(j.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if j.Owns() {
			j.reconcile(ctx)
		}
	}
}

func (j *Joiner) reconcile(ctx context.Context) {
	listed := j.Listed()
	if listed.ListVersion == 0 {
		return
	}
	view := j.Config.View()
	if missing := j.missing(view, listed); len(missing) > 0 {
		j.write(ctx, config.JoinUpstreams{Domain: j.Domain, Upstreams: missing}, "upstreams joined", len(missing))
	}
	if gone := j.gone(view, listed); len(gone) > 0 {
		j.write(ctx, config.DropUpstreams{Domain: j.Domain, Upstreams: gone}, "upstreams dropped", len(gone))
		for _, vm := range gone {
			j.Absences.Forget(vm)
		}
	}
	for _, entry := range j.ended(view, listed) {
		j.write(ctx, config.UnregisterEntry{Entry: entry}, "entry unregistered", 1)
	}
}

// ended returns the registered entries of the domain that are dead and whose VM
// is gone.
func (j *Joiner) ended(view *config.View, listed *membership.Snapshot) []state.EntryID {
	var ended []state.EntryID
	now := time.Now()
	for _, registered := range view.RegisteredEntries(j.Domain) {
		vm := registered.ID.VM()
		if _, ok := find(listed.ListedEntries, vm); ok {
			j.Absences.Listed(vm)
			continue
		}
		entry, known := listed.Entry(registered.ID)
		if alive := known && entry.Live(); !alive && j.Absences.Gone(vm, now) {
			ended = append(ended, registered.ID)
		}
	}
	return ended
}

// missing returns listed upstreams that are not configured, maxJoin at most.
func (j *Joiner) missing(view *config.View, listed *membership.Snapshot) []config.Upstream {
	known := map[state.VMID]bool{}
	for _, u := range view.Upstreams(j.Domain) {
		known[u.ID] = true
	}
	for _, u := range view.JoiningUpstreams(j.Domain) {
		known[u.ID] = true
	}
	var missing []config.Upstream
	for _, vm := range listed.Upstreams {
		if known[state.VMID(vm.ID)] || vm.State != devplatform.VMLive || len(missing) == maxJoin {
			continue
		}
		missing = append(missing, config.Upstream{
			ID: state.VMID(vm.ID), Rack: vm.Rack, Service: state.Service(vm.Service), Capacity: owner.CapacityVector(vm.Capacity),
		})
	}
	return missing
}

// gone returns configured upstreams that exist no more.
func (j *Joiner) gone(view *config.View, listed *membership.Snapshot) []state.VMID {
	var gone []state.VMID
	now := time.Now()
	for _, u := range view.Upstreams(j.Domain) {
		if _, ok := find(listed.Upstreams, u.ID); !ok && j.Absences.Gone(u.ID, now) {
			gone = append(gone, u.ID)
		}
	}
	return gone
}

func (j *Joiner) write(ctx context.Context, body config.Body, message string, count int) {
	result, version, err := j.Config.Write(ctx, config.Record{Body: body})
	if err == nil {
		err = result.Err()
	}
	if err != nil {
		j.Logger.Warn("can't record upstreams", "domain", j.Domain, "count", count, "error", err)
		return
	}
	j.Logger.Info(message, "domain", j.Domain, "count", count, "version", version)
}
