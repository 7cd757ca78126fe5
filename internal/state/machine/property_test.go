package machine

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	propertySteps  = 300
	safeguardSeeds = 200
	fillSeeds      = 1000
	fillSteps      = 150
)

// runAndCheck runs a simulation and returns the violations that it found.
func runAndCheck(choose func(int) int, cfg Config, owners int, drain bool) []string {
	return runSimulation(choose, cfg, owners, drain).violations
}

func runSimulation(choose func(int) int, cfg Config, owners int, drain bool) *simulation {
	w := newSimulation(choose, 4)
	for range owners {
		w.takeOver(cfg)
		for range propertySteps {
			w.randomStep()
		}
	}
	if drain {
		for _, o := range w.owners {
			for _, wk := range w.workers {
				w.step(o, UpstreamReachable{VM: wk.vm})
			}
		}
		w.runToCompletion()
	}
	return w
}

// TestDecisionsAreDeterministic repeats a run with the same seed and expects the same
// decisions.
func TestDecisionsAreDeterministic(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		first := runSimulation(rand.New(rand.NewPCG(seed, 4)).IntN, DefaultConfig(), 2, true)
		second := runSimulation(rand.New(rand.NewPCG(seed, 4)).IntN, DefaultConfig(), 2, true)
		is.True(len(first.starts) > 0)
		is.Equal(first.starts, second.starts)
	}
}

func TestInvariantsHold(t *testing.T) {
	tests := []struct {
		name   string
		owners int
	}{
		{name: "one owner", owners: 1},
		{name: "two owners", owners: 2},
		{name: "three owners", owners: 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				seed := rapid.Uint64().Draw(rt, "seed")
				random := rand.New(rand.NewPCG(seed, 1))
				for _, violation := range runAndCheck(random.IntN, DefaultConfig(), tt.owners, true) {
					rt.Errorf("seed %d: %s", seed, violation)
				}
			})
		})
	}
}

// TestUnreconciledCountsAsUsed fills the shard while a second owner takes over. If the
// capacity of unreconciled upstreams counted as unused, teams would exceed their limits,
// because tasks of the first owner still run there.
func TestUnreconciledCountsAsUsed(t *testing.T) {
	tests := []struct {
		name           string
		countAsUnused  bool
		wantViolations bool
	}{
		{name: "unreconciled capacity counts as used", countAsUnused: false, wantViolations: false},
		{name: "unreconciled capacity counts as unused", countAsUnused: true, wantViolations: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			cfg := DefaultConfig()
			cfg.unreconciledCountsAsUnused = tt.countAsUnused
			violatingSeeds := 0
			for seed := range uint64(fillSeeds) {
				random := rand.New(rand.NewPCG(seed, 3))
				w := newSimulation(random.IntN, 6)
				for range 2 {
					w.takeOver(cfg)
					for range fillSteps {
						w.randomFillStep()
					}
				}
				if len(w.violations) > 0 {
					violatingSeeds++
				}
			}
			t.Logf("violations found with %d of %d seeds", violatingSeeds, fillSeeds)
			is.Equal(violatingSeeds > 0, tt.wantViolations)
		})
	}
}

// TestSafeguardsAreNeeded disables one safeguard at a time and expects that the
// simulation then finds violations, so that it is known to detect them.
func TestSafeguardsAreNeeded(t *testing.T) {
	tests := []struct {
		name           string
		disable        func(*Config)
		wantViolations bool
	}{
		{name: "all safeguards enabled", disable: func(*Config) {}, wantViolations: false},
		{name: "unconfirmed start is placed again", disable: func(c *Config) { c.rerunUnconfirmed = true }, wantViolations: true},
		{name: "capacity freed on stop", disable: func(c *Config) { c.freeOnStop = true }, wantViolations: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			cfg := DefaultConfig()
			tt.disable(&cfg)
			violatingSeeds := 0
			for seed := range uint64(safeguardSeeds) {
				random := rand.New(rand.NewPCG(seed, 2))
				if len(runAndCheck(random.IntN, cfg, 2, false)) > 0 {
					violatingSeeds++
				}
			}
			t.Logf("violations found with %d of %d seeds", violatingSeeds, safeguardSeeds)
			is.Equal(violatingSeeds > 0, tt.wantViolations)
		})
	}
}
