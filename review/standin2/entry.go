package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the time until the platform starts a process again that has ended.
const restartDelay = 500 * time.Millisecond

// entry is one machine of the system, with its process.
type entry struct {
	name, ip                string
	callers, ready, control string
	settings, log           string
	mu                      sync.Mutex
	process                 *exec.Cmd
	// removed says that the machine is gone for good.
	removed bool
	ended   chan struct{}
}

// loopback returns one of the loopback addresses of this process, so that cases that are played side by
// side don't take each other's ports.
func loopback(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/250%250, 1+pid%250, n)
}

// freePort returns a port that is free at an address.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// addEntries writes the settings of n entries, as the template of the deploy file does, and starts them.
func (c *system) addEntries(n int) error {
	for i := range n {
		e := &entry{name: fmt.Sprintf("frontend-z%d-%d", i%3, i/3+1), ip: loopback(11 + i)}
		addresses := []*string{&e.callers, &e.ready, &e.control}
		for _, a := range addresses {
			port, err := freePort(e.ip)
			if err != nil {
				return err
			}
			*a = fmt.Sprintf("%s:%d", e.ip, port)
		}
		e.settings, e.log = filepath.Join(c.dir, e.name+".toml"), filepath.Join(c.dir, e.name+".log")
		c.entries = append(c.entries, e)
	}
	var seeds []string
	for _, e := range c.entries[:min(3, n)] {
		seeds = append(seeds, fmt.Sprintf("%q", e.control))
	}
	for i, e := range c.entries {
		text := fmt.Sprintf(`[entry]
name = %q
domain = "z%d"
region = "r"
address = %q
[listen]
callers = %q
ready = %q
internal = %q
[platform]
log = %q
advice = %q
[peers]
seeds = [%s]
[limits]
memory_mb = 284
cpu_share = 0.4
[upstream]
lease = "5s"
retention = "120s"
capacity_notice = "3000ms"
heartbeat = "1500ms"
`, e.name, i%3, e.ip, e.callers, e.ready, e.control, c.storeAddress, c.adviceAddress, strings.Join(seeds, ", "))
		if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := c.start(e); err != nil {
			return err
		}
	}
	return nil
}

// start starts the process of an entry, which is started again when it ends unless the machine is
// removed.
func (c *system) start(e *entry) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.removed {
		return nil
	}
	out, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(c.program, "node")
	cmd.Env = append(os.Environ(), "SAMPHIRERAIL_SETTINGS="+e.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	e.process, e.ended = cmd, ended
	c.record.note("%s started", e.name)
	go func() {
		_ = cmd.Wait() // the way it ended is not of interest
		_ = out.Close()
		close(ended)
		time.Sleep(restartDelay)
		if err := c.start(e); err != nil {
			c.record.note("%s not started: %v", e.name, err)
		}
	}()
	return nil
}

// signal sends a signal to the process of an entry; remove says that its machine does not come back.
func (e *entry) signal(s syscall.Signal, remove bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removed = e.removed || remove
	if e.process == nil {
		return
	}
	_ = e.process.Process.Signal(s) // it may have ended
}

// isReady reports whether the entry takes callers.
func (e *entry) isReady() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + e.ready + "/-/readyz")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// owner returns the entry that has logged last that it owns the placement, or nil.
func (c *system) owner() (owner *entry) {
	newest := ""
	for _, e := range c.entries {
		text, err := os.ReadFile(e.log)
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(text)) {
			if at, _, ok := strings.Cut(line, " "); ok && strings.Contains(line, "ownership taken:") && at > newest {
				newest, owner = at, e
			}
		}
	}
	return owner
}
