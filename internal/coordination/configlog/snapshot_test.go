package configlog

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/config"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

func TestGossipWithoutLog(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context, log *fakeLog) {
		is := is.New(t)
		port := log.port()
		near := startFollower(t, ctx, log.port(), "e1/1", nil)
		far := startFollower(t, ctx, port, "e2/1", nil)
		_, _, err := near.Write(ctx, grantKey("k", "s"))
		is.NoErr(err)
		synctest.Wait()
		port.set(true, false)
		_, version, err := near.Write(ctx, config.Record{Base: 0, Body: config.WithdrawKey{Key: "k"}})
		is.NoErr(err)
		_, err = far.View().Authenticate("k", "s")
		is.NoErr(err) // not yet known there

		fetch := func(_ context.Context, from int64) (coordination.ConfigUpdate, error) { return near.Since(from) }
		taken, err := far.Offer(ctx, version, fetch)
		is.NoErr(err)
		is.True(taken)
		_, err = far.View().Authenticate("k", "s")
		var refused *config.AuthError
		is.True(errors.As(err, &refused))
		is.Equal(refused.Reason, config.AuthWithdrawn)

		// An older snapshot, older records and a gap change nothing.
		update, err := near.Since(0)
		is.NoErr(err)
		taken, err = far.Adopt(ctx, update)
		is.NoErr(err)
		is.True(!taken)
		gap := coordination.ConfigUpdate{Records: []devplatform.StoredRecord{{Offset: version + 2}}}
		taken, err = far.Adopt(ctx, gap)
		is.NoErr(err)
		is.True(!taken)
		is.Equal(far.Version(), version)
		_, err = far.Adopt(ctx, coordination.ConfigUpdate{Snapshot: []byte("x"), SnapshotVersion: 99})
		is.True(errors.Is(err, config.ErrBadSnapshot))
	})
}

// TestWithdrawnKeyStaysWithdrawn offers an older snapshot of a slow peer, also
// with the rule that the version never falls switched off.
func TestWithdrawnKeyStaysWithdrawn(t *testing.T) {
	for _, off := range []bool{false, true} {
		t.Run(fmt.Sprint("rule off ", off), func(t *testing.T) {
			bubble(t, func(t *testing.T, ctx context.Context, log *fakeLog) {
				is := is.New(t)
				f := startFollower(t, ctx, log.port(), "e1/1", nil)
				f.adoptOlder = off
				_, _, err := f.Write(ctx, grantKey("k", "s"))
				is.NoErr(err)
				older, err := f.View().EncodeSnapshot()
				is.NoErr(err)
				_, _, err = f.Write(ctx, config.Record{Base: 0, Body: config.WithdrawKey{Key: "k"}})
				is.NoErr(err)
				synctest.Wait() // the reader waits past the withdrawal
				_, err = f.Adopt(ctx, coordination.ConfigUpdate{Snapshot: older, SnapshotVersion: 0})
				is.NoErr(err)
				_, err = f.View().Authenticate("k", "s")
				is.Equal(err == nil, off)
			})
		})
	}
}

func TestRestoreFromLog(t *testing.T) {
	tests := []struct {
		name string
		// forget is how far behind the snapshot the log forgets.
		forget int64
		ready  bool
	}{
		{name: "log holds all", forget: -100, ready: true},
		{name: "log holds the snapshot and what follows", forget: 0, ready: true},
		{name: "log has forgotten the snapshot", forget: 1, ready: false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			bubble(t, func(t *testing.T, ctx context.Context, log *fakeLog) {
				is := is.New(t)
				f := startFollower(t, ctx, log.port(), "e1/1", nil)
				for _, team := range []state.TeamID{"a", "b", "c"} {
					_, _, err := f.Write(ctx, putContract(team, config.NoVersion))
					is.NoErr(err)
				}
				time.Sleep(DefaultSnapshotAge + DefaultSnapshotDelay + tickInterval) // writes the snapshot
				_, tail := log.count()
				is.Equal(tail, int64(4))
				_, _, err := f.Write(ctx, putContract("d", config.NoVersion))
				is.NoErr(err)
				log.forget(tail - 1 + tt.forget)
				late := startFollower(t, ctx, log.port(), "e2/1", nil)
				time.Sleep(time.Minute)
				is.Equal(late.IsReady(), tt.ready)
				if !tt.ready {
					update, err := f.Since(late.Version() + 1)
					is.NoErr(err)
					taken, err := late.Adopt(ctx, update)
					is.NoErr(err)
					is.True(taken)
					is.True(late.IsReady())
				}
				is.Equal(late.View().Contracts(), f.View().Contracts())
				_, _, err = f.Write(ctx, putContract("e", config.NoVersion))
				is.NoErr(err)
				is.NoErr(late.WaitVersion(ctx, f.Version()))
				is.Equal(late.View().Contracts(), f.View().Contracts())
			})
		})
	}
}

