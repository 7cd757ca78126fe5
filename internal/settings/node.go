package settings

import (
	"net/netip"
	"time"

	"github.com/samphirerail/samphirerail/internal/state/ledger"
)

// Node holds the settings of an entry on the users' platform.
type Node struct {
	Entry    NodeEntry    `toml:"entry"`
	Listen   NodeListen   `toml:"listen"`
	Platform NodePlatform `toml:"platform"`
	Peers    NodePeers    `toml:"peers"`
	Limits   NodeLimits   `toml:"limits"`
	Upstream NodeUpstream `toml:"upstream"`
	// Placement selects how the owner places tasks.
	Placement NodePlacement `toml:"placement"`
	Shutdown  Shutdown      `toml:"shutdown"`
	Log       Log           `toml:"log"`
	Trace     Trace         `toml:"trace"`
}

// NodeEntry identifies this entry and its VM.
type NodeEntry struct {
	// Name is the VM's name on the platform.
	Name   string `toml:"name"`
	Domain string `toml:"domain"`
	Region string `toml:"region"`
	// Address is the IP address of the VM and the source address of outgoing
	// connections.
	Address string `toml:"address"`
}

// NodeListen holds the IP:port of each listener.
type NodeListen struct {
	Callers string `toml:"callers"`
	// Ready serves the load balancer's readiness probe.
	Ready string `toml:"ready"`
	// Internal serves calls from other entries.
	Internal string `toml:"internal"`
	// Metrics serves counters and histograms; empty disables the listener.
	Metrics string `toml:"metrics"`
}

// NodePlatform holds the IP:port of each platform service.
type NodePlatform struct {
	// Log is the log service.
	Log string `toml:"log"`
	// Advice is the advice service; empty if there is none.
	Advice string `toml:"advice"`
	// RecordBytes and RequestBytes are the largest record and the largest append that the log
	// takes.
	RecordBytes  int `toml:"record_bytes"`
	RequestBytes int `toml:"request_bytes"`
}

// Allowed values of NodePlatform.RecordBytes and RequestBytes.
const (
	minLogBytes = 64 << 10
	maxLogBytes = 64 << 20
)

// Limits returns the limits of the log's appends.
func (p *NodePlatform) Limits() ledger.Limits {
	return ledger.Limits{RecordBytes: p.RecordBytes, RequestBytes: p.RequestBytes}
}

// NodePeers configures the discovery of other entries before they are known from the
// log.
type NodePeers struct {
	// Seeds are internal addresses (IP:port) of other entries.
	Seeds []string `toml:"seeds"`
}

// NodeLimits describes the resources of the VM.
type NodeLimits struct {
	// MemoryMB is the memory of the VM in mebibytes; with 0 the process sets no memory
	// limit for its heap.
	MemoryMB int `toml:"memory_mb"`
	// CPUShare is the share of processor time, where 1 is one whole processor.
	CPUShare float64 `toml:"cpu_share"`
	// Descriptors is the number of files that the process may have open; with 0 it is the
	// process's limit of open files.
	Descriptors int `toml:"descriptors"`
}

// NodeUpstream configures the commands sent to upstreams.
type NodeUpstream struct {
	// Lease is how long an upstream keeps runs going without a lease renewal by the
	// owner.
	Lease Duration `toml:"lease"`
	// MaxLease is the lease to which upstreams shorten a longer one. A command that an upstream carries
	// out after a restart can grant as much.
	MaxLease Duration `toml:"max_lease"`
	// Retention is how long the status of an ended job remains available.
	Retention Duration `toml:"retention"`
	// EvacuationLimit is within what time after its request an evacuation of a failure domain
	// must be in force. The owner sends no starts if its newest read of the operators' records
	// is nearly that old. With 0 it does not check the age.
	EvacuationLimit Duration `toml:"evacuation_limit"`
	// CapacityNotice is how long after an upstream has reported a smaller capacity starts may
	// exceed it, apart from the Heartbeat that brings the report. The owner sends no starts if its
	// newest read of the registrations is nearly as old as both together. With 0 it does not
	// check the age.
	CapacityNotice Duration `toml:"capacity_notice"`
	// Heartbeat is the interval at which upstreams renew their registrations.
	Heartbeat Duration `toml:"heartbeat"`
	// StartsWithoutRecord allows the owner to start tasks of recorded jobs before the log
	// holds their start, while the log does not respond.
	StartsWithoutRecord bool `toml:"starts_without_record"`
}

