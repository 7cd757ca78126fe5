// Package coordination implements the coordination between entries: configuration,
// membership, ownership of shards, routing and retries. This root package defines the
// types and interfaces shared by its subpackages and the transport layer; it has no
// logic.
package coordination

import (
	"context"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// EntryID identifies one incarnation of an entry process: "<VM ID>/<incarnation>".
type EntryID = state.EntryID

// ShardID identifies a shard of the upstreams of a failure domain:
// "<domain>/<number>".
type ShardID = state.ShardID

// Submission is a job as it is forwarded from its caller to the owner of a shard. Its
// durations are relative, so that hops need no synchronized clocks. Fields without a
// comment have the meaning of the same fields of state.Job.
type Submission struct {
	ID    state.JobID
	Team  state.TeamID
	Queue state.QueueID
	Class state.Class
	// Service selects the upstreams that may run the job.
	Service state.Service
	Tasks   int
	Each    state.Vector
	RunTime time.Duration
	// DeadlineIn is the time left until the result is of no more use to the
	// caller; 0 if there is no deadline.
	DeadlineIn  time.Duration
	Urgent      bool
	Idempotent  bool
	Preemptible bool
	Payload     []byte
	// Wait is how long the caller waits for the job to end.
	Wait time.Duration
	// RetriesLeft is the number of retries that this and all later hops may make.
	RetriesLeft int
	// Hops is how often the job has been forwarded between domains.
	Hops int
	// Fresh is set if no owner can have received the ID before this call.
	Fresh bool
}

// TaskPlace is the state of a task and the VM that runs it. The type name is part
// of the gob encoding of calls between entries.
type TaskPlace struct {
	Task  state.TaskID
	VM    state.VMID
	State devplatform.TaskState
}

// JobStatus is the status of a job as reported to its caller.
type JobStatus struct {
	ID    state.JobID
	Team  state.TeamID
	Class state.Class
	State state.JobState
	// Outputs are the complete results, by task index, once the job has succeeded.
	Outputs [][]byte
	Tasks   []TaskPlace
	// Refusal is set when State is refused, unknown, failed or cancelled.
	Refusal *state.Refusal
	// Durable is set if the job survives the loss of all entries.
	Durable bool
	// Waiting states why a queued job is waiting.
	Waiting string
}

// JobService is the service behind the API for callers. Every error is a
// *state.Refusal.
type JobService interface {
	// Submit returns when the job has ended or s.Wait has passed. For a class
	// other than request without a wait, it returns once the job is accepted.
	Submit(ctx context.Context, s Submission) (JobStatus, error)
	// Get returns the status of a job of the team. It waits at most wait for the
	// job to end.
	Get(ctx context.Context, team state.TeamID, id state.JobID, wait time.Duration) (JobStatus, error)
	// Cancel cancels a job of the team. It returns once the outcome is known.
	Cancel(ctx context.Context, team state.TeamID, id state.JobID) (JobStatus, error)
	// IssueIDs returns n new job IDs whose home is this entry's domain.
	IssueIDs(n int) []state.JobID
}

// ShardLoad is the load of a shard as reported by its owner. Queued is in jobs and
// Running in tasks; Fenced counts the upstreams on which the owner may place tasks.
type ShardLoad struct {
	Shard     ShardID
	Epoch     devplatform.Epoch
	Ready     bool
	Queued    int
	Running   int
	Upstreams int
	Fenced    int
	// Short lists teams whose work is waiting for a larger allotment in the
	// domain. It holds a few teams at most.
	Short []state.TeamID
}

// Heartbeat is sent by an entry to each of its peers at an interval. It must stay
// small, as heartbeats are the bulk of the control traffic.
type Heartbeat struct {
	From    EntryID
	Domain  state.DomainID
	Address string
	// Sequence increases with each heartbeat of an EntryID.
	Sequence uint64
	// ConfigVersion is the log offset up to which the sender has folded the
	// configuration.
	ConfigVersion int64
	// Leaving is set if the sender is shutting down and claims no more shards.
	Leaving bool
	Owned   []ShardLoad
	// Peers are the addresses of the entries known to the sender.
	Peers []string
	// Facts are recent heartbeats of other entries, relayed by the sender.
	Facts []Fact
}

// Fact is the latest heartbeat of an entry, as relayed by another entry.
type Fact struct {
	From          EntryID
	Domain        state.DomainID
	Address       string
	Sequence      uint64
	ConfigVersion int64
	Leaving       bool
	Owned         []ShardLoad
	// Age is the time since the heartbeat was received from the entry itself.
	Age time.Duration
}

// Peers makes calls to other entries. The transport layer implements it; tests use
// in-memory implementations. After an error that is neither a *state.Refusal nor
// ErrNotSent (by errors.Is), the outcome of the call is unknown.
type Peers interface {
	Heartbeat(ctx context.Context, address string, hb Heartbeat) (Heartbeat, error)
	Submit(ctx context.Context, address string, shard ShardID, s Submission) (JobStatus, error)
	Get(ctx context.Context, address string, team state.TeamID, id state.JobID, wait time.Duration) (JobStatus, error)
	Cancel(ctx context.Context, address string, team state.TeamID, id state.JobID) (JobStatus, error)
	// ConfigSince returns the configuration records from an offset on, or a
	// snapshot if the peer no longer keeps them.
	ConfigSince(ctx context.Context, address string, from int64) (ConfigUpdate, error)
}

// ConfigUpdate is a configuration update from one entry to another.
type ConfigUpdate struct {
	// Snapshot, if not nil, replaces the state up to SnapshotVersion.
	Snapshot        []byte
	SnapshotVersion int64
	// Records are consecutive records; after a Snapshot, those that follow it.
	Records []devplatform.StoredRecord
}

// PeerServer is the receiving side of Peers. Its methods are those of Peers without the
// address.
type PeerServer interface {
	HandleHeartbeat(ctx context.Context, hb Heartbeat) (Heartbeat, error)
	HandleSubmit(ctx context.Context, shard ShardID, s Submission) (JobStatus, error)
	HandleGet(ctx context.Context, team state.TeamID, id state.JobID, wait time.Duration) (JobStatus, error)
	HandleCancel(ctx context.Context, team state.TeamID, id state.JobID) (JobStatus, error)
	HandleConfigSince(ctx context.Context, from int64) (ConfigUpdate, error)
}
