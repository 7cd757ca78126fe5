package e2e

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// patience bounds every wait of these tests. It is far above any time that the
// product promises: these tests judge outcomes, not speed.
const patience = 60 * time.Second

// binaries is the directory of the built programs.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "samphirerail-e2e")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	binaries = dir
	for _, name := range []string{"samphirerail", "samphirectl"} {
		build := exec.Command("go", "build", "-o", filepath.Join(dir, name), "../../cmd/"+name)
		build.Stderr = os.Stderr
		if err := build.Run(); err != nil {
			panic(err)
		}
	}
	return m.Run()
}

// process is a program that a test started.
type process struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd
	done chan struct{}

	mu    sync.Mutex
	lines []string
}

// start runs samphirerail until the end of the test.
func start(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, cmd: exec.Command(filepath.Join(binaries, "samphirerail"), args...), done: make(chan struct{})}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	p.cmd.Stderr = p.cmd.Stdout
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		scanner := bufio.NewScanner(out)
		scanner.Buffer(nil, 1<<20)
		for scanner.Scan() {
			p.add(scanner.Text())
		}
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(p.end)
	return p
}

func (p *process) add(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lines = append(p.lines, line)
}

// output returns what the process has printed so far.
func (p *process) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.lines, "\n")
}

// end kills the process, and prints its output when the test has failed.
func (p *process) end() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.done
	if p.t.Failed() {
		p.t.Logf("output of %s:\n%s", p.name, p.output())
	}
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatalf("signal %s to %s: %v", s, p.name, err)
	}
}

// kill ends the process as a crash does.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// exitCode waits for the end of the process.
func (p *process) exitCode() int {
	p.t.Helper()
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(patience):
		p.t.Fatalf("%s did not end", p.name)
		return 0
	}
}

// listening waits for the address that a stand-in prints.
func (p *process) listening() string {
	p.t.Helper()
	address := ""
	eventually(p.t, p.name+" listens", func() error {
		for line := range strings.SplitSeq(p.output(), "\n") {
			if rest, ok := strings.CutPrefix(line, "listening "); ok {
				address = rest
				return nil
			}
		}
		return fmt.Errorf("no address yet")
	})
	return address
}

// eventually tries f until it returns nil, and fails the test when that takes
// longer than patience.
func eventually(t *testing.T, what string, f func() error) {
	t.Helper()
	deadline := time.Now().Add(patience)
	for {
		err := f()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: %v", what, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
