package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/samphirerail/samphirerail/internal/coordination"
)

// resubmitTimeout bounds the resubmission of one job.
const resubmitTimeout = 10 * time.Second

// resubmitCalls is the maximum number of concurrent resubmissions.
const resubmitCalls = 16

// onReleasedJobs resubmits to the next owner the jobs that were still queued here when
// this entry resigned the shard. It does not block.
func (o *shardOwner) onReleasedJobs(list []coordination.Submission, logger hclog.Logger) {
	o.resubmits.Add(1)
	go func() {
		defer o.resubmits.Done()
		o.resubmit(list, logger)
	}()
}

func (o *shardOwner) resubmit(list []coordination.Submission, logger hclog.Logger) {
	var failed atomic.Int64
	var calls errgroup.Group
	calls.SetLimit(resubmitCalls)
	for _, s := range list {
		calls.Go(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), resubmitTimeout)
			defer cancel()
			if _, err := o.router.Submit(ctx, s); err != nil {
				failed.Add(1)
				logger.Warn("can't resubmit a queued job to the next owner", "job", string(s.ID), "error", err)
			}
			return nil
		})
	}
	_ = calls.Wait()
	logger.Info("resubmitted queued jobs to the next owner", "jobs", len(list), "failed", failed.Load())
}

// awaitResubmits waits until all resubmissions have ended, or until ctx ends.
func (o *shardOwner) awaitResubmits(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		o.resubmits.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
