package scheduler

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/crashes"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// LossCause is what showed that the runs of an upstream do not exist any more.
type LossCause uint8

// What can show that runs are lost.
const (
	// LossRestarted: another incarnation of the upstream, or another upstream, answers.
	LossRestarted LossCause = iota
	// LossExpired: the leases have expired without contact to the upstream.
	LossExpired
	// LossInherited: the log shows the run on an upstream that is gone, or that began after the
	// job was submitted and does not report the run.
	LossInherited
)

// String returns the cause as written to logs.
func (c LossCause) String() string { return [...]string{"restarted", "expired", "inherited"}[c] }

// Loss is the end of a run that its upstream will not report.
type Loss struct {
	Run
	Cause LossCause
	// Draining says that the upstream had announced that it leaves, Listed that it is on the
	// platform's list, Closed that contact was lost because its process closed the connections.
	Draining, Listed, Closed bool
	// Accepted says that the upstream accepted the start or reported the run.
	Accepted bool
	// Age is the time from the start to the first failed call to the upstream, negative if not
	// known.
	Age time.Duration
	// Jobs is the number of jobs that had runs on the upstream.
	Jobs int
	// Crash says that the loss counts as a crash of the upstream, for which there is Evidence.
	Crash    bool
	Evidence crashes.Evidence
	// Crashes is what is held against the task after the loss, and Verdict what follows from it.
	Crashes crashes.Record
	Verdict crashes.Verdict
}

// leaveNotice is how long before it ends an upstream announces at least that it leaves.
const leaveNotice = 2 * time.Second

// unknownAge is the age of a run that a former owner started.
const unknownAge = -1

// lostRun is a run, or a task that the log shows on the upstream, that was lost.
type lostRun struct {
	task     *task
	number   int64
	accepted bool
	age      time.Duration
}

// ageAt returns the age of a run at a time, or unknownAge.
func (r *run) ageAt(t state.Time) time.Duration {
	if r.adopted {
		return unknownAge
	}
	return t - r.startedAt
}

// loseRuns counts the loss of all runs on an upstream as a crash under their tasks, unless it
// has another cause. It must be called before the runs are released, and returns the tasks to
// give up after that.
func (s *Scheduler) loseRuns(now state.Time, u *upstream, cause LossCause) []*task {
	var lost []lostRun
	for _, r := range u.sortedRuns() {
		switch {
		case r.phase == awaitingTicket, r.phase == planned, r.phase == finished:
		case r.byNext && cause == LossRestarted:
		case r.phase == stopping && r.stopReason == StopUnconfirmed:
			// The run counted when its start was not answered.
		default:
			lost = append(lost, lostRun{r.task, r.Number, r.accepted, r.ageAt(u.lostContactAt(now))})
		}
	}
	for _, t := range s.unconfirmed[u.ID] {
		lost = append(lost, lostRun{t, t.lastRun, false, unknownAge})
	}
	// Only a process that ends closes its connections; what else shows the loss may be a cut.
	// One that leaves announces it, which must have been readable.
	crash := u.closed && !u.Draining && s.announcedUntil(u)+leaveNotice >= u.unreachableSince
	evidence := crashes.Confirmed
	switch {
	case cause != LossRestarted, s.opts.Lease > 0 && now-u.leasedAt > s.opts.Lease:
		evidence = crashes.Presumed
	case s.outages.Shared(string(u.ID), u.place(), u.lostContactAt(now)):
		evidence = crashes.Shared
	}
	return s.countLosses(lost, Loss{
		Run: Run{Upstream: u.ID}, Cause: cause, Draining: u.Draining, Listed: u.listed, Closed: u.closed, Crash: crash, Evidence: evidence,
	})
}

// noteInherited reports tasks that the log shows on an upstream as lost. It is not known how the
// runs ended, or whether their starts were sent.
func (s *Scheduler) noteInherited(id workload.UpstreamID, tasks []*task, listed bool) {
	for _, t := range tasks {
		s.losses = append(s.losses, Loss{
			Run: Run{Task: t.id(), Number: t.lastRun, Upstream: id}, Cause: LossInherited, Listed: listed, Age: unknownAge, Jobs: jobsOf(tasks),
			Crashes: t.crashes, Verdict: t.crashes.Verdict(),
		})
	}
}

// jobsOf counts the jobs of tasks.
func jobsOf(tasks []*task) int {
	jobs := map[workload.JobID]struct{}{}
	for _, t := range tasks {
		jobs[t.step.job.id] = struct{}{}
	}
	return len(jobs)
}

