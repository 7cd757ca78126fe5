package v1

import (
	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
)

// Status is the response to GET /v1/status: the view of the entry that responds.
type Status struct {
	Entry  coordination.EntryID `json:"entry"`
	Domain state.DomainID       `json:"domain"`
	// Version is the configuration version up to which the entry has folded the log.
	Version int64 `json:"version"`
	// Ready reports whether the entry accepts work.
	Ready bool `json:"ready"`
	// NotReady is the reason why the entry is not ready.
	NotReady string        `json:"not_ready,omitempty"`
	Entries  []EntryStatus `json:"entries"`
	Shards   []ShardStatus `json:"shards"`
	Teams    []TeamStatus  `json:"teams"`
	Keys     []KeyStatus   `json:"keys"`
	Queues   []QueueStatus `json:"queues"`
	Domains  DomainList    `json:"domains"`
}

// EntryStatus describes an entry as seen by the entry that responds.
type EntryStatus struct {
	ID      coordination.EntryID `json:"id"`
	Domain  state.DomainID       `json:"domain"`
	Address string               `json:"address"`
	Alive   bool                 `json:"alive"`
	Leaving bool                 `json:"leaving"`
	Version int64                `json:"version"`
}

// ShardStatus describes a shard.
type ShardStatus struct {
	Shard coordination.ShardID `json:"shard"`
	Owner coordination.EntryID `json:"owner"`
	Epoch uint64               `json:"epoch"`
	Ready bool                 `json:"ready"`
	// Queued is in jobs, Running in tasks.
	Queued  int `json:"queued"`
	Running int `json:"running"`
	// Upstreams is the number of upstreams of the shard; Fenced is the number of
	// those on which the owner may place tasks.
	Upstreams int `json:"upstreams"`
	Fenced    int `json:"fenced"`
}

// TeamStatus is a team's resource usage in the shard that the responding entry owns,
// if it owns one.
type TeamStatus struct {
	Team      state.TeamID `json:"team"`
	Allotment Limit        `json:"allotment"`
	Used      Limit        `json:"used"`
	Queued    int          `json:"queued"`
}

// KeyStatus describes a key without its secret.
type KeyStatus struct {
	ID      string       `json:"id"`
	Team    state.TeamID `json:"team,omitempty"`
	Role    Role         `json:"role"`
	Version int64        `json:"version"`
}

// QueueStatus is a queue with the version to use as the base of a write.
type QueueStatus struct {
	Queue
	Version int64 `json:"version"`
}

// DomainList is the list of failure domains with the version to use as the base of a
// write.
type DomainList struct {
	Domains []Domain `json:"domains"`
	Version int64    `json:"version"`
	// Evacuated are the domains in which no task starts.
	Evacuated []state.DomainID `json:"evacuated,omitempty"`
}

// VersionStatus is the response to GET /v1/versions/{version}.
type VersionStatus struct {
	Version int64 `json:"version"`
	// InForce reports whether every registered entry of every domain uses the version.
	InForce bool            `json:"in_force"`
	Domains []DomainVersion `json:"domains"`
}

// DomainVersion reports whether a configuration version is in force in a domain.
type DomainVersion struct {
	Domain  state.DomainID `json:"domain"`
	InForce bool           `json:"in_force"`
	// Missing lists the registered entries that are not known to have folded the
	// version.
	Missing []coordination.EntryID `json:"missing,omitempty"`
}

// Explanation is the response to GET /v1/jobs/{id}/explain.
type Explanation struct {
	Job JobStatus `json:"job"`
	// Home is the domain where submissions of the job are deduplicated.
	Home state.DomainID `json:"home"`
	// Shard is the shard that schedules the job, Owner the entry that owns it.
	Shard coordination.ShardID `json:"shard,omitempty"`
	Owner coordination.EntryID `json:"owner,omitempty"`
	// Why describes in plain text why the job is waiting or has ended.
	Why string `json:"why"`
}
