package journal

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// takeOver reads the stream, appends the takeover of this owner at its tail and
// returns the unfinished jobs. It retries with backoff while the log fails, and at
// once when another owner has written meanwhile. It fails with ErrFenced when a
// newer owner has taken over, or when ctx ends.
func (j *Journal) takeOver(ctx context.Context) ([]Job, error) {
	delays := newBackoff()
	r := reader{journal: j, fold: newFold()}
	for ctx.Err() == nil {
		err := r.takeOver(ctx)
		switch {
		case err == nil:
			return r.fold.unfinished(), nil
		case errors.Is(err, ErrFenced):
			return nil, err
		case errors.Is(err, devplatform.ErrOffsetMismatch):
			continue
		}
		j.log.Warn("journal recovery attempt failed", "error", err.Error())
		if j.cfg.OnStalled != nil {
			j.cfg.OnStalled(err)
		}
		if err := sleep(ctx, delays.NextBackOff()); err != nil {
			return nil, err
		}
	}
	return nil, ctx.Err()
}

// reader reads the stream up to its tail and folds the records.
type reader struct {
	journal *Journal
	fold    *fold
	// positioned reports whether journal.writer.next is the offset at which to
	// continue reading.
	positioned bool
}

// takeOver makes one attempt. It returns ErrOffsetMismatch when another owner has
// written meanwhile.
func (r *reader) takeOver(ctx context.Context) error {
	if err := r.readAll(ctx); err != nil {
		return err
	}
	j, f := r.journal, r.fold
	w := &j.writer
	order := f.epoch.Compare(j.cfg.Epoch)
	if order > 0 {
		return ErrFenced
	}
	w.base, w.baseTime = f.base, f.baseTime
	if f.sequence == 0 {
		w.base, w.baseTime = w.next, time.Now()
	}
	w.sequence = 1
	if order == 0 && f.sequence > 0 {
		// An earlier attempt succeeded, but its response was lost.
		w.sequence = f.sequence
		return nil
	}
	b := batch{Epoch: j.cfg.Epoch, Sequence: w.sequence, Base: w.base, BaseUnixMS: w.baseTime.UnixMilli()}
	data, err := b.encode()
	if err != nil {
		return err
	}
	offset, err := j.append(ctx, "takeover/"+j.cfg.Epoch.Owner, data)
	if err == nil {
		w.next = offset + 1
	}
	return err
}

// readAll reads and folds all new records up to the tail. When the log no longer
// keeps the next record, it returns the error, and the next call starts again.
func (r *reader) readAll(ctx context.Context) error {
	if !r.positioned {
		if err := r.seekBase(ctx); err != nil {
			return err
		}
	}
	w := &r.journal.writer
	for {
		reply, err := r.journal.read(ctx, w.next, 0)
		if errors.Is(err, devplatform.ErrOffsetExpired) {
			r.positioned = false
			r.fold = newFold()
		}
		if err != nil {
			return err
		}
		r.apply(reply)
		if len(reply.Records) == 0 || w.next >= reply.Tail {
			return nil
		}
	}
}

func (r *reader) apply(reply devplatform.ReadReply) {
	w := &r.journal.writer
	for _, record := range reply.Records {
		w.next = record.Offset + 1
		w.bytesSinceBase += len(record.Data)
		if err := r.fold.apply(record.Data); err != nil {
			r.journal.log.Warn("journal record skipped", "offset", record.Offset, "error", err.Error())
		}
	}
}

// seekBase sets the offset to read from: the base in the last record, or the
// oldest record of the log if that is newer.
func (r *reader) seekBase(ctx context.Context) error {
	reply, err := r.journal.read(ctx, math.MaxInt64, 1)
	if err != nil {
		return err
	}
	w := &r.journal.writer
	w.next, w.bytesSinceBase = reply.Oldest, 0
	if reply.Tail > reply.Oldest {
		base, err := r.readBase(ctx, reply.Tail-1)
		if err != nil {
			return err
		}
		w.next = max(w.next, base)
	}
	r.positioned = true
	return nil
}

// readBase returns the base in the record at an offset, or 0 if the record has
// none.
func (r *reader) readBase(ctx context.Context, offset int64) (int64, error) {
	reply, err := r.journal.read(ctx, offset, 1)
	if err != nil || len(reply.Records) == 0 {
		return 0, err
	}
	b, err := decode(reply.Records[0].Data)
	if err != nil {
		return 0, nil //nolint:nilerr // A record of another format has no base.
	}
	return b.Base, nil
}

// restore adds the unfinished jobs of earlier owners to the open jobs. They are
// already stored.
func (j *Journal) restore(jobs []Job) {
	j.mu.Lock()
	defer j.mu.Unlock()
	stored := resolvedCommit(true)
	for i := range jobs {
		if o, ok := j.open[jobs[i].ID]; ok {
			o.written = true
			continue
		}
		j.insert(&openJob{job: jobs[i], commit: stored, written: true})
	}
}
