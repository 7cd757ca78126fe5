package config

import (
	"github.com/samphirerail/samphirerail/internal/state"
)

// Versions with a meaning of their own.
const (
	// NoVersion is the version of an object that does not exist, and of a
	// fold that has folded nothing.
	NoVersion int64 = -1
	// AnyVersion as the base of a record skips the check of the version.
	AnyVersion int64 = -2
)

// OnCut says what a domain does for a team while the platform and all other
// domains are out of reach.
type OnCut string

// The choices of OnCut.
const (
	// CutServe goes on within the allotment and with the keys known.
	CutServe OnCut = "serve"
	// CutHold refuses the team's new work.
	CutHold OnCut = "hold"
)

// Contract is what a team was promised.
type Contract struct {
	Team state.TeamID `json:"team"`
	// Services and Classes are those that the team may submit.
	Services []state.Service `json:"services"`
	Classes  []state.Class   `json:"classes"`
	// SubmitRate is in jobs a second.
	SubmitRate float64 `json:"submit_rate"`
	// SubmitBurst is in jobs.
	SubmitBurst int `json:"submit_burst"`
	// MaxQueued is the most jobs that may wait in one domain.
	MaxQueued int `json:"max_queued"`
	// Limit is the most that the team may have running in all domains
	// together.
	Limit state.Vector `json:"limit"`
	// Weight is the team's share when all is full, 1 or more.
	Weight int   `json:"weight"`
	OnCut  OnCut `json:"on_cut"`
	// Version is the offset of the record that set the contract.
	Version int64 `json:"version"`
}

// Role tells what the holder of a key may do.
type Role string

// The roles of a key.
const (
	// RoleCaller submits, reads and cancels jobs of its team.
	RoleCaller Role = "caller"
	// RoleOperator changes the configuration.
	RoleOperator Role = "operator"
)

// SecretHash is the SHA-256 of a key's secret. The secret itself is not kept.
type SecretHash []byte

// Key lets its holder act for a team.
type Key struct {
	ID string `json:"id"`
	// Team is empty for an operator's key.
	Team   state.TeamID `json:"team,omitempty"`
	Role   Role         `json:"role"`
	Secret SecretHash   `json:"secret,omitempty"`
	// Withdrawn keys stay known, so that their ID is never granted again.
	Withdrawn bool `json:"withdrawn,omitempty"`
	// Version is the offset of the last record that changed the key.
	Version int64 `json:"version"`
}

// Queue is a place that jobs are submitted to.
type Queue struct {
	ID state.QueueID `json:"id"`
	// Team is whose contract pays for the work.
	Team state.TeamID `json:"team"`
	// Open queues take work without a key.
	Open bool `json:"open"`
	// DefaultClass is the class of a job that names none.
	DefaultClass state.Class `json:"default_class"`
	// Version is the offset of the record that set the queue.
	Version int64 `json:"version"`
}

// Domain is a failure domain.
type Domain struct {
	ID     state.DomainID `json:"id"`
	Region string         `json:"region"`
	// Weight is the domain's part of each team's limit, 1 or more.
	Weight int64 `json:"weight"`
}

// Entry is a registered entry process.
type Entry struct {
	ID     state.EntryID  `json:"id"`
	Domain state.DomainID `json:"domain"`
	// Registered is the offset of the registration.
	Registered int64 `json:"registered"`
	// Confirmed is the newest version that the entry is known to have folded.
	Confirmed int64 `json:"confirmed"`
}

// Upstream is a VM that runs work.
type Upstream struct {
	ID       state.VMID    `json:"id"`
	Rack     string        `json:"rack"`
	Service  state.Service `json:"service"`
	Capacity state.Vector  `json:"capacity"`
	// Draining upstreams take no new work.
	Draining bool `json:"draining,omitempty"`
}

// Claim says which entry means to own a shard. It keeps entries from
// contending; safety rests on the workers' epochs.
type Claim struct {
	Shard state.ShardID `json:"shard"`
	// Number is the number of the owner's epoch.
	Number uint64        `json:"number"`
	Owner  state.EntryID `json:"owner"`
	// Version is the offset of the claim.
	Version int64 `json:"version"`
}
