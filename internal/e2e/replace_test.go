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

// unregisterVM removes a VM from the platform's VM list.
func (c *cluster) unregisterVM(vm string) {
	c.t.Helper()
	c.mustCall(http.MethodDelete, c.platform, devplatform.PathVMs+"/"+vm, "", nil, nil)
}

// TestAllEntriesReplaced kills all entries of a domain while work is running and
// starts new ones on new VMs: the running tasks continue and none is started again.
func TestAllEntriesReplaced(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, clusterSpec{domains: []string{"north"}, entries: 2, upstreams: 3})
	client := &recordingClient{c: c}
	standing := v1.SubmitRequest{Class: state.ClassStanding, Service: "fitting", CPUMilli: 100}
	var jobs []outcome
	for i := range 6 {
		jobs = append(jobs, client.submit(c.entries[i%2], batch(12*time.Second)), client.submit(c.entries[i%2], standing))
	}
	eventually(t, "all jobs are running", func() error {
		if n := len(c.runs()); n != len(jobs) {
			return fmt.Errorf("%d runs", n)
		}
		return nil
	})
	old := c.entries
	for _, e := range old {
		e.kill()
		c.unregisterVM(e.vm)
	}
	begin := time.Now()
	c.entries = []*entryProcess{c.startEntry("north-e3", "north", ""), c.startEntry("north-e4", "north", "")}
	for _, e := range c.entries {
		c.waitReady(e)
		c.waitUpstreams(e, 3)
	}
	t.Logf("new entries fenced the upstreams after %s", time.Since(begin).Round(time.Millisecond))
	for i, job := range jobs {
		is.NoErr(job.err)
		eventually(t, "the new entries report the job with the expected state", func() error {
			var status v1.JobStatus
			code, data, err := c.call(http.MethodGet, c.entries[i%2].callerAddr, "/v1/jobs/"+string(job.id), c.teamKey, nil)
			if err == nil && code == http.StatusOK {
				got := outcome{status: code}
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
	c.waitIdle()
	runs := c.runs()
	is.Equal(len(runs), len(jobs))
	for _, r := range runs {
		if r.Class == string(state.ClassStanding) {
			is.Equal(r.EndUnixNano, int64(0))
		} else {
			is.Equal(r.End, "succeeded")
		}
	}
	is.Equal(c.check(client, oneDomainSlotLimit), nil)
}

// TestUpstreamLost kills workers under load. The first is removed from the VM list
// at once; the second stays on the list, which lags, while another VM already uses
// its address.
func TestUpstreamLost(t *testing.T) {
	c := startCluster(t, oneDomain)
	client := &recordingClient{c: c}
	l := startLoad(client, 14, true, func(n int64) *entryProcess { return c.entries[n%2] })
	client.waitOutcomes(100)
	c.killUpstream("north-up1")
	c.unregisterVM("north-up1")
	client.waitOutcomes(100)
	c.waitUpstreams(c.entries[0], 2)

	c.setFaults(c.platform, standin.Faults{VMs: vmlist.Faults{LagMilliseconds: 4000}})
	address := c.killUpstream("north-up2")
	c.startUpstreamAt("north-up4", "north", address)
	c.unregisterVM("north-up2")
	client.waitOutcomes(200)
	eventually(t, "the new VM is in use", func() error {
		if len(c.history("north-up4").Runs) == 0 {
			return errNotYet
		}
		return nil
	})
	client.waitOutcomes(100)
	l.stopAndWait()
	verify(t, c, client)
}

// killUpstream kills a worker together with the tasks that it runs, and returns its
// address.
func (c *cluster) killUpstream(vm string) string {
	c.t.Helper()
	address := c.upstreams[vm]
	c.upstreamProcesses[vm].kill()
	delete(c.upstreams, vm)
	return address
}
