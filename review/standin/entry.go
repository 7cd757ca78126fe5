package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// entry is one machine of the system with its process. It plays the part of the platform:
// it starts the process again when it has ended, kills it when it exceeds the machine's
// memory, and asks for its readiness.
type entry struct {
	name, zone, settings     string
	callers, ready, internal string
	program, directory       string
	memoryMB                 int
	record                   *recorder

	mu      sync.Mutex
	command *exec.Cmd
	misses  int
	ends    int // ends that the test did not cause by a signal of its own
	memory  int // of these, because of the memory limit
	peakMB  int
	closed  bool
}

// freeAddress returns an address on loopback that is free now. Its port lies below those
// that the system gives to outgoing connections, so that none takes it before the process
// listens there.
func freeAddress() string {
	first := 11000 + os.Getpid()%40*500 // cases that run side by side take other ports
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", first+rand.IntN(500))
		if _, taken := givenAddresses.LoadOrStore(address, true); taken {
			continue
		}
		l, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		return address
	}
	fatal("no free port")
	return ""
}

var givenAddresses sync.Map

type entrySpec struct {
	name, zone, program, directory, storeAddress, adviceAddress string
	memoryMB                                                    int
}

func newEntry(spec entrySpec, rec *recorder) *entry {
	e := &entry{
		name: spec.name, zone: spec.zone, program: spec.program, directory: spec.directory, memoryMB: spec.memoryMB, record: rec,
		callers: freeAddress(), ready: freeAddress(), internal: freeAddress(),
		settings: filepath.Join(spec.directory, spec.name+".toml"),
	}
	return e
}

// writeSettings fills in the template of the deploy file.
func (e *entry) writeSettings(storeAddress, adviceAddress string, seeds []string) error {
	quoted := make([]string, len(seeds))
	for i, s := range seeds {
		quoted[i] = strconv.Quote(s)
	}
	text := fmt.Sprintf(`[entry]
name = %q
domain = %q
region = "breizh"
address = "127.0.0.1"

[listen]
callers = %q
ready = %q
internal = %q
metrics = %q

[platform]
log = %q
advice = %q

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
`, e.name, e.zone, e.callers, e.ready, e.internal, freeAddress(), storeAddress, adviceAddress, strings.Join(quoted, ", "), e.memoryMB)
	return os.WriteFile(e.settings, []byte(text), 0o600)
}

// run starts the process and starts it again whenever it ends, until close.
func (e *entry) run() {
	runtime.LockOSThread() // the process ends with the thread that started it, and so with this test
	go e.probe()
	for {
		e.mu.Lock()
		if e.closed {
			e.mu.Unlock()
			return
		}
		out, err := os.OpenFile(filepath.Join(e.directory, e.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			panic(err)
		}
		command := exec.Command(e.program, "node")
		command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + e.directory, "SAMPHIRERAIL_SETTINGS=" + e.settings}
		command.Stdout, command.Stderr = out, out
		command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := command.Start(); err != nil {
			panic(err)
		}
		e.command = command
		e.mu.Unlock()
		e.record.note("%s started, pid %d", e.name, command.Process.Pid)
		stop := make(chan struct{})
		go e.watchMemory(command.Process.Pid, stop)
		err = command.Wait()
		close(stop)
		out.Close()
		e.mu.Lock()
		if !e.closed {
			e.ends++
		}
		closed := e.closed
		e.mu.Unlock()
		if !closed {
			e.record.note("%s ended: %v; it is started again; its last line: %s", e.name, err, e.lastLine())
			time.Sleep(500 * time.Millisecond)
		}
	}
}

// lastLine returns the last line that the process wrote, or its end.
func (e *entry) lastLine() string {
	const most = 200
	data, err := os.ReadFile(filepath.Join(e.directory, e.name+".log"))
	if err != nil {
		return err.Error()
	}
	lines := bytes.Split(bytes.TrimSpace(data), []byte("\n"))
	last := lines[len(lines)-1]
	return string(last[max(0, len(last)-most):])
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range bytes.Split(data, []byte("\n")) {
		if rest, ok := bytes.CutPrefix(line, []byte("VmRSS:")); ok {
			kb, _ := strconv.Atoi(strings.Fields(string(rest))[0])
			return kb >> 10
		}
	}
	return 0
}

// watchMemory kills the process when it exceeds the machine's memory.
func (e *entry) watchMemory(pid int, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		mb := residentMB(pid)
		e.mu.Lock()
		e.peakMB = max(e.peakMB, mb)
		e.mu.Unlock()
		if mb > e.memoryMB {
			e.mu.Lock()
			e.memory++
			e.mu.Unlock()
			e.record.note("%s uses %d MB of %d: killed by the platform", e.name, mb, e.memoryMB)
			_ = syscall.Kill(pid, syscall.SIGKILL)
			return
		}
	}
}

// probe asks for the readiness once per second.
func (e *entry) probe() {
	client := &http.Client{Timeout: 900 * time.Millisecond}
	for {
		resp, err := client.Get("http://" + e.ready + "/-/readyz")
		good := err == nil && resp.StatusCode == 200
		if err == nil {
			resp.Body.Close()
		}
		e.mu.Lock()
		if good {
			e.misses = 0
		} else {
			e.misses++
		}
		closed := e.closed
		e.mu.Unlock()
		if closed {
			return
		}
		time.Sleep(time.Second)
	}
}

func (e *entry) inRotation() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.misses < 2
}

func (e *entry) isReady() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.misses == 0 && e.command != nil
}

// close ends the process for good.
func (e *entry) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	if e.command != nil {
		_ = e.command.Process.Signal(syscall.SIGCONT)
		_ = e.command.Process.Kill()
	}
}
