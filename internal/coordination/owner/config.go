package owner

import (
	"time"

	"github.com/hashicorp/go-hclog"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/evacuation"
	"github.com/samphirerail/samphirerail/internal/state/machine"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// Upstream describes a VM on which the owner may run work.
type Upstream struct {
	VM          state.VMID
	Address     string
	Incarnation string
	Rack        string
	Service     state.Service
	Capacity    state.Vector
	// Leaving says that the VM accepts no new work.
	Leaving bool
	// Gone says that the platform has removed the VM, so no task runs on it.
	Gone bool
}

// Inventory is a snapshot of the upstreams and quotas that the owner may use.
type Inventory struct {
	// Known is false until the upstreams have been loaded.
	Known bool
	// ConfigVersion is the version of the configuration it was derived from.
	ConfigVersion int64
	// Upstreams are those assigned to the shard, sorted by VM.
	Upstreams []Upstream
	// Quotas are the teams' allotments in the domain, sorted by team.
	Quotas []machine.Quota
	// Evacuated are the evacuated failure domains.
	Evacuated evacuation.Set
}

// Source provides the inventory of a shard. It must be safe for concurrent use.
type Source interface {
	// Version returns a number that changes whenever Load may return a new inventory.
	Version() uint64
	// Load returns the current inventory.
	Load() Inventory
}

// Dialer returns the client of the worker at an address. The client limits its own
// connections.
type Dialer func(address string) devplatform.Worker

// Timing holds the timeouts and intervals of calls to workers.
type Timing struct {
	// Lease is how long a worker keeps running tasks without contact to its owner.
	Lease time.Duration
	// SyncWait is how long a worker may delay its answer to a Sync when it has
	// nothing to report.
	SyncWait time.Duration
	// Call is the timeout of a call that the worker answers immediately.
	Call time.Duration
	// MaxRequest is the timeout of a request without a deadline.
	MaxRequest time.Duration
	// Tick is the interval of the machine's Tick event.
	Tick time.Duration
	// ClockMargin is the assumed difference between the wall clocks of two
	// VMs, for the age of job IDs.
	ClockMargin time.Duration
}

// DefaultTiming returns the timing used unless the settings override it.
func DefaultTiming() Timing {
	return Timing{
		Lease:       15 * time.Second,
		SyncWait:    5 * time.Second,
		Call:        2 * time.Second,
		MaxRequest:  60 * time.Second,
		Tick:        100 * time.Millisecond,
		ClockMargin: 2 * time.Second,
	}
}

// Config configures a Shard.
type Config struct {
	Shard   coordination.ShardID
	Epoch   devplatform.Epoch
	Machine machine.Config
	Timing  Timing
	Source  Source
	Dial    Dialer
	// Log stores the accepted jobs; when nil they are kept in memory only.
	Log devplatform.Log
	// MayFence reports whether the entry's view of the other entries is recent
	// enough to act on; nil means always.
	MayFence func() bool
	// OnFenced is called when a worker has accepted a newer epoch; nil is allowed.
	OnFenced func(*devplatform.FencedError)
	// OnReady is called once, on a goroutine of its own, when the shard starts to
	// accept work; nil is allowed.
	OnReady func()
	// OnReleasedJobs receives the jobs to submit to the next owner when the shard
	// resigns: those still waiting that no caller waits for or that the next owner
	// may run from the journal. None of their tasks ran. Nil is allowed.
	OnReleasedJobs func([]coordination.Submission)
	Logger         hclog.Logger
	// Registry receives the shard's metrics; when nil they are not exported.
	Registry metrics.Registry
}
