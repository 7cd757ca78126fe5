package ownership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
)

const (
	leaseTTL    = time.Second
	leaseMargin = 250 * time.Millisecond
	leaseStep   = 20 * time.Millisecond
	// rateError is the largest relative clock rate error that leaseMargin covers.
	rateError = 0.1
)

// pendingAppend is an append that the log has not processed yet.
type pendingAppend struct {
	from, delaySteps int
	offset           int64
	grant            Grant
}

// leaseSim simulates entries with clocks of different rates that share one log.
// Appends to the log are delayed, and their responses may be lost.
type leaseSim struct {
	rand        *rand.Rand
	entries     []*ShardLease
	rates       []float64
	offsets     []time.Duration
	pausedSteps []int
	pending     []pendingAppend
	log         []Grant
	logDown     bool
	writes      int
	takeovers   int
}

func newLeaseSim(seed uint64, skipWait bool) *leaseSim {
	sim := &leaseSim{rand: rand.New(rand.NewPCG(seed, 0))}
	for i := range 3 {
		lease := NewShardLease(coordination.EntryID(fmt.Sprint("vm", i, "/i1")), LeaseConfig{TTL: leaseTTL, Margin: leaseMargin})
		lease.skipWait = skipWait
		sim.entries = append(sim.entries, lease)
		sim.rates = append(sim.rates, 1-rateError+2*rateError*sim.rand.Float64())
		sim.offsets = append(sim.offsets, time.Duration(sim.rand.IntN(1e9)))
		sim.pausedSteps = append(sim.pausedSteps, 0)
	}
	return sim
}

func (s *leaseSim) clock(i int, at time.Duration) state.Time {
	return s.offsets[i] + time.Duration(float64(at)*s.rates[i])
}

// step advances the log and every entry that is not paused.
func (s *leaseSim) step(at time.Duration) {
	if s.rand.IntN(100) == 0 {
		s.logDown = !s.logDown
	}
	s.deliverAppends()
	for i, lease := range s.entries {
		if s.pausedSteps[i]--; s.pausedSteps[i] > 0 {
			continue
		}
		if s.rand.IntN(60) == 0 {
			s.pausedSteps[i] = s.rand.IntN(150)
			continue
		}
		now := s.clock(i, at)
		if !s.logDown && s.rand.IntN(3) == 0 {
			for lease.NextOffset() < int64(len(s.log)) {
				lease.Apply(now, lease.NextOffset(), s.log[lease.NextOffset()])
			}
		}
		if s.rand.IntN(5) == 0 {
			s.propose(i, now)
		}
	}
}

func (s *leaseSim) propose(i int, now state.Time) {
	s.writes++
	grant, ok := s.entries[i].Propose(now, fmt.Sprint(s.writes), s.rand.IntN(2) == 0)
	if !ok {
		return
	}
	delaySteps := s.rand.IntN(4)
	if s.rand.IntN(10) == 0 {
		delaySteps = s.rand.IntN(200)
	}
	s.pending = append(s.pending, pendingAppend{from: i, delaySteps: delaySteps, offset: s.entries[i].NextOffset(), grant: grant})
}

// deliverAppends applies the appends that have reached the log. The response to
// a rejected append is lost half of the time.
func (s *leaseSim) deliverAppends() {
	rest := s.pending[:0]
	for _, f := range s.pending {
		f.delaySteps--
		switch {
		case f.delaySteps > 0 || s.logDown:
			rest = append(rest, f)
		case f.offset == int64(len(s.log)):
			if n := len(s.log); n > 0 && s.log[n-1].Epoch != f.grant.Epoch {
				s.takeovers++
			}
			s.log = append(s.log, f.grant)
		case s.rand.IntN(2) == 0:
			s.entries[f.from].AppendRejected(f.grant.ID)
		}
	}
	s.pending = rest
}

// violated runs the simulation and reports whether two entries could place at
// the same time.
func (s *leaseSim) violated(steps int) bool {
	for n := range steps {
		at := time.Duration(n) * leaseStep
		s.step(at)
		placing := 0
		for i, lease := range s.entries {
			if lease.MayPlace(s.clock(i, at)) {
				placing++
			}
		}
		if placing > 1 {
			return true
		}
	}
	return false
}

func TestShardLeaseAllowsOnePlacingEntry(t *testing.T) {
	takeovers := 0
	rapid.Check(t, func(t *rapid.T) {
		sim := newLeaseSim(rapid.Uint64().Draw(t, "seed"), false)
		if sim.violated(3000) {
			t.Fatal("two entries could place work at the same time")
		}
		takeovers += sim.takeovers
	})
	t.Log("takeovers", takeovers)
	is.New(t).True(takeovers > 100)
}

func TestShardLeaseWithoutWaitAllowsTwoPlacingEntries(t *testing.T) {
	violations := 0
	for seed := range uint64(100) {
		if newLeaseSim(seed, true).violated(3000) {
			violations++
		}
	}
	t.Log("violations in 100 runs", violations)
	is.New(t).True(violations > 50)
}

func TestShardLeaseReleaseAllowsSuccessor(t *testing.T) {
	is := is.New(t)
	a := NewShardLease("vm1/i1", LeaseConfig{})
	b := NewShardLease("vm2/i1", LeaseConfig{})
	claim, ok := a.Propose(0, "1", true)
	is.True(ok)
	is.True(!a.MayPlace(0))
	a.Apply(time.Second, 0, claim)
	b.Apply(time.Second, 0, claim)
	is.True(a.MayPlace(time.Second))
	_, ok = b.Propose(2*time.Second, "2", true)
	is.True(!ok)
	end, ok := a.Release("3")
	is.True(ok)
	is.True(!a.MayPlace(time.Second))
	b.Apply(3*time.Second, 1, end)
	claim, ok = b.Propose(3*time.Second, "4", true)
	is.True(ok)
	b.Apply(4*time.Second, 2, claim)
	is.True(b.MayPlace(4 * time.Second))
	is.True(!b.MayPlace(3*time.Second + DefaultTTL))
}
