package dispatch

import (
	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// refuseLarge returns the refusal of a submitted job for which large jobs leave no memory, or nil.
func (o *owner) refuseLarge(job *workload.Job) error {
	room := true
	o.replica.View(func(t *ledger.Table, _ int64) {
		unread := 0
		for id, large := range o.unreadLarge {
			if t.Row(id) != nil {
				delete(o.unreadLarge, id)
			} else {
				unread += large
			}
		}
		room = t.HasRoomFor(job, unread)
	})
	if room {
		return nil
	}
	refused := port.NoRoomForLargeJob()
	o.metrics.records.refused.Inc(1)
	o.logger.Info("job refused by the owner", "job", job.ID, "queue", job.Queue, "workspace", job.Workspace, "cause", refused.Cause,
		"bytes", job.LargeBytes(), "max_bytes", ledger.MaxLargeBytes, "retry_after_ms", refused.RetryAfter.Milliseconds())
	return refused
}

// noteLarge counts a large job that was accepted until the replica holds it.
func (o *owner) noteLarge(job *workload.Job) {
	if large := job.LargeBytes(); large > 0 {
		o.unreadLarge[job.ID] = large
	}
}
