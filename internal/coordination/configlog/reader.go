package configlog

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"github.com/samphirerail/samphirerail/internal/state/config"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// errNoSnapshot says that the log has forgotten records and holds no snapshot
// that replaces them.
var errNoSnapshot = errors.New("configlog: the log holds no whole snapshot; wait for a peer's configuration")

// read tails the stream until ctx ends.
func (f *Follower) read(ctx context.Context) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = readBackoff
	pause.MaxInterval = maxReadBackoff
	target := int64(math.MaxInt64)
	for ctx.Err() == nil {
		tail, err := f.readOnce(ctx, target)
		if err == nil {
			pause.Reset()
			target = min(target, tail)
			continue
		}
		if ctx.Err() != nil {
			break
		}
		f.meters.readFailures.Inc(1)
		f.log.Warn("configuration read failed", "version", f.Version(), "error", oneLine(err))
		if sleep(ctx, pause.NextBackOff()) != nil {
			break
		}
	}
	return ctx.Err()
}

// readOnce reads and folds what is new. target is the tail that the follower
// must reach to be ready; it returns the tail that the log service told.
func (f *Follower) readOnce(ctx context.Context, target int64) (int64, error) {
	wait := f.pollWait()
	asked := time.Now()
	reply, err := f.readFrom(ctx, f.Version()+1, wait)
	if errors.Is(err, devplatform.ErrForgotten) {
		return target, f.restore(ctx, reply.Oldest)
	}
	if err != nil {
		return 0, err
	}
	target = min(target, reply.Tail)
	last := f.Version()
	if n := len(reply.Records); n > 0 {
		last = reply.Records[n-1].Offset
	}
	done := make(chan struct{})
	read := recordsRead{records: reply.Records, ready: last >= target-1, done: done}
	if err := f.send(ctx, read); err != nil {
		return 0, err
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
	if len(reply.Records) == 0 && time.Since(asked) < wait/2 {
		// The service did not hold the call.
		return target, sleep(ctx, readBackoff)
	}
	return target, nil
}

// pollWait is how long a read may be held: not at all until the follower is
// ready.
func (f *Follower) pollWait() time.Duration {
	if f.IsReady() {
		return f.opts.PollWait
	}
	return 0
}

func (f *Follower) readFrom(ctx context.Context, from int64, wait time.Duration) (devplatform.ReadReply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+pollMargin)
	defer cancel()
	return f.opts.Log.Read(ctx, devplatform.ReadRequest{Stream: f.opts.Stream, From: from, Wait: wait})
}

// restore replaces what the log has forgotten by a snapshot from the log.
// oldest is the first offset that the log keeps.
func (f *Follower) restore(ctx context.Context, oldest int64) error {
	fold, err := f.findSnapshot(ctx, oldest)
	if err != nil {
		return err
	}
	taken := make(chan bool, 1)
	if err := f.send(ctx, foldOffered{fold: fold, taken: taken}); err != nil {
		return err
	}
	select {
	case <-taken:
	case <-ctx.Done():
	}
	return nil
}

// findSnapshot reads from an offset on until it has met a whole snapshot that
// misses nothing before that offset.
func (f *Follower) findSnapshot(ctx context.Context, from int64) (*config.Fold, error) {
	var parts config.Assembler
	first := from
	for {
		reply, err := f.readFrom(ctx, from, 0)
		if err != nil {
			return nil, eris.Wrap(err, "look for a snapshot")
		}
		for _, stored := range reply.Records {
			if fold := f.assemble(&parts, stored, first-1); fold != nil {
				return fold, nil
			}
			from = stored.Offset + 1
		}
		if len(reply.Records) == 0 || from >= reply.Tail {
			return nil, errNoSnapshot
		}
	}
}

// assemble returns a fold once the record completes a snapshot of at least a
// version.
func (f *Follower) assemble(parts *config.Assembler, stored devplatform.StoredRecord, atLeast int64) *config.Fold {
	records, err := config.Decode(stored.Data)
	if err != nil {
		return nil
	}
	for _, record := range records {
		part, ok := record.Body.(config.Snapshot)
		if !ok {
			continue
		}
		data, asOf, whole := parts.Add(part)
		if !whole || asOf < atLeast {
			continue
		}
		fold, err := config.Restore(data)
		if err == nil && fold.Version() == asOf {
			return fold
		}
		f.log.Warn("snapshot is damaged", "set", part.Set, "as_of", asOf)
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
