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

// errNoSnapshot is returned if the log no longer holds all records and has no complete
// snapshot that replaces the missing ones.
var errNoSnapshot = errors.New("configlog: the log holds no complete snapshot; wait for a peer's configuration")

// read tails the stream until ctx ends. Failed reads are retried with backoff.
func (f *Follower) read(ctx context.Context) error {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = readBackoff
	retryBackoff.MaxInterval = maxReadBackoff
	target := int64(math.MaxInt64)
	for ctx.Err() == nil {
		tail, err := f.readOnce(ctx, target)
		if err == nil {
			retryBackoff.Reset()
			target = min(target, tail)
			continue
		}
		if ctx.Err() != nil {
			break
		}
		f.meters.readFailures.Inc(1)
		f.log.Warn("configuration read failed", "version", f.Version(), "error", singleLine(err))
		if sleep(ctx, retryBackoff.NextBackOff()) != nil {
			break
		}
	}
	return ctx.Err()
}

// readOnce reads the records after the current version and waits for their fold. target
// is the tail of the log that the follower must reach to be ready; the result is the
// lower of target and the tail that the log service reported.
func (f *Follower) readOnce(ctx context.Context, target int64) (int64, error) {
	wait := f.pollWait()
	started := time.Now()
	reply, err := f.readFrom(ctx, f.Version()+1, wait)
	if errors.Is(err, devplatform.ErrOffsetExpired) {
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
	if len(reply.Records) == 0 && time.Since(started) < wait/2 {
		// The log service did not hold the read open; avoid a busy loop.
		return target, sleep(ctx, readBackoff)
	}
	return target, nil
}

// pollWait returns how long the log service may hold a read open. It is 0 until the
// follower is ready.
func (f *Follower) pollWait() time.Duration {
	if f.IsReady() {
		return f.opts.PollWait
	}
	return 0
}

func (f *Follower) readFrom(ctx context.Context, from int64, wait time.Duration) (devplatform.ReadReply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeoutMargin)
	defer cancel()
	return f.opts.Log.Read(ctx, devplatform.ReadRequest{Stream: f.opts.Stream, From: from, Wait: wait})
}

// restore replaces the records that the log has dropped by a snapshot from the log.
// oldest is the first offset that the log still holds.
func (f *Follower) restore(ctx context.Context, oldest int64) error {
	fold, err := f.findSnapshot(ctx, oldest)
	if err != nil {
		return err
	}
	adopted := make(chan bool, 1)
	if err := f.send(ctx, adoptRequest{fold: fold, adopted: adopted}); err != nil {
		return err
	}
	select {
	case <-adopted:
	case <-ctx.Done():
	}
	return nil
}

// findSnapshot reads the log from an offset on until it finds a complete snapshot that
// covers all records before that offset. It returns errNoSnapshot if there is none.
func (f *Follower) findSnapshot(ctx context.Context, from int64) (*config.Fold, error) {
	var parts config.Assembler
	first := from
	for {
		reply, err := f.readFrom(ctx, from, 0)
		if err != nil {
			return nil, eris.Wrap(err, "search the log for a snapshot")
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

// assemble adds the snapshot parts of a log record to those collected so far. It
// returns a fold once they complete a valid snapshot of minVersion or later, else nil.
func (f *Follower) assemble(parts *config.Assembler, stored devplatform.StoredRecord, minVersion int64) *config.Fold {
	records, err := config.Decode(stored.Data)
	if err != nil {
		return nil
	}
	for _, record := range records {
		part, ok := record.Body.(config.Snapshot)
		if !ok {
			continue
		}
		data, asOf, complete := parts.Add(part)
		if !complete || asOf < minVersion {
			continue
		}
		fold, err := config.Restore(data)
		if err == nil && fold.Version() == asOf {
			return fold
		}
		f.log.Warn("configuration snapshot is damaged; ignoring it", "set", part.Set, "as_of", asOf)
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
