package machine

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	propertySteps = 300
	contrastSeeds = 200
	crowdSeeds    = 1000
	crowdSteps    = 150
)

// play runs one owner for some steps, lets others take over, and returns what
// was violated.
func play(choose func(int) int, cfg Config, owners int, drain bool) []string {
	return playWorld(choose, cfg, owners, drain).breaches
}

func playWorld(choose func(int) int, cfg Config, owners int, drain bool) *world {
	w := newWorld(choose, 4)
	for range owners {
		w.takeOver(cfg)
		for range propertySteps {
			w.act()
		}
	}
	if drain {
		for _, o := range w.owners {
			for _, wk := range w.workers {
				w.step(o, UpstreamBack{VM: wk.vm})
			}
		}
		w.drain()
	}
	return w
}

// TestSameDecisions repeats a run and expects the same decisions.
func TestSameDecisions(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		first := playWorld(rand.New(rand.NewPCG(seed, 4)).IntN, DefaultConfig(), 2, true)
		second := playWorld(rand.New(rand.NewPCG(seed, 4)).IntN, DefaultConfig(), 2, true)
		is.True(len(first.starts) > 0)
		is.Equal(first.starts, second.starts)
	}
}

func TestAlwaysHolds(t *testing.T) {
	tests := []struct {
		name   string
		owners int
	}{
		{name: "one owner", owners: 1},
		{name: "old and new owner", owners: 2},
		{name: "three owners", owners: 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				seed := rapid.Uint64().Draw(rt, "seed")
				random := rand.New(rand.NewPCG(seed, 1))
				for _, breach := range play(random.IntN, DefaultConfig(), tt.owners, true) {
					rt.Errorf("seed %d: %s", seed, breach)
				}
			})
		})
	}
}

// TestUnfencedCountsAsFull fills the shard while a second owner takes over.
func TestUnfencedCountsAsFull(t *testing.T) {
	tests := []struct {
		name   string
		empty  bool
		breaks bool
	}{
		{name: "unfenced counts as full", empty: false, breaks: false},
		{name: "unfenced counts as empty", empty: true, breaks: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			cfg := DefaultConfig()
			cfg.unfencedCountsAsEmpty = tt.empty
			broken := 0
			for seed := range uint64(crowdSeeds) {
				random := rand.New(rand.NewPCG(seed, 3))
				w := newWorld(random.IntN, 6)
				for range 2 {
					w.takeOver(cfg)
					for range crowdSteps {
						w.crowd()
					}
				}
				if len(w.breaches) > 0 {
					broken++
				}
			}
			t.Logf("%d of %d seeds violate", broken, crowdSeeds)
			is.Equal(broken > 0, tt.breaks)
		})
	}
}

// TestMechanismsAreNeeded switches one mechanism off at a time and expects that
// violations are found.
func TestMechanismsAreNeeded(t *testing.T) {
	tests := []struct {
		name      string
		switchOff func(*Config)
		breaks    bool
	}{
		{name: "all on", switchOff: func(*Config) {}, breaks: false},
		{name: "rerun without proof", switchOff: func(c *Config) { c.rerunWithoutProof = true }, breaks: true},
		{name: "capacity freed on stop", switchOff: func(c *Config) { c.freeOnStop = true }, breaks: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			cfg := DefaultConfig()
			tt.switchOff(&cfg)
			broken := 0
			for seed := range uint64(contrastSeeds) {
				random := rand.New(rand.NewPCG(seed, 2))
				if len(play(random.IntN, cfg, 2, false)) > 0 {
					broken++
				}
			}
			t.Logf("%d of %d seeds violate", broken, contrastSeeds)
			is.Equal(broken > 0, tt.breaks)
		})
	}
}
