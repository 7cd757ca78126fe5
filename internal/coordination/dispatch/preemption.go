package dispatch

import (
	metrics "github.com/rcrowley/go-metrics"

	"github.com/samphirerail/samphirerail/internal/state/scheduler"
)

// preemptionMetrics count the runs that were stopped in favour of more urgent work.
type preemptionMetrics struct {
	// count counts the runs, lost the core-milliseconds or accelerator-milliseconds of work
	// that are done again.
	count, lost metrics.Counter
	// headroom is the capacity kept free for urgent work, in thousandths of a core.
	headroom metrics.Gauge
}

func newPreemptionMetrics(registry metrics.Registry) preemptionMetrics {
	return preemptionMetrics{
		count:    metrics.GetOrRegisterCounter("owner.preemptions", registry),
		lost:     metrics.GetOrRegisterCounter("owner.preempted_lost_ms", registry),
		headroom: metrics.GetOrRegisterGauge("owner.headroom", registry),
	}
}

// notePreemption logs and counts a run that is stopped in favour of more urgent work.
func (o *owner) notePreemption(stop *scheduler.Stop) {
	p := stop.Preemption
	o.metrics.preemption.count.Inc(1)
	o.metrics.preemption.lost.Inc(p.Lost)
	fields := []any{
		"task", stop.Task, "run", stop.Number, "upstream", stop.Upstream, "for_queue", p.Queue,
		"priority", p.Priority, "victim_priority", p.VictimPriority, "lost_ms", p.Lost, "frees", p.Frees,
	}
	if p.VictimBounded {
		fields = append(fields, "victim_slack_ms", p.VictimSlack.Milliseconds())
	}
	if p.Job != "" {
		fields = append(fields, "for_job", p.Job, "for_step", p.Step, "slack_ms", p.Slack.Milliseconds())
	} else {
		fields = append(fields, "missing", p.Missing, "expected", p.Expected, "free", p.Free)
	}
	o.logger.Info("run preempted", fields...)
}
