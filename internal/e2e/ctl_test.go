package e2e

import (
	"encoding/json"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
)

// ctl runs samphirectl against an entry and returns its combined output and its exit
// code.
func (c *cluster) ctl(e *entryProcess, key string, args ...string) (string, int) {
	c.t.Helper()
	args = append([]string{"--entry", e.callerAddr, "--key", key}, args...)
	cmd := exec.Command(filepath.Join(binDir, "samphirectl"), args...)
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

// TestCommandLine runs samphirectl commands of operators and callers and checks exit
// codes and output.
func TestCommandLine(t *testing.T) {
	c := startCluster(t, twoDomains)
	owner := c.owner()
	other := c.otherEntry(owner)
	tests := []struct {
		name string
		key  string
		args string
		code int
		want string
	}{
		{name: "unchanged domains", key: bootstrapKey, args: "domain put north:test:1 south:test:1", code: 0},
		{name: "contract dry run", key: bootstrapKey, args: "contract apply -f ../../examples/contracts --dry-run", code: 0, want: "added"},
		{name: "contract apply", key: bootstrapKey, args: "contract apply -f ../../examples/contracts", code: 0, want: "lease-office"},
		{name: "repeated contract apply", key: bootstrapKey, args: "contract apply -f ../../examples/contracts", code: 0, want: "unchanged"},
		{name: "status", key: bootstrapKey, args: "status", code: 0, want: "north/0"},
		{name: "submit and wait", key: c.teamKey, args: "submit --service fitting --class batch --cpu 100m --memory 64MB --payload hello --wait", code: 0, want: "hello"},
		{name: "never runnable", key: c.teamKey, args: "submit --service fitting --class batch --cpu 900", code: 2, want: "never_runnable"},
		{name: "job that fails", key: c.teamKey, args: `submit --service fitting --class batch --cpu 100m --payload {"fail":true,"output":"torn"} --wait`, code: 4, want: "torn"},
		{name: "wrong key", key: "nobody.secret", args: "status", code: 6},
		{name: "operator command with a caller key", key: c.teamKey, args: "contract list", code: 6},
		{name: "usage", key: c.teamKey, args: "submit --colour red", code: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			out, code := c.ctl(other, tt.key, strings.Fields(tt.args)...)
			if code != tt.code || !strings.Contains(out, tt.want) {
				t.Errorf("%s: exit code %d, want %d with %q:\n%s", tt.args, code, tt.code, tt.want, out)
			}
		})
	}
}

// TestCommandLineJobLifecycle submits a standing job, waits with explain until it runs,
// and cancels it.
func TestCommandLineJobLifecycle(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, oneDomain)
	entry := c.otherEntry(c.owner())
	out, code := c.ctl(entry, c.teamKey, "--output", "json", "submit", "--service", "fitting", "--class", "standing", "--cpu", "100m", "--payload", `{"run_ms":600000}`)
	is.Equal(code, 0)
	var job v1.JobStatus
	is.NoErr(json.Unmarshal([]byte(out), &job))
	eventually(t, "the job is running", func() error {
		out, _ := c.ctl(entry, bootstrapKey, "explain", string(job.ID))
		if !strings.Contains(out, string(state.JobRunning)) {
			return errNotYet
		}
		return nil
	})
	out, code = c.ctl(entry, c.teamKey, "cancel", string(job.ID))
	t.Logf("cancel: exit code %d\n%s", code, out)
	is.True(strings.Contains(out, string(state.JobCancelled)))
	c.waitIdle()
	for vm := range c.upstreams {
		for _, r := range c.history(vm).Runs {
			is.True(r.EndUnixNano > 0)
		}
	}
}
