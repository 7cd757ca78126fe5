package v1

import (
	"fmt"
	"math"

	"github.com/samphirerail/samphirerail/internal/state"
)

// The limits of a contract.
const (
	// MaxSubmitRate is in jobs a second.
	MaxSubmitRate = 1_000_000
	// MaxBurst is in jobs.
	MaxBurst = 1_000_000
	// MaxQueuedJobs is the most jobs of a team that may wait in a domain.
	MaxQueuedJobs = 1_000_000
	// MaxWeight is the largest share weight.
	MaxWeight = 1_000_000
	// MaxLimit is the largest part of a team's upper limit.
	MaxLimit = math.MaxInt64 / MaxWeight
)

// OnCut says what a failure domain that is cut off from the platform and from
// all other domains does with a team's new work.
type OnCut string

// The choices of OnCut. CutServe goes on within the team's allotment there;
// CutHold refuses the work.
const (
	CutServe OnCut = "serve"
	CutHold  OnCut = "hold"
)

// Limit is the most that a team may have running in all domains together.
type Limit struct {
	CPUMilli     int64 `json:"cpu_milli"`
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators"`
	// Slots is the number of tasks.
	Slots int64 `json:"slots"`
}

// NewLimit converts an amount of the state layer.
func NewLimit(v state.Vector) Limit { return Limit(v) }

// Vector converts a limit to an amount of the state layer.
func (l Limit) Vector() state.Vector { return state.Vector(l) }

func (l Limit) validate() error {
	return first(
		checkRange("limit.cpu_milli", l.CPUMilli, 0, MaxLimit),
		checkRange("limit.memory_mb", l.MemoryMB, 0, MaxLimit),
		checkRange("limit.accelerators", l.Accelerators, 0, MaxLimit),
		checkRange("limit.slots", l.Slots, 0, MaxLimit),
	)
}

// Contract is what a team was promised.
type Contract struct {
	// Team may be left out where the path names it.
	Team     state.TeamID    `json:"team,omitempty"`
	Services []state.Service `json:"services"`
	Classes  []state.Class   `json:"classes"`
	// SubmitRate is in jobs a second in each failure domain.
	SubmitRate float64 `json:"submit_rate"`
	// SubmitBurst is in jobs.
	SubmitBurst int `json:"submit_burst"`
	// MaxQueued is the most jobs that may wait in one domain.
	MaxQueued int   `json:"max_queued"`
	Limit     Limit `json:"limit"`
	// Weight is the team's share when all is full, 1 or more.
	Weight int `json:"weight"`
	// OnCut is CutServe when it is empty.
	OnCut OnCut `json:"on_cut,omitempty"`
}

// Validate checks each field on its own. It fails with a *FieldError.
func (c *Contract) Validate() error {
	return first(
		CheckTeam(c.Team),
		c.checkServices(),
		c.checkClasses(),
		c.checkRate(),
		checkRange("submit_burst", int64(c.SubmitBurst), 1, MaxBurst),
		checkRange("max_queued", int64(c.MaxQueued), 0, MaxQueuedJobs),
		c.Limit.validate(),
		checkRange("weight", int64(c.Weight), 1, MaxWeight),
		c.checkOnCut(),
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

func (c *Contract) checkOnCut() error {
	switch c.OnCut {
	case "", CutServe, CutHold:
		return nil
	}
	return &FieldError{Field: "on_cut", Problem: "is neither serve nor hold", Remedy: "use serve or hold"}
}

// VersionedContract is a contract with the version to base a change on.
type VersionedContract struct {
	Contract
	Version int64 `json:"version"`
}

// ContractList is the reply to GET /v1/contracts.
type ContractList struct {
	Contracts []VersionedContract `json:"contracts"`
}

// PutContract is the body of PUT /v1/contracts/{team}.
type PutContract struct {
	Write
	Contract
}

// Validate checks the message. It fails with a *FieldError.
func (p *PutContract) Validate() error {
	return first(p.RequireBase(), p.Contract.Validate())
}
