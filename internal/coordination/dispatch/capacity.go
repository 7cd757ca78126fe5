package dispatch

import (
	metrics "github.com/rcrowley/go-metrics"

	"github.com/samphirerail/samphirerail/internal/state/scheduler"
)

// capacityMetrics count the changes of upstreams' capacities.
type capacityMetrics struct {
	// changes counts the changes, withdrawn the planned starts that did not fit any more.
	changes, withdrawn metrics.Counter
}

func newCapacityMetrics(registry metrics.Registry) capacityMetrics {
	return capacityMetrics{
		changes:   metrics.GetOrRegisterCounter("owner.capacity_changes", registry),
		withdrawn: metrics.GetOrRegisterCounter("owner.starts_withdrawn_capacity", registry),
	}
}

// noteCapacity logs and counts a change of an upstream's capacity.
func (o *owner) noteCapacity(c *scheduler.CapacityChange) {
	o.metrics.capacity.changes.Inc(1)
	o.metrics.capacity.withdrawn.Inc(int64(len(c.Withdrawn)))
	o.logger.Info("capacity of an upstream changed", "upstream", c.Upstream, "before", c.Before, "after", c.After, "used", c.Used, "starts_withdrawn", len(c.Withdrawn), "epoch", o.epoch)
	for _, run := range c.Withdrawn {
		o.logger.Info("start withdrawn: the upstream has shrunk", "task", run.Task, "run", run.Number, "upstream", run.Upstream)
	}
}
