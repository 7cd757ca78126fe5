package configlog

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state/config"
)

// UpdateFrom returns the update for a peer that has folded all records before the
// offset from: the records from there on, or a snapshot if this follower no longer
// keeps them. The update is empty if this follower is not ready or has nothing newer.
func (f *Follower) UpdateFrom(from int64) (coordination.ConfigUpdate, error) {
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

// encodeSnapshot returns the encoded snapshot of a view. It caches the last encoding,
// as several peers may request the same one.
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

// Adopt applies a peer's update as far as it is newer than the folded version, and
// reports whether any of it was. The version never decreases. It returns
// config.ErrBadSnapshot, ErrStopped or the error of ctx.
func (f *Follower) Adopt(ctx context.Context, update coordination.ConfigUpdate) (bool, error) {
	request := adoptRequest{records: update.Records, ready: true, adopted: make(chan bool, 1)}
	if len(update.Snapshot) > 0 && (update.SnapshotVersion > f.Version() || f.adoptOlder) {
		fold, err := config.Restore(update.Snapshot)
		if err != nil {
			return false, err
		}
		request.fold = fold
	}
	if request.fold == nil && len(request.records) == 0 {
		return false, nil
	}
	if err := f.send(ctx, request); err != nil {
		return false, err
	}
	select {
	case adopted := <-request.adopted:
		if adopted {
			f.meters.adopted.Inc(1)
		}
		return adopted, nil
	case <-f.stopped:
		return false, ErrStopped
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

// FetchIfNewer handles a peer's announcement of the version that it has folded. If that
// is newer than the own version, FetchIfNewer calls fetch with the first missing offset
// and adopts the update. It reports whether the configuration changed, and returns the
// errors of fetch and of Adopt.
func (f *Follower) FetchIfNewer(ctx context.Context, version int64, fetch func(ctx context.Context, from int64) (coordination.ConfigUpdate, error)) (bool, error) {
	current := f.Version()
	if version <= current {
		return false, nil
	}
	update, err := fetch(ctx, current+1)
	if err != nil {
		return false, eris.Wrap(err, "fetch the peer's configuration")
	}
	return f.Adopt(ctx, update)
}
