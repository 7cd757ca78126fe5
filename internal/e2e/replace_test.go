package e2e

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/standin"
	"github.com/samphirerail/samphirerail/standin/devplatform"
	"github.com/samphirerail/samphirerail/standin/vmlist"
)

// drop takes a VM off the platform's list.
func (c *cluster) drop(vm string) {
	c.t.Helper()
	c.must(http.MethodDelete, c.platform, devplatform.PathVMs+"/"+vm, "", nil, nil)
}

// TestEveryEntryReplaced kills all entries of a domain with work running and
// starts others on new VMs: the tasks run on and none is started again.
func TestEveryEntryReplaced(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, shape{domains: []string{"north"}, entries: 2, upstreams: 3})
	cs := &callers{c: c}
	standing := v1.SubmitRequest{Class: state.ClassStanding, Service: "fitting", CPUMilli: 100}
	var jobs []told
	for i := range 6 {
		jobs = append(jobs, cs.submit(c.entries[i%2], batch(12*time.Second)), cs.submit(c.entries[i%2], standing))
	}
	eventually(t, "all work runs", func() error {
		if n := len(c.runs()); n != len(jobs) {
			return fmt.Errorf("%d runs", n)
		}
		return nil
	})
	old := c.entries
	for _, e := range old {
		e.kill()
		c.drop(e.vm)
	}
	begin := time.Now()
	c.entries = []*entryProcess{c.startEntry("north-e3", "north", ""), c.startEntry("north-e4", "north", "")}
	for _, e := range c.entries {
		c.waitReady(e)
		c.waitUpstreams(e, 3)
	}
	t.Logf("new entries own the upstreams after %s", time.Since(begin).Round(time.Millisecond))
	for i, job := range jobs {
		is.NoErr(job.err)
		eventually(t, "the job is known and as it was", func() error {
			var status v1.JobStatus
			code, data, err := c.call(http.MethodGet, c.entries[i%2].callers, "/v1/jobs/"+string(job.id), c.teamKey, nil)
			if err == nil && code == http.StatusOK {
				got := told{status: code}
				err = got.decode(data)
				status = *got.job
			}
			want := state.JobSucceeded
			if job.request.Class == state.ClassStanding {
				want = state.JobRunning
			}
			if err != nil || status.State != want {
				return fmt.Errorf("job %s: status %d, state %s, error %w", job.id, code, status.State, errors.Join(err, errNotYet))
			}
			return nil
		})
	}
	c.settle()
	runs := c.runs()
	is.Equal(len(runs), len(jobs))
	for _, r := range runs {
		if r.Class == string(state.ClassStanding) {
			is.Equal(r.EndUnixNano, int64(0))
		} else {
			is.Equal(r.End, "succeeded")
		}
	}
	is.Equal(c.check(cs, slotsOfOneDomain), nil)
}

// TestUpstreamLost kills workers under load. The first is taken off the VM list
// at once; the second stays on it while another VM already has its address.
func TestUpstreamLost(t *testing.T) {
	c := startCluster(t, oneDomain)
	cs := &callers{c: c}
	l := startLoad(cs, 14, true, func(n int64) *entryProcess { return c.entries[n%2] })
	cs.after(100)
	c.loseUpstream("north-up1")
	c.drop("north-up1")
	cs.after(100)
	c.waitUpstreams(c.entries[0], 2)

	c.faults(c.platform, standin.Faults{VMs: vmlist.Faults{LagMilliseconds: 4000}})
	address := c.loseUpstream("north-up2")
	c.startUpstreamAt("north-up4", "north", address)
	c.drop("north-up2")
	cs.after(200)
	eventually(t, "the new VM is in use", func() error {
		if len(c.history("north-up4").Runs) == 0 {
			return errNotYet
		}
		return nil
	})
	cs.after(100)
	l.end()
	verify(t, c, cs)
}

// loseUpstream ends a worker with all that it ran, and returns its address.
func (c *cluster) loseUpstream(vm string) string {
	c.t.Helper()
	address := c.upstreams[vm]
	c.processes[vm].kill()
	delete(c.upstreams, vm)
	return address
}