// CapacityLimit returns within what time the capacity that an upstream reports takes effect; 0 if
// that is not checked.
func (u *NodeUpstream) CapacityLimit() time.Duration {
	if u.CapacityNotice <= 0 {
		return 0
	}
	return u.CapacityNotice.Std() + u.Heartbeat.Std()
}

// NodePlacement selects how the owner places tasks.
type NodePlacement struct {
	// LearnedRunTimes makes the owner learn the speed of upstreams and the error of
	// declared run times, and place by them; otherwise it uses the declared ones.
	LearnedRunTimes bool `toml:"learned_run_times"`
}

// DefaultNode returns the values of settings that a file does not set.
func DefaultNode() Node {
	return Node{
		Platform:  NodePlatform{RecordBytes: ledger.DefaultRecordBytes, RequestBytes: ledger.DefaultRequestBytes},
		Upstream:  NodeUpstream{Lease: Duration(5 * time.Second), MaxLease: Duration(10 * time.Second), Retention: Duration(150 * time.Second)},
		Placement: NodePlacement{LearnedRunTimes: true},
		Shutdown:  Shutdown{BalancerDelay: Duration(2500 * time.Millisecond), Timeout: Duration(5 * time.Second)},
		Log:       Log{Level: "info"},
		Trace:     Trace{Exporter: ExporterNone, SampleRatio: 0.01},
	}
}

func (c *checker) checkNode(s *Node) {
	c.required("entry.name", s.Entry.Name)
	if _, err := netip.ParseAddr(s.Entry.Address); err != nil {
		c.add("entry.address", s.Entry.Address, "an IP number", "write the IP number of the VM")
	}
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.ready", s.Listen.Ready)
	c.address("listen.internal", s.Listen.Internal)
	if s.Listen.Metrics != "" {
		c.address("listen.metrics", s.Listen.Metrics)
	}
	c.address("platform.log", s.Platform.Log)
	if s.Platform.Advice != "" {
		c.address("platform.advice", s.Platform.Advice)
	}
	c.number("platform.record_bytes", float64(s.Platform.RecordBytes), minLogBytes, maxLogBytes)
	c.number("platform.request_bytes", float64(s.Platform.RequestBytes), float64(s.Platform.RecordBytes), maxLogBytes)
	c.addresses("peers.seeds", s.Peers.Seeds, 0)
	c.number("limits.memory_mb", float64(s.Limits.MemoryMB), 0, 1<<20)
	c.number("limits.cpu_share", s.Limits.CPUShare, 0, 1024)
	c.number("limits.descriptors", float64(s.Limits.Descriptors), 0, 1<<20)
	c.duration("upstream.lease", s.Upstream.Lease, time.Second, time.Minute)
	c.duration("upstream.max_lease", s.Upstream.MaxLease, time.Second, 10*time.Minute)
	c.duration("upstream.retention", s.Upstream.Retention, time.Second, 24*time.Hour)
	c.duration("upstream.evacuation_limit", s.Upstream.EvacuationLimit, 0, 10*time.Minute)
	c.duration("upstream.capacity_notice", s.Upstream.CapacityNotice, 0, 10*time.Minute)
	c.duration("upstream.heartbeat", s.Upstream.Heartbeat, 0, time.Minute)
	c.duration("shutdown.balancer_delay", s.Shutdown.BalancerDelay, 0, time.Minute)
	c.duration("shutdown.timeout", s.Shutdown.Timeout, s.Shutdown.BalancerDelay.Std(), 10*time.Minute)
	c.oneOf("log.level", s.Log.Level, "trace", "debug", "info", "warn", "error")
	c.oneOf("trace.exporter", s.Trace.Exporter, ExporterNone, ExporterStdout)
	c.number("trace.sample_ratio", s.Trace.SampleRatio, 0, 1)
}
