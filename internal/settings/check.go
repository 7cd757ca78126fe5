package settings

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/rotisserie/eris"
)

// Fault is a validation error in a settings file.
type Fault struct {
	File string
	// Key is the full TOML key, such as "peers.heartbeat".
	Key string
	// Got is the value found; empty for secrets, unknown keys and missing values.
	Got string
	// Allowed describes the accepted values.
	Allowed string
	// Remedy tells the operator how to correct the fault.
	Remedy string
}

// String returns the fault on one line.
func (f Fault) String() string {
	got := ""
	if f.Got != "" {
		got = fmt.Sprintf(" is %q;", f.Got)
	}
	return fmt.Sprintf("%s: %s:%s allowed: %s; %s", f.File, f.Key, got, f.Allowed, f.Remedy)
}

// FaultsError holds every fault of a settings file.
type FaultsError struct{ Faults []Fault }

// Error returns all faults, one on a line.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks a settings file. The error is a *FaultsError that holds every
// fault, or another error if the file can't be read.
func Load(path string) (Settings, error) { return load(path, Parse) }

// LoadNode reads and checks the settings of an entry on the users' platform. It
// returns the same errors as Load.
func LoadNode(path string) (Node, error) { return load(path, ParseNode) }

func load[T any](path string, parse func(name, text string) (T, error)) (T, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		var zero T
		return zero, eris.Wrapf(err, "settings: can't read %s; name a readable file with --config", path)
	}
	return parse(path, string(text))
}

// Parse decodes and checks the text of a settings file. Keys that are not set keep
// the values of Default. Faults name the file as name. The error is a *FaultsError.
func Parse(name, text string) (Settings, error) {
	return parse(name, text, Default(), (*checker).check)
}

// ParseNode decodes and checks the text of the settings of an entry on the users'
// platform, like Parse, with the defaults of DefaultNode.
func ParseNode(name, text string) (Node, error) {
	return parse(name, text, DefaultNode(), (*checker).checkNode)
}

func parse[T any](name, text string, s T, check func(*checker, *T)) (T, error) {
	var zero T
	meta, err := toml.Decode(text, &s)
	if err != nil {
		return zero, &FaultsError{Faults: []Fault{{
			File: name, Key: "(syntax)", Got: err.Error(), Allowed: "TOML 1.0 with values of the documented types",
			Remedy: "correct the line named",
		}}}
	}
	c := &checker{file: name}
	for _, key := range meta.Undecoded() {
		c.add(key.String(), "", "the keys of docs/CONFIGURATION.md", "remove or correct the key")
	}
	check(c, &s)
	if len(c.faults) > 0 {
		return zero, &FaultsError{Faults: c.faults}
	}
	return s, nil
}

// checker collects the faults of one settings file.
type checker struct {
	file   string
	faults []Fault
}

func (c *checker) add(key, got, allowed, remedy string) {
	c.faults = append(c.faults, Fault{File: c.file, Key: key, Got: got, Allowed: allowed, Remedy: remedy})
}

func (c *checker) required(key, value string) {
	if value == "" {
		c.add(key, "", "any text", "set it")
	}
}

func (c *checker) address(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(key, value, "IP:port", "write an IP number and a port, such as 127.0.0.1:7000")
	}
}

func (c *checker) addresses(key string, values []string, atLeast int) {
	if len(values) < atLeast {
		c.add(key, "", fmt.Sprintf("%d or more addresses", atLeast), "add an IP:port")
	}
	for i, value := range values {
		c.address(fmt.Sprintf("%s[%d]", key, i), value)
	}
}

func (c *checker) duration(key string, value Duration, low, high time.Duration) {
	if value.Std() < low || value.Std() > high {
		c.add(key, value.Std().String(), fmt.Sprintf("%s to %s", low, high), "choose a value in the range")
	}
}

func (c *checker) number(key string, value, low, high float64) {
	if value < low || value > high {
		c.add(key, fmt.Sprint(value), fmt.Sprintf("%v to %v", low, high), "choose a value in the range")
	}
}

func (c *checker) oneOf(key, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.add(key, value, strings.Join(allowed, ", "), "choose one of these")
	}
}

func (c *checker) check(s *Settings) {
	c.required("entry.vm", s.Entry.VM)
	c.required("entry.domain", s.Entry.Domain)
	if strings.ContainsAny(s.Entry.Domain, "./ ") {
		c.add("entry.domain", s.Entry.Domain, "text without '.', '/' or spaces", "rename the domain")
	}
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.internal", s.Listen.Internal)
	if s.Listen.Advertise != "" {
		c.address("listen.advertise", s.Listen.Advertise)
	}
	c.address("listen.operators", s.Listen.Operators)
	c.addresses("platform.log", s.Platform.Log, 1)
	c.addresses("platform.vm_list", s.Platform.VMList, 1)
	c.duration("platform.timeout", s.Platform.Timeout, 100*time.Millisecond, time.Minute)
	c.oneOf("platform.fencing", s.Platform.Fencing, FencingWorker)
	if key := s.Platform.BootstrapKey; key != "" && !strings.Contains(key, ".") {
		c.add("platform.bootstrap_key", "", "<id>.<secret>", "write both parts with a dot between")
	}
	c.addresses("peers.seeds", s.Peers.Seeds, 0)
	c.duration("peers.heartbeat", s.Peers.Heartbeat, 50*time.Millisecond, 10*time.Second)
	c.duration("peers.remote_heartbeat", s.Peers.RemoteHeartbeat, 50*time.Millisecond, time.Minute)
	c.duration("peers.dead_after", s.Peers.DeadAfter, 2*s.Peers.Heartbeat.Std(), time.Minute)
	c.number("upstream.connections", float64(s.Upstream.Connections), 3, 32)
	c.duration("upstream.lease", s.Upstream.Lease, 2*s.Upstream.SyncWait.Std(), 10*time.Minute)
	c.duration("upstream.sync_wait", s.Upstream.SyncWait, 100*time.Millisecond, time.Minute)
	c.duration("upstream.timeout", s.Upstream.Timeout, 100*time.Millisecond, time.Minute)
	c.duration("limits.max_wait", s.Limits.MaxWait, time.Second, time.Hour)
	c.number("limits.retries", float64(s.Limits.Retries), 0, 10)
	c.number("limits.log_append_rate", s.Limits.LogAppendRate, 0.1, 200)
	c.oneOf("policy.objective", s.Policy.Objective, ObjectiveWaiting, ObjectiveShare)
	c.duration("shutdown.balancer_delay", s.Shutdown.BalancerDelay, 0, time.Minute)
	c.duration("shutdown.timeout", s.Shutdown.Timeout, s.Shutdown.BalancerDelay.Std(), 10*time.Minute)
	c.oneOf("log.level", s.Log.Level, "trace", "debug", "info", "warn", "error")
	c.oneOf("trace.exporter", s.Trace.Exporter, ExporterNone, ExporterStdout)
	c.number("trace.sample_ratio", s.Trace.SampleRatio, 0, 1)
}
