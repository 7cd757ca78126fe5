package membership

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
)

// maxPasses is how often an entry passes the same fact on.
const maxPasses = 3

// sharedFact is the newest fact about an entry, ready to be passed on.
type sharedFact struct {
	fact    coordination.Fact
	heardAt state.Time
	passes  atomic.Int32
}

// factPool hands out facts in turn. The control goroutine publishes them and
// any goroutine takes them.
type factPool struct {
	facts  atomic.Pointer[[]*sharedFact]
	cursor atomic.Uint64
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

// take returns at most n facts that were not passed on maxPasses times yet,
// none about the entry that asks.
func (p *factPool) take(n int, asker coordination.EntryID, now state.Time) []coordination.Fact {
	pool := p.facts.Load()
	if pool == nil || len(*pool) == 0 {
		return nil
	}
	taken := make([]coordination.Fact, 0, n)
	for range *pool {
		if len(taken) == n {
			break
		}
		shared := (*pool)[p.cursor.Add(1)%uint64(len(*pool))]
		if shared.fact.From == asker || shared.passes.Add(1) > maxPasses {
			continue
		}
		fact := shared.fact
		fact.Age = now - shared.heardAt
		taken = append(taken, fact)
	}
	return taken
}
