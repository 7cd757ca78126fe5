package settings

import (
	"net/netip"
	"time"
)

// Node are the settings of an entry on the users' platform.
type Node struct {
	Entry    NodeEntry    `toml:"entry"`
	Listen   NodeListen   `toml:"listen"`
	Platform NodePlatform `toml:"platform"`
	Peers    NodePeers    `toml:"peers"`
	Limits   NodeLimits   `toml:"limits"`
	Upstream NodeUpstream `toml:"upstream"`
	Shutdown Shutdown     `toml:"shutdown"`
	Log      Log          `toml:"log"`
	Trace    Trace        `toml:"trace"`
}

// NodeEntry says which entry this process is.
type NodeEntry struct {
	// Name is the platform's name of the VM.
	Name   string `toml:"name"`
	Domain string `toml:"domain"`
	Region string `toml:"region"`
	// Address is the IP address of the VM; connections are opened from it.
	Address string `toml:"address"`
}

// NodeListen holds the IP:port of each listener.
type NodeListen struct {
	Callers string `toml:"callers"`
	// Ready answers the balancer's readiness probe.
	Ready string `toml:"ready"`
	// Internal serves the calls between entries.
	Internal string `toml:"internal"`
	// Metrics serves counters and histograms; empty for none.
	Metrics string `toml:"metrics"`
}

// NodePlatform holds the endpoints of the platform.
type NodePlatform struct {
	Log string `toml:"log"`
	// Advice is empty where there is no advice service.
	Advice string `toml:"advice"`
}

// NodePeers says how other entries are found before the log names them.
type NodePeers struct {
	Seeds []string `toml:"seeds"`
}

// NodeLimits are the bounds of the VM.
type NodeLimits struct {
	MemoryMB int     `toml:"memory_mb"`
	CPUShare float64 `toml:"cpu_share"`
}

// NodeUpstream bounds the orders to upstreams.
type NodeUpstream struct {
	// Lease is how long runs go on without hearing from the owner.
	Lease Duration `toml:"lease"`
	// Retention is how long the state of an ended job can be asked for.
	Retention Duration `toml:"retention"`
}

// DefaultNode returns the settings that a file starts from.
func DefaultNode() Node {
	return Node{
		Upstream: NodeUpstream{Lease: Duration(5 * time.Second), Retention: Duration(150 * time.Second)},
		Shutdown: Shutdown{BalancerDelay: Duration(2500 * time.Millisecond), Timeout: Duration(5 * time.Second)},
		Log:      Log{Level: "info"},
		Trace:    Trace{Exporter: ExporterNone, SampleRatio: 0.01},
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
	c.addresses("peers.seeds", s.Peers.Seeds, 0)
	c.number("limits.memory_mb", float64(s.Limits.MemoryMB), 0, 1<<20)
	c.number("limits.cpu_share", s.Limits.CPUShare, 0, 1024)
	c.duration("upstream.lease", s.Upstream.Lease, time.Second, time.Minute)
	c.duration("upstream.retention", s.Upstream.Retention, time.Second, 24*time.Hour)
	c.duration("shutdown.balancer_delay", s.Shutdown.BalancerDelay, 0, time.Minute)
	c.duration("shutdown.timeout", s.Shutdown.Timeout, s.Shutdown.BalancerDelay.Std(), 10*time.Minute)
	c.oneOf("log.level", s.Log.Level, "trace", "debug", "info", "warn", "error")
	c.oneOf("trace.exporter", s.Trace.Exporter, ExporterNone, ExporterStdout)
	c.number("trace.sample_ratio", s.Trace.SampleRatio, 0, 1)
}
