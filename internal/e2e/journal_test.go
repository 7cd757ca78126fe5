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
	// queueSlots is the team's upper limit while jobs queue.
	queueSlots = 3
	// startedAtMost is how many of the jobs may have started when the owner
	// is killed.
	startedAtMost = queuedJobs / 2
)

func batchJob(run time.Duration, output string, idempotent bool) v1.SubmitRequest {
	r := request(run, output, idempotent)
	r.Class = state.ClassBatch
	r.WaitMS = 0
	return r
}

// fillQueue submits batch jobs of which few can run, and returns their IDs.
func fillQueue(c *cluster, cs *callers, via *entryProcess, idempotent, durable bool) []state.JobID {
	c.t.Helper()
	is := is.New(c.t)
	c.putContract(via.callers, contract(queueSlots))
	var list []state.JobID
	for n := range queuedJobs {
		got := cs.submit(via, batchJob(time.Second, fmt.Sprint("job-", n), idempotent))
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusAccepted)
		is.Equal(got.job.Durable, durable)
		list = append(list, got.id)
	}
	return list
}

func (c *cluster) job(e *entryProcess, id state.JobID) (v1.JobStatus, error) {
	var job v1.JobStatus
	status, data, err := c.call(http.MethodGet, e.callers, "/v1/jobs/"+string(id), c.teamKey, nil)
	if err != nil {
		return job, err
	}
	if status != http.StatusOK {
		return job, fmt.Errorf("%s: status %d: %s", id, status, data)
	}
	return job, json.Unmarshal(data, &job)
}

// completions counts the runs of each job that succeeded.
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

func TestQueueSurvivesItsOwner(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, oneDomain)
	cs := &callers{c: c}
	owner := c.owner()
	survivor := c.other(owner)
	list := fillQueue(c, cs, survivor, true, true)
	owner.kill()
	_, started := c.completions()
	is.True(len(started) < startedAtMost)
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
	verify(t, c, cs)
}

// TestQueueOfNonIdempotentJobs kills the owner of jobs that must not run twice:
// what the new owner can't account for never runs.
func TestQueueOfNonIdempotentJobs(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, oneDomain)
	cs := &callers{c: c}
	owner := c.owner()
	survivor := c.other(owner)
	list := fillQueue(c, cs, survivor, false, true)
	owner.kill()
	waitNewOwner(c, cs, owner)
	for _, id := range list {
		eventually(t, "job "+string(id)+" is known", func() error {
			_, err := c.job(survivor, id)
			return err
		})
	}
	c.settle()
	_, all := c.completions()
	is.True(len(all) < startedAtMost)
	for _, id := range list {
		is.True(all[id] <= 1)
	}
	verify(t, c, cs)
}

// TestQueueWithoutTheLog has callers told that nothing keeps their jobs.
func TestQueueWithoutTheLog(t *testing.T) {
	c := startCluster(t, oneDomain)
	cs := &callers{c: c}
	owner := c.owner()
	down := standin.Faults{Log: logservice.Faults{Switches: faults.Switches{Down: faults.Drop}}}
	c.faults(c.platform, down)
	is := is.New(t)
	got := cs.submit(owner, batchJob(3*time.Second, "job", true))
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusAccepted)
	is.Equal(got.job.Durable, false)
	eventually(t, "the job succeeds all the same", func() error {
		job, err := c.job(owner, got.id)
		if err == nil && job.State != state.JobSucceeded {
			err = fmt.Errorf("%s", job.State)
		}
		return err
	})
	verify(t, c, cs)
}

// TestPlannedStopHandsTheQueueOver stops the owner of a long queue while the log
// is down, so that nothing but the owner itself can bring the jobs to the next.
func TestPlannedStopHandsTheQueueOver(t *testing.T) {
	is := is.New(t)
	const waiting = 600
	c := startCluster(t, oneDomain)
	cs := &callers{c: c}
	owner := c.owner()
	c.putContract(owner.callers, contract(queueSlots))
	for range queueSlots {
		cs.submit(owner, batchJob(6*time.Second, "running", false))
	}
	c.faults(c.platform, standin.Faults{Log: logservice.Faults{Switches: faults.Switches{Down: faults.Drop}}})
	parallel(waiting, 64, func(n int) { cs.submit(owner, batchJob(0, fmt.Sprint("waits ", n), false)) })
	owner.signal(syscall.SIGTERM)
	is.Equal(owner.exitCode(), 0)
	eventually(t, "every job has run once", func() error {
		succeeded, all := c.completions()
		if len(succeeded) != waiting+queueSlots || len(all) != len(succeeded) {
			return fmt.Errorf("%d of %d, %d ran", len(succeeded), waiting+queueSlots, len(all))
		}
		return nil
	})
	is.Equal(c.check(cs, queueSlots), nil)
}
