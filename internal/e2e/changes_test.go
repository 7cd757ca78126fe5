package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/standin/devplatform"
	"github.com/samphirerail/samphirerail/standin/faults"
	"github.com/samphirerail/samphirerail/standin/worker"
)

// massCancelJobs is the number of jobs that are cancelled concurrently.
const massCancelJobs = 2000

// batch returns a non-idempotent batch job with one task that runs for a given time.
func batch(run time.Duration) v1.SubmitRequest {
	r := request(run, "batch", false)
	r.Class, r.WaitMS = state.ClassBatch, 0
	return r
}

// getJob returns the status of a job as reported by an entry.
func (c *cluster) getJob(e *entryProcess, key string, id state.JobID) v1.JobStatus {
	c.t.Helper()
	var status v1.JobStatus
	c.mustCall(http.MethodGet, e.callerAddr, "/v1/jobs/"+string(id), key, nil, &status)
	return status
}

// cancel cancels a job through an entry and records the outcome.
func (client *recordingClient) cancel(e *entryProcess, submitted outcome) {
	status, data, err := client.c.call(http.MethodDelete, e.callerAddr, "/v1/jobs/"+string(submitted.id), client.c.teamKey, nil)
	o := outcome{request: submitted.request, id: submitted.id, status: status, err: err, at: time.Now()}
	if err == nil {
		o.err = o.decode(data)
	}
	client.mu.Lock()
	defer client.mu.Unlock()
	client.outcomes = append(client.outcomes, o)
}

// parallel calls f with 0 to n-1 from a number of goroutines and waits for all calls.
func parallel(n, goroutines int, f func(i int)) {
	var wg sync.WaitGroup
	for g := range goroutines {
		wg.Go(func() {
			for i := g; i < n; i += goroutines {
				f(i)
			}
		})
	}
	wg.Wait()
}

// TestChangesUnderLoad makes a series of changes to one cluster that has work, and
// checks the outcomes of all of them at the end.
func TestChangesUnderLoad(t *testing.T) {
	c := startCluster(t, oneDomain)
	cases := []struct {
		name string
		run  func(t *testing.T, c *cluster, client *recordingClient)
	}{
		{name: "trace context is forwarded between entries", run: checkTracePropagation},
		{name: "mass cancellation", run: checkMassCancellation},
		{name: "contract withdrawn with running work", run: checkContractWithdrawn},
		{name: "upstream drained", run: checkUpstreamDrained},
		{name: "upstream leaving in the VM list", run: checkUpstreamLeaving},
		{name: "no worker responds", run: checkNoWorkerResponds},
	}
	client := &recordingClient{c: c}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) { tt.run(t, c, client) })
	}
	verify(t, c, client)
}

func checkTracePropagation(t *testing.T, c *cluster, client *recordingClient) {
	is := is.New(t)
	const traceID = "4bf92f3577b34da6a3ce929d0e0e4736"
	forwarding := c.otherEntry(c.owner())
	body, err := json.Marshal(request(0, "traced", true))
	is.NoErr(err)
	req, err := http.NewRequest(http.MethodPost, "http://"+forwarding.callerAddr+"/v1/jobs", strings.NewReader(string(body)))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+c.teamKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("traceparent", "00-"+traceID+"-00f067aa0ba902b7-01")
	resp, err := c.http.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	var status v1.JobStatus
	is.NoErr(json.NewDecoder(resp.Body).Decode(&status))
	is.Equal(status.State, state.JobSucceeded)
	var traced []string
	for _, r := range c.runs() {
		if r.JobID == string(status.ID) {
			traced = append(traced, r.TraceParent)
		}
	}
	is.Equal(len(traced), 1)
	is.True(strings.Contains(traced[0], traceID))
}

func checkMassCancellation(t *testing.T, c *cluster, client *recordingClient) {
	is := is.New(t)
	submitted := make([]outcome, massCancelJobs)
	parallel(massCancelJobs, 64, func(i int) { submitted[i] = client.submit(c.entries[i%2], batch(time.Minute)) })
	for _, s := range submitted {
		is.NoErr(s.err)
		is.Equal(s.status, http.StatusAccepted)
	}
	begin := time.Now()
	parallel(massCancelJobs, 32, func(i int) { client.cancel(c.entries[i%2], submitted[i]) })
	t.Logf("%d jobs cancelled in %s", massCancelJobs, time.Since(begin).Round(time.Millisecond))
	c.waitIdle()
	for _, s := range submitted {
		is.Equal(c.getJob(c.entries[0], c.teamKey, s.id).State, state.JobCancelled)
	}
}

