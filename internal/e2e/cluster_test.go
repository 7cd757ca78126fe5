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

// team is the customer team of these tests.
const team = state.TeamID("fitting-north")

// entryProcess is an entry with its addresses.
type entryProcess struct {
	*process
	vm, domain, callers, internal, operators string
	config                                   string
}

// cluster is a whole system of separate processes.
type cluster struct {
	t         *testing.T
	platform  string
	upstreams map[string]string
	// processes are those of the upstreams.
	processes map[string]*process
	entries   []*entryProcess
	http      *http.Client
	teamKey   string
	// partition is nil unless the shape asks for separate domains.
	partition *partition
	subnets   map[string]netip.Prefix
}

// shape says how large a cluster is.
type shape struct {
	domains   []string
	entries   int
	upstreams int
	settings  string
	// separate gives each domain its own loopback subnet, and puts a forwarder
	// before each entry, so that domains can be cut off.
	separate bool
}

var twoDomains = shape{domains: []string{"north", "south"}, entries: 2, upstreams: 2}

// startCluster starts a platform, upstreams and entries, and grants a key.
func startCluster(t *testing.T, s shape) *cluster {
	t.Helper()
	c := &cluster{t: t, upstreams: map[string]string{}, processes: map[string]*process{}, http: &http.Client{Timeout: patience}, subnets: map[string]netip.Prefix{}}
	if s.separate {
		c.partition = newPartition()
		for i, domain := range s.domains {
			c.subnets[domain] = netip.PrefixFrom(netip.AddrFrom4([4]byte{127, 0, byte(i + 1), 0}), 24)
		}
	}
	c.platform = start(t, "platform", "dev", "platform").listening()
	for _, domain := range s.domains {
		for i := range s.upstreams {
			c.startUpstream(fmt.Sprintf("%s-up%d", domain, i+1), domain)
		}
	}
	for _, domain := range s.domains {
		for i := range s.entries {
			c.entries = append(c.entries, c.startEntry(fmt.Sprintf("%s-e%d", domain, i+1), domain, s.settings))
		}
	}
	c.configure(s)
	return c
}

func (c *cluster) startUpstream(vm, domain string) {
	c.t.Helper()
	c.startUpstreamAt(vm, domain, freeAddress(c.t, "127.0.0.1"))
}

func (c *cluster) startUpstreamAt(vm, domain, address string) {
	c.t.Helper()
	p := start(c.t, vm, "dev", "upstream", "--listen", address, "--platform", c.platform, "--vm", vm, "--domain", domain, "--service", "fitting")
	c.upstreams[vm] = p.listening()
	c.processes[vm] = p
}

// The ports of entries lie below the range from which the system takes the ports
// of outgoing connections, so that none is taken between its choice and its use.
const (
	firstPort = 12000
	lastPort  = 32000
)

// nextPort is the port that is tried next.
var nextPort atomic.Int64

func init() { nextPort.Store(firstPort + rand.Int64N(lastPort-firstPort)) }

// freeAddress returns an address that nothing listens on.
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

