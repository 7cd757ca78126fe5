package limits

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/samphirerail/samphirerail/internal/coordination/membership"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/config"
)

// Writer writes configuration records.
type Writer interface {
	View() *config.View
	Write(ctx context.Context, record config.Record) (config.Result, int64, error)
}

// Rebalancer gives unused allotments of its domain to domains that ask for
// them, while this entry owns the domain's shard.
type Rebalancer struct {
	Domain state.DomainID
	Config Writer
	// Members returns the newest snapshot; the requests of other domains are
	// part of their owners' loads.
	Members func() *membership.Snapshot
	// Usage returns the teams of the owned shard by ID, and false while this
	// entry owns none.
	Usage    func() ([]Usage, bool)
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

// requests returns what the owners of other domains ask for.
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
