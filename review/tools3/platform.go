//go:build review3

// Command tools3 plays the cases of the third independent review: it starts entries as
// separate processes on loopback and plays the platform, the runners and the clients.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/samphirerail/samphirerail/internal/portpool"
)

const (
	// program is the command of the deploy file.
	program = "target/samphirerail"
	// memoryMB is the memory of a machine in the sheets of the small sites.
	memoryMB = 284
	// host is the host of all routes.
	host = "desk.example"
)

// bench holds the stand-ins and the entries of one case.
type bench struct {
	dir     string
	record  *os.File
	started time.Time
	store   *store
	fleet   *fleet
	servers []*http.Server
	entries []*entry
	ports   portpool.Pool

	// tunnels makes the entries reach the store through toStore.
	tunnels bool
	toStore []*tunnel
	// sent and answered count the ordinary submissions.
	sent, answered atomic.Int64
	// ids holds the ordinary jobs that were accepted, and when.
	ids sync.Map

	mu       sync.Mutex
	problems []string
}

// entry is an entry process.
type entry struct {
	name, settings, callers, ready, internal string
	output                                   *os.File

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	ownEnds int
	stopped bool
	peakKB  int64
}

func newBench(record string) (*bench, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	b := &bench{dir: dir, record: f, started: time.Now(), store: newStore()}
	b.fleet = newFleet(b, b.store)
	return b, nil
}

// note writes a line to record.txt.
func (b *bench) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%7.3f %s\n", time.Since(b.started).Seconds(), fmt.Sprintf(format, args...))
}

// broken records a broken rule.
func (b *bench) broken(format string, args ...any) {
	b.note("BROKEN "+format, args...)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.problems = append(b.problems, fmt.Sprintf(format, args...))
}

func (b *bench) isBroken() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.problems) > 0
}

// serve serves a handler on a free loopback port.
func (b *bench) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	b.servers = append(b.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// putConfig writes the configuration as the operator does.
func (b *bench) putConfig(config map[string]any) error {
	value, err := json.Marshal(config)
	if err != nil {
		return err
	}
	b.store.Put("keyed.op", "config", value)
	return nil
}

// route is a route of the configuration.
func route(name, prefix, service string) map[string]any {
	return map[string]any{
		"name": name, "host": host, wire.Prefix: prefix, "service": service, "route_kind": "non_idempotent",
		"timeout_ms": 3000, "target_latency_ms": 500, "priority": 1, "max_attempts": 3, "stretch": 2,
	}
}

// startEntries starts n entries with settings like those that deploy/entry.toml.tmpl gives, and
// waits until they are ready.
func (b *bench) startEntries(n int) error {
	addresses, err := b.ports.Take(3 * n)
	if err != nil {
		return err
	}
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, strconv.Quote(addresses[3*i+2]))
	}
	for i := range n {
		logAddress, err := b.serve(b.store)
		if err != nil {
			return err
		}
		if b.tunnels {
			t, err := newTunnel(logAddress)
			if err != nil {
				return err
			}
			b.toStore = append(b.toStore, t)
			logAddress = t.address()
		}
		e := &entry{name: fmt.Sprintf("frontend-%d", i), callers: addresses[3*i], ready: addresses[3*i+1], internal: addresses[3*i+2]}
		e.settings = filepath.Join(b.dir, e.name+".toml")
		text := fmt.Sprintf(`[entry]
name = %q
domain = "z%d"
region = "r"
address = "127.0.0.1"
[listen]
callers = %q
ready = %q
internal = %q
[platform]
log = %q
[peers]
seeds = [%s]
[limits]
memory_mb = %d
cpu_share = 0.4
[upstream]
lease = "5s"
retention = "120s"
capacity_notice = "3000ms"
heartbeat = "1500ms"
`, e.name, i%3, e.callers, e.ready, e.internal, logAddress, strings.Join(seeds, ", "), memoryMB)
		if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if e.output, err = os.Create(filepath.Join(b.dir, e.name+".log")); err != nil {
			return err
		}
		b.entries = append(b.entries, e)
		if err := b.start(e); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, e := range b.entries {
		for !e.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready; see %s", e.name, e.output.Name())
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// start starts the process of an entry, and again whenever it ends, as the platform does.
func (b *bench) start(e *entry) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		return nil
	}
	cmd := exec.Command(program, "node")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + b.dir, "LANG=C", "SAMPHIRERAIL_SETTINGS=" + e.settings}
	cmd.Stdout, cmd.Stderr = e.output, e.output
	if err := cmd.Start(); err != nil {
		return err
	}
	e.cmd, e.exited = cmd, make(chan struct{})
	b.note("%s started, pid %d", e.name, cmd.Process.Pid)
	go func(exited chan struct{}) {
		err := cmd.Wait()
		e.mu.Lock()
		stopped := e.stopped
		e.mu.Unlock()
		b.note("%s ended: %v", e.name, err)
		close(exited)
		if stopped {
			return
		}
		time.Sleep(300 * time.Millisecond)
		if err := b.start(e); err != nil {
			b.note("%s not restarted: %v", e.name, err)
		}
	}(e.exited)
	return nil
}