func checkContractWithdrawn(t *testing.T, c *cluster, client *recordingClient) {
	is := is.New(t)
	const leaving = state.TeamID("leaving")
	granted := c.putTeamContract(c.entries[0].callerAddr, leaving, contract(2))
	c.waitInForce(c.entries[0], granted.Version)
	key := c.grantKey(c.entries[0].callerAddr, "leaving-key", leaving)
	for _, e := range c.entries {
		c.waitKey(e, key, true)
	}
	var submitted []outcome
	for range 6 {
		got := c.submitAs(c.entries[0], key, batch(10*time.Minute))
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusAccepted)
		submitted = append(submitted, got)
	}
	eventually(t, "two tasks are running", func() error {
		if n := len(runsOf(c.runs(), leaving)); n != 2 {
			return fmt.Errorf("%d", n)
		}
		return nil
	})
	begin := time.Now()
	c.mustCall(http.MethodDelete, c.entries[0].callerAddr, "/v1/contracts/"+string(leaving)+"?base_version="+itoa(v1.AnyVersion), bootstrapKey, nil, nil)
	c.waitIdle()
	t.Logf("running work of the withdrawn contract stopped after %s", time.Since(begin).Round(time.Millisecond))
	notRun := 0
	for _, s := range submitted {
		var job v1.JobStatus
		eventually(t, "the job has ended", func() error {
			job = c.getJob(c.entries[1], key, s.id)
			if !job.State.Ended() {
				return fmt.Errorf("state %s", job.State)
			}
			return nil
		})
		is.Equal(job.Refusal.Reason, state.ReasonWithdrawn)
		if job.State == state.JobRefused && job.Refusal.NotRun == state.NotRun {
			notRun++
		}
	}
	is.Equal(notRun, 4)
	is.Equal(len(runsOf(c.runs(), leaving)), 2)
	eventually(t, "new work is refused", func() error {
		got := c.submitAs(c.entries[1], key, batch(0))
		if got.refusal == nil || got.refusal.Reason != state.ReasonNotPermitted || got.refusal.NotRun != state.NotRun {
			return fmt.Errorf("status %d", got.status)
		}
		return nil
	})
}

// startsSince counts the tasks that a worker started after a time.
func (c *cluster) startsSince(vm string, t time.Time) int {
	c.t.Helper()
	runs := c.history(vm).Runs
	runs = slices.DeleteFunc(runs, func(r worker.Run) bool { return r.StartUnixNano <= t.UnixNano() })
	return len(runs)
}

// waitNoNewStarts repeats batches of 50 requests until all requests of a batch have been
// answered without a start on the given upstream.
func waitNoNewStarts(c *cluster, client *recordingClient, vm string) {
	c.t.Helper()
	eventually(c.t, vm+" gets no new starts", func() error {
		begin := time.Now()
		parallel(50, 5, func(i int) {
			probe := request(0, "probe", true)
			probe.DeadlineMS = 1000
			client.submit(c.entries[i%2], probe)
		})
		if n := c.startsSince(vm, begin); n > 0 {
			return fmt.Errorf("%d starts", n)
		}
		return nil
	})
}

// startBatchJob submits a batch job that runs for 4 s and returns its ID and the
// upstream that runs it.
func startBatchJob(c *cluster, client *recordingClient) (id state.JobID, vm string) {
	c.t.Helper()
	submitted := client.submit(c.entries[0], batch(4*time.Second))
	eventually(c.t, "the job is running", func() error {
		for _, r := range c.runs() {
			if r.JobID == string(submitted.id) && r.EndUnixNano == 0 {
				id, vm = submitted.id, r.vm
				return nil
			}
		}
		return errNotYet
	})
	return id, vm
}

// drain sets the drain of an upstream with method POST and clears it with DELETE.
func (c *cluster) drain(method, vm string) {
	c.t.Helper()
	c.mustCall(method, c.entries[0].callerAddr, "/v1/upstreams/"+vm+"/drain", bootstrapKey, v1.Write{}, nil)
}

