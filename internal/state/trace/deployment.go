package trace

import (
	"fmt"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

// Deployment is the name of a predefined cell.
type Deployment string

// The predefined deployments.
const (
	Coop   Deployment = "coop"
	Oyster Deployment = "oyster"
)

// Valid reports whether d is a known deployment.
func (d Deployment) Valid() bool { return d == Coop || d == Oyster }

// slotsPerUpstream is the number of tasks that an upstream can run at once.
const slotsPerUpstream = 8

// racksPerDomain is the number of racks over which the upstreams of a domain are
// spread.
const racksPerDomain = 4

// fleet is the set of upstreams of one service. All have the same capacity.
type fleet struct {
	service  state.Service
	count    int
	capacity state.Vector
}

// plan describes a deployment.
type plan struct {
	domains []state.DomainID
	fleets  []fleet
	teams   []teamPlan
}

// teamPlan describes a team. submitWeight is its share of all submissions, relative to
// the other teams; limitPercent is the part of the capacity of a domain that it may use, in
// percent.
type teamPlan struct {
	id           state.TeamID
	weight       int
	submitWeight int
	limitPercent int64
}

func planOf(d Deployment) (plan, error) {
	switch d {
	case Coop:
		return plan{
			domains: []state.DomainID{"brest", "lorient", "quimper"},
			fleets: []fleet{
				{service: "fitting", count: 35, capacity: capacity(32, 64, 0)},
				{service: "design", count: 13, capacity: capacity(32, 128, 8)},
			},
			teams: []teamPlan{
				{"bagad", 8, 30, 70},
				{"cercle", 5, 30, 60},
				{"fanfare", 3, 18, 50},
				{"harmonie", 2, 12, 40},
				{"parade", 1, 6, 25},
				{"tailleurs", 1, 4, 25},
			},
		}, nil
	case Oyster:
		return plan{
			domains: []state.DomainID{"gaiman", "madryn", "rawson", "trelew"},
			fleets: []fleet{
				{service: "lease", count: 35, capacity: capacity(32, 64, 0)},
				{service: "sanitation", count: 13, capacity: capacity(64, 128, 8)},
			},
			teams: []teamPlan{
				{"growers", 6, 34, 60},
				{"inspectors", 6, 26, 60},
				{"laboratory", 4, 18, 50},
				{"permits", 2, 12, 40},
				{"tides", 1, 6, 30},
				{"wardens", 1, 4, 30},
			},
		}, nil
	}
	return plan{}, fmt.Errorf("trace: unknown deployment %q; use %q or %q", d, Coop, Oyster)
}

func capacity(cores, gigabytes, accelerators int64) state.Vector {
	return state.Vector{CPUMilli: cores * 1000, MemoryMB: gigabytes * 1024, Accelerators: accelerators, Slots: slotsPerUpstream}
}

// domainCapacity returns the capacity of the smallest domain.
func (p *plan) domainCapacity() state.Vector {
	var total state.Vector
	for _, f := range p.fleets {
		total = total.Add(f.capacity.Scale(int64(f.count / len(p.domains))))
	}
	return total
}

// slots returns the number of slots of the whole cell.
func (p *plan) slots() int {
	slots := 0
	for _, f := range p.fleets {
		slots += f.count * slotsPerUpstream
	}
	return slots
}

// Options configures Generate.
type Options struct {
	Deployment Deployment
	Seed       uint64
	// Submissions is the number of jobs, without those of the burst.
	Submissions int
	// Load is the average demand for slots, in percent of all slots.
	Load int
	// Burst is the number of batch jobs that one team submits all at once and later
	// cancels all at once; 0 means none.
	Burst int
}

// DefaultOptions returns the default options for a deployment and seed.
func DefaultOptions(d Deployment, seed uint64) Options {
	return Options{Deployment: d, Seed: seed, Submissions: 20_000, Load: 110}
}

// Mean run times of the generated tasks by class. A standing task runs until it is
// cancelled, on average after standingRunTime.
const (
	requestRunTime  = 40 * time.Millisecond
	batchRunTime    = 15 * time.Second
	gangRunTime     = 12 * time.Second
	standingRunTime = 90 * time.Second
)