func TestSnapshotIsRepublishedOnce(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context, log *fakeLog) {
		is := is.New(t)
		var first *Follower
		for _, entry := range []state.EntryID{"e1/1", "e2/1", "e3/1", "e4/1"} {
			first = startFollower(t, ctx, log.port(), entry, nil)
		}
		_, _, err := first.Write(ctx, putContract("a", config.NoVersion))
		is.NoErr(err)
		const rounds = 10
		time.Sleep(rounds * (DefaultSnapshotAge + DefaultSnapshotDelay + tickInterval))
		_, tail := log.count()
		is.True(tail-1 >= rounds)   // none is missing
		is.True(tail-1 <= rounds+4) // others are suppressed, but for ties
	})
}

func TestSnapshotOfManyParts(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context, log *fakeLog) {
		is := is.New(t)
		f := startFollower(t, ctx, log.port(), "e1/1", nil)
		<-f.Ready()
		random := rand.NewChaCha8([32]byte{})
		const batches, size = 12, 2000
		for b := range batches {
			var list []config.Upstream
			for range size {
				id := make([]byte, 48)
				_, _ = random.Read(id)
				list = append(list, config.Upstream{ID: state.VMID(hex.EncodeToString(id)), Service: "fitting"})
			}
			domain := state.DomainID(fmt.Sprint("d", b%3))
			_, _, err := f.Write(ctx, config.Record{Body: config.JoinUpstreams{Domain: domain, Upstreams: list}})
			is.NoErr(err)
		}
		time.Sleep(DefaultSnapshotAge + DefaultSnapshotDelay + time.Minute)
		_, tail := log.count()
		is.True(tail >= batches+2) // two parts or more
		log.forget(batches)
		late := startFollower(t, ctx, log.port(), "e2/1", nil)
		<-late.Ready()
		for d := range 3 {
			domain := state.DomainID(fmt.Sprint("d", d))
			is.Equal(len(late.View().Upstreams(domain)), batches/3*size)
		}
		is.Equal(late.Version(), f.Version())
	})
}

func TestSinceAfterManyRecords(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context, log *fakeLog) {
		is := is.New(t)
		f := startFollower(t, ctx, log.port(), "e1/1", func(o *Options) { o.AppendsPerSecond = 1000 })
		for i := range 2 * historyRecords {
			_, _, err := f.Write(ctx, putContract(state.TeamID(fmt.Sprint("t", i%5)), config.AnyVersion))
			is.NoErr(err)
		}
		for _, from := range []int64{0, f.Version() / 2, f.Version() - 3, f.Version()} {
			update, err := f.Since(from)
			is.NoErr(err)
			peer := startFollower(t, ctx, &fakePort{down: true, changed: make(chan struct{})}, "e2/1", nil)
			if update.Snapshot == nil {
				base, err := config.Restore(snapshotAt(log, from-1))
				is.NoErr(err)
				data, err := base.View().EncodeSnapshot()
				is.NoErr(err)
				update.Snapshot, update.SnapshotVersion = data, from-1
			}
			_, err = peer.Adopt(ctx, update)
			is.NoErr(err)
			is.Equal(peer.Version(), f.Version())
			is.Equal(peer.View().Contracts(), f.View().Contracts())
		}
	})
}

// snapshotAt folds the log up to a version.
func snapshotAt(log *fakeLog, version int64) []byte {
	fold := config.NewFold()
	for _, stored := range log.records {
		records, _ := config.Decode(stored.Data)
		for _, record := range records {
			if stored.Offset <= version {
				fold.Apply(stored.Offset, record)
			}
		}
	}
	data, _ := fold.View().EncodeSnapshot()
	return data
}