// checkFinishedOnce checks that a running job succeeds with exactly one run.
func checkFinishedOnce(t *testing.T, c *cluster, id state.JobID) {
	t.Helper()
	is := is.New(t)
	c.waitIdle()
	is.Equal(c.getJob(c.entries[0], c.teamKey, id).State, state.JobSucceeded)
	n := 0
	for _, r := range c.runs() {
		if r.JobID == string(id) {
			n++
		}
	}
	is.Equal(n, 1)
}

func checkUpstreamDrained(t *testing.T, c *cluster, client *recordingClient) {
	id, vm := startBatchJob(c, client)
	begin := time.Now()
	c.drain(http.MethodPost, vm)
	waitNoNewStarts(c, client, vm)
	t.Logf("last start on the drained upstream %s after the drain", lastStart(c, vm).Sub(begin).Round(time.Millisecond))
	checkFinishedOnce(t, c, id)
	for other := range c.upstreams {
		if other != vm {
			c.drain(http.MethodPost, other)
		}
	}
	c.drain(http.MethodDelete, vm)
	eventually(t, "the undrained upstream gets starts again", func() error {
		begin := time.Now()
		probe := request(0, "undrained", true)
		probe.DeadlineMS = 1000
		client.submit(c.entries[0], probe)
		if c.startsSince(vm, begin) == 0 {
			return errNotYet
		}
		return nil
	})
	for other := range c.upstreams {
		c.drain(http.MethodDelete, other)
	}
}

func lastStart(c *cluster, vm string) time.Time {
	c.t.Helper()
	last := int64(0)
	for _, r := range c.history(vm).Runs {
		last = max(last, r.StartUnixNano)
	}
	return time.Unix(0, last)
}

func checkUpstreamLeaving(t *testing.T, c *cluster, client *recordingClient) {
	id, vm := startBatchJob(c, client)
	row := c.listedVM(vm)
	row.State = devplatform.VMLeaving
	begin := time.Now()
	c.registerVM(row)
	waitNoNewStarts(c, client, vm)
	t.Logf("last start on the leaving upstream %s after the change of the VM list", lastStart(c, vm).Sub(begin).Round(time.Millisecond))
	checkFinishedOnce(t, c, id)
}

// listedVM returns a VM's row in the platform's VM list.
func (c *cluster) listedVM(vm string) devplatform.VM {
	c.t.Helper()
	var list devplatform.VMListReply
	c.mustCall(http.MethodGet, c.platform, devplatform.PathVMs, "", nil, &list)
	i := slices.IndexFunc(list.VMs, func(row devplatform.VM) bool { return row.ID == vm })
	if i < 0 {
		c.t.Fatalf("%s is not in the VM list", vm)
	}
	return list.VMs[i]
}

// checkNoWorkerResponds makes every worker unreachable: each request is refused as not
// run when its deadline has passed, nothing runs, and jobs succeed again once the
// workers respond.
func checkNoWorkerResponds(t *testing.T, c *cluster, client *recordingClient) {
	is := is.New(t)
	for _, address := range c.upstreams {
		c.setFaults(address, worker.Faults{Switches: faults.Switches{Down: faults.Drop}})
	}
	eventually(t, "the owner refuses work because no worker responds", func() error {
		bounded := request(0, "outage", true)
		bounded.DeadlineMS = 1000
		if got := client.submit(c.entries[0], bounded); got.refusal == nil || got.refusal.NotRun != state.NotRun {
			return fmt.Errorf("status %d", got.status)
		}
		return nil
	})
	before := len(c.runs())
	refused := make([]outcome, 200)
	parallel(len(refused), 50, func(i int) {
		bounded := request(0, "outage", true)
		bounded.DeadlineMS = 1000
		refused[i] = client.submit(c.entries[i%2], bounded)
	})
	for _, got := range refused {
		is.NoErr(got.err)
		is.True(got.refusal != nil)
		is.Equal(got.refusal.NotRun, state.NotRun)
		is.True(got.refusal.RetryAfterMS > 0)
	}
	is.Equal(len(c.runs()), before)
	t.Logf("first refusal: %s, retry after %d ms", refused[0].refusal.Error(), refused[0].refusal.RetryAfterMS)
	for _, address := range c.upstreams {
		c.setFaults(address, worker.Faults{})
	}
	eventually(t, "jobs succeed again", func() error {
		if got := client.submit(c.entries[1], request(0, "again", true)); got.job == nil || got.job.State != state.JobSucceeded {
			return fmt.Errorf("status %d", got.status)
		}
		return nil
	})
}
