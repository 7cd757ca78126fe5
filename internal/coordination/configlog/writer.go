package configlog

import (
	"context"
	"errors"

	"github.com/cenkalti/backoff/v5"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"

	"github.com/samphirerail/samphirerail/standin/devplatform"
)

const tracerName = "github.com/samphirerail/samphirerail/internal/coordination/configlog"

// write appends the batches that the owner of the fold dispatches, within the rate
// limit. It requests a batch only when it can append it, so that a batch collects as
// many records as possible.
func (f *Follower) write(ctx context.Context) error {
	for {
		if err := f.limiter.Wait(ctx); err != nil {
			return ctx.Err()
		}
		batches := make(chan batch, 1)
		if err := f.send(ctx, batchRequest{batch: batches}); err != nil {
			return err
		}
		select {
		case b := <-batches:
			err := f.append(ctx, b)
			if f.send(ctx, batchResult{batch: b, err: err}) != nil {
				return ctx.Err()
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// append appends a batch and retries with the same ID until the log service accepts
// or rejects it or the write timeout has passed. A retry may store the batch twice;
// readers drop the duplicate records.
func (f *Follower) append(ctx context.Context, b batch) error {
	ctx, span := otel.Tracer(tracerName).Start(ctx, "config.append")
	defer span.End()
	span.SetAttributes(attribute.Int("records", len(b.records)), attribute.Int("bytes", len(b.data)))
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = appendBackoff
	retryBackoff.MaxInterval = maxAppendBackoff
	_, err := backoff.Retry(ctx, func() (int64, error) {
		return f.appendOnce(ctx, b)
	}, backoff.WithBackOff(retryBackoff), backoff.WithMaxElapsedTime(f.opts.WriteTimeout))
	if err != nil {
		span.RecordError(err)
	}
	return err
}

func (f *Follower) appendOnce(ctx context.Context, b batch) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	f.meters.appends.Inc(1)
	offset, err := f.opts.Log.Append(ctx, devplatform.AppendRequest{
		Stream: f.opts.Stream,
		Record: devplatform.Record{ID: b.id, Data: b.data},
	})
	if err == nil {
		return offset, nil
	}
	f.meters.appendFailures.Inc(1)
	f.log.Warn("configuration append failed", "write", b.id, "records", len(b.records), "error", singleLine(err))
	if errors.Is(err, devplatform.ErrTooLarge) || errors.Is(err, devplatform.ErrInvalid) {
		return 0, backoff.Permanent(err)
	}
	return 0, err
}
