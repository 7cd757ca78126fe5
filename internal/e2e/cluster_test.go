package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/standin/devplatform"
	"github.com/samphirerail/samphirerail/standin/worker"
)

const bootstrapKey = "boot.secret"

// team is the customer team that these tests submit as.
const team = state.TeamID("fitting-north")

// entryProcess is an entry process with its listen addresses and its config file.
type entryProcess struct {
	*process
	vm, domain, callerAddr, internalAddr, operatorAddr string
	config                                             string
}

// cluster is a complete system of separate processes.
type cluster struct {
	t        *testing.T
	platform string
	// upstreams holds the address of each upstream by its VM.
	upstreams map[string]string
	// upstreamProcesses holds the process of each upstream by its VM.
	upstreamProcesses map[string]*process
	entries           []*entryProcess
	http              *http.Client
	teamKey           string
	// partition is nil unless clusterSpec.separateSubnets is set.
	partition *partition
	subnets   map[string]netip.Prefix
}

// clusterSpec describes the cluster to start. The numbers of entries and upstreams
// are per domain.
type clusterSpec struct {
	domains   []string
	entries   int
	upstreams int
	settings  string
	// separateSubnets gives each domain its own loopback subnet and places a TCP
	// forwarder in front of each entry, so that network partitions between domains
	// can be simulated.
	separateSubnets bool
}

var twoDomains = clusterSpec{domains: []string{"north", "south"}, entries: 2, upstreams: 2}

// startCluster starts the platform, the upstreams and the entries, and configures
// one team with a contract and a key.
func startCluster(t *testing.T, spec clusterSpec) *cluster {
	t.Helper()
	c := &cluster{t: t, upstreams: map[string]string{}, upstreamProcesses: map[string]*process{}, http: &http.Client{Timeout: waitTimeout}, subnets: map[string]netip.Prefix{}}
	if spec.separateSubnets {
		c.partition = newPartition()
		for i, domain := range spec.domains {
			c.subnets[domain] = netip.PrefixFrom(netip.AddrFrom4([4]byte{127, 0, byte(i + 1), 0}), 24)
		}
	}
	c.platform = start(t, "platform", "dev", "platform").waitListening()
	for _, domain := range spec.domains {
		for i := range spec.upstreams {
			c.startUpstream(fmt.Sprintf("%s-up%d", domain, i+1), domain)
		}
	}
	for _, domain := range spec.domains {
		for i := range spec.entries {
			c.entries = append(c.entries, c.startEntry(fmt.Sprintf("%s-e%d", domain, i+1), domain, spec.settings))
		}
	}
	c.configure(spec)
	return c
}

func (c *cluster) startUpstream(vm, domain string) {
	c.t.Helper()
	c.startUpstreamAt(vm, domain, freeAddress(c.t, "127.0.0.1"))
}

func (c *cluster) startUpstreamAt(vm, domain, address string) {
	c.t.Helper()
	p := start(c.t, vm, "dev", "upstream", "--listen", address, "--platform", c.platform, "--vm", vm, "--domain", domain, "--service", "fitting")
	c.upstreams[vm] = p.waitListening()
	c.upstreamProcesses[vm] = p
}

// The ports of entries lie below the ephemeral range, from which the operating system
// takes the local ports of outgoing connections, so that no port is taken between
// its selection and its use.
const (
	firstPort = 12000
	lastPort  = 32000
)

// nextPort is a counter from which the next port to try is computed. It starts at a
// random value.
var nextPort atomic.Int64

func init() { nextPort.Store(firstPort + rand.Int64N(lastPort-firstPort)) }

