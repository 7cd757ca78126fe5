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
	DefaultContactBound  = 3 * time.Second
	DefaultProbeAge      = 500 * time.Millisecond
	DefaultHandoverBound = 5 * time.Second
	DefaultClaimGrace    = 2 * time.Second
	DefaultBackoffMin    = 500 * time.Millisecond
	DefaultBackoffMax    = 30 * time.Second
)

// Limits tune Decide.
type Limits struct {
	// ContactBound is how long an owner that this entry can't see must not
	// have reached any worker before it is replaced.
	ContactBound time.Duration
	// ProbeAge is the greatest age of the workers' word on that.
	ProbeAge time.Duration
	// HandoverBound is how long a leaving owner waits for a successor.
	HandoverBound time.Duration
	// ClaimGrace is how long a live claimant may take to tell of its
	// ownership in a heartbeat.
	ClaimGrace time.Duration
	// BackoffMin and BackoffMax bound the delay of a claim after the entry's
	// ownership was taken away; it doubles each time.
	BackoffMin time.Duration
	BackoffMax time.Duration
}

func (l Limits) withDefaults() Limits {
	setDefault(&l.ContactBound, DefaultContactBound)
	setDefault(&l.ProbeAge, DefaultProbeAge)
	setDefault(&l.HandoverBound, DefaultHandoverBound)
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

// Candidate is an entry of the domain.
type Candidate struct {
	ID      coordination.EntryID
	Alive   bool
	Leaving bool
	// Holds is the epoch under which the entry tells that it owns the shard;
	// its Number is 0 when it does not.
	Holds devplatform.Epoch
	// Ready says that it takes work under that epoch.
	Ready bool
}

// Contact is what workers told of the newest epoch that they have seen.
type Contact struct {
	Epoch devplatform.Epoch
	// Since is the time since the owner of Epoch last reached a worker, the
	// least over the workers asked.
	Since time.Duration
	// At is when they were asked.
	At state.Time
	// Answered says that a worker answered at all.
	Answered bool
}

// Own is the entry's own part in a shard.
type Own struct {
	// Epoch is the newest that the entry claimed; its Number is 0 before.
	Epoch devplatform.Epoch
	// Owning says that the entry acts as the owner under Epoch.
	Owning bool
	// LeavingSince is when the entry began to leave; set while Leaving.
	Leaving      bool
	LeavingSince state.Time
	// Losses is how often in a row ownership was taken away, NotBefore the
	// end of the resulting delay.
	Losses    int
	NotBefore state.Time
}

// Input is all that Decide looks at.
type Input struct {
	Self  coordination.EntryID
	Shard coordination.ShardID
	Now   state.Time
	// Stale says that the entry's knowledge of the others must not be acted
	// on.
	Stale bool
	// Entries are those of the domain, Self among them.
	Entries []Candidate
	// Claims are the epochs known from the log, from entries and from
	// workers.
	Claims []devplatform.Epoch
	// ClaimedAt is when the newest of Claims became known.
	ClaimedAt state.Time
	// Contact is the newest word of the workers.
	Contact Contact
	Own     Own
}

// Action is what the entry is to do.
type Action int

// The actions of a Decision.
const (
	// Wait: do nothing, and look again at Decision.Again at the latest.
	Wait Action = iota
	// Keep: go on as the owner.
	Keep
	// Claim: become the owner under Decision.Epoch.
	Claim
	// Release: stop acting as the owner at once.
	Release
	// Probe: ask workers for Contact, then decide again.
	Probe
)

// String names the action for logs.
func (a Action) String() string {
	return [...]string{"wait", "keep", "claim", "release", "probe"}[a]
}

// Cause is why an action was chosen.
type Cause string

// The causes of a Decision.
const (
	CauseNewest       Cause = "newest_epoch"
	CauseSuperseded   Cause = "newer_epoch_seen"
	CauseHandedOver   Cause = "handover_over"
	CauseHolderAlive  Cause = "holder_alive"
	CauseOtherWanted  Cause = "other_entry_wanted"
	CauseClaimFresh   Cause = "claim_fresh"
	CauseStale        Cause = "knowledge_stale"
	CauseBackoff      Cause = "backoff"
	CauseContact      Cause = "holder_reaches_workers"
	CauseContactUnset Cause = "contact_not_known"
	CauseVacant       Cause = "no_live_holder"
	CauseLeaving      Cause = "leaving"
)

// Decision is the outcome of Decide.
type Decision struct {
	Action Action
	Epoch  devplatform.Epoch
	Cause  Cause
	// Again is when to decide again at the latest; 0 means at the next news.
	Again state.Time
}

// Decide chooses what the entry does about a shard.
func Decide(in Input, limits Limits) Decision {
	limits = limits.withDefaults()
	newest := newestClaim(in)
	if in.Own.Owning {
		return decideOwner(in, newest, limits)
	}
	if in.Own.Leaving {
		return Decision{Action: Wait, Cause: CauseLeaving}
	}
	if in.Stale {
		return Decision{Action: Wait, Cause: CauseStale}
	}
	return decideCandidate(in, newest, limits)
}

// decideCandidate decides for an entry that may claim.
func decideCandidate(in Input, newest devplatform.Epoch, limits Limits) Decision {
	holder := standingOf(in, newest)
	switch holder {
	case holding:
		return Decision{Action: Wait, Cause: CauseHolderAlive}
	case silent:
		if until := in.ClaimedAt + limits.ClaimGrace; in.Now < until {
			return Decision{Action: Wait, Cause: CauseClaimFresh, Again: until}
		}
	case vacant, leaving, hidden, self:
	}
	if wanted, ok := Wanted(in.Shard, in.Entries); holder != self && (!ok || wanted != in.Self) {
		return Decision{Action: Wait, Cause: CauseOtherWanted}
	}
	if in.Now < in.Own.NotBefore {
		return Decision{Action: Wait, Cause: CauseBackoff, Again: in.Own.NotBefore}
	}
	if holder == silent || holder == hidden {
		if d := decideContact(in, newest, limits); d.Action != Claim {
			return d
		}
	}
	return Decision{Action: Claim, Cause: CauseVacant, Epoch: next(newest, in.Self)}
}

// standing is what is known of the owner of the newest epoch.
type standing int

const (
	// vacant: there is no epoch yet.
	vacant standing = iota
	// self: it is this entry, which does not act as the owner.
	self
	// holding: it is alive and tells that it owns the shard.
	holding
	// leaving: it is alive and waits for a successor.
	leaving
	// silent: it is alive and does not tell that it owns the shard.
	silent
	// hidden: it is dead, or out of this entry's sight.
	hidden
)

func standingOf(in Input, newest devplatform.Epoch) standing {
	if newest.Number == 0 {
		return vacant
	}
	if newest.Owner == string(in.Self) {
		return self
	}
	holder, known := findCandidate(in.Entries, coordination.EntryID(newest.Owner))
	switch {
	case !known || !holder.Alive:
		return hidden
	case holder.Leaving:
		return leaving
	case holder.Holds.Compare(newest) >= 0:
		return holding
	default:
		return silent
	}
}

func decideOwner(in Input, newest devplatform.Epoch, limits Limits) Decision {
	superseded := newest.Compare(in.Own.Epoch) > 0
	if !in.Own.Leaving {
		if superseded {
			return Decision{Action: Release, Cause: CauseSuperseded, Epoch: newest}
		}
		return Decision{Action: Keep, Cause: CauseNewest, Epoch: in.Own.Epoch}
	}
	if superseded && succeeded(in, newest) {
		return Decision{Action: Release, Cause: CauseSuperseded, Epoch: newest}
	}
	until := in.Own.LeavingSince + limits.HandoverBound
	if in.Now >= until {
		return Decision{Action: Release, Cause: CauseHandedOver, Epoch: in.Own.Epoch}
	}
	return Decision{Action: Keep, Cause: CauseLeaving, Epoch: in.Own.Epoch, Again: until}
}

// succeeded reports whether the newest claimant has begun to act: it takes
// work, or has fenced a worker against this entry.
func succeeded(in Input, newest devplatform.Epoch) bool {
	if in.Contact.Answered && in.Contact.Epoch.Compare(in.Own.Epoch) > 0 {
		return true
	}
	holder, known := findCandidate(in.Entries, coordination.EntryID(newest.Owner))
	return known && holder.Ready && holder.Holds.Compare(newest) >= 0
}

// decideContact looks at the workers' word on a holder that does not show
// itself, which is no proof of its end. It asks them when their word is old, waits while the
// holder reaches them, and else claims. Workers that do not answer prove
// nothing against a claim: it could not place there either.
func decideContact(in Input, newest devplatform.Epoch, limits Limits) Decision {
	c := in.Contact
	age := in.Now - c.At
	reached := c.Answered && c.Epoch.Compare(newest) >= 0
	if reached && c.Since+age < limits.ContactBound {
		return Decision{Action: Wait, Cause: CauseContact, Again: c.At + limits.ContactBound - c.Since}
	}
	if c.At == 0 || age > limits.ProbeAge {
		return Decision{Action: Probe, Cause: CauseContactUnset}
	}
	return Decision{Action: Claim}
}

func newestClaim(in Input) devplatform.Epoch {
	newest := in.Own.Epoch
	for _, claim := range in.Claims {
		if claim.Compare(newest) > 0 {
			newest = claim
		}
	}
	if in.Contact.Epoch.Compare(newest) > 0 {
		newest = in.Contact.Epoch
	}
	return newest
}

func next(newest devplatform.Epoch, self coordination.EntryID) devplatform.Epoch {
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

// Wanted returns the entry that should own a shard: the live entry that does
// not leave with the highest hash of shard and ID. So the shards of a dead
// owner spread evenly over the others.
func Wanted(shard coordination.ShardID, entries []Candidate) (coordination.EntryID, bool) {
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
