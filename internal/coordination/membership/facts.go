package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync/atomic"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
)

// An entry passes one fact on at most this often. News, which is a change of
// what an entry owns or of its leaving, has its own count and goes first.
const (
	maxDomainPasses = 2
	maxRemotePasses = 3
	maxDomainNews   = 2
	maxRemoteNews   = 4
)

// audience tells the own domain's entries from the others.
type audience int

const (
	toDomain audience = iota
	toRemote
	audiences
)

var (
	maxPasses = [audiences]int32{toDomain: maxDomainPasses, toRemote: maxRemotePasses}
	maxNews   = [audiences]int32{toDomain: maxDomainNews, toRemote: maxRemoteNews}
)

// passCount counts to whom something was passed on.
type passCount [audiences]atomic.Int32

// spend counts a pass and reports whether it was within the limits.
func (c *passCount) spend(to audience, limits [audiences]int32) bool {
	return c[to].Load() < limits[to] && c[to].Add(1) <= limits[to]
}

// sharedFact is the newest fact about an entry, ready to be passed on.
type sharedFact struct {
	fact    coordination.Fact
	heardAt state.Time
	passes  passCount
	// news counts the passes since the last change of substance. Newer facts
	// without such a change share it.
	news *passCount
}

// newSharedFact follows on an older fact about the same entry, which may be
// nil.
func newSharedFact(fact coordination.Fact, heardAt state.Time, older *sharedFact) *sharedFact {
	shared := &sharedFact{fact: fact, heardAt: heardAt}
	if older != nil && older.fact.Leaving == fact.Leaving && sameOwned(older.fact.Owned, fact.Owned) {
		shared.news = older.news
	} else {
		shared.news = &passCount{}
	}
	return shared
}

func sameOwned(a, b []coordination.ShardLoad) bool {
	return slices.EqualFunc(a, b, func(x, y coordination.ShardLoad) bool {
		return x.Shard == y.Shard && x.Epoch == y.Epoch && x.Ready == y.Ready
	})
}

// factPool hands out facts. The control goroutine publishes them and
// any goroutine takes them.
type factPool struct {
	facts atomic.Pointer[[]*sharedFact]
}

// publish replaces the pool by the facts about the live members of a view.
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

// take returns at most n facts, none about the entry that asks: news first, then
// those that follow on a random one.
func (p *factPool) take(n int, to audience, asker coordination.EntryID, now state.Time) []coordination.Fact {
	pool := p.facts.Load()
	if pool == nil || len(*pool) == 0 {
		return nil
	}
	taken := make([]coordination.Fact, 0, n)
	pick := func(shared *sharedFact, count *passCount, limits [audiences]int32) {
		if len(taken) == n || shared.fact.From == asker || !count.spend(to, limits) {
			return
		}
		fact := shared.fact
		fact.Age = now - shared.heardAt
		taken = append(taken, fact)
	}
	for _, shared := range *pool {
		pick(shared, shared.news, maxNews)
	}
	start := rand.IntN(len(*pool))
	for i := range *pool {
		shared := (*pool)[(start+i)%len(*pool)]
		pick(shared, &shared.passes, maxPasses)
	}
	return taken
}
