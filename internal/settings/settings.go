// Package settings reads, checks and documents the TOML settings of an entry
// process.
package settings

import (
	"cmp"
	"net/netip"
	"time"
)

// Duration is a time.Duration written in TOML as text such as "500ms".
type Duration time.Duration

// UnmarshalText parses text such as "500ms".
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText renders d as time.Duration does.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Settings are all settings of an entry process.
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

// Entry says which entry this process is.
type Entry struct {
	// VM is the platform's ID of the VM that the process runs on.
	VM string `toml:"vm"`
	// Domain is the failure domain of the VM, Region its region.
	Domain string `toml:"domain"`
	Region string `toml:"region"`
}

// Listen holds the IP:port of each listener.
type Listen struct {
	// Callers serves the HTTP interface of callers and operators.
	Callers string `toml:"callers"`
	// Internal serves the calls between entries. Its IP number, unless it is
	// the unspecified one, is also the source of connections that the entry
	// opens to the platform, to workers and to other entries.
	Internal string `toml:"internal"`
	// Advertise is the IP:port at which other entries reach Internal; empty
	// means Internal itself.
	Advertise string `toml:"advertise"`
	// Operators serves health, readiness and metrics.
	Operators string `toml:"operators"`
}

// Advertised returns the IP:port that other entries are told.
func (l Listen) Advertised() string { return cmp.Or(l.Advertise, l.Internal) }

// Source returns the source address of outgoing connections; it is invalid when
// the operating system is to choose.
func (l Listen) Source() netip.Addr {
	address, err := netip.ParseAddrPort(l.Internal)
	if err != nil || address.Addr().IsUnspecified() {
		return netip.Addr{}
	}
	return address.Addr()
}

// Platform holds the endpoints of the platform.
type Platform struct {
	Log    []string `toml:"log"`
	VMList []string `toml:"vm_list"`
	// Timeout bounds one call to the platform.
	Timeout Duration `toml:"timeout"`
	// BootstrapKey is "<id>.<secret>" of an operator key that is valid while
	// the configuration holds no operator key.
	BootstrapKey string `toml:"bootstrap_key"`
	// Fencing says how the owner of a shard is kept alone: "worker" when
	// workers enforce epochs.
	Fencing string `toml:"fencing"`
}

// Peers says how other entries are found and heard.
type Peers struct {
	// Seeds are internal addresses of other entries, beside those in the
	// platform's VM list.
	Seeds []string `toml:"seeds"`
	// Heartbeat is the interval within the domain; RemoteHeartbeat the one
	// between domains.
	Heartbeat       Duration `toml:"heartbeat"`
	RemoteHeartbeat Duration `toml:"remote_heartbeat"`
	// DeadAfter is the silence after which an entry of the domain counts as
	// dead.
	DeadAfter Duration `toml:"dead_after"`
}

// Upstream bounds the calls to workers.
type Upstream struct {
	// Connections is how many connections this entry may hold to one worker.
	Connections int `toml:"connections"`
	// Lease is how long a worker goes on without hearing from its owner.
	Lease Duration `toml:"lease"`
	// SyncWait is how long a worker may hold a call when it has no news.
	SyncWait Duration `toml:"sync_wait"`
	// Timeout bounds one call that isn't held.
	Timeout Duration `toml:"timeout"`
}

// Limits bounds what one entry takes in.
type Limits struct {
	MaxWait       Duration `toml:"max_wait"`
	Retries       int      `toml:"retries"`
	LogAppendRate float64  `toml:"log_append_rate"`
}

// Policy chooses what placement aims at.
type Policy struct {
	// Objective is "waiting" or "share".
	Objective string `toml:"objective"`
}

// Shutdown bounds a graceful shutdown.
type Shutdown struct {
	// BalancerDelay is the time between becoming unready and refusing
	// connections.
	BalancerDelay Duration `toml:"balancer_delay"`
	// Timeout bounds the whole shutdown.
	Timeout Duration `toml:"timeout"`
}

// Log configures the log lines on standard error.
type Log struct {
	// Level is trace, debug, info, warn or error.
	Level string `toml:"level"`
}

// Trace configures the exporter of spans.
type Trace struct {
	// Exporter is "none" or "stdout".
	Exporter string `toml:"exporter"`
	// SampleRatio is the part of new traces that is recorded, 0 to 1.
	SampleRatio float64 `toml:"sample_ratio"`
}

// Default returns the settings that a file starts from.
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

// The accepted values of settings with a fixed choice.
const (
	FencingWorker    = "worker"
	ObjectiveWaiting = "waiting"
	ObjectiveShare   = "share"
	ExporterNone     = "none"
	ExporterStdout   = "stdout"
)
