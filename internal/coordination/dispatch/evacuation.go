package dispatch

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/samphirerail/samphirerail/internal/state/scheduler"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// evacuationMetrics count the starts that evacuations affected.
type evacuationMetrics struct {
	// withdrawn counts planned starts that were not sent because of an evacuation, held those
	// that waited for a read of the evacuations or the capacities, refused the jobs that were refused.
	// moved counts the long-running runs that were stopped in evacuated domains.
	withdrawn, held, refused, moved metrics.Counter
}

func newEvacuationMetrics(registry metrics.Registry) evacuationMetrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, registry) }
	return evacuationMetrics{
		withdrawn: counter("owner.starts_withdrawn"), held: counter("owner.starts_held"), refused: counter("owner.refused.evacuated"),
		moved: counter("owner.moves_evacuated"),
	}
}

// evacuationState is the owner's state for evacuated domains.
type evacuationState struct {
	// unknown is the number of evacuated domains without upstreams that was last logged.
	unknown int
}

// applyEvacuations passes the evacuated domains to the scheduler.
func (o *owner) applyEvacuations() {
	set, _ := o.replica.Evacuation()
	for _, c := range o.sched.SetEvacuated(o.now(), set) {
		o.metrics.evacuation.withdrawn.Inc(int64(len(c.Withdrawn)))
		o.logger.Info("evacuation in force", "domain", c.Domain, "evacuated", c.Evacuated, "upstreams", c.Upstreams, "runs_left", c.Running, "starts_withdrawn", len(c.Withdrawn), "epoch", o.epoch)
		for _, run := range c.Withdrawn {
			o.logger.Info("start withdrawn: the domain is evacuated", "task", run.Task, "run", run.Number, "upstream", run.Upstream, "domain", c.Domain)
		}
		o.planDue = true
	}
}

// logDomainMoves logs the long-running runs that are stopped to leave an evacuated domain.
func (o *owner) logDomainMoves(moves []scheduler.DomainMove) {
	o.metrics.evacuation.moved.Inc(int64(len(moves)))
	for _, m := range moves {
		o.logger.Info("long-running task moves out of an evacuated domain", "task", m.Task, "run", m.Number, "upstream", m.Upstream, "domain", m.Domain, "may_miss", m.MayMiss, "interrupted", m.Interrupted, "working", m.Working)
	}
}

// logUnknownEvacuations logs evacuated domains in which no upstream is registered, once until
// their number changes. It must not be called before the registrations were read.
func (o *owner) logUnknownEvacuations() {
	unknown := o.sched.EvacuatedUnknown()
	if len(unknown) == o.evacuations.unknown {
		return
	}
	o.evacuations.unknown = len(unknown)
	if len(unknown) > 0 {
		o.logger.Warn("no upstream is registered in an evacuated domain; check its name", "domains", unknown)
	}
}

// refuseEvacuated reports whether a job is refused because of an evacuation, and when it may
// return.
func (o *owner) refuseEvacuated(job *workload.Job) (retryAfter time.Duration, refused bool) {
	retryAfter, refused = o.sched.RefuseEvacuated(job)
	if refused {
		o.metrics.evacuation.refused.Inc(1)
		o.logger.Info("job refused: only evacuated domains could run it", "job", job.ID, "queue", job.Queue, "workspace", job.Workspace, "retry_after_ms", retryAfter.Milliseconds())
	}
	return retryAfter, refused
}
