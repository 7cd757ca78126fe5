package configlog

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state/config"
)

// Since returns what a peer that has folded up to from-1 lacks: the records,
// or a snapshot when they are kept no longer. It is empty while this follower
// is not ready or has nothing newer.
func (f *Follower) Since(from int64) (coordination.ConfigUpdate, error) {
	p := f.current.Load()
	if !f.IsReady() || from > p.view.Version() {
		return coordination.ConfigUpdate{}, nil
	}
	if len(p.history) > 0 && p.history[0].Offset <= from {
		return coordination.ConfigUpdate{Records: p.history[from-p.history[0].Offset:]}, nil
	}
	data, err := f.encodeSnapshot(p.view)
	if err != nil {
		return coordination.ConfigUpdate{}, err
	}
	return coordination.ConfigUpdate{Snapshot: data, SnapshotVersion: p.view.Version()}, nil
}

// encodeSnapshot keeps the last encoding, as several peers may ask for it.
func (f *Follower) encodeSnapshot(view *config.View) ([]byte, error) {
	f.snapshotMu.Lock()
	defer f.snapshotMu.Unlock()
	if f.snapshotView == view {
		return f.snapshotBytes, nil
	}
	data, err := view.EncodeSnapshot()
	if err != nil {
		return nil, err
	}
	f.snapshotView, f.snapshotBytes = view, data
	return data, nil
}

// Adopt takes a peer's configuration as far as it is newer, and reports whether
// it was. It never steps back. Errors: config.ErrBadSnapshot, ErrStopped, or
// that of ctx.
func (f *Follower) Adopt(ctx context.Context, update coordination.ConfigUpdate) (bool, error) {
	offered := foldOffered{records: update.Records, ready: true, taken: make(chan bool, 1)}
	if len(update.Snapshot) > 0 && (update.SnapshotVersion > f.Version() || f.adoptOlder) {
		fold, err := config.Restore(update.Snapshot)
		if err != nil {
			return false, err
		}
		offered.fold = fold
	}
	if offered.fold == nil && len(offered.records) == 0 {
		return false, nil
	}
	if err := f.send(ctx, offered); err != nil {
		return false, err
	}
	select {
	case taken := <-offered.taken:
		if taken {
			f.meters.adopted.Inc(1)
		}
		return taken, nil
	case <-f.stopped:
		return false, ErrStopped
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

// Offer handles a peer's news that it has folded a version: when that is newer,
// fetch is called with the first offset wanted and its update adopted.
func (f *Follower) Offer(ctx context.Context, version int64, fetch func(ctx context.Context, from int64) (coordination.ConfigUpdate, error)) (bool, error) {
	have := f.Version()
	if version <= have {
		return false, nil
	}
	update, err := fetch(ctx, have+1)
	if err != nil {
		return false, eris.Wrap(err, "fetch the peer's configuration")
	}
	return f.Adopt(ctx, update)
}
