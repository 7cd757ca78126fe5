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

// waitTimeout bounds every wait of these tests. It is far above any time that the
// product guarantees, because these tests check outcomes, not speed.
const waitTimeout = 60 * time.Second

// binDir is the directory of the built binaries.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "samphirerail-e2e")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	binDir = dir
	for _, name := range []string{"samphirerail", "samphirectl"} {
		build := exec.Command("go", "build", "-o", filepath.Join(dir, name), "../../cmd/"+name)
		build.Stderr = os.Stderr
		if err := build.Run(); err != nil {
			panic(err)
		}
	}
	return m.Run()
}

// process is a samphirerail process that a test started, with its output.
type process struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd
	done chan struct{}

	mu    sync.Mutex
	lines []string
}

// start runs samphirerail with the given arguments and kills it at the end of the
// test.
func start(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, cmd: exec.Command(filepath.Join(binDir, "samphirerail"), args...), done: make(chan struct{})}
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
			p.appendLine(scanner.Text())
		}
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(p.cleanUp)
	return p
}

func (p *process) appendLine(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lines = append(p.lines, line)
}

// output returns what the process has written to stdout and stderr so far.
func (p *process) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.lines, "\n")
}

// cleanUp kills the process, and logs its output if the test has failed.
func (p *process) cleanUp() {
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

// kill sends SIGKILL, as in a crash, and waits until the process has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// exitCode waits until the process has exited and returns its exit code.
func (p *process) exitCode() int {
	p.t.Helper()
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(waitTimeout):
		p.t.Fatalf("%s did not exit before the timeout", p.name)
		return 0
	}
}

// waitListening waits for the listen address that a stand-in prints and returns it.
func (p *process) waitListening() string {
	p.t.Helper()
	address := ""
	eventually(p.t, p.name+" is listening", func() error {
		for line := range strings.SplitSeq(p.output(), "\n") {
			if rest, ok := strings.CutPrefix(line, "listening "); ok {
				address = rest
				return nil
			}
		}
		return fmt.Errorf("no listen address printed yet")
	})
	return address
}

// eventually polls condition until it returns nil, and fails the test with the last
// error after waitTimeout.
func eventually(t *testing.T, description string, condition func() error) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for {
		err := condition()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: %v", description, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
