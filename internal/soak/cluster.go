package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/samphirerail/samphirerail/platform/fakewire"
)

const (
	// runnerCPU is what a fake runner holds, in thousandths of a processor.
	runnerCPU = 8000
	// service is the pool of all fake runners.
	service = "pool"
	// restartAfter is how long an ended entry stays away.
	restartAfter = 300 * time.Millisecond
	// startupWait bounds the wait until every entry is ready.
	startupWait = 15 * time.Second
)

// host differs between soaks, so that one that runs beside another never takes
// the other's entries for its own.
var host = fmt.Sprintf("soak-%d.example", os.Getpid())

// cluster is a fake platform and the entries on it.
type cluster struct {
	opts    Options
	dir     string
	log     *fakewire.Log
	fleet   *fakewire.Fleet
	runners []*fakewire.Runner
	servers []*http.Server
	entries []*entry

	mu      sync.Mutex
	version int64
}

// entry is one process of the product.
type entry struct {
	name     string
	path     string
	settings string
	callers  string
	ready    string
	proxy    *proxy
	output   *os.File

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	closing bool
}

func startCluster(opts Options, accepted func(job string) bool) (*cluster, error) {
	dir, err := os.MkdirTemp(opts.Dir, "soak-")
	if err != nil {
		return nil, err
	}
	c := &cluster{opts: opts, dir: dir, log: fakewire.NewLog()}
	c.fleet = fakewire.NewFleet(c.log, accepted)
	c.fleet.SetMaximum(teamMaximum)
	logAddress, err := c.serve(c.log)
	if err != nil {
		return nil, err
	}
	for i := range opts.Runners {
		if err := c.addRunner(i); err != nil {
			return nil, errors.Join(err, c.close())
		}
	}
	c.configure()
	for i := range opts.Entries {
		if err := c.addEntry(i, logAddress); err != nil {
			return nil, errors.Join(err, c.close())
		}
	}
	return c, c.awaitReady()
}

// serve serves a handler on a free port.
func (c *cluster) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	c.servers = append(c.servers, server)
	go func() { _ = server.Serve(listener) }() // ends when the soak closes it
	return listener.Addr().String(), nil
}

func (c *cluster) addRunner(i int) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r := c.fleet.Add(fmt.Sprintf("i-%03d", i), service, listener.Addr().String(), runnerCPU, "a", fmt.Sprintf("r%d", i/4))
	c.runners = append(c.runners, r)
	server := &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
	c.servers = append(c.servers, server)
	go func() { _ = server.Serve(listener) }() // ends when the soak closes it
	return nil
}

// configure writes the next version of the configuration.
func (c *cluster) configure() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version += 3
	value, err := json.Marshal(fakewire.Config(c.version, host, service, teamMaximum))
	if err == nil {
		c.log.Put("keyed.op", "config", value)
	}
}

func (c *cluster) addEntry(i int, logAddress string) error {
	p, err := newProxy(logAddress)
	if err != nil {
		return err
	}
	ports, err := freePorts(3)
	if err != nil {
		return err
	}
	e := &entry{
		name: fmt.Sprintf("entry-%d", i), path: c.opts.Program, proxy: p,
		callers: ports[0], ready: ports[1], settings: filepath.Join(c.dir, fmt.Sprintf("entry-%d.toml", i)),
	}
	text := fmt.Sprintf(`[entry]
name = %q
domain = "z%d"
address = "127.0.0.1"
[listen]
callers = %q
ready = %q
internal = %q
[platform]
log = %q
[limits]
cpu_share = 1.0
[shutdown]
balancer_delay = "500ms"
`, e.name, i%3, e.callers, e.ready, ports[2], p.address())
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		return err
	}
	if e.output, err = os.Create(filepath.Join(c.dir, e.name+".log")); err != nil {
		return err
	}
	c.entries = append(c.entries, e)
	return e.start()
}

// freePorts returns loopback addresses that were free a moment ago, below the
// ports of outgoing connections.
func freePorts(n int) ([]string, error) {
	var out []string
	var held []net.Listener
	defer func() {
		for _, l := range held {
			_ = l.Close()
		}
	}()
	for port := firstPort; port < lastPort && len(out) < n; port++ {
		portMu.Lock()
		used := nextPort
		nextPort++
		portMu.Unlock()
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", firstPort+used%(lastPort-firstPort)))
		if err != nil {
			continue
		}
		held = append(held, listener)
		out = append(out, listener.Addr().String())
	}
	if len(out) < n {
		return nil, errors.New("soak: no free ports; end other runs")
	}
	return out, nil
}

// Entries listen below the ports that outgoing connections take.
const firstPort, lastPort = 20000, 30000

// portsPerSoak keeps soaks that run at the same time apart.
const portsPerSoak = 64

var (
	portMu   sync.Mutex
	nextPort = os.Getpid() * portsPerSoak % (lastPort - firstPort)
)

func (e *entry) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closing {
		return nil
	}
	cmd := exec.Command(e.path, "node", "--config", e.settings)
	cmd.Stdout, cmd.Stderr = e.output, e.output
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("soak: %s not started: %w", e.name, err)
	}
	e.process, e.ended = cmd, make(chan struct{})
	go e.await(cmd, e.ended)
	return nil
}

// await restarts the entry when its process has ended.
func (e *entry) await(cmd *exec.Cmd, ended chan struct{}) {
	_ = cmd.Wait() // killed processes report an error
	close(ended)
	time.Sleep(restartAfter)
	if err := e.start(); err != nil {
		fmt.Fprintln(e.output, err)
	}
}

// signal sends a signal to the entry's process.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process != nil {
		_ = e.process.Process.Signal(s) // it may have ended a moment ago
	}
}

func (e *entry) close() {
	e.mu.Lock()
	e.closing = true
	ended := e.ended
	e.mu.Unlock()
	e.signal(syscall.SIGCONT)
	e.signal(syscall.SIGKILL)
	if ended != nil {
		<-ended
	}
	_ = e.output.Close()
	_ = e.proxy.close()
}

func (c *cluster) awaitReady() error {
	deadline := time.Now().Add(startupWait)
	for _, e := range c.entries {
		for !e.isReady() {
			if time.Now().After(deadline) {
				return errors.Join(fmt.Errorf("soak: %s is not ready; see %s", e.name, e.output.Name()), c.close())
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func (e *entry) isReady() bool {
	client := http.Client{Timeout: 300 * time.Millisecond}
	resp, err := client.Get("http://" + e.ready + "/-/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (c *cluster) close() error {
	for _, e := range c.entries {
		e.close()
	}
	var err error
	for _, s := range c.servers {
		err = errors.Join(err, s.Close())
	}
	return err
}
