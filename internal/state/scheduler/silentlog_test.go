package scheduler

import (
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

const (
	// simLease is how long runs go on without a poll, and simContact how long an owner acts
	// without the log. Together they are the 5 s after which the simulation's new owners
	// count runs of former ones as gone.
	simLease   = 4 * time.Second
	simContact = 1 * time.Second
)

// silentLog is the state of a log that may be silent.
type silentLog struct {
	silent bool
	// listed is the list that the log holds of the upstreams on which the owner may start
	// tasks without a record; nil if it does not.
	listed []workload.UpstreamID
	// inherited are the upstreams of former lists that the owner has not settled.
	inherited []workload.UpstreamID
	// ignored switches the safeguard off: new owners are not given the list.
	ignored bool
	// pending holds the starts that wait for their record.
	pending []Start
	// former is the previous owner while it still acts; keepFormer says that it does after
	// a takeover.
	former     *formerOwner
	keepFormer bool
}

// formerOwner is an owner that the log turned away and that does not know of its successor.
type formerOwner struct {
	s       *Scheduler
	epoch   int64
	listed  []workload.UpstreamID
	pending []Start
	until   state.Time
	// reported counts the ends of each upstream that it has read.
	reported map[workload.UpstreamID]int
}

// list returns the list that a new owner reads.
func (l *silentLog) list(version int64) StartList {
	var out StartList
	if l.ignored {
		return out
	}
	out.ConfigVersion = version
	for _, id := range slices.Concat(l.listed, l.inherited) {
		out.Upstreams = append(out.Upstreams, ledger.ListedUpstream{Service: "s", ID: id})
	}
	return out
}

// recordAndSend records the changed states and sends the starts that the log holds, or
// those that may be sent without a record.
func (sim *simulation) recordAndSend(starts []Start) {
	sim.log.pending = append(sim.log.pending, starts...)
	if !sim.log.silent {
		sim.record()
		sim.log.inherited = nil
		for _, u := range sim.s.UnsettledStarts().Upstreams {
			sim.log.inherited = append(sim.log.inherited, u.ID)
		}
		starts, sim.log.pending = sim.log.pending, nil
		sim.send(starts)
		return
	}
	sim.log.pending = sim.sendUnrecorded(sim.s, sim.epoch, sim.log.listed, sim.log.pending)
}

// sendUnrecorded sends the starts of an owner that may be sent without a record, and
// returns the others.
func (sim *simulation) sendUnrecorded(s *Scheduler, epoch int64, listed []workload.UpstreamID, starts []Start) (rest []Start) {
	refused := map[workload.StepID]bool{}
	for _, start := range starts {
		if ok, gang := s.MayStartUnrecorded(start.Run); gang && (!ok || !slices.Contains(listed, start.Upstream)) {
			refused[start.Task.StepID()] = true
		}
	}
	for _, start := range starts {
		ok, _ := s.MayStartUnrecorded(start.Run)
		if !ok || !slices.Contains(listed, start.Upstream) || refused[start.Task.StepID()] {
			rest = append(rest, start)
			continue
		}
		if s.MarkSent(sim.now, start.Run) {
			sim.startAs(s, epoch, start)
		}
	}
	return rest
}

// listAll records a list of all upstreams.
func (sim *simulation) listAll() {
	sim.log.listed = nil
	for _, u := range sim.upstreams {
		sim.log.listed = append(sim.log.listed, u.reg.ID)
	}
}

// retireOwner ends the term of the owner, or leaves it acting on its list.
func (sim *simulation) retireOwner() {
	sim.log.former = nil
	if sim.log.keepFormer {
		sim.log.former = &formerOwner{s: sim.s, epoch: sim.epoch - 1, listed: sim.log.listed, pending: sim.log.pending, until: sim.now + simContact, reported: map[workload.UpstreamID]int{}}
	}
	sim.log.inherited = slices.Concat(sim.log.listed, sim.log.inherited)
	sim.log.listed, sim.log.pending, sim.log.silent = nil, nil, false
}

// actAsFormerOwner plans and polls for an owner that does not know of its successor. It
// reaches only the upstreams that the successor does not reach; the others would tell it.
func (sim *simulation) actAsFormerOwner() {
	f := sim.log.former
	if f == nil || sim.now >= f.until {
		return
	}
	for _, u := range sim.upstreams {
		if u.down || u.hiddenFrom == 0 || u.hiddenFrom > sim.epoch {
			f.s.MarkUnreachable(sim.now, u.reg.ID)
			continue
		}
		u.leaseEnd = max(u.leaseEnd, sim.now+simLease)
		report := RunReport{SentAt: sim.now, Ended: u.ended[f.reported[u.reg.ID]:]}
		f.reported[u.reg.ID] = len(u.ended)
		for _, id := range sortedTasks(u.running) {
			report.Running = append(report.Running, RunningRun{Task: id, Run: u.running[id].run, Percent: 50})
		}
		f.s.ApplyReport(sim.now, u.reg.ID, report)
	}
	f.s.Tick(sim.unix())
	f.pending = sim.sendUnrecorded(f.s, f.epoch, f.listed, append(f.pending, f.s.Plan(sim.now).Starts...))
}

// advanceHidden ends the runs that are due on an upstream that the owner does not reach.
// Once its leases have expired the upstream is lost, with the ends that were not recorded.
func (sim *simulation) advanceHidden(u *simUpstream) {
	for _, id := range sortedTasks(u.running) {
		r := u.running[id]
		if spec := sim.jobs[id.Job].spec.Steps[id.Step]; !spec.Gang && !spec.LongRunning && sim.now >= r.began+r.length {
			sim.end(u, id, EndDone)
		}
	}
	if sim.now <= u.leaseEnd {
		return
	}
	for _, e := range u.ended {
		if e.Cause == EndDone && !sim.isRecorded(e.Task) {
			delete(sim.jobs[e.Task.Job].done, e.Task)
		}
	}
	u.down, u.ended, u.reportedEnds = true, nil, 0
	clear(u.running)
}

// isRecorded reports whether the log shows a task as complete.
func (sim *simulation) isRecorded(id workload.TaskID) bool {
	if sim.recorded[id.Job].Phase.Final() {
		return true
	}
	for _, st := range sim.recorded[id.Job].Steps {
		if st.Occurrence == id.Occurrence && st.Step == id.Step {
			return st.IsDone(id.Index)
		}
	}
	return false
}

// phases counts the jobs in each phase.
func (sim *simulation) phases() map[ledger.Phase]int {
	out := map[ledger.Phase]int{}
	for _, j := range sim.jobs {
		out[j.phase]++
	}
	return out
}

// running returns the number of active runs of a job.
func (sim *simulation) running(id workload.JobID) int {
	n := 0
	for _, u := range sim.upstreams {
		for task := range u.running {
			if task.Job == id {
				n++
			}
		}
	}
	return n
}
