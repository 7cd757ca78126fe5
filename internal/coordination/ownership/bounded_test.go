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
	boundedTerm   = time.Second
	boundedMargin = 250 * time.Millisecond
	boundedStep   = 20 * time.Millisecond
	// rateError is the greatest clock error that the margin covers.
	rateError = 0.1
)

// inFlight is an append on its way to the log.
type inFlight struct {
	from, ticks int
	offset      int64
	grant       Grant
}

// boundedSim runs entries with clocks of different rates against one log whose
// calls are late or lose their answer.
type boundedSim struct {
	rand     *rand.Rand
	entries  []*Bounded
	rates    []float64
	offsets  []time.Duration
	busy     []int
	flights  []inFlight
	log      []Grant
	down     bool
	writes   int
	takeover int
}

func newBoundedSim(seed uint64, skipWait bool) *boundedSim {
	sim := &boundedSim{rand: rand.New(rand.NewPCG(seed, 0))}
	for i := range 3 {
		b := NewBounded(coordination.EntryID(fmt.Sprint("vm", i, "/i1")), BoundedConfig{Term: boundedTerm, Margin: boundedMargin})
		b.skipWait = skipWait
		sim.entries = append(sim.entries, b)
		sim.rates = append(sim.rates, 1-rateError+2*rateError*sim.rand.Float64())
		sim.offsets = append(sim.offsets, time.Duration(sim.rand.IntN(1e9)))
		sim.busy = append(sim.busy, 0)
	}
	return sim
}

func (s *boundedSim) clock(i int, at time.Duration) state.Time {
	return s.offsets[i] + time.Duration(float64(at)*s.rates[i])
}

// step moves the log and each entry; an entry that is busy is paused.
func (s *boundedSim) step(at time.Duration) {
	if s.rand.IntN(100) == 0 {
		s.down = !s.down
	}
	s.land()
	for i, b := range s.entries {
		if s.busy[i]--; s.busy[i] > 0 {
			continue
		}
		if s.rand.IntN(60) == 0 {
			s.busy[i] = s.rand.IntN(150)
			continue
		}
		now := s.clock(i, at)
		if !s.down && s.rand.IntN(3) == 0 {
			for b.Next() < int64(len(s.log)) {
				b.Read(now, b.Next(), s.log[b.Next()])
			}
		}
		if s.rand.IntN(5) == 0 {
			s.propose(i, now)
		}
	}
}

func (s *boundedSim) propose(i int, now state.Time) {
	s.writes++
	grant, ok := s.entries[i].Propose(now, fmt.Sprint(s.writes), s.rand.IntN(2) == 0)
	if !ok {
		return
	}
	ticks := s.rand.IntN(4)
	if s.rand.IntN(10) == 0 {
		ticks = s.rand.IntN(200)
	}
	s.flights = append(s.flights, inFlight{from: i, ticks: ticks, offset: s.entries[i].Next(), grant: grant})
}

// land lets appends reach the log. The log tells of a refusal only sometimes.
func (s *boundedSim) land() {
	rest := s.flights[:0]
	for _, f := range s.flights {
		f.ticks--
		switch {
		case f.ticks > 0 || s.down:
			rest = append(rest, f)
		case f.offset == int64(len(s.log)):
			if n := len(s.log); n > 0 && s.log[n-1].Epoch != f.grant.Epoch {
				s.takeover++
			}
			s.log = append(s.log, f.grant)
		case s.rand.IntN(2) == 0:
			s.entries[f.from].Refused(f.grant.ID)
		}
	}
	s.flights = rest
}

// breach runs the simulation and reports whether two entries could place at
// one instant.
func (s *boundedSim) breach(steps int) bool {
	for n := range steps {
		at := time.Duration(n) * boundedStep
		s.step(at)
		placing := 0
		for i, b := range s.entries {
			if b.MayPlace(s.clock(i, at)) {
				placing++
			}
		}
		if placing > 1 {
			return true
		}
	}
	return false
}

func TestBoundedNeverTwoEntriesPlace(t *testing.T) {
	takeovers := 0
	rapid.Check(t, func(t *rapid.T) {
		sim := newBoundedSim(rapid.Uint64().Draw(t, "seed"), false)
		if sim.breach(3000) {
			t.Fatal("two entries could place at one instant")
		}
		takeovers += sim.takeover
	})
	t.Log("takeovers", takeovers)
	is.New(t).True(takeovers > 100)
}

func TestBoundedWithoutWaitIsBreached(t *testing.T) {
	breaches := 0
	for seed := range uint64(100) {
		if newBoundedSim(seed, true).breach(3000) {
			breaches++
		}
	}
	t.Log("breaches in 100 runs", breaches)
	is.New(t).True(breaches > 50)
}

func TestBoundedEndLetsASuccessorIn(t *testing.T) {
	is := is.New(t)
	a := NewBounded("vm1/i1", BoundedConfig{})
	b := NewBounded("vm2/i1", BoundedConfig{})
	claim, ok := a.Propose(0, "1", true)
	is.True(ok)
	is.True(!a.MayPlace(0))
	a.Read(time.Second, 0, claim)
	b.Read(time.Second, 0, claim)
	is.True(a.MayPlace(time.Second))
	_, ok = b.Propose(2*time.Second, "2", true)
	is.True(!ok)
	end, ok := a.End("3")
	is.True(ok)
	is.True(!a.MayPlace(time.Second))
	b.Read(3*time.Second, 1, end)
	claim, ok = b.Propose(3*time.Second, "4", true)
	is.True(ok)
	b.Read(4*time.Second, 2, claim)
	is.True(b.MayPlace(4 * time.Second))
	is.True(!b.MayPlace(3*time.Second + DefaultTerm))
}
