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

// stepKind is one thing that happens to the owners of a journal or its log.
type stepKind string

const (
	stepAccept  stepKind = "accept"
	stepEnd     stepKind = "end"
	stepKill    stepKind = "kill"
	stepPause   stepKind = "pause"
	stepResume  stepKind = "resume"
	stepSucceed stepKind = "succeed"
	stepLose    stepKind = "lose answers"
	stepDown    stepKind = "log down"
	stepUp      stepKind = "log up"
	stepTwice   stepKind = "append twice"
	stepForget  stepKind = "forget"
	stepWait    stepKind = "wait"
)

var stepKinds = []stepKind{
	stepAccept, stepAccept, stepAccept, stepEnd, stepKill, stepPause, stepResume, stepSucceed, stepLose, stepDown, stepUp,
	stepTwice, stepForget, stepWait, stepWait,
}

type step struct {
	kind stepKind
	// pick chooses an owner or a job, and how long to wait.
	pick int
}

var scenarios = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	return step{kind: rapid.SampledFrom(stepKinds).Draw(t, "kind"), pick: rapid.IntRange(0, 999).Draw(t, "pick")}
}), 1, 40)

// history is what was told of one job.
type history struct {
	job      Job
	accepted []*Commit
	// ends are the commits of its ends; asked says that there was one.
	ends  []*Commit
	asked bool
}

// world runs a scenario.
type world struct {
	log    *fakeLog
	change func(*Config)
	owners []*testOwner
	jobs   []*history
}

func (w *world) succeed() *testOwner {
	o := startOwner(w.log, uint64(len(w.owners)+1), w.change)
	w.owners = append(w.owners, o)
	return o
}

func (w *world) apply(s step) {
	owner := w.owners[s.pick%len(w.owners)]
	switch s.kind {
	case stepAccept:
		job := testJob(len(w.jobs))
		w.jobs = append(w.jobs, &history{job: job, accepted: []*Commit{owner.Accept(job)}})
	case stepEnd:
		w.end(s.pick)
	case stepKill:
		owner.kill()
	case stepPause:
		owner.port.pause()
	case stepResume:
		owner.port.resume()
	case stepSucceed:
		w.succeed()
	case stepLose:
		w.log.set(func(l *fakeLog) { l.loseAnswers = s.pick % 4 })
	case stepDown, stepUp:
		w.log.set(func(l *fakeLog) { l.down = s.kind == stepDown })
	case stepTwice:
		w.log.set(func(l *fakeLog) { l.twice = s.pick%2 == 0 })
	case stepForget:
		w.forget()
	case stepWait:
		time.Sleep(time.Duration(s.pick*s.pick) * 10 * time.Microsecond)
	}
	synctest.Wait()
}

// end ends a job at an owner that knows it.
func (w *world) end(pick int) {
	if len(w.jobs) == 0 {
		return
	}
	h := w.jobs[pick%len(w.jobs)]
	for _, o := range w.owners {
		if o.ready && o.Accepted(h.job.ID) != nil {
			h.asked = true
			h.ends = append(h.ends, o.End(h.job.ID, state.JobSucceeded))
			return
		}
	}
}

// forget drops what lies before the base that the newest record names.
func (w *world) forget() {
	w.log.set(func(l *fakeLog) {
		if len(l.records) == 0 {
			return
		}
		b, err := decode(l.records[len(l.records)-1].Data)
		for err == nil && l.records[0].Offset < b.Base {
			l.records = l.records[1:]
		}
	})
}

// run returns what is wrong with what the last owner finds.
func (w *world) run(steps []step) []string {
	w.succeed()
	for _, s := range steps {
		w.apply(s)
	}
	w.log.set(func(l *fakeLog) { l.down, l.loseAnswers = false, 0 })
	for _, o := range w.owners {
		o.port.resume()
	}
	settle()
	last := w.succeed()
	settle()
	found := ids(last.recovered)
	for _, o := range w.owners {
		o.kill()
	}
	return w.judge(found)
}

func (w *world) judge(found []state.JobID) []string {
	var wrong []string
	for _, h := range w.jobs {
		durable := slices.ContainsFunc(h.accepted, (*Commit).Stored)
		ended := slices.ContainsFunc(h.ends, (*Commit).Stored)
		present := slices.Contains(found, h.job.ID)
		if durable && !h.asked && !present {
			wrong = append(wrong, fmt.Sprintf("%s is durable, has not ended and is lost", h.job.ID))
		}
		if ended && present {
			wrong = append(wrong, fmt.Sprintf("%s is known to have ended and came back", h.job.ID))
		}
	}
	return wrong
}

func runScenario(t *testing.T, steps []step, change func(*Config)) []string {
	var wrong []string
	synctest.Test(t, func(*testing.T) {
		w := &world{log: &fakeLog{}, change: change}
		wrong = w.run(steps)
	})
	return wrong
}

// carryOften makes carrying forward part of most scenarios.
func carryOften(c *Config) { c.CarryAfter = 3 * time.Second }

func TestDurableJobsAreNeverLost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if wrong := runScenario(t, scenarios.Draw(rt, "steps"), carryOften); len(wrong) > 0 {
			rt.Fatalf("%v", wrong)
		}
	})
}

// TestUnconditionalAppendsLoseJobs shows that the condition is what fences an
// older owner.
func TestUnconditionalAppendsLoseJobs(t *testing.T) {
	const tries = 300
	broken := 0
	for seed := range tries {
		change := func(c *Config) { carryOften(c); c.unconditional = true }
		if len(runScenario(t, scenarios.Example(seed), change)) > 0 {
			broken++
		}
	}
	t.Logf("%d of %d scenarios broke the property", broken, tries)
	if broken == 0 {
		t.Fatal("no scenario broke the property")
	}
}
