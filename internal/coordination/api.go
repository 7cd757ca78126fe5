// Package coordination holds what the entries agree on: configuration,
// membership, ownership of shards, routing and retries. This root package
// states the types and interfaces between its subpackages and the transport
// layer; it has no logic.
package coordination

import (
	"context"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// EntryID names one run of an entry process: "<VM ID>/<incarnation>".
type EntryID = state.EntryID

// ShardID names a shard of a failure domain's upstreams: "<domain>/<number>".
type ShardID = state.ShardID

// Submission is a job on its way from its caller to the owner of a shard.
// Durations are relative, so that hops need no common clock.
type Submission struct {
	ID    state.JobID
	Team  state.TeamID
	Queue state.QueueID
	Class state.Class
	// Service names the upstreams that may run the job.
	Service state.Service
	Tasks   int
	Each    state.Vector
	RunTime time.Duration
	// DeadlineIn is the time left until the answer is worth nothing; 0 when
	// there is no deadline.
	DeadlineIn  time.Duration
	Urgent      bool
	Idempotent  bool
	Preemptible bool
	Payload     []byte
	// Wait is how long the caller waits for the end of the job.
	Wait time.Duration
	// RetriesLeft is the rest of the retry budget of the whole path.
	RetriesLeft int
	// Hops counts forwards between domains.
	Hops int
	// Fresh says that no owner has seen the ID before this call.
	Fresh bool
}

// TaskPlace tells where a task of a job is.
type TaskPlace struct {
	Task  state.TaskID
	VM    state.VMID
	State devplatform.TaskState
}

// JobStatus is what a caller is told of its job.
type JobStatus struct {
	ID    state.JobID
	Team  state.TeamID
	Class state.Class
	State state.JobState
	// Outputs are the whole results, by task index, once the job succeeded.
	Outputs [][]byte
	Tasks   []TaskPlace
	// Refusal is set when State is refused, unknown, failed or cancelled.
	Refusal *state.Refusal
	// Durable says that the job survives the loss of every entry.
	Durable bool
	// Waiting explains why a queued job waits.
	Waiting string
}

// JobService is what the callers' interface needs. Every error is a
// *state.Refusal.
type JobService interface {
	// Submit returns when the job has ended, when s.Wait is over, or, for a
	// class other than request with no wait, once the job is accepted.
	Submit(ctx context.Context, s Submission) (JobStatus, error)
	// Get returns the status of a job of the team, after waiting for its end
	// for at most wait.
	Get(ctx context.Context, team state.TeamID, id state.JobID, wait time.Duration) (JobStatus, error)
	// Cancel ends a job of the team. It returns once the outcome is known.
	Cancel(ctx context.Context, team state.TeamID, id state.JobID) (JobStatus, error)
	// IssueIDs returns n fresh IDs whose home is this entry's domain.
	IssueIDs(n int) []state.JobID
}

// ShardLoad is what an owner tells of its shard.
type ShardLoad struct {
	Shard     ShardID
	Epoch     devplatform.Epoch
	Ready     bool
	Queued    int
	Running   int
	Upstreams int
	Fenced    int
	// Short are teams, a few at most, whose work waits for a larger
	// allotment in the domain.
	Short []state.TeamID
}

// Heartbeat is what an entry tells each peer at an interval. It stays small:
// it is the bulk of control traffic.
type Heartbeat struct {
	From    EntryID
	Domain  state.DomainID
	Address string
	// Sequence rises with each heartbeat of one EntryID.
	Sequence uint64
	// ConfigVersion is the offset up to which the sender has folded.
	ConfigVersion int64
	// Leaving says that the sender is stopping and takes no new duty.
	Leaving bool
	Owned   []ShardLoad
	// Peers are the addresses of entries that the sender knows.
	Peers []string
	// Facts are what the sender has heard of other entries lately.
	Facts []Fact
}

// Fact is the newest heartbeat of an entry as another entry passes it on.
type Fact struct {
	From          EntryID
	Domain        state.DomainID
	Address       string
	Sequence      uint64
	ConfigVersion int64
	Leaving       bool
	Owned         []ShardLoad
	// Age is the time since the entry was heard of first-hand.
	Age time.Duration
}

// Peers carries calls between entries. The transport layer implements it; a
// test implements it in memory. An error that is not a *state.Refusal means
// that the outcome of the call is unknown, unless errors.Is(err, ErrNotSent).
type Peers interface {
	Heartbeat(ctx context.Context, address string, hb Heartbeat) (Heartbeat, error)
	Submit(ctx context.Context, address string, shard ShardID, s Submission) (JobStatus, error)
	Get(ctx context.Context, address string, team state.TeamID, id state.JobID, wait time.Duration) (JobStatus, error)
	Cancel(ctx context.Context, address string, team state.TeamID, id state.JobID) (JobStatus, error)
	// ConfigSince returns the encoded records from an offset on, or a
	// snapshot when the peer keeps them no longer.
	ConfigSince(ctx context.Context, address string, from int64) (ConfigUpdate, error)
}

// ConfigUpdate is configuration handed from one entry to another.
type ConfigUpdate struct {
	// Snapshot, when not nil, replaces the state up to SnapshotVersion.
	Snapshot        []byte
	SnapshotVersion int64
	Records         []devplatform.StoredRecord
}

// PeerServer is the receiving side of Peers, without the address.
type PeerServer interface {
	HandleHeartbeat(ctx context.Context, hb Heartbeat) (Heartbeat, error)
	HandleSubmit(ctx context.Context, shard ShardID, s Submission) (JobStatus, error)
	HandleGet(ctx context.Context, team state.TeamID, id state.JobID, wait time.Duration) (JobStatus, error)
	HandleCancel(ctx context.Context, team state.TeamID, id state.JobID) (JobStatus, error)
	HandleConfigSince(ctx context.Context, from int64) (ConfigUpdate, error)
}
