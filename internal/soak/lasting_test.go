package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// soakLasting runs long-running jobs beside cuts of runners that restart behind the cut, crashes
// and kills of the owner.
func soakLasting(t *testing.T, seed uint64, failing bool) {
	t.Helper()
	is := is.New(t)
	report, err := Run(Options{
		Seed: seed, Duration: 25 * time.Second, Entries: 5, Runners: 12, Program: buildProgram(t), Dir: t.TempDir(), NoFaults: true,
		LastingJobs: true, FailingLastingJobs: failing,
	})
	is.NoErr(err)
	t.Log(report)
	reportProblems(t, &report)
	is.True(report.Complete > 30) // of 6 a second
}

// Jobs were given up though no runner had crashed while it ran their tasks.
func TestLastingJobsDoNotFailByLostContact(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{7401, 7407} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			soakLasting(t, seed, false)
		})
	}
}

// A job whose tasks fail by themselves took the only trial of its workspace again and again.
func TestTasksStartBesideTrialsOfFailingJob(t *testing.T) {
	t.Parallel()
	soakLasting(t, 7407, true)
}
