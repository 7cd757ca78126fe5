package limits

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/samphirerail/samphirerail/internal/coordination/membership"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/config"
)

// Writer reads the configuration and writes records to it.
type Writer interface {
	View() *config.View
	Write(ctx context.Context, record config.Record) (config.Result, int64, error)
}

// Rebalancer moves unused allotments of its domain to domains that request them,
// while this entry owns the domain's shard.
type Rebalancer struct {
	Domain state.DomainID
	Config Writer
	// Members returns the newest membership snapshot. It includes the requests
	// of other domains, in the loads that their owners report.
	Members func() *membership.Snapshot
	// Usage returns the usage of the teams in the owned shard, sorted by team.
	// It returns false while this entry owns no shard.
	Usage func() ([]Usage, bool)
	// Interval is the time between two plans.
	Interval time.Duration
	Logger   hclog.Logger
}

// Run plans and writes moves until ctx ends.
func (r *Rebalancer) Run(ctx context.Context) {
	ticker := time.NewTicker(r.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if usage, owns := r.Usage(); owns {
			r.move(ctx, Plan(usage, r.requests()))
		}
	}
}

// requests returns the requests of the owners in other domains.
func (r *Rebalancer) requests() []Request {
	var requests []Request
	entries := r.Members().Entries
	for i := range entries {
		if entries[i].Domain == r.Domain || !entries[i].Live() {
			continue
		}
		for _, load := range entries[i].Owned {
			for _, team := range load.Short {
				requests = append(requests, Request{Domain: entries[i].Domain, Team: team})
			}
		}
	}
	return requests
}

func (r *Rebalancer) move(ctx context.Context, moves []Move) {
	for _, m := range moves {
		base := r.Config.View().AllotmentVersion(m.Team)
		body := config.MoveAllotment{Team: m.Team, From: r.Domain, To: m.To, Amount: m.Amount}
		result, version, err := r.Config.Write(ctx, config.Record{Base: base, Body: body})
		if err == nil {
			err = result.Err()
		}
		if err != nil {
			r.Logger.Debug("allotment not moved", "team", string(m.Team), "to", string(m.To), "error", err)
			continue
		}
		r.Logger.Info("allotment moved", "team", string(m.Team), "to", string(m.To), "amount", m.Amount.String(), "version", version)
	}
}
