package ownership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// The defaults of Limits.
const (
	DefaultContactTimeout  = 3 * time.Second
	DefaultMaxProbeAge     = 500 * time.Millisecond
	DefaultHandoverTimeout = 5 * time.Second
	DefaultClaimGrace      = 2 * time.Second
	DefaultBackoffMin      = 500 * time.Millisecond
	DefaultBackoffMax      = 30 * time.Second
)

// Limits configure Decide. Zero fields take their defaults.
type Limits struct {
	// ContactTimeout is how long an owner that is unreachable for this entry
	// must not have contacted any worker before it is replaced.
	ContactTimeout time.Duration
	// MaxProbeAge is the greatest age of a probe on which a claim may rely.
	MaxProbeAge time.Duration
	// HandoverTimeout is how long a leaving owner waits for a successor.
	HandoverTimeout time.Duration
	// ClaimGrace is how long a live claimant may take to report its ownership
	// in a heartbeat.
	ClaimGrace time.Duration
	// BackoffMin and BackoffMax bound the delay of the entry's next claim after
	// another entry took its ownership over. The delay doubles with each
	// consecutive loss.
	BackoffMin time.Duration
	BackoffMax time.Duration
}

func (l Limits) withDefaults() Limits {
	setDefault(&l.ContactTimeout, DefaultContactTimeout)
	setDefault(&l.MaxProbeAge, DefaultMaxProbeAge)
	setDefault(&l.HandoverTimeout, DefaultHandoverTimeout)
	setDefault(&l.ClaimGrace, DefaultClaimGrace)
	setDefault(&l.BackoffMin, DefaultBackoffMin)
	setDefault(&l.BackoffMax, DefaultBackoffMax)
	return l
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// Candidate is an entry of the domain, as known from membership.
type Candidate struct {
	ID      coordination.EntryID
	Alive   bool
	Leaving bool
	// OwnedEpoch is the epoch under which the entry reports to own the shard;
	// its Number is 0 when it reports none.
	OwnedEpoch devplatform.Epoch
	// Ready reports whether the entry accepts work under that epoch.
	Ready bool
}

// ProbeResult is what workers reported about the newest epoch that they have
// seen, in reply to a probe or when they rejected an older epoch.
type ProbeResult struct {
	Epoch devplatform.Epoch
	// SinceContact is the time since the owner of Epoch last contacted a
	// worker, the minimum over the probed workers.
	SinceContact time.Duration
	// At is the time of the probe.
	At state.Time
	// Answered reports whether at least one worker responded.
	Answered bool
}

// LocalState is the entry's own ownership state for a shard. Its methods return
// the state after a transition.
type LocalState struct {
	// Epoch is the newest epoch that the entry claimed; its Number is 0 before
	// the first claim.
	Epoch devplatform.Epoch
	// Owning reports whether the entry acts as the owner under Epoch.
	Owning bool
	// LeavingSince is when the entry began to leave; it is set while Leaving.
	Leaving      bool
	LeavingSince state.Time
	// Losses counts the consecutive times that another entry took the
	// ownership over. NotBefore is the end of the resulting backoff.
	Losses    int
	NotBefore state.Time
}

// Input is everything that a decision depends on besides Limits.
type Input struct {
	Self  coordination.EntryID
	Shard coordination.ShardID
	Now   state.Time
	// Stale reports that the entry's view of the other entries is too old to
	// act on.
	Stale bool
	// Entries are the entries of the domain, including Self.
	Entries []Candidate
	// Claims are the epochs known from the log, from entries and from
	// workers.
	Claims []devplatform.Epoch
	// ClaimedAt is when this entry learned of the newest of Claims.
	ClaimedAt state.Time
	// LastProbe is the most recent report of the workers.
	LastProbe ProbeResult
	Local     LocalState
}

// Action is what the entry must do about the shard.
type Action int

// The actions of a Decision.
const (
	// Wait means to do nothing, and to decide again at Decision.RecheckAt at
	// the latest.
	Wait Action = iota
	// Keep means to continue as the owner.
	Keep
	// Claim means to become the owner under Decision.Epoch.
	Claim
	// Release means to stop acting as the owner at once.
	Release
	// Probe means to probe the workers for Input.LastProbe, and then to decide
	// again.
	Probe
)

// String returns the name of the action, for logs.
func (a Action) String() string {
	return [...]string{"wait", "keep", "claim", "release", "probe"}[a]
}

// Cause is the reason for an action.
type Cause string

// The causes of a Decision.
const (
	CauseOwnEpochNewest      Cause = "newest_epoch"
	CauseSuperseded          Cause = "newer_epoch_seen"
	CauseHandoverTimeout     Cause = "handover_over"
	CauseOwnerAlive          Cause = "holder_alive"
	CauseNotPreferred        Cause = "other_entry_wanted"
	CauseClaimFresh          Cause = "claim_fresh"
	CauseStale               Cause = "knowledge_stale"
	CauseBackoff             Cause = "backoff"
	CauseOwnerReachesWorkers Cause = "holder_reaches_workers"
	CauseContactUnknown      Cause = "contact_not_known"
	CauseNoLiveOwner         Cause = "no_live_holder"
	CauseLeaving             Cause = "leaving"
)

// Decision is the outcome of Decide.
type Decision struct {
	Action Action
	Epoch  devplatform.Epoch
	Cause  Cause
	// RecheckAt is when to decide again at the latest; 0 means that only a
	// change of the input requires a new decision.
	RecheckAt state.Time
}

// Decide returns what the entry must do about a shard. It is a pure function.
func Decide(in Input, limits Limits) Decision {
	limits = limits.withDefaults()
	newest := newestClaim(in)
	if in.Local.Owning {
		return decideOwner(in, newest, limits)
	}
	if in.Local.Leaving {
		return Decision{Action: Wait, Cause: CauseLeaving}
	}
	if in.Stale {
		return Decision{Action: Wait, Cause: CauseStale}
	}
	return decideCandidate(in, newest, limits)
}

// decideCandidate decides for an entry that does not own the shard and may claim
// it.
func decideCandidate(in Input, newest devplatform.Epoch, limits Limits) Decision {
	status := ownerStatusOf(in, newest)
	switch status {
	case ownerActive:
		return Decision{Action: Wait, Cause: CauseOwnerAlive}
	case ownerNotReporting:
		if until := in.ClaimedAt + limits.ClaimGrace; in.Now < until {
			return Decision{Action: Wait, Cause: CauseClaimFresh, RecheckAt: until}
		}
	case ownerNone, ownerLeaving, ownerUnreachable, ownerSelf:
	}
	if preferred, ok := PreferredOwner(in.Shard, in.Entries); status != ownerSelf && (!ok || preferred != in.Self) {
		return Decision{Action: Wait, Cause: CauseNotPreferred}
	}
	if in.Now < in.Local.NotBefore {
		return Decision{Action: Wait, Cause: CauseBackoff, RecheckAt: in.Local.NotBefore}
	}
	if status == ownerNotReporting || status == ownerUnreachable {
		if d := decideByContact(in, newest, limits); d.Action != Claim {
			return d
		}
	}
	return Decision{Action: Claim, Cause: CauseNoLiveOwner, Epoch: nextEpoch(newest, in.Self)}
}

// ownerStatus is what this entry knows about the owner of the newest epoch.
type ownerStatus int

const (
	// ownerNone means that there is no epoch yet.
	ownerNone ownerStatus = iota
	// ownerSelf means that it is this entry, which does not act as the owner.
	ownerSelf
	// ownerActive means that it is alive and reports to own the shard.
	ownerActive
	// ownerLeaving means that it is alive and waits for a successor.
	ownerLeaving
	// ownerNotReporting means that it is alive and does not report to own the
	// shard.
	ownerNotReporting
	// ownerUnreachable means that it is dead, or unreachable for this entry.
	ownerUnreachable
)

func ownerStatusOf(in Input, newest devplatform.Epoch) ownerStatus {
	if newest.Number == 0 {
		return ownerNone
	}
	if newest.Owner == string(in.Self) {
		return ownerSelf
	}
	owner, known := findCandidate(in.Entries, coordination.EntryID(newest.Owner))
	switch {
	case !known || !owner.Alive:
		return ownerUnreachable
	case owner.Leaving:
		return ownerLeaving
	case owner.OwnedEpoch.Compare(newest) >= 0:
		return ownerActive
	default:
		return ownerNotReporting
	}
}

func decideOwner(in Input, newest devplatform.Epoch, limits Limits) Decision {
	superseded := newest.Compare(in.Local.Epoch) > 0
	if !in.Local.Leaving {
		if superseded {
			return Decision{Action: Release, Cause: CauseSuperseded, Epoch: newest}
		}
		return Decision{Action: Keep, Cause: CauseOwnEpochNewest, Epoch: in.Local.Epoch}
	}
	if superseded && successorActive(in, newest) {
		return Decision{Action: Release, Cause: CauseSuperseded, Epoch: newest}
	}
	until := in.Local.LeavingSince + limits.HandoverTimeout
	if in.Now >= until {
		return Decision{Action: Release, Cause: CauseHandoverTimeout, Epoch: in.Local.Epoch}
	}
	return Decision{Action: Keep, Cause: CauseLeaving, Epoch: in.Local.Epoch, RecheckAt: until}
}

// successorActive reports whether the newest claimant has begun to act as the
// owner: it accepts work, or has fenced a worker against this entry.
func successorActive(in Input, newest devplatform.Epoch) bool {
	if in.LastProbe.Answered && in.LastProbe.Epoch.Compare(in.Local.Epoch) > 0 {
		return true
	}
	owner, known := findCandidate(in.Entries, coordination.EntryID(newest.Owner))
	return known && owner.Ready && owner.OwnedEpoch.Compare(newest) >= 0
}

// decideByContact decides about an owner that does not report its ownership or
// is unreachable, which does not prove that it has failed. It requests a probe
// when the last one is too old, waits while the owner contacts the workers, and
// claims otherwise. Workers that do not respond are no reason against a claim:
// work could not be placed on them either.
func decideByContact(in Input, newest devplatform.Epoch, limits Limits) Decision {
	c := in.LastProbe
	age := in.Now - c.At
	reached := c.Answered && c.Epoch.Compare(newest) >= 0
	if reached && c.SinceContact+age < limits.ContactTimeout {
		return Decision{Action: Wait, Cause: CauseOwnerReachesWorkers, RecheckAt: c.At + limits.ContactTimeout - c.SinceContact}
	}
	if c.At == 0 || age > limits.MaxProbeAge {
		return Decision{Action: Probe, Cause: CauseContactUnknown}
	}
	return Decision{Action: Claim}
}

func newestClaim(in Input) devplatform.Epoch {
	newest := in.Local.Epoch
	for _, claim := range in.Claims {
		if claim.Compare(newest) > 0 {
			newest = claim
		}
	}
	if in.LastProbe.Epoch.Compare(newest) > 0 {
		newest = in.LastProbe.Epoch
	}
	return newest
}

func nextEpoch(newest devplatform.Epoch, self coordination.EntryID) devplatform.Epoch {
	return devplatform.Epoch{Number: newest.Number + 1, Owner: string(self)}
}

func findCandidate(entries []Candidate, id coordination.EntryID) (Candidate, bool) {
	for _, c := range entries {
		if c.ID == id {
			return c, true
		}
	}
	return Candidate{}, false
}

// PreferredOwner returns the entry that should own a shard, by rendezvous
// hashing: the live entry that is not leaving and has the highest hash of shard
// and entry ID. The shards of a dead owner thus spread evenly over the other
// entries. It returns false when no entry qualifies.
func PreferredOwner(shard coordination.ShardID, entries []Candidate) (coordination.EntryID, bool) {
	var best coordination.EntryID
	var bestScore uint64
	found := false
	for _, c := range entries {
		if !c.Alive || c.Leaving {
			continue
		}
		score := xxhash.Sum64String(string(shard) + "\x00" + string(c.ID))
		if !found || score > bestScore || score == bestScore && c.ID > best {
			best, bestScore, found = c.ID, score, true
		}
	}
	return best, found
}
