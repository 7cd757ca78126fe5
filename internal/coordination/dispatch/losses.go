package dispatch

import "github.com/samphirerail/samphirerail/internal/state/scheduler"

// noteLosses logs and counts the runs that were lost with their upstreams.
func (o *owner) noteLosses(losses []scheduler.Loss) {
	o.metrics.losses.Inc(int64(len(losses)))
	for i := range losses {
		l := &losses[i]
		o.logger.Warn("run lost", "task", l.Task, "run", l.Number, "upstream", l.Upstream, "cause", l.Cause, "listed", l.Listed,
			"draining", l.Draining, "accepted", l.Accepted, "age_ms", l.Age.Milliseconds(), "jobs", l.Jobs, "epoch", o.epoch)
	}
}
