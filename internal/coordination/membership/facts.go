package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync/atomic"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
)

// Limits on how often an entry gossips one fact. A change of what an entry owns or of
// its leaving state has a limit of its own and is sent first.
const (
	maxDomainSends       = 2
	maxRemoteSends       = 3
	maxDomainChangeSends = 2
	maxRemoteChangeSends = 4
)

// recipient distinguishes the entries of the own domain from those of other domains.
type recipient int

const (
	toDomain recipient = iota
	toRemote
	recipientKinds
)

var (
	maxSends       = [recipientKinds]int32{toDomain: maxDomainSends, toRemote: maxRemoteSends}
	maxChangeSends = [recipientKinds]int32{toDomain: maxDomainChangeSends, toRemote: maxRemoteChangeSends}
)

// sendCount counts the sends of a fact by kind of recipient.
type sendCount [recipientKinds]atomic.Int32

// tryAdd counts a send and reports whether it was within the limits.
func (c *sendCount) tryAdd(to recipient, limits [recipientKinds]int32) bool {
	return c[to].Load() < limits[to] && c[to].Add(1) <= limits[to]
}

// sharedFact is the newest fact about an entry, ready to be gossiped.
type sharedFact struct {
	fact    coordination.Fact
	heardAt state.Time
	sends   sendCount
	// changeSends counts the sends since the last change of what the entry owns or of
	// its leaving state. Newer facts without such a change share the counter.
	changeSends *sendCount
}

// newSharedFact returns the successor of the previous fact about the same entry, which
// may be nil.
func newSharedFact(fact coordination.Fact, heardAt state.Time, previous *sharedFact) *sharedFact {
	shared := &sharedFact{fact: fact, heardAt: heardAt}
	if previous != nil && previous.fact.Leaving == fact.Leaving && sameOwned(previous.fact.Owned, fact.Owned) {
		shared.changeSends = previous.changeSends
	} else {
		shared.changeSends = &sendCount{}
	}
	return shared
}

// sameOwned reports whether two lists have the same shards, epochs and ready states,
// whatever their loads.
func sameOwned(a, b []coordination.ShardLoad) bool {
	return slices.EqualFunc(a, b, func(x, y coordination.ShardLoad) bool {
		return x.Shard == y.Shard && x.Epoch == y.Epoch && x.Ready == y.Ready
	})
}

// factPool holds the facts to gossip. The control goroutine publishes them and any
// goroutine may take them.
type factPool struct {
	facts atomic.Pointer[[]*sharedFact]
}

// publish replaces the content of the pool with the facts about the live members of a
// view.
func (p *factPool) publish(v *view) {
	facts := make([]*sharedFact, 0, len(v.members))
	for _, m := range v.members {
		if m.liveness != Dead {
			facts = append(facts, m.shared)
		}
	}
	slices.SortFunc(facts, func(a, b *sharedFact) int { return cmp.Compare(a.fact.From, b.fact.From) })
	p.facts.Store(&facts)
}

// take returns at most n facts that are within the send limits, none of them about the
// entry named exclude. Facts with changes come first, then the others from a random
// position on.
func (p *factPool) take(n int, to recipient, exclude coordination.EntryID, now state.Time) []coordination.Fact {
	pool := p.facts.Load()
	if pool == nil || len(*pool) == 0 {
		return nil
	}
	picked := make([]coordination.Fact, 0, n)
	pick := func(shared *sharedFact, count *sendCount, limits [recipientKinds]int32) {
		if len(picked) == n || shared.fact.From == exclude || !count.tryAdd(to, limits) {
			return
		}
		fact := shared.fact
		fact.Age = now - shared.heardAt
		picked = append(picked, fact)
	}
	for _, shared := range *pool {
		pick(shared, shared.changeSends, maxChangeSends)
	}
	start := rand.IntN(len(*pool))
	for i := range *pool {
		shared := (*pool)[(start+i)%len(*pool)]
		pick(shared, &shared.sends, maxSends)
	}
	return picked
}
