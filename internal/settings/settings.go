// Package settings defines, reads and validates the TOML settings of an entry process.
package settings

import (
	"cmp"
	"net/netip"
	"time"
)

// Duration is a time.Duration written in TOML as text such as "500ms".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler for text such as "500ms".
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText implements encoding.TextMarshaler in the format of time.Duration.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Settings holds all settings of an entry process.
type Settings struct {
	Entry    Entry    `toml:"entry"`
	Listen   Listen   `toml:"listen"`
	Platform Platform `toml:"platform"`
	Peers    Peers    `toml:"peers"`
	Upstream Upstream `toml:"upstream"`
	Limits   Limits   `toml:"limits"`
	Policy   Policy   `toml:"policy"`
	Shutdown Shutdown `toml:"shutdown"`
	Log      Log      `toml:"log"`
	Trace    Trace    `toml:"trace"`
}

// Entry identifies this entry process.
type Entry struct {
	// VM is the platform's ID of the VM on which the process runs.
	VM string `toml:"vm"`
	// Domain is the failure domain of the VM.
	Domain string `toml:"domain"`
	// Region is the region of the VM.
	Region string `toml:"region"`
}

// Listen holds the IP:port of each listener.
type Listen struct {
	// Callers serves the HTTP API for callers and operators.
	Callers string `toml:"callers"`
	// Internal serves calls from other entries. Its IP address, unless it is
	// unspecified, is also the source address of connections to the platform, to
	// upstreams and to other entries.
	Internal string `toml:"internal"`
	// Advertise is the IP:port at which other entries reach Internal; empty
	// means Internal itself.
	Advertise string `toml:"advertise"`
	// Operators serves health, readiness and metrics.
	Operators string `toml:"operators"`
}

// Advertised returns the IP:port at which other entries reach the internal listener:
// Advertise, or Internal if Advertise is empty.
func (l Listen) Advertised() string { return cmp.Or(l.Advertise, l.Internal) }

// Source returns the source address of outgoing connections. The zero Addr means that
// the operating system chooses it.
func (l Listen) Source() netip.Addr {
	address, err := netip.ParseAddrPort(l.Internal)
	if err != nil || address.Addr().IsUnspecified() {
		return netip.Addr{}
	}
	return address.Addr()
}

// Platform configures the connections to the platform.
type Platform struct {
	// Log holds the IP:port addresses of the log service, VMList those of the VM list.
	Log    []string `toml:"log"`
	VMList []string `toml:"vm_list"`
	// Timeout is the limit of one call to the platform.
	Timeout Duration `toml:"timeout"`
	// BootstrapKey is an operator key "<id>.<secret>" that is valid as long as the
	// configuration holds no operator key.
	BootstrapKey string `toml:"bootstrap_key"`
	// Fencing selects how former owners of a shard are fenced off: with "worker",
	// the upstreams enforce epochs.
	Fencing string `toml:"fencing"`
}

// Peers configures the discovery and failure detection of other entries.
type Peers struct {
	// Seeds are internal addresses (IP:port) of other entries, in addition to those in
	// the platform's VM list.
	Seeds []string `toml:"seeds"`
	// Heartbeat is the heartbeat interval within the domain, RemoteHeartbeat the one
	// between domains.
	Heartbeat       Duration `toml:"heartbeat"`
	RemoteHeartbeat Duration `toml:"remote_heartbeat"`
	// DeadAfter is the time without a heartbeat after which an entry of the domain is
	// considered dead.
	DeadAfter Duration `toml:"dead_after"`
}

// Upstream configures the calls to upstreams (workers).
type Upstream struct {
	// Connections is the maximum number of connections of this entry to one upstream.
	Connections int `toml:"connections"`
	// Lease is how long an upstream continues its runs without a lease renewal by its
	// owner.
	Lease Duration `toml:"lease"`
	// SyncWait is the longest time that an upstream may hold a long poll open when it has
	// nothing new to report.
	SyncWait Duration `toml:"sync_wait"`
	// Timeout is the limit of one call other than a long poll.
	Timeout Duration `toml:"timeout"`
}

// Limits configures the admission and retry limits of one entry.
type Limits struct {
	// MaxWait is the timeout of a request without a deadline.
	MaxWait Duration `toml:"max_wait"`
	// Retries is the retry budget of a submission that arrives from a caller.
	Retries int `toml:"retries"`
	// LogAppendRate is the maximum number of appends per second to the configuration
	// log that contain only records originated by this process.
	LogAppendRate float64 `toml:"log_append_rate"`
}

// Policy selects the objective of placement.
type Policy struct {
	// Objective is "waiting" or "share".
	Objective string `toml:"objective"`
}

// Shutdown configures the graceful shutdown.
type Shutdown struct {
	// BalancerDelay is the time between failing the readiness probe and refusing
	// connections, so that the load balancer stops sending calls first.
	BalancerDelay Duration `toml:"balancer_delay"`
	// Timeout is the limit of the whole shutdown.
	Timeout Duration `toml:"timeout"`
}

// Log configures the log on standard error.
type Log struct {
	// Level is trace, debug, info, warn or error.
	Level string `toml:"level"`
}

// Trace configures the export of spans.
type Trace struct {
	// Exporter is "none" or "stdout".
	Exporter string `toml:"exporter"`
	// SampleRatio is the fraction of new traces that is recorded, 0 to 1.
	SampleRatio float64 `toml:"sample_ratio"`
}

// Default returns the values of settings that a file does not set.
func Default() Settings {
	return Settings{
		Platform: Platform{Timeout: Duration(2 * time.Second), Fencing: FencingWorker},
		Peers: Peers{
			Heartbeat:       Duration(500 * time.Millisecond),
			RemoteHeartbeat: Duration(2 * time.Second),
			DeadAfter:       Duration(2 * time.Second),
		},
		Upstream: Upstream{
			Connections: 28,
			Lease:       Duration(15 * time.Second),
			SyncWait:    Duration(5 * time.Second),
			Timeout:     Duration(2 * time.Second),
		},
		Limits: Limits{
			MaxWait:       Duration(60 * time.Second),
			Retries:       3,
			LogAppendRate: 5,
		},
		Policy:   Policy{Objective: ObjectiveWaiting},
		Shutdown: Shutdown{BalancerDelay: Duration(2 * time.Second), Timeout: Duration(30 * time.Second)},
		Log:      Log{Level: "info"},
		Trace:    Trace{Exporter: ExporterNone, SampleRatio: 0.01},
	}
}

// The accepted values of the settings fencing, objective and exporter.
const (
	FencingWorker    = "worker"
	ObjectiveWaiting = "waiting"
	ObjectiveShare   = "share"
	ExporterNone     = "none"
	ExporterStdout   = "stdout"
)
