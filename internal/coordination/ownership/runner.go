package ownership

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/coordination/membership"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

const (
	decideInterval = 250 * time.Millisecond
	probeTimeout   = 500 * time.Millisecond
	appendTimeout  = 300 * time.Millisecond
	settleTime     = 30 * time.Second
	eventBuffer    = 256
)

// Shard acts as the owner of a shard when the Runner says so.
type Shard interface {
	// Take begins to act as the owner under an epoch. It returns at once;
	// fencing goes on behind it.
	Take(epoch devplatform.Epoch)
	// Drop stops placing under an epoch. Work that runs goes on.
	Drop(epoch devplatform.Epoch, cause Cause)
	// Probe asks some workers for the newest epoch that they have seen, and
	// for the least time since its owner reached one of them. Answered is
	// false when no worker answered before ctx ended.
	Probe(ctx context.Context) (newest devplatform.Epoch, since time.Duration, answered bool)
}

// Members is the part of membership that a Runner needs.
type Members interface {
	Snapshot() *membership.Snapshot
	Stale() bool
	Subscribe() (<-chan struct{}, func())
}

// Runner decides about one shard for one entry. Run it once; all other methods
// are safe for concurrent use.
type Runner struct {
	self     coordination.EntryID
	domain   state.DomainID
	id       coordination.ShardID
	limits   Limits
	members  Members
	claimLog claimLog
	shard    Shard
	logger   hclog.Logger
	start    time.Time
	events   chan event
	own      atomic.Pointer[Own]
	released chan struct{}
}

// event is something that another goroutine tells the Runner's own.
type event interface{ event() }

// refused is a worker's refusal of an epoch of this entry.
type refused struct{ fenced devplatform.FencedError }

// leave asks to hand the shard over.
type leave struct{}

func (refused) event() {}
func (leave) event()   {}
func (batch) event()   {}

// NewRunner returns a Runner of the entry self for a shard of a domain.
func NewRunner(self coordination.EntryID, domain state.DomainID, id coordination.ShardID, limits Limits, members Members, log devplatform.Log, shard Shard, logger hclog.Logger) *Runner {
	r := &Runner{
		self:     self,
		domain:   domain,
		id:       id,
		limits:   limits.withDefaults(),
		members:  members,
		claimLog: newClaimLog(log, domain),
		shard:    shard,
		logger:   logger.Named("ownership"),
		start:    time.Now(),
		events:   make(chan event, eventBuffer),
		released: make(chan struct{}),
	}
	r.own.Store(&Own{})
	return r
}

// Current returns the epoch under which the entry acts as the owner, and
// whether it does.
func (r *Runner) Current() (devplatform.Epoch, bool) {
	own := r.own.Load()
	return own.Epoch, own.Owning
}

// Fenced tells that a worker has refused the entry's epoch.
func (r *Runner) Fenced(err *devplatform.FencedError) {
	select {
	case r.events <- refused{fenced: *err}:
	default:
	}
}

// Leave begins to hand the shard over. Released is closed at its end. The
// entry's membership status must say that it leaves, so that another entry
// becomes the wanted one.
func (r *Runner) Leave() {
	r.events <- leave{}
}

// Released is closed once the entry has left and owns the shard no more.
func (r *Runner) Released() <-chan struct{} { return r.released }

// Run decides until ctx ends. It returns nil; the shard is dropped then.
func (r *Runner) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return r.claimLog.follow(ctx, func(b batch) {
			select {
			case r.events <- b:
			case <-ctx.Done():
			}
		})
	})
	group.Go(func() error { return r.control(ctx) })
	return group.Wait()
}

// knowledge is the control goroutine's own state.
type knowledge struct {
	own       Own
	ownSince  state.Time
	newest    devplatform.Epoch
	claimedAt state.Time
	contact   Contact
	logNext   int64
	logKnown  bool
	done      bool
	last      Decision
}

func (r *Runner) control(ctx context.Context) error {
	changed, unsubscribe := r.members.Subscribe()
	defer unsubscribe()
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	k := &knowledge{}
	for {
		select {
		case <-ctx.Done():
			r.stop(k)
			return nil
		case <-ticker.C:
		case <-changed:
		case e := <-r.events:
			r.apply(k, e)
		}
		r.decide(ctx, k)
		own := k.own
		r.own.Store(&own)
	}
}

func (r *Runner) now() state.Time { return time.Since(r.start) }