// countLosses reports the lost runs of an upstream with the next plan and, if it crashed, holds
// the crash against their tasks. It returns the tasks to give up. common holds what the losses
// have in common.
func (s *Scheduler) countLosses(lost []lostRun, common Loss) (giveUp []*task) {
	present := make([]crashes.Presence, len(lost))
	jobs := map[workload.JobID]struct{}{}
	for i, l := range lost {
		job := l.task.step.job.id
		jobs[job] = struct{}{}
		present[i] = crashes.Presence{Job: string(job), Age: l.age, Certain: l.accepted}
	}
	common.Jobs = len(jobs)
	for i, involvement := range crashes.Assess(present, common.Evidence) {
		l := lost[i]
		loss := common
		loss.Task, loss.Number, loss.Accepted, loss.Age = l.task.id(), l.number, l.accepted, l.age
		if loss.Crash && !l.task.step.job.phase.Final() {
			l.task.crashes.Add(involvement)
			s.markDirty(l.task.step.job)
			verdict := l.task.crashes.Verdict()
			l.task.isolated, l.task.suspectedAt = verdict == crashes.Isolate, 0
			if verdict == crashes.GiveUp {
				giveUp = append(giveUp, l.task)
			}
		}
		loss.Crashes, loss.Verdict = l.task.crashes, l.task.crashes.Verdict()
		s.losses = append(s.losses, loss)
	}
	return giveUp
}

// GivenUp is a job that has failed because upstreams crashed under one of its tasks.
type GivenUp struct {
	Task    workload.TaskID
	Crashes crashes.Record
}

// giveUp fails the jobs of tasks that crash their upstreams.
func (s *Scheduler) giveUp(now state.Time, tasks []*task) {
	for _, t := range tasks {
		if j := t.step.job; !j.phase.Final() {
			s.givenUp = append(s.givenUp, GivenUp{t.id(), t.crashes})
			s.finish(now, j, ledger.Failed)
		}
	}
}

// lostContactAt returns when calls to the upstream began to fail, or now if they do not.
func (u *upstream) lostContactAt(now state.Time) state.Time {
	if u.unreachable {
		return u.unreachableSince
	}
	return now
}

func (u *upstream) place() crashes.Place {
	return crashes.Place{Service: string(u.Service), Rack: u.Rack()}
}

// noteUnreported reports the tasks as lost that the log shows on an upstream whose first report
// to this owner lacks them.
func (s *Scheduler) noteUnreported(u *upstream, report *RunReport) {
	reported := map[workload.TaskID]struct{}{}
	for i := range report.Ended {
		reported[report.Ended[i].Task] = struct{}{}
	}
	var lost []*task
	for _, t := range s.unconfirmed[u.ID] {
		if _, ended := reported[t.id()]; !ended && u.StartedUnixMS > t.step.job.spec.SubmittedUnixMS {
			lost = append(lost, t)
		}
	}
	s.noteInherited(u.ID, lost, true)
}

// restoreCrashes applies the recorded crashes of a job's tasks.
func (s *Scheduler) restoreCrashes(j *job, recorded []ledger.TaskCrashes) {
	for _, c := range recorded {
		steps := j.steps[c.Occurrence]
		if c.Step >= len(steps) || c.Index >= steps[c.Step].spec.Count || steps[c.Step].isDone(c.Index) {
			continue
		}
		t := steps[c.Step].task(c.Index)
		t.crashes = crashes.Record{
			Certain: c.Certain, Uncertain: c.Uncertain, Shared: c.Shared, Blame: c.BlamePercent, Alone: c.Alone, Age: time.Duration(c.AgeMS) * time.Millisecond,
		}
		if !c.Observed {
			t.crashes = crashes.Record{Shared: c.Certain + c.Uncertain + c.Shared, Age: t.crashes.Age}
		}
		t.isolated = t.crashes.Verdict() != crashes.Free
	}
}

// recordCrashes returns what is held against the tasks of a job that are not complete.
func (j *job) recordCrashes() (out []ledger.TaskCrashes) {
	for st := range j.all() {
		for _, t := range st.tasks {
			if c := &t.crashes; !c.Empty() && !t.done {
				out = append(out, ledger.TaskCrashes{
					Occurrence: st.occurrence, Step: st.index, Index: t.index, Certain: c.Certain, Uncertain: c.Uncertain, Shared: c.Shared, BlamePercent: c.Blame, Alone: c.Alone,
					AgeMS: c.Age.Milliseconds(), Observed: true,
				})
			}
		}
	}
	return out
}

// clearSurvivor clears what is held against a long-running task once a run has lasted long
// enough.
func (s *Scheduler) clearSurvivor(now state.Time, r *run) {
	t := r.task
	if t.crashes.Empty() || !t.step.spec.LongRunning || r.phase != running || now-r.startedAt < t.crashes.ClearedAfter() {
		return
	}
	t.crashes, t.isolated = crashes.Record{}, false
	s.markDirty(t.step.job)
}
