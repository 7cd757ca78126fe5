package configlog

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/config"
)

// settlementStub is an Options.Settle whose result a test can change.
type settlementStub struct{ atomic.Int64 }

func (s *settlementStub) settle(*config.View) Settlement { return Settlement(s.Load()) }

func withDomain(domain state.DomainID, settle func(*config.View) Settlement) func(*Options) {
	return func(o *Options) { o.Domain, o.Settle = domain, settle }
}

func TestAllotmentMoveIsConfirmedAndSettled(t *testing.T) {
	runSynctest(t, func(t *testing.T, ctx context.Context, log *fakeLog) {
		is := is.New(t)
		var owner, standby, remote settlementStub
		remote.Store(int64(Settled))
		owner.Store(int64(Draining))
		standby.Store(int64(AppliedWithoutUpstreams))
		f := startFollower(t, ctx, log.client(), "e1/1", withDomain("d1", owner.settle))
		others := []*Follower{
			startFollower(t, ctx, log.client(), "e2/1", withDomain("d1", standby.settle)),
			startFollower(t, ctx, log.client(), "e3/1", withDomain("d2", remote.settle)),
		}
		for _, entry := range append(others, f) {
			is.NoErr(entry.Register(ctx))
		}
		write := func(base int64, body config.Body) {
			result, _, err := f.Write(ctx, config.Record{Base: base, Body: body})
			is.NoErr(err)
			is.NoErr(result.Err())
		}
		write(config.NoVersion, config.PutDomains{Domains: []config.Domain{{ID: "d1", Weight: 1}, {ID: "d2", Weight: 1}}})
		write(config.NoVersion, config.JoinUpstreams{Domain: "d1", Upstreams: []config.Upstream{{ID: "u", Service: "fitting"}}})
		time.Sleep(time.Minute)
		is.Equal(len(f.View().Upstreams("d1")), 0) // the first entry has not applied it yet
		owner.Store(int64(AppliedWithoutUpstreams))
		time.Sleep(time.Minute)
		is.Equal(len(f.View().Upstreams("d1")), 1)

		owner.Store(int64(Draining))
		write(config.NoVersion, putContract("a", 0).Body)
		write(f.View().AllotmentVersion("a"), config.MoveAllotment{Team: "a", From: "d1", To: "d2", Amount: state.Vector{Slots: 2}})
		slots := func(domain state.DomainID) int64 { return others[1].View().Allotment("a", domain).Slots }
		time.Sleep(time.Minute)
		is.Equal([]int64{slots("d1"), slots("d2")}, []int64{3, 5}) // the owner is still draining
		owner.Store(int64(AppliedWithoutUpstreams))
		time.Sleep(time.Minute)
		is.Equal([]int64{slots("d1"), slots("d2")}, []int64{3, 5}) // all have applied the view, but no owner has settled
		owner.Store(int64(Settled))
		time.Sleep(time.Minute)
		is.Equal([]int64{slots("d1"), slots("d2")}, []int64{3, 7})
		appends, _ := log.count()
		time.Sleep(time.Minute)
		idle, _ := log.count()
		is.Equal(idle, appends) // no confirmation is due, so none is written
	})
}

func TestRegisterReplacesEarlierIncarnation(t *testing.T) {
	runSynctest(t, func(t *testing.T, ctx context.Context, log *fakeLog) {
		is := is.New(t)
		first := startFollower(t, ctx, log.client(), "e1/1", nil)
		is.NoErr(first.Register(ctx))
		is.NoErr(first.Register(ctx)) // idempotent
		second := startFollower(t, ctx, log.client(), "e1/2", nil)
		is.NoErr(second.Register(ctx))
		entries := second.View().RegisteredEntries("d1")
		is.Equal(len(entries), 1)
		is.Equal(entries[0].ID, state.EntryID("e1/2"))
		var refused *config.InvalidError
		is.NoErr(first.WaitVersion(ctx, second.Version()))
		is.True(errors.As(first.Register(ctx), &refused)) // the registration has been replaced
		is.NoErr(second.Unregister(ctx))
		is.Equal(len(second.View().RegisteredEntries("d1")), 0)
	})
}

func TestRegisterRace(t *testing.T) {
	runSynctest(t, func(t *testing.T, ctx context.Context, log *fakeLog) {
		is := is.New(t)
		log.loseResponses = 2
		done := make(chan error, 2)
		var last *Follower
		for _, entry := range []state.EntryID{"e1/1", "e1/2"} {
			last = startFollower(t, ctx, log.client(), entry, nil)
			f := last
			go func() { done <- f.Register(ctx) }()
		}
		is.NoErr(<-done)
		is.NoErr(<-done)
		is.Equal(len(last.View().Entries()), 1) // only the later registration of a VM remains
	})
}
