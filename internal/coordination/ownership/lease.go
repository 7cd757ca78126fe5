package ownership

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// The defaults of LeaseConfig.
const (
	DefaultTTL    = 10 * time.Second
	DefaultMargin = time.Second
)

// renewDivisor sets when the owner renews its grant: once the TTL divided by it
// has passed.
const renewDivisor = 3

// LeaseConfig configures a ShardLease. Zero fields take their defaults.
type LeaseConfig struct {
	// TTL is how long a grant is valid.
	TTL time.Duration
	// Margin is how much longer than the TTL a successor waits. With clock
	// rates that are off by at most r it must be at least TTL*2r/(1-r), plus
	// the longest time that a start command may be in transit.
	Margin time.Duration
}

// Grant is a record of the ownership stream for workers that do not support
// fencing.
type Grant struct {
	// ID identifies the write.
	ID    string            `json:"id"`
	Epoch devplatform.Epoch `json:"epoch"`
	// TTL is how long the grant is valid, counted from when it was sent.
	TTL time.Duration `json:"term"`
	// Ended reports that the owner has stopped placing work under this grant.
	Ended bool `json:"ended"`
}

// ShardLease is one entry's view of the lease on a shard whose workers do not
// reject old epochs. An owner places work only for a limited time after it sent
// a grant that the log then stored; a successor waits until that time has
// certainly passed. Every append is conditional on the offset up to which the
// entry has read, so that a grant takes all earlier grants into account.
//
// Times are on the entry's own monotonic clock. ShardLease does no I/O, reads no
// clock, and is not safe for concurrent use.
type ShardLease struct {
	self coordination.EntryID
	cfg  LeaseConfig
	// newest is the last grant read, and readAt the time of that read.
	newest     Grant
	readAt     state.Time
	nextOffset int64
	// pending maps the ID of each own write without a known outcome to the
	// time at which it was sent.
	pending    map[string]state.Time
	placeUntil state.Time
	// skipWait lets a successor claim without waiting. Tests set it to show
	// that two entries then place at the same time.
	skipWait bool
}

// NewShardLease returns the ShardLease of the entry self, before any read.
func NewShardLease(self coordination.EntryID, cfg LeaseConfig) *ShardLease {
	setDefault(&cfg.TTL, DefaultTTL)
	setDefault(&cfg.Margin, DefaultMargin)
	return &ShardLease{self: self, cfg: cfg, pending: map[string]state.Time{}}
}

// MayPlace reports whether the entry may place work at now.
func (l *ShardLease) MayPlace(now state.Time) bool {
	return l.isOwner() && now < l.placeUntil
}

// Epoch returns the epoch of the newest grant read.
func (l *ShardLease) Epoch() devplatform.Epoch { return l.newest.Epoch }

// NextOffset returns the offset to read from, which is also the expected offset
// of the next append.
func (l *ShardLease) NextOffset() int64 { return l.nextOffset }

func (l *ShardLease) isOwner() bool {
	return l.newest.Epoch.Owner == string(l.self) && !l.newest.Ended
}

// Apply processes the grant stored at an offset, read at now. Grants must be
// applied in the order of their offsets; one that was applied before is ignored.
func (l *ShardLease) Apply(now state.Time, offset int64, grant Grant) {
	if offset < l.nextOffset {
		return
	}
	l.nextOffset = offset + 1
	l.newest = grant
	l.readAt = now
	sentAt, ours := l.pending[grant.ID]
	delete(l.pending, grant.ID)
	if !ours || grant.Ended {
		l.placeUntil = 0
		return
	}
	l.placeUntil = sentAt + grant.TTL
}

// Propose returns the grant to append at now, if any: a renewal, or a claim when
// the shard is available and this entry is the preferred owner. The caller
// appends the grant at NextOffset and calls AppendRejected if the log rejected
// it. The outcome of an accepted write, or of one whose response was lost,
// becomes known when the grant is read back and passed to Apply.
func (l *ShardLease) Propose(now state.Time, id string, preferred bool) (Grant, bool) {
	grant := Grant{ID: id, TTL: l.cfg.TTL}
	switch {
	case l.MayPlace(now):
		if l.placeUntil-now > l.cfg.TTL-l.cfg.TTL/renewDivisor {
			return Grant{}, false
		}
		grant.Epoch = l.newest.Epoch
	case preferred && (l.isOwner() || l.available(now)):
		grant.Epoch = nextEpoch(l.newest.Epoch, l.self)
	default:
		return Grant{}, false
	}
	l.dropExpired(now)
	l.pending[id] = now
	return grant, true
}

// dropExpired removes pending writes whose TTL has passed: even if the log
// stored them, they no longer allow placing.
func (l *ShardLease) dropExpired(now state.Time) {
	for id, sentAt := range l.pending {
		if now-sentAt >= l.cfg.TTL {
			delete(l.pending, id)
		}
	}
}

// available reports whether the newest grant has certainly expired.
func (l *ShardLease) available(now state.Time) bool {
	if l.newest.Epoch.Number == 0 || l.newest.Ended || l.skipWait {
		return true
	}
	return now >= l.readAt+l.newest.TTL+l.cfg.Margin
}

// AppendRejected records that the log has not stored a write and never will.
func (l *ShardLease) AppendRejected(id string) { delete(l.pending, id) }

// Release stops placing at once and returns the grant to append, so that a
// successor does not have to wait for the expiry. It returns false when the
// entry does not own the shard.
func (l *ShardLease) Release(id string) (Grant, bool) {
	if !l.isOwner() {
		return Grant{}, false
	}
	l.placeUntil = 0
	l.newest.Ended = true
	return Grant{ID: id, Epoch: l.newest.Epoch, TTL: l.cfg.TTL, Ended: true}, true
}
