package config

import (
	"github.com/samphirerail/samphirerail/internal/state"
)

// Special versions.
const (
	// NoVersion is the version of an object that does not exist, and of a Fold
	// to which no record was applied.
	NoVersion int64 = -1
	// AnyVersion, as the base of a record, disables the version check.
	AnyVersion int64 = -2
)

// PartitionPolicy is a domain's policy for a team while the platform and all other
// domains are unreachable.
type PartitionPolicy string

// The values of PartitionPolicy.
const (
	// PartitionServe keeps accepting work within the allotment and with the keys
	// already known.
	PartitionServe PartitionPolicy = "serve"
	// PartitionHold refuses new work of the team.
	PartitionHold PartitionPolicy = "hold"
)

// Contract defines what a team may submit and run.
type Contract struct {
	Team state.TeamID `json:"team"`
	// Services and Classes are those for which the team may submit jobs.
	Services []state.Service `json:"services"`
	Classes  []state.Class   `json:"classes"`
	// SubmitRate is the sustained submit rate, in jobs per second.
	SubmitRate float64 `json:"submit_rate"`
	// SubmitBurst is the maximum burst above SubmitRate, in jobs.
	SubmitBurst int `json:"submit_burst"`
	// MaxQueued is the maximum number of jobs queued in one domain.
	MaxQueued int `json:"max_queued"`
	// Limit is the maximum amount that the team may have running in all
	// domains together.
	Limit state.Vector `json:"limit"`
	// Weight is the team's relative share when capacity is scarce, 1 or more.
	Weight          int             `json:"weight"`
	PartitionPolicy PartitionPolicy `json:"on_cut"`
	// Version is the offset of the record that set the contract.
	Version int64 `json:"version"`
}

// Role defines what the holder of a key may do.
type Role string

// The roles of a key.
const (
	// RoleCaller may submit, read and cancel jobs of its team.
	RoleCaller Role = "caller"
	// RoleOperator may change the configuration.
	RoleOperator Role = "operator"
)

// SecretHash is the SHA-256 of a key's secret. The secret itself is not stored.
type SecretHash []byte

// Key is an API key, which authenticates a caller of a team or an operator.
type Key struct {
	ID string `json:"id"`
	// Team is empty for an operator's key.
	Team   state.TeamID `json:"team,omitempty"`
	Role   Role         `json:"role"`
	Secret SecretHash   `json:"secret,omitempty"`
	// Withdrawn marks a revoked key. It stays stored, so that its ID is never
	// granted again.
	Withdrawn bool `json:"withdrawn,omitempty"`
	// Version is the offset of the last record that changed the key.
	Version int64 `json:"version"`
}

// Queue is a queue to which jobs are submitted.
type Queue struct {
	ID state.QueueID `json:"id"`
	// Team is the team whose contract the jobs are charged to.
	Team state.TeamID `json:"team"`
	// Open allows jobs to be submitted without a key.
	Open bool `json:"open"`
	// DefaultClass is the class of a job that does not specify one.
	DefaultClass state.Class `json:"default_class"`
	// Version is the offset of the record that set the queue.
	Version int64 `json:"version"`
}

// Domain is a failure domain.
type Domain struct {
	ID     state.DomainID `json:"id"`
	Region string         `json:"region"`
	// Weight is the domain's relative share of each team's limit, 1 or more.
	Weight int64 `json:"weight"`
}

// Entry is a registered entry process.
type Entry struct {
	ID     state.EntryID  `json:"id"`
	Domain state.DomainID `json:"domain"`
	// Registered is the offset of the registration.
	Registered int64 `json:"registered"`
	// Confirmed is the newest version that the entry has confirmed.
	Confirmed int64 `json:"confirmed"`
}

// Upstream is a VM that runs tasks.
type Upstream struct {
	ID       state.VMID    `json:"id"`
	Rack     string        `json:"rack"`
	Service  state.Service `json:"service"`
	Capacity state.Vector  `json:"capacity"`
	// Draining excludes the upstream from the placement of new work.
	Draining bool `json:"draining,omitempty"`
}

// Claim states which entry intends to own a shard. Claims only keep entries from
// competing for a shard; exclusive ownership is ensured by the workers, which
// check epochs.
type Claim struct {
	Shard state.ShardID `json:"shard"`
	// Number is the number of the owner's epoch.
	Number uint64        `json:"number"`
	Owner  state.EntryID `json:"owner"`
	// Version is the offset of the record that made the claim.
	Version int64 `json:"version"`
}
