package agent

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/samphirerail/samphirerail/internal/coordination"
)

// resubmitTimeout bounds the handing over of one job.
const resubmitTimeout = 10 * time.Second

// resubmit hands jobs that waited here to the next owner.
func (o *owning) resubmit(list []coordination.Submission, logger hclog.Logger) {
	failed := 0
	for _, s := range list {
		ctx, cancel := context.WithTimeout(context.Background(), resubmitTimeout)
		if _, err := o.router.Submit(ctx, s); err != nil {
			failed++
			logger.Warn("can't hand a waiting job over", "job", string(s.ID), "error", err)
		}
		cancel()
	}
	logger.Info("handed waiting jobs over", "jobs", len(list), "failed", failed)
}
