package journal

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// takeOver reads the stream and writes the takeover of this owner at its tail.
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
		j.log.Warn("journal recovery failed", "error", err.Error())
		if j.cfg.OnStalled != nil {
			j.cfg.OnStalled(err)
		}
		if err := sleep(ctx, delays.NextBackOff()); err != nil {
			return nil, err
		}
	}
	return nil, ctx.Err()
}

// reader folds the stream up to its tail.
type reader struct {
	journal *Journal
	fold    *fold
	// begun says that journal.writer.next is where to read on.
	begun bool
}

// takeOver makes one attempt. ErrOffsetMismatch says that another owner wrote
// meanwhile.
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
	w.base, w.baseAt = f.base, f.baseAt
	if f.sequence == 0 {
		w.base, w.baseAt = w.next, time.Now()
	}
	w.sequence = 1
	if order == 0 && f.sequence > 0 {
		// An attempt whose answer was lost has taken effect.
		w.sequence = f.sequence
		return nil
	}
	b := batch{Epoch: j.cfg.Epoch, Sequence: w.sequence, Base: w.base, BaseUnixMS: w.baseAt.UnixMilli()}
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

// readAll folds what is new up to the tail.
func (r *reader) readAll(ctx context.Context) error {
	if !r.begun {
		if err := r.begin(ctx); err != nil {
			return err
		}
	}
	w := &r.journal.writer
	for {
		reply, err := r.journal.read(ctx, w.next, 0)
		if errors.Is(err, devplatform.ErrForgotten) {
			r.begun = false
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
		w.sinceBase += len(record.Data)
		if err := r.fold.apply(record.Data); err != nil {
			r.journal.log.Warn("journal record skipped", "offset", record.Offset, "error", err.Error())
		}
	}
}

// begin finds the offset to read from: the base that the last record names, or
// the oldest record kept.
func (r *reader) begin(ctx context.Context) error {
	reply, err := r.journal.read(ctx, math.MaxInt64, 1)
	if err != nil {
		return err
	}
	w := &r.journal.writer
	w.next, w.sinceBase = reply.Oldest, 0
	if reply.Tail > reply.Oldest {
		base, err := r.baseAt(ctx, reply.Tail-1)
		if err != nil {
			return err
		}
		w.next = max(w.next, base)
	}
	r.begun = true
	return nil
}

// baseAt returns the base that a record names; 0 when it names none.
func (r *reader) baseAt(ctx context.Context, offset int64) (int64, error) {
	reply, err := r.journal.read(ctx, offset, 1)
	if err != nil || len(reply.Records) == 0 {
		return 0, err
	}
	b, err := decode(reply.Records[0].Data)
	if err != nil {
		return 0, nil //nolint:nilerr // A record of another format names no base.
	}
	return b.Base, nil
}

// reopen takes in the unfinished jobs of earlier owners.
func (j *Journal) reopen(jobs []Job) {
	j.mu.Lock()
	defer j.mu.Unlock()
	stored := settled(true)
	for i := range jobs {
		if o, ok := j.open[jobs[i].ID]; ok {
			o.written = true
			continue
		}
		j.insert(&openJob{job: jobs[i], commit: stored, written: true})
	}
}
