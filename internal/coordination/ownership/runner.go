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
	// decideInterval is the interval of periodic decisions, besides those after
	// an event or a membership change.
	decideInterval = 250 * time.Millisecond
	// probeTimeout bounds a probe of the workers.
	probeTimeout = 500 * time.Millisecond
	// appendTimeout bounds the append of a claim to the log.
	appendTimeout = 300 * time.Millisecond
	// lossResetTime is how long an ownership must last before earlier losses
	// no longer lengthen the backoff.
	lossResetTime = 30 * time.Second
	// eventBuffer is the capacity of the event channel.
	eventBuffer = 256
)

// Shard acts as the owner of a shard on behalf of a Runner.
type Shard interface {
	// Take begins to act as the owner under an epoch. It returns at once;
	// workers are fenced in the background.
	Take(epoch devplatform.Epoch)
	// Drop stops placing work under an epoch. Running work continues.
	Drop(epoch devplatform.Epoch, cause Cause)
	// Probe asks some workers for the newest epoch that they have seen, and
	// for the time since its owner last contacted one of them, the minimum
	// over these workers. Answered is false when no worker responded before
	// ctx ended.
	Probe(ctx context.Context) (newest devplatform.Epoch, sinceContact time.Duration, answered bool)
}

// Members is the subset of membership.Service that a Runner uses.
type Members interface {
	Snapshot() *membership.Snapshot
	Stale() bool
	Subscribe() (<-chan struct{}, func())
}

// Runner runs the ownership election of one entry for one shard. Run must be
// called once; all other methods are safe for concurrent use.
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
	local    atomic.Pointer[LocalState]
	released chan struct{}
}

// event is a message to the Runner's control goroutine.
type event interface{ event() }

// fencedEvent reports that a worker rejected an epoch of this entry.
type fencedEvent struct{ fenced devplatform.FencedError }

// leaveEvent requests the handover of the shard.
type leaveEvent struct{}

func (fencedEvent) event() {}
func (leaveEvent) event()  {}
func (claimBatch) event()  {}

// NewRunner returns the Runner of the entry self for a shard of a domain.
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
	r.local.Store(&LocalState{})
	return r
}

// Current returns the newest epoch that the entry claimed, and whether the entry
// acts as the owner under it.
func (r *Runner) Current() (devplatform.Epoch, bool) {
	local := r.local.Load()
	return local.Epoch, local.Owning
}

// Fenced reports that a worker rejected the entry's epoch. It does not block: the
// report is discarded when the event buffer is full.
func (r *Runner) Fenced(err *devplatform.FencedError) {
	select {
	case r.events <- fencedEvent{fenced: *err}:
	default:
	}
}

// Leave starts the handover of the shard, at whose end Released is closed. The
// entry's membership status must report that it is leaving, so that another entry
// becomes the preferred owner.
func (r *Runner) Leave() {
	r.events <- leaveEvent{}
}

// Released returns a channel that is closed once the entry is leaving and no
// longer owns the shard.
func (r *Runner) Released() <-chan struct{} { return r.released }

// Run follows the claim log and decides about the shard until ctx ends. Then it
// drops the shard and returns nil.
func (r *Runner) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return r.claimLog.follow(ctx, func(b claimBatch) {
			select {
			case r.events <- b:
			case <-ctx.Done():
			}
		})
	})
	group.Go(func() error { return r.control(ctx) })
	return group.Wait()
}

// controlState is the state of the control goroutine.
type controlState struct {
	local        LocalState
	ownedSince   state.Time
	newestEpoch  devplatform.Epoch
	claimedAt    state.Time
	lastProbe    ProbeResult
	nextOffset   int64
	offsetKnown  bool
	leaveDone    bool
	lastDecision Decision
}

func (r *Runner) control(ctx context.Context) error {
	changed, unsubscribe := r.members.Subscribe()
	defer unsubscribe()
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	s := &controlState{}
	for {
		select {
		case <-ctx.Done():
			r.stop(s)
			return nil
		case <-ticker.C:
		case <-changed:
		case e := <-r.events:
			r.apply(s, e)
		}
		r.decide(ctx, s)
		local := s.local
		r.local.Store(&local)
	}
}

func (r *Runner) now() state.Time { return time.Since(r.start) }

