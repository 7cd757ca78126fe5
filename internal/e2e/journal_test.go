package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/standin"
	"github.com/samphirerail/samphirerail/standin/devplatform"
	"github.com/samphirerail/samphirerail/standin/faults"
	"github.com/samphirerail/samphirerail/standin/logservice"
)

const (
	queuedJobs = 40
	// queueSlots is the team's upper limit while jobs are queued.
	queueSlots = 3
	// maxStartedJobs bounds the number of jobs that may have started when the owner
	// is killed.
	maxStartedJobs = queuedJobs / 2
)

// batchJob returns a batch job with one task that runs for a given time and returns the
// given output.
func batchJob(run time.Duration, output string, idempotent bool) v1.SubmitRequest {
	r := request(run, output, idempotent)
	r.Class = state.ClassBatch
	r.WaitMS = 0
	return r
}

// fillQueue submits queuedJobs batch jobs, of which only queueSlots can run at a time,
// and returns their IDs.
func fillQueue(c *cluster, client *recordingClient, e *entryProcess, idempotent, durable bool) []state.JobID {
	c.t.Helper()
	is := is.New(c.t)
	c.putContract(e.callerAddr, contract(queueSlots))
	var list []state.JobID
	for n := range queuedJobs {
		got := client.submit(e, batchJob(time.Second, fmt.Sprint("job-", n), idempotent))
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusAccepted)
		is.Equal(got.job.Durable, durable)
		list = append(list, got.id)
	}
	return list
}

func (c *cluster) job(e *entryProcess, id state.JobID) (v1.JobStatus, error) {
	var job v1.JobStatus
	status, data, err := c.call(http.MethodGet, e.callerAddr, "/v1/jobs/"+string(id), c.teamKey, nil)
	if err != nil {
		return job, err
	}
	if status != http.StatusOK {
		return job, fmt.Errorf("%s: status %d: %s", id, status, data)
	}
	return job, json.Unmarshal(data, &job)
}

// completions counts the runs of each job: those that succeeded, and all.
func (c *cluster) completions() (succeeded, all map[state.JobID]int) {
	succeeded, all = map[state.JobID]int{}, map[state.JobID]int{}
	for vm := range c.upstreams {
		for _, r := range c.history(vm).Runs {
			all[state.JobID(r.JobID)]++
			if r.End == string(devplatform.TaskSucceeded) {
				succeeded[state.JobID(r.JobID)]++
			}
		}
	}
	return succeeded, all
}

// TestQueueSurvivesOwnerCrash kills the owner of a queue of idempotent durable jobs: the
// new owner completes each of them exactly once.
func TestQueueSurvivesOwnerCrash(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, oneDomain)
	client := &recordingClient{c: c}
	owner := c.owner()
	survivor := c.otherEntry(owner)
	list := fillQueue(c, client, survivor, true, true)
	owner.kill()
	_, started := c.completions()
	is.True(len(started) < maxStartedJobs)
	for _, id := range list {
		eventually(t, "job "+string(id)+" succeeds", func() error {
			job, err := c.job(survivor, id)
			if err == nil && job.State != state.JobSucceeded {
				err = fmt.Errorf("%s: %s %s", job.ID, job.State, job.Waiting)
			}
			return err
		})
	}
	succeeded, _ := c.completions()
	for _, id := range list {
		is.Equal(succeeded[id], 1)
	}
	verify(t, c, client)
}

// TestQueueOfNonIdempotentJobs kills the owner of jobs that must not run twice: jobs for
// which the new owner cannot rule out a start are not run.
func TestQueueOfNonIdempotentJobs(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, oneDomain)
	client := &recordingClient{c: c}
	owner := c.owner()
	survivor := c.otherEntry(owner)
	list := fillQueue(c, client, survivor, false, true)
	owner.kill()
	waitNewOwner(c, client, owner)
	for _, id := range list {
		eventually(t, "job "+string(id)+" is known", func() error {
			_, err := c.job(survivor, id)
			return err
		})
	}
	c.waitIdle()
	_, all := c.completions()
	is.True(len(all) < maxStartedJobs)
	for _, id := range list {
		is.True(all[id] <= 1)
	}
	verify(t, c, client)
}

// TestQueueWithoutLogService checks that callers learn that their jobs are not
// durable while the log service is unreachable, and that the jobs run.
func TestQueueWithoutLogService(t *testing.T) {
	c := startCluster(t, oneDomain)
	client := &recordingClient{c: c}
	owner := c.owner()
	down := standin.Faults{Log: logservice.Faults{Switches: faults.Switches{Down: faults.Drop}}}
	c.setFaults(c.platform, down)
	is := is.New(t)
	got := client.submit(owner, batchJob(3*time.Second, "job", true))
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusAccepted)
	is.Equal(got.job.Durable, false)
	eventually(t, "the job succeeds without the log service", func() error {
		job, err := c.job(owner, got.id)
		if err == nil && job.State != state.JobSucceeded {
			err = fmt.Errorf("%s", job.State)
		}
		return err
	})
	verify(t, c, client)
}

// TestGracefulStopHandsOverQueue stops the owner of a long queue while the log service is
// unreachable, so that only the owner itself can hand the jobs over to the next owner.
func TestGracefulStopHandsOverQueue(t *testing.T) {
	is := is.New(t)
	const waiting = 600
	c := startCluster(t, oneDomain)
	client := &recordingClient{c: c}
	owner := c.owner()
	c.putContract(owner.callerAddr, contract(queueSlots))
	for range queueSlots {
		client.submit(owner, batchJob(6*time.Second, "running", false))
	}
	c.setFaults(c.platform, standin.Faults{Log: logservice.Faults{Switches: faults.Switches{Down: faults.Drop}}})
	parallel(waiting, 64, func(n int) { client.submit(owner, batchJob(0, fmt.Sprint("waits ", n), false)) })
	owner.signal(syscall.SIGTERM)
	is.Equal(owner.exitCode(), 0)
	eventually(t, "every job has run exactly once", func() error {
		succeeded, all := c.completions()
		if len(succeeded) != waiting+queueSlots || len(all) != len(succeeded) {
			return fmt.Errorf("%d of %d jobs succeeded, %d ran", len(succeeded), waiting+queueSlots, len(all))
		}
		return nil
	})
	is.Equal(c.check(client, queueSlots), nil)
}