func (r *Runner) apply(k *knowledge, e event) {
	now := r.now()
	switch e := e.(type) {
	case refused:
		k.learn(e.fenced.Current, now)
		k.contact = Contact{Epoch: e.fenced.Current, Since: e.fenced.SinceContact, At: now, Answered: true}
	case leave:
		k.own = k.own.Leave(now)
	case batch:
		k.logNext = e.next
		k.logKnown = true
		for _, claim := range e.claims {
			if claim.Shard == r.id {
				k.learn(claim.Epoch, now)
			}
		}
	}
}

// learn notes an epoch that someone claimed.
func (k *knowledge) learn(epoch devplatform.Epoch, now state.Time) {
	if epoch.Compare(k.newest) > 0 {
		k.newest = epoch
		k.claimedAt = now
	}
}

// decide acts until the decision is to wait or to keep.
func (r *Runner) decide(ctx context.Context, k *knowledge) {
	snapshot := r.members.Snapshot()
	now := r.now()
	for _, claim := range snapshot.Claims(r.id) {
		k.learn(claim, now)
	}
	d := Decide(r.input(k, snapshot, now), r.limits)
	if d.Action == Probe {
		r.probe(ctx, k)
		d = Decide(r.input(k, snapshot, r.now()), r.limits)
	}
	r.log(k, d)
	k.last = d
	switch d.Action {
	case Claim:
		r.claim(ctx, k, d.Epoch)
	case Release:
		r.release(k, d)
	case Keep, Wait, Probe:
		r.settle(k, d)
	}
	if k.own.Leaving && !k.own.Owning && !k.done {
		k.done = true
		close(r.released)
	}
}

func (r *Runner) input(k *knowledge, snapshot *membership.Snapshot, now state.Time) Input {
	in := Input{
		Self:      r.self,
		Shard:     r.id,
		Now:       now,
		Stale:     r.members.Stale(),
		Claims:    []devplatform.Epoch{k.newest},
		ClaimedAt: k.claimedAt,
		Contact:   k.contact,
		Own:       k.own,
	}
	for i := range snapshot.Entries {
		e := &snapshot.Entries[i]
		if e.Domain != r.domain {
			continue
		}
		in.Entries = append(in.Entries, candidate(e, r.id))
	}
	return in
}

func candidate(e *membership.Entry, shard coordination.ShardID) Candidate {
	c := Candidate{ID: e.ID, Alive: e.Live(), Leaving: e.Leaving}
	for _, load := range e.Owned {
		if load.Shard == shard {
			c.Holds = load.Epoch
			c.Ready = load.Ready
		}
	}
	return c
}

func (r *Runner) probe(ctx context.Context, k *knowledge) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	newest, since, answered := r.shard.Probe(ctx)
	now := r.now()
	k.contact = Contact{Epoch: newest, Since: since, At: now, Answered: answered}
	k.learn(newest, now)
}

// claim writes the claim to the log when the log answers in time, and takes
// the shard unless another claim came first there.
func (r *Runner) claim(ctx context.Context, k *knowledge, epoch devplatform.Epoch) {
	if k.logKnown {
		appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		err := r.claimLog.append(appendCtx, claimRecord{Shard: r.id, Epoch: epoch}, k.logNext)
		if errors.Is(err, devplatform.ErrOffsetMismatch) {
			k.logKnown = false
			return
		}
	}
	k.learn(epoch, r.now())
	k.own = k.own.Begin(epoch)
	k.ownSince = r.now()
	r.shard.Take(epoch)
}

func (r *Runner) release(k *knowledge, d Decision) {
	epoch := k.own.Epoch
	if d.Cause == CauseSuperseded {
		k.own = k.own.Lose(r.now(), r.limits, rand.Float64())
	} else {
		k.own = k.own.End()
	}
	r.shard.Drop(epoch, d.Cause)
}

// settle forgets earlier losses once an ownership has lasted.
func (r *Runner) settle(k *knowledge, d Decision) {
	lasting := k.own.Owning && r.now()-k.ownSince >= settleTime
	if lasting || d.Cause == CauseHolderAlive {
		k.own = k.own.Settle()
	}
}

func (r *Runner) stop(k *knowledge) {
	if !k.own.Owning {
		return
	}
	k.own = k.own.End()
	own := k.own
	r.own.Store(&own)
	r.shard.Drop(own.Epoch, CauseLeaving)
}

func (r *Runner) log(k *knowledge, d Decision) {
	if d.Action == k.last.Action && d.Cause == k.last.Cause && d.Epoch == k.last.Epoch {
		return
	}
	r.logger.Info("ownership decided", "shard", r.id, "action", d.Action, "cause", d.Cause,
		"epoch_number", d.Epoch.Number, "epoch_owner", d.Epoch.Owner)
}
