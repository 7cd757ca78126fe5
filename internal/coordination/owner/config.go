package owner

import (
	"time"

	"github.com/hashicorp/go-hclog"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/machine"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// Upstream is what the owner needs to know of a VM to run work on it.
type Upstream struct {
	VM          state.VMID
	Address     string
	Incarnation string
	Rack        string
	Service     state.Service
	Capacity    state.Vector
	// Leaving VMs take no new work.
	Leaving bool
	// Gone says that the platform has dropped the VM: nothing runs there.
	Gone bool
}

// Inventory is what the owner may use, as of one moment.
type Inventory struct {
	// Known is false while the upstreams are not known.
	Known bool
	// ConfigVersion is the version of the configuration that it rests on.
	ConfigVersion int64
	// Upstreams are those in force in the shard, sorted by VM.
	Upstreams []Upstream
	// Quotas are the teams' allotments in the domain, sorted by team.
	Quotas []machine.Quota
}

// Source tells the owner what it may use.
type Source interface {
	// Version changes whenever Load may return something new.
	Version() uint64
	Load() Inventory
}

// Dialer returns the client of a worker. The client bounds its connections.
type Dialer func(address string) devplatform.Worker

// Timing bounds the calls to workers.
type Timing struct {
	// Lease is how long a worker goes on without hearing from its owner.
	Lease time.Duration
	// SyncWait is how long a worker may hold a Sync without news.
	SyncWait time.Duration
	// Call bounds a call that isn't held.
	Call time.Duration
	// MaxRequest bounds a request without a deadline.
	MaxRequest time.Duration
	// Tick is the interval of the machine's Tick event.
	Tick time.Duration
	// ClockMargin is the assumed difference between the wall clocks of two
	// VMs, for the age of job IDs.
	ClockMargin time.Duration
}

// DefaultTiming returns the timing used when the settings name none.
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

// Config is what a Shard is made of.
type Config struct {
	Shard   coordination.ShardID
	Epoch   devplatform.Epoch
	Machine machine.Config
	Timing  Timing
	Source  Source
	Dial    Dialer
	// Log keeps the accepted jobs; when nil they live in memory only.
	Log devplatform.Log
	// MayFence reports whether the entry's knowledge of the other entries may be
	// acted on; nil means always.
	MayFence func() bool
	// OnFenced is called when a worker obeys a newer owner.
	OnFenced func(*devplatform.FencedError)
	// OnReady is called once the shard takes work.
	OnReady func()
	// OnReturned receives the jobs that waited when the shard resigned and
	// that no caller waits for: none of their tasks ran.
	OnReturned func([]coordination.Submission)
	Logger     hclog.Logger
	// Registry receives the shard's metrics; nil means that none are shown.
	Registry metrics.Registry
}
