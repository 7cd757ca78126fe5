package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/samphirerail/samphirerail/internal/coordination"
)

// resubmitTimeout bounds the handing over of one job.
const resubmitTimeout = 10 * time.Second

// resubmitCalls is the number of jobs that are handed over at once.
const resubmitCalls = 16

// returned takes jobs that waited here when the shard was given up, and hands
// them to the next owner. It does not wait.
func (o *owning) returned(list []coordination.Submission, logger hclog.Logger) {
	o.returning.Add(1)
	go func() {
		defer o.returning.Done()
		o.resubmit(list, logger)
	}()
}

func (o *owning) resubmit(list []coordination.Submission, logger hclog.Logger) {
	var failed atomic.Int64
	var calls errgroup.Group
	calls.SetLimit(resubmitCalls)
	for _, s := range list {
		calls.Go(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), resubmitTimeout)
			defer cancel()
			if _, err := o.router.Submit(ctx, s); err != nil {
				failed.Add(1)
				logger.Warn("can't hand a waiting job over", "job", string(s.ID), "error", err)
			}
			return nil
		})
	}
	_ = calls.Wait()
	logger.Info("handed waiting jobs over", "jobs", len(list), "failed", failed.Load())
}

// awaitReturned waits until every returned job was handed over, or ctx ends.
func (o *owning) awaitReturned(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		o.returning.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
