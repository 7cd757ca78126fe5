package crowd

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/samphirerail/samphirerail/internal/portpool"
	"github.com/samphirerail/samphirerail/platform/fakewire"
)

const (
	// hangTimeout bounds every wait. It is far above any time that the product guarantees.
	hangTimeout = 90 * time.Second
	// memoryMB and descriptors are the limits of an entry's VM, reservedFiles those of the
	// descriptors that sockets may not use.
	memoryMB      = 128
	descriptors   = 700
	reservedFiles = 200
	// bodyBytes and headerBytes are the limits of a request in the configuration.
	bodyBytes   = 262_144
	headerBytes = 16_384

	host    = "crowd.example"
	service = "pool"
)

// program is the path of the binary under test.
var program string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "samphirerail-crowd")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "samphirerail")
	build := exec.Command("go", "build", "-o", program, "../../cmd/samphirerail")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	return m.Run()
}

// system is a stand-in platform with entries, each a process of its own.
type system struct {
	t          *testing.T
	log        *fakewire.Log
	logAddress string
	fleet      *fakewire.Fleet
	entries    []*process
}

// startSystem starts stand-ins and n entries, and waits until each has served a request.
func startSystem(t *testing.T, n int) *system {
	t.Helper()
	s := startStandIns(t)
	for i := range n {
		s.entries = append(s.entries, startEntry(t, fmt.Sprintf("entry-%d", i), s.logAddress))
	}
	for _, e := range s.entries {
		e.submitOrdinary(t, "is ready")
	}
	return s
}

// startStandIns starts the platform's log with a configuration, and two upstreams.
func startStandIns(t *testing.T) *system {
	t.Helper()
	s := &system{t: t, log: fakewire.NewLog()}
	s.fleet = fakewire.NewFleet(s.log, func(string) bool { return true })
	s.logAddress = serve(t, s.log)
	for i := range 2 {
		listener := listen(t)
		serveOn(t, listener, s.fleet.Add(fmt.Sprintf("i-%d", i), service, listener.Addr().String(), 8000, "a", "r0"))
	}
	config := fakewire.Config(1, host, service, 0, 0).(map[string]any)
	config["limits"] = map[string]any{
		"max_header_bytes": headerBytes, "max_body_bytes": bodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15_000,
	}
	value, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	s.log.Put("keyed.op", "config", value)
	return s
}

// process is an entry's process.
type process struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
	// callers, ready, internal and metrics are the addresses (IP:port) of its listeners.
	callers, ready, internal, metrics string
	ids                               int
}

func startEntry(t *testing.T, name, logAddress string) *process {
	t.Helper()
	p, path := newEntry(t, name, logAddress)
	p.start(t, "node", "--config", path)
	return p
}

// newEntry returns an entry that is not started, and the path of its settings.
func newEntry(t *testing.T, name, logAddress string) (*process, string) {
	t.Helper()
	addresses := takeAddresses(t, 4)
	p := &process{name: name, callers: addresses[0], ready: addresses[1], internal: addresses[2], metrics: addresses[3]}
	path := filepath.Join(t.TempDir(), name+".toml")
	text := fmt.Sprintf(`[entry]
name = %q
domain = "z"
address = "127.0.0.1"
[listen]
callers = %q
ready = %q
internal = %q
metrics = %q
[platform]
log = %q
[limits]
memory_mb = %d
cpu_share = 1.0
[shutdown]
balancer_delay = "100ms"
`, name, p.callers, p.ready, p.internal, p.metrics, logAddress, memoryMB)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return p, path
}

// start runs the program with the descriptors of the VM and kills it at the end of the test.
func (p *process) start(t *testing.T, args ...string) {
	t.Helper()
	p.startWithOutput(t, filepath.Join(t.TempDir(), p.name+".log"), args...)
}

func (p *process) startWithOutput(t *testing.T, path string, args ...string) {
	t.Helper()
	output, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	p.startWithFile(t, output, args...)
}

func (p *process) startWithFile(t *testing.T, output *os.File, args ...string) {
	t.Helper()
	limited := fmt.Sprintf("ulimit -n %d && exec %q \"$@\"", descriptors, program)
	p.cmd = exec.Command("/bin/sh", append([]string{"-c", limited, p.name}, args...)...)
	p.cmd.Stdout, p.cmd.Stderr = output, output
	p.exited = make(chan struct{})
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.exited
		if t.Failed() {
			t.Logf("end of the output of %s:\n%s", p.name, tail(output.Name()))
		}
	})
}

// tail returns the last lines of a file.
func tail(path string) string {
	data, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(string(data), "\n")
	return strings.Join(lines[max(0, len(lines)-30):], "\n")
}

// lives fails the test if the process has ended.
func (p *process) lives(t *testing.T) {
	t.Helper()
	select {
	case <-p.exited:
		t.Fatalf("the process of %s ended: %s", p.name, p.cmd.ProcessState)
	default:
	}
}

// submitOrdinary submits an ordinary job, as often as it takes, each time on a new connection, and
// waits until it is complete.
func (p *process) submitOrdinary(t *testing.T, when string) {
	t.Helper()
	p.ids++
	url := fmt.Sprintf("http://%s%s%08x%08x", p.callers, fakewire.Prefix, os.Getpid(), p.ids+len(p.name)<<16)
	spec := fakewire.Spec{RunMS: 10, CPU: 100}
	job := string(fakewire.Job(spec, spec.CPU, 1, false))
	last := "no answer"
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answered := func(method, body, want string) bool {
		request, err := http.NewRequest(method, url, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		request.Host = host
		request.Header.Set("Authorization", "Bearer "+fakewire.Key)
		response, err := client.Do(request)
		if err != nil {
			last = err.Error()
			return false
		}
		defer response.Body.Close()
		text := make([]byte, 1024)
		n, _ := response.Body.Read(text)
		last = fmt.Sprintf("%s %s", response.Status, text[:n])
		return response.StatusCode == http.StatusOK && strings.Contains(string(text[:n]), want)
	}
	p.eventually(t, func() bool { return answered(http.MethodPost, job, "") }, func() string {
		return fmt.Sprintf("%s: an ordinary submission has no answer when %s: %s", p.name, when, last)
	})
	p.eventually(t, func() bool { return answered(http.MethodGet, "", "complete") }, func() string {
		return fmt.Sprintf("%s: an ordinary job is not complete when %s: %s", p.name, when, last)
	})
}

// eventually waits until ok returns true.
func (p *process) eventually(t *testing.T, ok func() bool, problem func() string) {
	t.Helper()
	for deadline := time.Now().Add(hangTimeout); !ok(); time.Sleep(50 * time.Millisecond) {
		p.lives(t)
		if time.Now().After(deadline) {
			t.Fatal(problem())
		}
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// ports holds the ports of the entries.
var ports portpool.Pool

// takeAddresses returns n loopback addresses that no other process takes until the end of the test.
func takeAddresses(t *testing.T, n int) []string {
	t.Helper()
	addresses, err := ports.Take(n)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ports.Release(addresses) })
	return addresses
}

func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	listener := listen(t)
	serveOn(t, listener, handler)
	return listener.Addr().String()
}

func serveOn(t *testing.T, listener net.Listener, handler http.Handler) {
	t.Helper()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, ConnContext: fakewire.ConnContext}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
}
