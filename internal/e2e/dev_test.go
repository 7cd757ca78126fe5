package e2e

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// waitPrinted waits until the process has printed a line that starts with a label,
// and returns the rest of that line.
func (p *process) waitPrinted(label string) string {
	p.t.Helper()
	value := ""
	eventually(p.t, p.name+" prints "+label, func() error {
		for line := range strings.SplitSeq(p.output(), "\n") {
			if rest, ok := strings.CutPrefix(line, label); ok {
				value = strings.TrimSpace(rest)
				return nil
			}
		}
		return fmt.Errorf("not yet")
	})
	return value
}

// TestDevelopmentMode follows the README: one command starts a system, the commands
// that it prints work, and SIGTERM stops it.
func TestDevelopmentMode(t *testing.T) {
	is := is.New(t)
	p := start(t, "dev", "dev")
	address := strings.TrimPrefix(p.waitPrinted("callers:"), "http://")
	for _, tt := range []struct {
		name string
		args []string
		want string
	}{
		{name: "submit", args: []string{"--key", p.waitPrinted("team key:"), "submit", "--service", "fitting", "--class", "request", "--cpu", "500m", "--memory", "256MB", "--payload", "hello"}, want: "hello"},
		{name: "status", args: []string{"--key", p.waitPrinted("operator key:"), "status"}, want: "south/0"},
	} {
		out, err := exec.Command(filepath.Join(binDir, "samphirectl"), append([]string{"--entry", address}, tt.args...)...).CombinedOutput()
		is.NoErr(err)
		is.True(strings.Contains(string(out), tt.want))
	}
	p.signal(syscall.SIGTERM)
	is.Equal(p.exitCode(), 0)
}
