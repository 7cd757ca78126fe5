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
	"sync/atomic"
	"syscall"
	"time"

	"github.com/samphirerail/samphirerail/internal/portpool"
	"github.com/samphirerail/samphirerail/platform/fakewire"
)

const (
	// runnerCPUMilli is the capacity of a fake runner, in thousandths of a processor.
	runnerCPUMilli = 8000
	// service is the service to which all fake runners belong.
	service = "pool"
	// restartDelay is the time between the exit of an entry and its restart.
	restartDelay = 300 * time.Millisecond
	// startupTimeout bounds the wait for every entry to become ready.
	startupTimeout = 15 * time.Second
	// largeConfigQueues makes a configuration of about 1.6 MB, which takes a narrow link 1.3 s.
	largeConfigQueues = 7000
)

// unevenSpeeds are the speeds of the runners with Options.Uneven.
var unevenSpeeds = []float64{0.55, 1.2, 1.2}

// unevenSpeed returns the speed of the runner with index i. Each zone has slow and fast runners,
// so that an evacuation leaves both.
func unevenSpeed(i int) float64 { return unevenSpeeds[(i+i/len(zones))%len(unevenSpeeds)] }

// host is unique to this process, so that soak runs on the same machine never use
// each other's entries.
var host = fmt.Sprintf("soak-%d.example", os.Getpid())

// ports holds the ports of this process's entries.
var ports portpool.Pool

// cluster is a fake platform with the entry processes that run on it.
type cluster struct {
	opts    Options
	dir     string
	log     *fakewire.Log
	fleet   *fakewire.Fleet
	runners []*fakewire.Runner
	servers []*http.Server
	entries []*entry

	// lives counts the lives of runners under further IDs.
	lives atomic.Int64

	mu sync.Mutex
	// version is that of the newest published configuration.
	version int64
	// cut holds the indices of the runners that are cut off.
	cut map[int]bool
}

// entry is one entry process, which is restarted when it exits.
type entry struct {
	name string
	// path is the program, settings the path of its settings file.
	path     string
	settings string
	// callers, ready and internal are the addresses (IP:port) of its listeners.
	callers, ready, internal string
	// proxy carries its connections to the log service.
	proxy  *proxy
	output *os.File

	mu      sync.Mutex
	process *exec.Cmd
	// exited is closed when process has exited.
	exited  chan struct{}
	closing bool
	// sent holds the signals that the process was sent, ownEnds the ends that none of them explains.
	sent    map[syscall.Signal]bool
	ownEnds []string
}

func startCluster(opts Options, accepted func(job string) bool) (*cluster, error) {
	dir, err := os.MkdirTemp(opts.Dir, "soak-")
	if err != nil {
		return nil, err
	}
	c := &cluster{opts: opts, dir: dir, log: fakewire.NewLog(), cut: map[int]bool{}}
	c.fleet = fakewire.NewFleet(c.log, accepted)
	c.fleet.SetCPULimit(workspaceMaxCPUMilli)
	c.fleet.SetEvacuationBound(evacuationBound)
	c.fleet.SetCapacityBound(capacityNotice + runnerHeartbeat)
	logAddress, err := c.serve(c.log)
	if err != nil {
		return nil, err
	}
	for i := range opts.Runners {
		if err := c.addRunner(i); err != nil {
			return nil, errors.Join(err, c.close())
		}
	}
	c.publishConfig()
	for i := range opts.Entries {
		if err := c.addEntry(i, logAddress); err != nil {
			return nil, errors.Join(err, c.close())
		}
	}
	return c, c.awaitReady()
}

// serve serves a handler on a free loopback port and returns the address.
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

// addRunner serves the runner with index i and registers it; four share a rack.
func (c *cluster) addRunner(i int) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r := c.fleet.AddIn(zones[i%len(zones)], fmt.Sprintf("i-%03d", i), service, listener.Addr().String(), runnerCPUMilli, "a", fmt.Sprintf("r%d", i/4))
	if c.opts.Uneven {
		r.SetSpeed(unevenSpeed(i))
	}
	c.runners = append(c.runners, r)
	server := &http.Server{Handler: r, ReadHeaderTimeout: time.Minute, ConnContext: fakewire.ConnContext}
	c.servers = append(c.servers, server)
	go func() { _ = server.Serve(listener) }() // ends when the soak closes it
	return nil
}

