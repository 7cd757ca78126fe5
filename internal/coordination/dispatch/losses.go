package dispatch

import (
	metrics "github.com/rcrowley/go-metrics"

	"github.com/samphirerail/samphirerail/internal/state/scheduler"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// lossMetrics count what follows from the crashes of upstreams.
type lossMetrics struct {
	// runs counts the runs that were lost with their upstreams, trials the upstreams reserved
	// for suspected tasks, givenUp the jobs that failed because upstreams crashed under them.
	runs, trials, givenUp metrics.Counter
	// barred counts the tasks that waited until a start without a response was settled.
	barred metrics.Counter
}

func newLossMetrics(registry metrics.Registry) lossMetrics {
	return lossMetrics{
		runs:    metrics.GetOrRegisterCounter("owner.runs_lost", registry),
		trials:  metrics.GetOrRegisterCounter("owner.trials", registry),
		givenUp: metrics.GetOrRegisterCounter("owner.jobs_given_up", registry),
		barred:  metrics.GetOrRegisterCounter("owner.barred_tasks", registry),
	}
}

// noteLosses logs and counts the runs that were lost with their upstreams, and the jobs that
// are given up for that.
func (o *owner) noteLosses(losses []scheduler.Loss, givenUp []scheduler.GivenUp) {
	o.metrics.losses.runs.Inc(int64(len(losses)))
	for i := range losses {
		l := &losses[i]
		evidence := "none"
		if l.Crash {
			evidence = l.Evidence.String()
		}
		o.logger.Warn("run lost", "task", l.Task, "run", l.Number, "upstream", l.Upstream, "cause", l.Cause, "closed", l.Closed,
			"listed", l.Listed, "draining", l.Draining, "accepted", l.Accepted, "age_ms", l.Age.Milliseconds(), "jobs", l.Jobs, "crash", l.Crash, "evidence", evidence,
			"certain", l.Crashes.Certain, "uncertain", l.Crashes.Uncertain, "shared", l.Crashes.Shared, "blame_percent", l.Crashes.Blame, "verdict", l.Verdict, "epoch", o.epoch)
	}
	o.metrics.losses.givenUp.Inc(int64(len(givenUp)))
	for i := range givenUp {
		g := &givenUp[i]
		o.logger.Warn("job given up: upstreams crash under its task", "job", g.Task.Job, "task", g.Task, "certain", g.Crashes.Certain,
			"uncertain", g.Crashes.Uncertain, "shared", g.Crashes.Shared, "alone", g.Crashes.Alone, "longest_age_ms", g.Crashes.Age.Milliseconds(), "epoch", o.epoch)
	}
}

// noteTrials logs and counts the upstreams that were reserved for suspected tasks.
func (o *owner) noteTrials(trials []scheduler.Trial) {
	o.metrics.losses.trials.Inc(int64(len(trials)))
	for i := range trials {
		t := &trials[i]
		o.logger.Info("suspected tasks are tried alone", "job", t.Job, "upstream", t.Upstream, "runs_left", t.Occupied, "trials", t.Trials, "limit", t.Limit, "epoch", o.epoch)
	}
}

// noteSettled logs and counts the starts without a response that were settled.
func (o *owner) noteSettled(settled []scheduler.SettledStart) {
	for i := range settled {
		s := &settled[i]
		if s.Barred {
			o.metrics.losses.barred.Inc(1)
		}
		o.logger.Info("start without a response settled", "task", s.Task, "run", s.Number, "upstream", s.Upstream, "how", s.How, "age_ms", s.Age.Milliseconds(), "barred", s.Barred, "epoch", o.epoch)
	}
}

// handlePollFailure processes a failed poll.
func (o *owner) handlePollFailure(id workload.UpstreamID, l *link, f pollFailure) {
	if o.links[id] != l {
		return
	}
	if f.closed {
		o.sched.MarkClosed(o.now(), id)
	} else {
		o.sched.MarkUnreachable(o.now(), id)
	}
	o.noteContactLost(id)
	any, _ := o.sched.HasRuns(id)
	if f.replaced || (any && f.leasesExpired && o.now() > o.sched.UnconfirmedUntil(id)) {
		if any {
			o.logger.Warn("runs declared lost", "upstream", id, "lapsed", f.leasesExpired, "replaced", f.replaced)
		}
		cause := scheduler.LossExpired
		if f.replaced {
			cause = scheduler.LossRestarted
		}
		o.sched.ReleaseRuns(o.now(), id, cause)
	}
	o.dropLinkIfUnknown(id, l)
	o.planDue = true
}
