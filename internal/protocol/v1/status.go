package v1

import (
	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
)

// Status is the reply to GET /v1/status: what the answering entry knows.
type Status struct {
	Entry  coordination.EntryID `json:"entry"`
	Domain state.DomainID       `json:"domain"`
	// Version is the version of the configuration that the entry has folded.
	Version int64 `json:"version"`
	// Ready says that the entry takes work.
	Ready bool `json:"ready"`
	// NotReady says why it does not.
	NotReady string        `json:"not_ready,omitempty"`
	Entries  []EntryStatus `json:"entries"`
	Shards   []ShardStatus `json:"shards"`
	Teams    []TeamStatus  `json:"teams"`
	Keys     []KeyStatus   `json:"keys"`
	Queues   []QueueStatus `json:"queues"`
	Domains  DomainList    `json:"domains"`
}

// EntryStatus is what is known of an entry.
type EntryStatus struct {
	ID      coordination.EntryID `json:"id"`
	Domain  state.DomainID       `json:"domain"`
	Address string               `json:"address"`
	Alive   bool                 `json:"alive"`
	Leaving bool                 `json:"leaving"`
	Version int64                `json:"version"`
}

// ShardStatus is what is known of a shard.
type ShardStatus struct {
	Shard coordination.ShardID `json:"shard"`
	Owner coordination.EntryID `json:"owner"`
	Epoch uint64               `json:"epoch"`
	Ready bool                 `json:"ready"`
	// Queued and Running are in jobs and tasks.
	Queued  int `json:"queued"`
	Running int `json:"running"`
	// Fenced of Upstreams may be placed on.
	Upstreams int `json:"upstreams"`
	Fenced    int `json:"fenced"`
}

// TeamStatus is a team's use of the answering entry's own shard, when it owns
// one.
type TeamStatus struct {
	Team      state.TeamID `json:"team"`
	Allotment Limit        `json:"allotment"`
	Used      Limit        `json:"used"`
	Queued    int          `json:"queued"`
}

// KeyStatus is a key without its secret.
type KeyStatus struct {
	ID      string       `json:"id"`
	Team    state.TeamID `json:"team,omitempty"`
	Role    Role         `json:"role"`
	Version int64        `json:"version"`
}

// QueueStatus is a queue with the version to base a change on.
type QueueStatus struct {
	Queue
	Version int64 `json:"version"`
}

// DomainList is the list of failure domains with the version to base a change
// on.
type DomainList struct {
	Domains []Domain `json:"domains"`
	Version int64    `json:"version"`
}

// VersionStatus is the reply to GET /v1/versions/{version}.
type VersionStatus struct {
	Version int64 `json:"version"`
	// InForce says that every registered entry of every domain uses it.
	InForce bool            `json:"in_force"`
	Domains []DomainVersion `json:"domains"`
}

// DomainVersion tells whether a version is in force in a domain.
type DomainVersion struct {
	Domain  state.DomainID `json:"domain"`
	InForce bool           `json:"in_force"`
	// Missing are the registered entries that are not known to have folded
	// the version.
	Missing []coordination.EntryID `json:"missing,omitempty"`
}

// Explanation is the reply to GET /v1/jobs/{id}/explain.
type Explanation struct {
	Job JobStatus `json:"job"`
	// Home is the domain where the job is deduplicated.
	Home state.DomainID `json:"home"`
	// Shard and Owner decide about the job.
	Shard coordination.ShardID `json:"shard,omitempty"`
	Owner coordination.EntryID `json:"owner,omitempty"`
	// Why says in words why the job waits or ended.
	Why string `json:"why"`
}
