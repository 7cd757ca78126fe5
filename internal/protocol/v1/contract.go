package v1

import (
	"fmt"
	"math"

	"github.com/samphirerail/samphirerail/internal/state"
)

// Limits of the fields of a contract.
const (
	// MaxSubmitRate is the maximum submit rate, in jobs per second.
	MaxSubmitRate = 1_000_000
	// MaxBurst is the maximum submit burst, in jobs.
	MaxBurst = 1_000_000
	// MaxQueuedJobs is the maximum number of jobs of a team that may be queued in a
	// domain.
	MaxQueuedJobs = 1_000_000
	// MaxWeight is the maximum weight of a team or a domain.
	MaxWeight = 1_000_000
	// MaxLimit is the maximum of each resource of a team's limit. Its product with
	// MaxWeight does not overflow an int64.
	MaxLimit = math.MaxInt64 / MaxWeight
)

// PartitionPolicy selects what a failure domain does with a team's new jobs while a
// network partition separates it from the platform and from all other domains.
type PartitionPolicy string

// Values of PartitionPolicy. PartitionServe keeps accepting jobs within the team's
// allotment in the domain; PartitionHold refuses them.
const (
	PartitionServe PartitionPolicy = "serve"
	PartitionHold  PartitionPolicy = "hold"
)

// Limit is the maximum amount of resources that a team may use in all domains
// together.
type Limit struct {
	CPUMilli     int64 `json:"cpu_milli"`
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators"`
	// Slots is the number of running tasks.
	Slots int64 `json:"slots"`
}

// NewLimit converts a resource vector of the state layer to a limit.
func NewLimit(v state.Vector) Limit { return Limit(v) }

// Vector converts a limit to a resource vector of the state layer.
func (l Limit) Vector() state.Vector { return state.Vector(l) }

func (l Limit) validate() error {
	return firstError(
		checkRange("limit.cpu_milli", l.CPUMilli, 0, MaxLimit),
		checkRange("limit.memory_mb", l.MemoryMB, 0, MaxLimit),
		checkRange("limit.accelerators", l.Accelerators, 0, MaxLimit),
		checkRange("limit.slots", l.Slots, 0, MaxLimit),
	)
}

// Contract is the agreement with a team on what it may submit and use.
type Contract struct {
	// Team may be omitted if the URL path contains it.
	Team     state.TeamID    `json:"team,omitempty"`
	Services []state.Service `json:"services"`
	Classes  []state.Class   `json:"classes"`
	// SubmitRate is in jobs per second in each failure domain.
	SubmitRate float64 `json:"submit_rate"`
	// SubmitBurst is in jobs.
	SubmitBurst int `json:"submit_burst"`
	// MaxQueued is the maximum number of jobs that may be queued in one domain.
	MaxQueued int   `json:"max_queued"`
	Limit     Limit `json:"limit"`
	// Weight is the team's relative share when the capacity is used up, 1 or more.
	Weight int `json:"weight"`
	// PartitionPolicy is the behavior under a network partition; empty means
	// PartitionServe.
	PartitionPolicy PartitionPolicy `json:"on_cut,omitempty"`
}

// Validate checks each field independently. It fails with a *FieldError.
func (c *Contract) Validate() error {
	return firstError(
		CheckTeam(c.Team),
		c.checkServices(),
		c.checkClasses(),
		c.checkRate(),
		checkRange("submit_burst", int64(c.SubmitBurst), 1, MaxBurst),
		checkRange("max_queued", int64(c.MaxQueued), 0, MaxQueuedJobs),
		c.Limit.validate(),
		checkRange("weight", int64(c.Weight), 1, MaxWeight),
		c.checkPartitionPolicy(),
	)
}

func (c *Contract) checkServices() error {
	if len(c.Services) == 0 {
		return &FieldError{Field: "services", Problem: "is empty", Remedy: "name at least one service"}
	}
	for i, service := range c.Services {
		if err := checkName(fmt.Sprintf("services[%d]", i), string(service)); err != nil {
			return err
		}
	}
	return nil
}

func (c *Contract) checkClasses() error {
	if len(c.Classes) == 0 {
		return &FieldError{Field: "classes", Problem: "is empty", Remedy: "name at least one class"}
	}
	for i, class := range c.Classes {
		if err := checkClass(fmt.Sprintf("classes[%d]", i), class); err != nil {
			return err
		}
	}
	return nil
}

func (c *Contract) checkRate() error {
	if c.SubmitRate > 0 && c.SubmitRate <= MaxSubmitRate {
		return nil
	}
	return &FieldError{Field: "submit_rate", Problem: fmt.Sprintf("is %g, not above 0 and at most %d", c.SubmitRate, MaxSubmitRate), Remedy: "send jobs a second"}
}

func (c *Contract) checkPartitionPolicy() error {
	switch c.PartitionPolicy {
	case "", PartitionServe, PartitionHold:
		return nil
	}
	return &FieldError{Field: "on_cut", Problem: "is neither serve nor hold", Remedy: "use serve or hold"}
}

// VersionedContract is a contract with the version to use as the base of a write.
type VersionedContract struct {
	Contract
	Version int64 `json:"version"`
}

// ContractList is the response to GET /v1/contracts.
type ContractList struct {
	Contracts []VersionedContract `json:"contracts"`
}

// PutContract is the request body of PUT /v1/contracts/{team}.
type PutContract struct {
	Write
	Contract
}

// Validate checks the message. It fails with a *FieldError.
func (p *PutContract) Validate() error {
	return firstError(p.RequireBase(), p.Contract.Validate())
}