func (e *entry) pid() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cmd.Process.Pid
}

// signal sends a signal to the process of the entry.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.cmd.Process.Signal(s)
}

// status returns a field of /proc/PID/status in KB.
func (e *entry) statusKB(field string) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.pid()))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			return kb
		}
	}
	return 0
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

// close ends all processes and stand-ins.
func (b *bench) close() {
	for _, e := range b.entries {
		e.mu.Lock()
		e.stopped = true
		if e.cmd != nil && e.cmd.Process != nil {
			_ = e.cmd.Process.Signal(syscall.SIGCONT)
			_ = e.cmd.Process.Kill()
		}
		exited := e.exited
		e.mu.Unlock()
		if exited != nil {
			<-exited
		}
		_ = e.output.Close()
	}
	for _, t := range b.toStore {
		t.close()
	}
	for _, s := range b.servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.dir)
	} else {
		fmt.Println("logs in", b.dir)
	}
}

// client is a caller.
type client struct {
	http *http.Client
	key  string
}

func newClient(key string, timeout time.Duration) *client {
	return &client{&http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, key}
}

// reply is an answer; status is 0 if there was none.
type reply struct {
	status int
	body   string
	state  string
	took   time.Duration
}

func (c *client) send(method string, e *entry, path string, body []byte) reply {
	began := time.Now()
	req, err := http.NewRequest(method, "http://"+e.callers+path, bytes.NewReader(body))
	if err != nil {
		return reply{}
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.http.Timeout.Milliseconds(), 10))
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return reply{body: err.Error(), took: time.Since(began)}
	}
	data, err := io.ReadAll(resp.Body)
	if err = errors.Join(err, resp.Body.Close()); err != nil {
		return reply{body: err.Error(), took: time.Since(began)}
	}
	out := reply{status: resp.StatusCode, body: strings.TrimSpace(string(data)), took: time.Since(began)}
	var decoded struct {
		State string `json:"state"`
	}
	if json.Unmarshal(data, &decoded) == nil {
		out.state = decoded.State
	}
	return out
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	os.Exit(2)
}

func main() {
	if len(os.Args) != 3 {
		fail(errors.New("usage: review-3 CASE RECORD"))
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fail(fmt.Errorf("no case %s", os.Args[1]))
	}
	b, err := newBench(os.Args[2])
	if err != nil {
		fail(err)
	}
	stop := make(chan os.Signal, 1)
	notifyStop(stop)
	go func() {
		<-stop
		b.close()
		os.Exit(2)
	}()
	err = play(b, os.Getenv("TROUBLE") != "0")
	b.close()
	if err != nil {
		b.note("not run: %v", err)
		fail(err)
	}
	if len(b.problems) > 0 {
		for _, p := range b.problems {
			fmt.Println("broken:", p)
		}
		os.Exit(1)
	}
	fmt.Println("held")
}