// freeAddress returns an address on the given IP that nothing listens on.
func freeAddress(t *testing.T, ip string) string {
	t.Helper()
	for range lastPort - firstPort {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		address := net.JoinHostPort(ip, itoa(port))
		listener, err := net.Listen("tcp", address)
		if err == nil {
			listener.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// startEntry writes the config file of an entry, adds its VM to the platform's VM list
// and starts the process. settings is appended to the config file.
func (c *cluster) startEntry(vm, domain, settings string) *entryProcess {
	ip := c.listenIP(domain)
	e := &entryProcess{vm: vm, domain: domain, callerAddr: freeAddress(c.t, ip), internalAddr: freeAddress(c.t, ip), operatorAddr: freeAddress(c.t, ip)}
	advertise := e.internalAddr
	if c.partition != nil {
		advertise = c.partition.forward(c.t, e.internalAddr)
	}
	e.config = filepath.Join(c.t.TempDir(), vm+".toml")
	text := fmt.Sprintf(`
[entry]
vm = %q
domain = %q
region = "test"
[listen]
callers = %q
internal = %q
advertise = %q
operators = %q
[platform]
log = [%q]
vm_list = [%q]
bootstrap_key = %q
[shutdown]
balancer_delay = "200ms"
%s`, vm, domain, e.callerAddr, e.internalAddr, advertise, e.operatorAddr, c.platform, c.platform, bootstrapKey, settings)
	if err := os.WriteFile(e.config, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	c.registerVM(devplatform.VM{
		ID: vm, Incarnation: "1", Role: devplatform.RoleEntry, State: devplatform.VMLive, Region: "test", Domain: domain, Address: advertise,
	})
	e.process = start(c.t, vm, "run", "--config", e.config)
	return e
}

// listenIP returns the IP address that the entries of a domain listen on.
func (c *cluster) listenIP(domain string) string {
	if subnet, ok := c.subnets[domain]; ok {
		return subnet.Addr().Next().String()
	}
	return "127.0.0.1"
}

// registerVM adds a VM to the platform's VM list, or replaces its row.
func (c *cluster) registerVM(vm devplatform.VM) {
	c.t.Helper()
	c.mustCall(http.MethodPut, c.platform, devplatform.PathVMs, "", vm, nil)
}

// setFaults replaces the fault switches of the stand-in at an address.
func (c *cluster) setFaults(address string, switches any) {
	c.t.Helper()
	c.mustCall(http.MethodPut, address, "/faults", "", switches, nil)
}

// configure waits until all entries are ready, stores the domains, one team's
// contract and its key, and waits until every entry knows the key and its domain's
// upstreams are fenced.
func (c *cluster) configure(spec clusterSpec) {
	c.t.Helper()
	for _, e := range c.entries {
		c.waitReady(e)
	}
	base := v1.AnyVersion
	domains := v1.PutDomains{Write: v1.Write{BaseVersion: &base}}
	for _, d := range spec.domains {
		domains.Domains = append(domains.Domains, v1.Domain{ID: state.DomainID(d), Region: "test", Weight: 1})
	}
	address := c.entries[0].callerAddr
	c.mustCall(http.MethodPut, address, "/v1/domains", bootstrapKey, domains, nil)
	c.putContract(address, contract(16*int64(len(spec.domains))))
	c.teamKey = c.grantKey(address, "team-key", team)
	for _, e := range c.entries {
		c.waitUpstreams(e, spec.upstreams)
		c.waitKey(e, c.teamKey, true)
	}
}

// contract returns a contract with an upper limit of the given number of slots over
// all domains.
func contract(slots int64) v1.Contract {
	return v1.Contract{
		Services:   []state.Service{"fitting"},
		Classes:    []state.Class{state.ClassRequest, state.ClassBatch, state.ClassGang, state.ClassStanding},
		SubmitRate: 10000, SubmitBurst: 10000, MaxQueued: 10000, Weight: 1,
		Limit: v1.Limit{CPUMilli: slots * 4000, MemoryMB: slots * 8192, Accelerators: 0, Slots: slots},
	}
}

func (c *cluster) putContract(address string, message v1.Contract) v1.WriteResult {
	c.t.Helper()
	return c.putTeamContract(address, team, message)
}

func (c *cluster) putTeamContract(address string, teamID state.TeamID, message v1.Contract) v1.WriteResult {
	c.t.Helper()
	base := v1.AnyVersion
	var result v1.WriteResult
	c.mustCall(http.MethodPut, address, "/v1/contracts/"+string(teamID), bootstrapKey, v1.PutContract{Write: v1.Write{BaseVersion: &base}, Contract: message}, &result)
	return result
}

// grantKey grants a caller key through an entry and returns its bearer token.
func (c *cluster) grantKey(address, id string, teamID state.TeamID) string {
	c.t.Helper()
	var granted v1.GrantedKey
	c.mustCall(http.MethodPost, address, "/v1/keys", bootstrapKey, v1.GrantKey{ID: id, Team: teamID, Role: v1.RoleCaller}, &granted)
	return granted.Bearer
}

func (c *cluster) waitReady(e *entryProcess) {
	c.t.Helper()
	eventually(c.t, e.vm+" is ready", func() error {
		status, _, err := c.call(http.MethodGet, e.operatorAddr, "/readyz", "", nil)
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("status %d", status)
		}
		return err
	})
}

// watchReadiness polls an entry's readiness endpoint every millisecond. The returned
// function stops the polling and returns the number of polls that found the entry
// not ready.
func (c *cluster) watchReadiness(e *entryProcess) func() int {
	stop := make(chan struct{})
	unready := make(chan int)
	go func() {
		n := 0
		for {
			select {
			case <-stop:
				unready <- n
				return
			case <-time.After(time.Millisecond):
			}
			status, _, err := c.call(http.MethodGet, e.operatorAddr, "/readyz", "", nil)
			if err != nil || status != http.StatusOK {
				n++
			}
		}
	}()
	return func() int {
		close(stop)
		return <-unready
	}
}

// waitUpstreams waits until the owner of the domain's shard, as reported by the entry,
// has fenced n upstreams.
func (c *cluster) waitUpstreams(e *entryProcess, n int) {
	c.t.Helper()
	eventually(c.t, fmt.Sprintf("%s reports %d fenced upstreams", e.vm, n), func() error {
		for _, shard := range c.status(e).Shards {
			if string(shard.Shard) == e.domain+"/0" && shard.Fenced == n {
				return nil
			}
		}
		return fmt.Errorf("not yet")
	})
}

// waitKey waits until an entry accepts a key, or rejects it when accepted is false.
func (c *cluster) waitKey(e *entryProcess, key string, accepted bool) {
	c.t.Helper()
	eventually(c.t, e.vm+" accepts or rejects the key as expected", func() error {
		status, _, err := c.call(http.MethodGet, e.callerAddr, "/v1/jobs/"+e.domain+".01980000-0000-7000-8000-000000000000", key, nil)
		if err == nil && (status != http.StatusUnauthorized) != accepted {
			err = fmt.Errorf("status %d", status)
		}
		return err
	})
}

func (c *cluster) status(e *entryProcess) v1.Status {
	c.t.Helper()
	var status v1.Status
	c.mustCall(http.MethodGet, e.callerAddr, "/v1/status", bootstrapKey, nil, &status)
	return status
}

// owner waits until a running entry owns the shard of the domain north and returns
// that entry.
func (c *cluster) owner() *entryProcess {
	const domain = "north"
	c.t.Helper()
	var found *entryProcess
	eventually(c.t, "owner of "+domain, func() error {
		for _, e := range c.entries {
			if e.domain != domain || e.exited() {
				continue
			}
			for _, shard := range c.status(e).Shards {
				for _, candidate := range c.entries {
					if string(shard.Shard) == domain+"/0" && string(shard.Owner.VM()) == candidate.vm && !candidate.exited() {
						found = candidate
						return nil
					}
				}
			}
		}
		return fmt.Errorf("none")
	})
	return found
}

func (p *process) exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// otherEntry returns another running entry of the same domain.
func (c *cluster) otherEntry(e *entryProcess) *entryProcess {
	for _, o := range c.entries {
		if o != e && o.domain == e.domain && !o.exited() {
			return o
		}
	}
	c.t.Fatalf("no other running entry in %s", e.domain)
	return nil
}

// history returns the runs that the worker on a VM has recorded.
func (c *cluster) history(vm string) worker.History {
	c.t.Helper()
	var h worker.History
	c.mustCall(http.MethodGet, c.upstreams[vm], worker.HistoryPath, "", nil, &h)
	return h
}

// mustCall makes one HTTP call, fails the test unless the status code is below 300, and
// decodes the body into reply unless reply is nil.
func (c *cluster) mustCall(method, address, path, key string, message, reply any) {
	c.t.Helper()
	status, data, err := c.call(method, address, path, key, message)
	if err != nil {
		c.t.Fatalf("%s %s%s: %v", method, address, path, err)
	}
	if status >= http.StatusMultipleChoices {
		c.t.Fatalf("%s %s%s: status %d: %s", method, address, path, status, data)
	}
	if reply != nil {
		if err := json.Unmarshal(data, reply); err != nil {
			c.t.Fatalf("%s %s%s: %v", method, address, path, err)
		}
	}
}

// call makes one HTTP call and returns the status code and the whole body.
func (c *cluster) call(method, address, path, key string, message any) (int, []byte, error) {
	var body io.Reader
	if message != nil {
		data, err := json.Marshal(message)
		if err != nil {
			return 0, nil, err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, "http://"+address+path, body)
	if err != nil {
		return 0, nil, err
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	if message != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// waitIdle waits until work in flight has ended: no worker runs a task, except for
// standing jobs.
func (c *cluster) waitIdle() {
	c.t.Helper()
	eventually(c.t, "workers are idle", func() error {
		for vm := range c.upstreams {
			for _, r := range c.history(vm).Runs {
				if r.EndUnixNano == 0 && r.Class != string(state.ClassStanding) {
					return fmt.Errorf("%s is still running on %s", r.TaskID, vm)
				}
			}
		}
		return nil
	})
	time.Sleep(50 * time.Millisecond)
}