func (c *cluster) startEntry(vm, domain, extra string) *entryProcess {
	ip := c.ip(domain)
	e := &entryProcess{vm: vm, domain: domain, callers: freeAddress(c.t, ip), internal: freeAddress(c.t, ip), operators: freeAddress(c.t, ip)}
	advertise := e.internal
	if c.partition != nil {
		advertise = c.partition.forward(c.t, e.internal)
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
%s`, vm, domain, e.callers, e.internal, advertise, e.operators, c.platform, c.platform, bootstrapKey, extra)
	if err := os.WriteFile(e.config, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	c.list(devplatform.VM{
		ID: vm, Incarnation: "1", Role: devplatform.RoleEntry, State: devplatform.VMLive, Region: "test", Domain: domain, Address: advertise,
	})
	e.process = start(c.t, vm, "run", "--config", e.config)
	return e
}

// ip returns the IP number that the entries of a domain listen on.
func (c *cluster) ip(domain string) string {
	if subnet, ok := c.subnets[domain]; ok {
		return subnet.Addr().Next().String()
	}
	return "127.0.0.1"
}

// list puts a VM on the platform's list.
func (c *cluster) list(vm devplatform.VM) {
	c.t.Helper()
	c.must(http.MethodPut, c.platform, devplatform.PathVMs, "", vm, nil)
}

// faults sets the switches of a stand-in.
func (c *cluster) faults(address string, switches any) {
	c.t.Helper()
	c.must(http.MethodPut, address, "/faults", "", switches, nil)
}

// configure waits for all entries and upstreams and sets up one team.
func (c *cluster) configure(s shape) {
	c.t.Helper()
	for _, e := range c.entries {
		c.waitReady(e)
	}
	base := v1.AnyVersion
	domains := v1.PutDomains{Write: v1.Write{BaseVersion: &base}}
	for _, d := range s.domains {
		domains.Domains = append(domains.Domains, v1.Domain{ID: state.DomainID(d), Region: "test", Weight: 1})
	}
	address := c.entries[0].callers
	c.must(http.MethodPut, address, "/v1/domains", bootstrapKey, domains, nil)
	c.putContract(address, contract(16*int64(len(s.domains))))
	c.teamKey = c.grant(address, "team-key", team)
	for _, e := range c.entries {
		c.waitUpstreams(e, s.upstreams)
		c.waitKey(e, c.teamKey, true)
	}
}

// contract returns a contract for a number of slots over all domains.
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
	return c.putContractOf(address, team, message)
}

func (c *cluster) putContractOf(address string, id state.TeamID, message v1.Contract) v1.WriteResult {
	c.t.Helper()
	base := v1.AnyVersion
	var result v1.WriteResult
	c.must(http.MethodPut, address, "/v1/contracts/"+string(id), bootstrapKey, v1.PutContract{Write: v1.Write{BaseVersion: &base}, Contract: message}, &result)
	return result
}

// grant grants a caller's key through an entry and returns the bearer.
func (c *cluster) grant(address, id string, holder state.TeamID) string {
	c.t.Helper()
	var granted v1.GrantedKey
	c.must(http.MethodPost, address, "/v1/keys", bootstrapKey, v1.GrantKey{ID: id, Team: holder, Role: v1.RoleCaller}, &granted)
	return granted.Bearer
}

func (c *cluster) waitReady(e *entryProcess) {
	c.t.Helper()
	eventually(c.t, e.vm+" is ready", func() error {
		status, _, err := c.call(http.MethodGet, e.operators, "/readyz", "", nil)
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("status %d", status)
		}
		return err
	})
}

// watchReadiness asks for an entry's readiness all the time. The function
// returned ends that and tells how often the entry was not ready.
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
			status, _, err := c.call(http.MethodGet, e.operators, "/readyz", "", nil)
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

// waitUpstreams waits until the domain's owner, as the entry sees it, has
// fenced n upstreams.
func (c *cluster) waitUpstreams(e *entryProcess, n int) {
	c.t.Helper()
	eventually(c.t, fmt.Sprintf("%s sees %d fenced upstreams", e.vm, n), func() error {
		for _, shard := range c.status(e).Shards {
			if string(shard.Shard) == e.domain+"/0" && shard.Fenced == n {
				return nil
			}
		}
		return fmt.Errorf("not yet")
	})
}

// waitKey waits until an entry accepts a key, or accepts it no more.
func (c *cluster) waitKey(e *entryProcess, key string, accepted bool) {
	c.t.Helper()
	eventually(c.t, e.vm+" knows the key", func() error {
		status, _, err := c.call(http.MethodGet, e.callers, "/v1/jobs/"+e.domain+".01980000-0000-7000-8000-000000000000", key, nil)
		if err == nil && (status != http.StatusUnauthorized) != accepted {
			err = fmt.Errorf("status %d", status)
		}
		return err
	})
}

func (c *cluster) status(e *entryProcess) v1.Status {
	c.t.Helper()
	var status v1.Status
	c.must(http.MethodGet, e.callers, "/v1/status", bootstrapKey, nil, &status)
	return status
}

// owner returns the entry process that owns the shard of the domain north.
func (c *cluster) owner() *entryProcess {
	const domain = "north"
	c.t.Helper()
	var found *entryProcess
	eventually(c.t, "owner of "+domain, func() error {
		for _, e := range c.entries {
			if e.domain != domain || e.ended() {
				continue
			}
			for _, shard := range c.status(e).Shards {
				for _, candidate := range c.entries {
					if string(shard.Shard) == domain+"/0" && string(shard.Owner.VM()) == candidate.vm && !candidate.ended() {
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

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// other returns another living entry of the same domain.
func (c *cluster) other(e *entryProcess) *entryProcess {
	for _, o := range c.entries {
		if o != e && o.domain == e.domain && !o.ended() {
			return o
		}
	}
	c.t.Fatalf("no other entry in %s", e.domain)
	return nil
}

// history returns what a worker has run.
func (c *cluster) history(vm string) worker.History {
	c.t.Helper()
	var h worker.History
	c.must(http.MethodGet, c.upstreams[vm], worker.HistoryPath, "", nil, &h)
	return h
}

func (c *cluster) must(method, address, path, key string, message, reply any) {
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

// call makes one HTTP call and returns the whole body.
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

// settle lets work in flight come to its end: it waits until no worker runs
// anything but standing work.
func (c *cluster) settle() {
	c.t.Helper()
	eventually(c.t, "workers are idle", func() error {
		for vm := range c.upstreams {
			for _, r := range c.history(vm).Runs {
				if r.EndUnixNano == 0 && r.Class != string(state.ClassStanding) {
					return fmt.Errorf("%s runs on %s", r.TaskID, vm)
				}
			}
		}
		return nil
	})
	time.Sleep(50 * time.Millisecond)
}
