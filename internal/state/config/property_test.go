package config

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const modelSteps = 800

func rapidDraw(t *rapid.T) func(int) int {
	return func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
}

// TestModel checks over random interleavings that the domains' allotments never
// exceed a team's limit together, that running work does not exceed it either,
// and that no entry uses an upstream that another entry of the domain does not
// know.
func TestModel(t *testing.T) {
	for _, tt := range []struct {
		name       string
		limitsFall bool
	}{{name: "limits increase"}, {name: "limits increase and decrease", limitsFall: true}} {
		t.Run(tt.name, rapid.MakeCheck(func(t *rapid.T) {
			m := newModel(rapidDraw(t), tt.limitsFall, false, false)
			for range modelSteps {
				m.step()
				if violations := m.violations(); len(violations) > 0 {
					t.Fatalf("at version %d: %v", m.head.Version(), violations)
				}
			}
		}))
	}
}

// TestModelWithRulesDisabled runs the same model on fixed seeds with a rule
// disabled, and expects that exactly the properties that depend on the rule are
// violated.
func TestModelWithRulesDisabled(t *testing.T) {
	tests := []struct {
		name                    string
		skipConfirm, skipSettle bool
		violated                []property
	}{
		{name: "all rules"},
		{
			name: "changes in force without confirmations", skipConfirm: true,
			violated: []property{allotmentsWithinLimit, workWithinLimit, upstreamsKnown},
		},
		{name: "reductions released before the owner settled", skipSettle: true, violated: []property{workWithinLimit}},
	}
	const seeds = 200
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			found := map[property]int{}
			starts, accepted := 0, int64(0)
			for seed := range uint64(seeds) {
				m := newModel(rand.New(rand.NewPCG(seed, 0)).IntN, false, tt.skipConfirm, tt.skipSettle)
				for property := range violatedProperties(m) {
					found[property]++
				}
				starts += m.starts
				accepted += m.head.Counts().Accepted
			}
			t.Logf("%d seeds, %d starts, %d records accepted; seeds with a violation, by property: %v", seeds, starts, accepted, found)
			is.Equal(len(found), len(tt.violated))
			for _, property := range tt.violated {
				is.True(found[property] > 0)
			}
		})
	}
}

// violatedProperties runs a model and returns the properties that were violated.
func violatedProperties(m *model) map[property]bool {
	violated := map[property]bool{}
	for range modelSteps {
		m.step()
		for _, violation := range m.violations() {
			violated[violation.property] = true
		}
	}
	return violated
}

// TestRestoredFoldContinues checks that a Fold that is restored from a snapshot
// at any offset and then folds the remaining records equals one that folded all
// records, and that the allotments in force never exceed the limit.
func TestRestoredFoldContinues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapidDraw(t), true, false, false)
		for range modelSteps {
			m.step()
			for team, l := range m.head.ledgers.rows {
				limit := m.head.contracts.rows[team].Limit
				target := l.committed().Sub(l.pending())
				if !target.Fits(limit) {
					t.Fatalf("allotments in force %s exceed the limit %s", target, limit)
				}
			}
		}
		at := rapid.IntRange(0, len(m.log)-1).Draw(t, "snapshot at")
		fold := NewFold()
		for offset, record := range m.log {
			fold.Apply(int64(offset), codecRoundTrip(t, record))
			if offset == at {
				fold = snapshotRoundTrip(t, fold)
			}
		}
		if !bytes.Equal(encodeSnapshot(t, fold), encodeSnapshot(t, m.head)) {
			t.Fatalf("the state after a restore differs from the state without a restore")
		}
	})
}

func codecRoundTrip(t *rapid.T, record Record) Record {
	data, err := Encode([]Record{record})
	if err != nil {
		t.Fatal(err)
	}
	records, err := Decode(data)
	if err != nil || len(records) != 1 {
		t.Fatalf("decode: %v", err)
	}
	return records[0]
}

func encodeSnapshot(t *rapid.T, f *Fold) []byte {
	data, err := f.View().EncodeSnapshot()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func snapshotRoundTrip(t *rapid.T, f *Fold) *Fold {
	var parts Assembler
	for _, part := range SplitSnapshot("set", f.Version(), encodeSnapshot(t, f)) {
		data, _, complete := parts.Add(part)
		if !complete {
			continue
		}
		restored, err := Restore(data)
		if err != nil {
			t.Fatal(err)
		}
		return restored
	}
	t.Fatal("the snapshot is incomplete after all parts were added")
	return nil
}