// publishConfig writes the next version of the configuration to the log, a large one every
// other time.
func (c *cluster) publishConfig() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version += 3
	furtherQueues := 0
	if c.version%2 == 0 {
		furtherQueues = largeConfigQueues
	}
	value, err := json.Marshal(fakewire.Config(c.version, host, service, workspaceMaxCPUMilli, furtherQueues))
	if err == nil {
		c.log.Put("keyed.op", "config", value)
	}
}

// newestVersion returns the newest published version of the configuration.
func (c *cluster) newestVersion() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// addEntry writes the settings of the entry with index i and starts its process; the
// entries are spread over three failure domains, and all but the first reach the log over
// a narrow link.
func (c *cluster) addEntry(i int, logAddress string) error {
	p, err := newProxy(logAddress, i > 0)
	if err != nil {
		return err
	}
	addresses, err := ports.Take(3)
	if err != nil {
		return err
	}
	e := &entry{
		name: fmt.Sprintf("entry-%d", i), path: c.opts.Program, proxy: p,
		callers: addresses[0], ready: addresses[1], internal: addresses[2], settings: filepath.Join(c.dir, fmt.Sprintf("entry-%d.toml", i)),
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
[upstream]
evacuation_limit = %q
starts_without_record = %v
capacity_notice = %q
heartbeat = %q
[shutdown]
balancer_delay = "500ms"
`, e.name, i%3, e.callers, e.ready, e.internal, p.address(), evacuationBound, c.opts.StartsWithoutRecord, capacityNotice, runnerHeartbeat)
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		return err
	}
	if e.output, err = os.Create(filepath.Join(c.dir, e.name+".log")); err != nil {
		return err
	}
	c.entries = append(c.entries, e)
	return e.start()
}

// start starts the process unless the entry is being closed.
func (e *entry) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closing {
		return nil
	}
	cmd := exec.Command(e.path, "node", "--config", e.settings)
	cmd.Stdout, cmd.Stderr = e.output, e.output
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("soak: can't start the process of %s: %w", e.name, err)
	}
	e.process, e.exited, e.sent = cmd, make(chan struct{}), map[syscall.Signal]bool{}
	go e.restartOnExit(cmd, e.exited)
	return nil
}

// restartOnExit waits for the process to exit and then restarts the entry.
func (e *entry) restartOnExit(cmd *exec.Cmd, exited chan struct{}) {
	_ = cmd.Wait() // killed processes report an error
	e.noteEnd(cmd.ProcessState)
	close(exited)
	time.Sleep(restartDelay)
	if err := e.start(); err != nil {
		fmt.Fprintln(e.output, err)
	}
}

// signal sends a signal to the entry's process, if there is one.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process != nil {
		e.sent[s] = true
		_ = e.process.Process.Signal(s) // the process may have exited already
	}
}

// panicStatus is the exit status of a Go program that panics.
const panicStatus = 2

// noteEnd records the end of the process if no signal of the soak explains it.
func (e *entry) noteEnd(state *os.ProcessState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	status, ok := state.Sys().(syscall.WaitStatus)
	switch {
	case ok && status.Signaled() && e.sent[status.Signal()]:
	case ok && status.Exited() && status.ExitStatus() != panicStatus && e.sent[syscall.SIGTERM]:
	default:
		e.ownEnds = append(e.ownEnds, fmt.Sprintf("ENDED: the process of %s ended by itself: %s", e.name, state))
	}
}

// ownEnds describes the ends of processes that the soak did not cause.
func (c *cluster) ownEnds() (problems []string) {
	for _, e := range c.entries {
		e.mu.Lock()
		problems = append(problems, e.ownEnds...)
		e.mu.Unlock()
	}
	return problems
}

// close kills the process, also one that is stopped by SIGSTOP, and waits for its exit.
func (e *entry) close() {
	e.mu.Lock()
	e.closing = true
	exited := e.exited
	e.mu.Unlock()
	e.signal(syscall.SIGCONT)
	e.signal(syscall.SIGKILL)
	if exited != nil {
		<-exited
	}
	_ = e.output.Close()
	_ = e.proxy.close()
	ports.Release([]string{e.callers, e.ready, e.internal})
}

// awaitReady waits until every entry is ready. It closes the cluster on a timeout.
func (c *cluster) awaitReady() error {
	deadline := time.Now().Add(startupTimeout)
	for _, e := range c.entries {
		for !e.isReady() {
			if time.Now().After(deadline) {
				return errors.Join(fmt.Errorf("soak: %s did not become ready in time; see its log %s", e.name, e.output.Name()), c.close())
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
