package ownership

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// The defaults of BoundedConfig.
const (
	DefaultTerm   = 10 * time.Second
	DefaultMargin = time.Second
)

// renewFraction is the part of a term after which its holder renews it.
const renewFraction = 3

// BoundedConfig tunes Bounded. Zero fields take their defaults.
type BoundedConfig struct {
	// Term is how long a grant lasts.
	Term time.Duration
	// Margin is how much longer than the term a successor waits. With clocks
	// whose rates are off by at most r it must be at least
	// Term*2r/(1-r), plus the longest time that a start may be on its way.
	Margin time.Duration
}

// Grant is a record of the ownership stream in the mode without fencing.
type Grant struct {
	// ID is unique to the write.
	ID    string            `json:"id"`
	Epoch devplatform.Epoch `json:"epoch"`
	// Term is how long the grant lasts from the moment that it was sent.
	Term time.Duration `json:"term"`
	// Ended says that the owner has stopped placing for good.
	Ended bool `json:"ended"`
}

// Bounded decides about a shard whose workers do not refuse old epochs. An
// owner places only for a limited time after it sent a grant that the log then
// kept; a successor waits until that time is over for certain. Every append is
// conditional on the offset up to which the entry has read, so that a grant
// rests on all grants before it.
//
// Times are on the entry's own monotonic clock. Bounded does no I/O, reads no
// clock, and is not safe for concurrent use.
type Bounded struct {
	self coordination.EntryID
	cfg  BoundedConfig
	// newest is the last grant read, and seenAt when it was read.
	newest Grant
	seenAt state.Time
	next   int64
	// sent holds when each write of this entry was sent whose fate is open.
	sent       map[string]state.Time
	placeUntil state.Time
	// skipWait makes a successor not wait. Tests set it to show the breach.
	skipWait bool
}

// NewBounded returns a Bounded for the entry self that has read nothing.
func NewBounded(self coordination.EntryID, cfg BoundedConfig) *Bounded {
	setDefault(&cfg.Term, DefaultTerm)
	setDefault(&cfg.Margin, DefaultMargin)
	return &Bounded{self: self, cfg: cfg, sent: map[string]state.Time{}}
}

// MayPlace reports whether the entry may place work now.
func (b *Bounded) MayPlace(now state.Time) bool {
	return b.holds() && now < b.placeUntil
}

// Epoch returns the epoch of the newest grant.
func (b *Bounded) Epoch() devplatform.Epoch { return b.newest.Epoch }

// Next returns the offset to read from, which is also the one that the next
// append must expect.
func (b *Bounded) Next() int64 { return b.next }

func (b *Bounded) holds() bool {
	return b.newest.Epoch.Owner == string(b.self) && !b.newest.Ended
}

// Read takes in the grant stored at an offset. Grants must come in order.
func (b *Bounded) Read(now state.Time, offset int64, grant Grant) {
	if offset < b.next {
		return
	}
	b.next = offset + 1
	b.newest = grant
	b.seenAt = now
	sentAt, own := b.sent[grant.ID]
	delete(b.sent, grant.ID)
	if !own || grant.Ended {
		b.placeUntil = 0
		return
	}
	b.placeUntil = sentAt + grant.Term
}

// Propose returns the grant to append now, if any. Wanted says that this entry
// is the one that should own the shard. The caller appends it at Next and calls
// Refused when the log refused it; the answer to an accepted write, like one
// that was lost, shows in the next Read.
func (b *Bounded) Propose(now state.Time, id string, wanted bool) (Grant, bool) {
	grant := Grant{ID: id, Term: b.cfg.Term}
	switch {
	case b.MayPlace(now):
		if b.placeUntil-now > b.cfg.Term-b.cfg.Term/renewFraction {
			return Grant{}, false
		}
		grant.Epoch = b.newest.Epoch
	case wanted && (b.holds() || b.free(now)):
		grant.Epoch = next(b.newest.Epoch, b.self)
	default:
		return Grant{}, false
	}
	b.forget(now)
	b.sent[id] = now
	return grant, true
}

// forget drops writes whose term is over: they grant nothing any more.
func (b *Bounded) forget(now state.Time) {
	for id, sentAt := range b.sent {
		if now-sentAt >= b.cfg.Term {
			delete(b.sent, id)
		}
	}
}

// free reports whether the newest grant is over for certain.
func (b *Bounded) free(now state.Time) bool {
	if b.newest.Epoch.Number == 0 || b.newest.Ended || b.skipWait {
		return true
	}
	return now >= b.seenAt+b.newest.Term+b.cfg.Margin
}

// Refused says that the log did not keep a write and never will.
func (b *Bounded) Refused(id string) { delete(b.sent, id) }

// End stops placing at once and returns the grant to append, so that a
// successor need not wait. There is none when the entry does not hold the
// shard.
func (b *Bounded) End(id string) (Grant, bool) {
	if !b.holds() {
		return Grant{}, false
	}
	b.placeUntil = 0
	b.newest.Ended = true
	return Grant{ID: id, Epoch: b.newest.Epoch, Term: b.cfg.Term, Ended: true}, true
}