func (r *Runner) apply(s *controlState, e event) {
	now := r.now()
	switch e := e.(type) {
	case fencedEvent:
		s.observeEpoch(e.fenced.Current, now)
		s.lastProbe = ProbeResult{Epoch: e.fenced.Current, SinceContact: e.fenced.SinceContact, At: now, Answered: true}
	case leaveEvent:
		s.local = s.local.Leave(now)
	case claimBatch:
		s.nextOffset = e.nextOffset
		s.offsetKnown = true
		for _, claim := range e.claims {
			if claim.Shard == r.id {
				s.observeEpoch(claim.Epoch, now)
			}
		}
	}
}

// observeEpoch records an epoch that an entry claimed.
func (s *controlState) observeEpoch(epoch devplatform.Epoch, now state.Time) {
	if epoch.Compare(s.newestEpoch) > 0 {
		s.newestEpoch = epoch
		s.claimedAt = now
	}
}

// decide makes a decision, after a probe of the workers if it requires one, and
// carries it out.
func (r *Runner) decide(ctx context.Context, s *controlState) {
	snapshot := r.members.Snapshot()
	now := r.now()
	for _, claim := range snapshot.Claims(r.id) {
		s.observeEpoch(claim, now)
	}
	d := Decide(r.input(s, snapshot, now), r.limits)
	if d.Action == Probe {
		r.probe(ctx, s)
		d = Decide(r.input(s, snapshot, r.now()), r.limits)
	}
	r.logDecision(s, d)
	s.lastDecision = d
	switch d.Action {
	case Claim:
		r.claim(ctx, s, d.Epoch)
	case Release:
		r.release(s, d)
	case Keep, Wait, Probe:
		r.resetLosses(s, d)
	}
	if s.local.Leaving && !s.local.Owning && !s.leaveDone {
		s.leaveDone = true
		close(r.released)
	}
}

func (r *Runner) input(s *controlState, snapshot *membership.Snapshot, now state.Time) Input {
	in := Input{
		Self:      r.self,
		Shard:     r.id,
		Now:       now,
		Stale:     r.members.Stale(),
		Claims:    []devplatform.Epoch{s.newestEpoch},
		ClaimedAt: s.claimedAt,
		LastProbe: s.lastProbe,
		Local:     s.local,
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
			c.OwnedEpoch = load.Epoch
			c.Ready = load.Ready
		}
	}
	return c
}

func (r *Runner) probe(ctx context.Context, s *controlState) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	newest, sinceContact, answered := r.shard.Probe(ctx)
	now := r.now()
	s.lastProbe = ProbeResult{Epoch: newest, SinceContact: sinceContact, At: now, Answered: answered}
	s.observeEpoch(newest, now)
}

// claim appends the claim to the log and takes the shard, unless another record
// was appended first. It also takes the shard if the tail of the log is not known
// yet, or if the append fails or times out.
func (r *Runner) claim(ctx context.Context, s *controlState, epoch devplatform.Epoch) {
	if s.offsetKnown {
		appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		err := r.claimLog.append(appendCtx, claimRecord{Shard: r.id, Epoch: epoch}, s.nextOffset)
		if errors.Is(err, devplatform.ErrOffsetMismatch) {
			s.offsetKnown = false
			return
		}
	}
	s.observeEpoch(epoch, r.now())
	s.local = s.local.Acquire(epoch)
	s.ownedSince = r.now()
	r.shard.Take(epoch)
}

func (r *Runner) release(s *controlState, d Decision) {
	epoch := s.local.Epoch
	if d.Cause == CauseSuperseded {
		s.local = s.local.Lose(r.now(), r.limits, rand.Float64())
	} else {
		s.local = s.local.Release()
	}
	r.shard.Drop(epoch, d.Cause)
}

// resetLosses clears the count of losses once this entry has owned the shard for
// lossResetTime, or another entry owns it.
func (r *Runner) resetLosses(s *controlState, d Decision) {
	lasting := s.local.Owning && r.now()-s.ownedSince >= lossResetTime
	if lasting || d.Cause == CauseOwnerAlive {
		s.local = s.local.ResetLosses()
	}
}

func (r *Runner) stop(s *controlState) {
	if !s.local.Owning {
		return
	}
	s.local = s.local.Release()
	local := s.local
	r.local.Store(&local)
	r.shard.Drop(local.Epoch, CauseLeaving)
}

func (r *Runner) logDecision(s *controlState, d Decision) {
	if d.Action == s.lastDecision.Action && d.Cause == s.lastDecision.Cause && d.Epoch == s.lastDecision.Epoch {
		return
	}
	r.logger.Info("ownership decision changed", "shard", r.id, "action", d.Action, "cause", d.Cause,
		"epoch_number", d.Epoch.Number, "epoch_owner", d.Epoch.Owner)
}
