package agent

import (
	"context"
	"fmt"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/coordination/membership"
	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/config"
	"github.com/samphirerail/samphirerail/internal/state/jobid"
)

// Status implements httpapi.Operations.
func (o *operations) Status(context.Context) (v1.Status, error) {
	view, snapshot := o.follower.View(), o.members.Snapshot()
	status := v1.Status{
		Entry:   o.id.entry,
		Domain:  o.id.domain,
		Version: view.Version(),
		Entries: entryStatuses(snapshot),
		Shards:  shardStatuses(snapshot),
		Teams:   o.teamStatuses(),
		Keys:    keyStatuses(view),
		Queues:  queueStatuses(view),
		Domains: domainList(view),
	}
	if err := o.health.Ready(); err != nil {
		status.NotReady = err.Error()
	}
	status.Ready = status.NotReady == ""
	return status, nil
}

func entryStatuses(snapshot *membership.Snapshot) []v1.EntryStatus {
	list := make([]v1.EntryStatus, 0, len(snapshot.Entries))
	for i := range snapshot.Entries {
		e := &snapshot.Entries[i]
		list = append(list, v1.EntryStatus{
			ID: e.ID, Domain: e.Domain, Address: e.Address, Alive: e.Live(), Leaving: e.Leaving, Version: e.ConfigVersion,
		})
	}
	return list
}

func shardStatuses(snapshot *membership.Snapshot) []v1.ShardStatus {
	list := []v1.ShardStatus{}
	for i := range snapshot.Entries {
		e := &snapshot.Entries[i]
		if !e.Live() {
			continue
		}
		for _, load := range e.Owned {
			list = append(list, v1.ShardStatus{
				Shard: load.Shard, Owner: e.ID, Epoch: load.Epoch.Number, Ready: load.Ready,
				Queued: load.Queued, Running: load.Running, Upstreams: load.Upstreams, Fenced: load.Fenced,
			})
		}
	}
	return list
}

func (o *operations) teamStatuses() []v1.TeamStatus {
	list := []v1.TeamStatus{}
	summary, ok := o.shardOwner.manager.Summary()
	if !ok {
		return list
	}
	for _, t := range summary.Teams {
		list = append(list, v1.TeamStatus{Team: t.Team, Allotment: v1.NewLimit(t.Limit), Used: v1.NewLimit(t.Usage), Queued: t.Queued})
	}
	return list
}

func keyStatuses(view *config.View) []v1.KeyStatus {
	list := []v1.KeyStatus{}
	for _, k := range view.Keys() {
		if !k.Withdrawn {
			list = append(list, v1.KeyStatus{ID: k.ID, Team: k.Team, Role: v1.Role(k.Role), Version: k.Version})
		}
	}
	return list
}

func queueStatuses(view *config.View) []v1.QueueStatus {
	list := []v1.QueueStatus{}
	for _, q := range view.Queues() {
		list = append(list, v1.QueueStatus{
			Queue:   v1.Queue{ID: q.ID, Team: q.Team, Open: q.Open, DefaultClass: q.DefaultClass},
			Version: q.Version,
		})
	}
	return list
}

func domainList(view *config.View) v1.DomainList {
	list := v1.DomainList{Domains: []v1.Domain{}, Version: view.DomainsVersion(), Evacuated: view.Evacuated().Domains()}
	for _, d := range view.Domains() {
		list.Domains = append(list.Domains, v1.Domain{ID: d.ID, Region: d.Region, Weight: d.Weight})
	}
	return list
}

// Version implements httpapi.Operations. A version is in force in a domain once every
// registered entry of the domain is known to have folded it.
func (o *operations) Version(_ context.Context, version int64) (v1.VersionStatus, error) {
	view, snapshot := o.follower.View(), o.members.Snapshot()
	status := v1.VersionStatus{Version: version, InForce: true, Domains: []v1.DomainVersion{}}
	for _, d := range view.Domains() {
		domainVersion := v1.DomainVersion{Domain: d.ID, Missing: o.missing(view, snapshot, d.ID, version)}
		domainVersion.InForce = len(domainVersion.Missing) == 0
		status.InForce = status.InForce && domainVersion.InForce
		status.Domains = append(status.Domains, domainVersion)
	}
	return status, nil
}

// missing returns the registered entries of a domain that are not known to
// have folded a version.
func (o *operations) missing(view *config.View, snapshot *membership.Snapshot, domain state.DomainID, version int64) []coordination.EntryID {
	var missing []coordination.EntryID
	for _, registered := range view.RegisteredEntries(domain) {
		known := registered.Confirmed
		if registered.ID == o.id.entry {
			known = max(known, view.Version())
		}
		if e, ok := snapshot.Entry(registered.ID); ok {
			known = max(known, e.ConfigVersion)
		}
		if known < version {
			missing = append(missing, registered.ID)
		}
	}
	return missing
}

// Explain implements httpapi.Operations.
func (o *operations) Explain(ctx context.Context, id state.JobID) (v1.Explanation, error) {
	parts, err := jobid.Parse(id)
	if err != nil {
		return v1.Explanation{}, &v1.FieldError{Field: "id", Problem: "is not <home domain>.<UUIDv7>", Remedy: "use an ID that an entry issued"}
	}
	status, err := o.shardOwner.router.Get(ctx, "", id, 0)
	if err != nil {
		return v1.Explanation{}, err
	}
	explanation := v1.Explanation{Job: v1.NewJobStatus(status), Home: parts.Home, Shard: coordination.DomainShard(parts.Home, 0)}
	if owner, ok := o.members.Snapshot().Owner(explanation.Shard); ok {
		explanation.Owner = owner.Entry
	}
	explanation.Why = describeState(status)
	return explanation, nil
}

func describeState(status coordination.JobStatus) string {
	switch {
	case status.Refusal != nil:
		return status.Refusal.Error()
	case status.Waiting != "":
		return status.Waiting
	}
	return fmt.Sprintf("the job is %s", status.State)
}
