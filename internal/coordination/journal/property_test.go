package journal

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/samphirerail/samphirerail/internal/state"
)

// stepKind is the kind of an operation on, or a fault of, an owner or the log.
type stepKind string

const (
	stepAccept        stepKind = "accept"
	stepEnd           stepKind = "end"
	stepKill          stepKind = "kill"
	stepPause         stepKind = "pause"
	stepResume        stepKind = "resume"
	stepTakeover      stepKind = "succeed"
	stepLoseResponses stepKind = "lose responses"
	stepDown          stepKind = "log down"
	stepUp            stepKind = "log up"
	stepDuplicate     stepKind = "append twice"
	stepTruncate      stepKind = "forget"
	stepWait          stepKind = "wait"
)

var stepKinds = []stepKind{
	stepAccept, stepAccept, stepAccept, stepEnd, stepKill, stepPause, stepResume, stepTakeover, stepLoseResponses, stepDown, stepUp,
	stepDuplicate, stepTruncate, stepWait, stepWait,
}

type step struct {
	kind stepKind
	// pick selects an owner or a job, or how long to wait.
	pick int
}

var scenarios = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	return step{kind: rapid.SampledFrom(stepKinds).Draw(t, "kind"), pick: rapid.IntRange(0, 999).Draw(t, "pick")}
}), 1, 40)

// jobHistory records the requests for a job and their commits.
type jobHistory struct {
	job      Job
	accepted []*Commit
	// ends are the commits of the job's ends; endRequested reports whether an
	// end was requested.
	ends         []*Commit
	endRequested bool
}

// scenarioRun executes the steps of a scenario.
type scenarioRun struct {
	log       *fakeLog
	configure func(*Config)
	owners    []*testOwner
	jobs      []*jobHistory
}

func (r *scenarioRun) startSuccessor() *testOwner {
	o := startOwner(r.log, uint64(len(r.owners)+1), r.configure)
	r.owners = append(r.owners, o)
	return o
}

func (r *scenarioRun) apply(s step) {
	owner := r.owners[s.pick%len(r.owners)]
	switch s.kind {
	case stepAccept:
		job := testJob(len(r.jobs))
		r.jobs = append(r.jobs, &jobHistory{job: job, accepted: []*Commit{owner.Accept(job)}})
	case stepEnd:
		r.end(s.pick)
	case stepKill:
		owner.kill()
	case stepPause:
		owner.conn.pause()
	case stepResume:
		owner.conn.resume()
	case stepTakeover:
		r.startSuccessor()
	case stepLoseResponses:
		r.log.update(func(l *fakeLog) { l.loseResponses = s.pick % 4 })
	case stepDown, stepUp:
		r.log.update(func(l *fakeLog) { l.down = s.kind == stepDown })
	case stepDuplicate:
		r.log.update(func(l *fakeLog) { l.duplicate = s.pick%2 == 0 })
	case stepTruncate:
		r.truncate()
	case stepWait:
		time.Sleep(time.Duration(s.pick*s.pick) * 10 * time.Microsecond)
	}
	synctest.Wait()
}

// end ends a job at the first owner that knows it.
func (r *scenarioRun) end(pick int) {
	if len(r.jobs) == 0 {
		return
	}
	h := r.jobs[pick%len(r.jobs)]
	for _, o := range r.owners {
		if o.ready && o.AcceptCommit(h.job.ID) != nil {
			h.endRequested = true
			h.ends = append(h.ends, o.End(h.job.ID, state.JobSucceeded))
			return
		}
	}
}

// truncate removes the records before the base in the newest record.
func (r *scenarioRun) truncate() {
	r.log.update(func(l *fakeLog) {
		if len(l.records) == 0 {
			return
		}
		b, err := decode(l.records[len(l.records)-1].Data)
		for err == nil && l.records[0].Offset < b.Base {
			l.records = l.records[1:]
		}
	})
}

// run executes the steps, recovers the journal with a last owner and returns the
// violations of durability.
func (r *scenarioRun) run(steps []step) []string {
	r.startSuccessor()
	for _, s := range steps {
		r.apply(s)
	}
	r.log.update(func(l *fakeLog) { l.down, l.loseResponses = false, 0 })
	for _, o := range r.owners {
		o.conn.resume()
	}
	quiesce()
	last := r.startSuccessor()
	quiesce()
	found := ids(last.recovered)
	for _, o := range r.owners {
		o.kill()
	}
	return r.verify(found)
}

func (r *scenarioRun) verify(found []state.JobID) []string {
	var violations []string
	for _, h := range r.jobs {
		durable := slices.ContainsFunc(h.accepted, (*Commit).Stored)
		ended := slices.ContainsFunc(h.ends, (*Commit).Stored)
		present := slices.Contains(found, h.job.ID)
		if durable && !h.endRequested && !present {
			violations = append(violations, fmt.Sprintf("job %s is durable and has not ended, but was not recovered", h.job.ID))
		}
		if ended && present {
			violations = append(violations, fmt.Sprintf("job %s has a stored end, but was recovered as unfinished", h.job.ID))
		}
	}
	return violations
}

func runScenario(t *testing.T, steps []step, configure func(*Config)) []string {
	var violations []string
	synctest.Test(t, func(*testing.T) {
		r := &scenarioRun{log: &fakeLog{}, configure: configure}
		violations = r.run(steps)
	})
	return violations
}

// compactOften makes compactions part of most scenarios.
func compactOften(c *Config) { c.CompactAfter = 3 * time.Second }

func TestDurableJobsAreNeverLost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if violations := runScenario(t, scenarios.Draw(rt, "steps"), compactOften); len(violations) > 0 {
			rt.Fatalf("%v", violations)
		}
	})
}

// TestUnconditionalAppendsLoseJobs checks that without conditional appends a
// superseded owner is not fenced and durable jobs are lost, so that
// TestDurableJobsAreNeverLost can detect this fault.
func TestUnconditionalAppendsLoseJobs(t *testing.T) {
	const runs = 300
	violated := 0
	for seed := range runs {
		configure := func(c *Config) { compactOften(c); c.unconditional = true }
		if len(runScenario(t, scenarios.Example(seed), configure)) > 0 {
			violated++
		}
	}
	t.Logf("%d of %d scenarios violated durability", violated, runs)
	if violated == 0 {
		t.Fatal("no scenario violated durability without conditional appends")
	}
}
