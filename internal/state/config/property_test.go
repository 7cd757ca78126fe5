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

// TestModel checks over random interleavings that the domains never may use
// more than a team's limit together, that no more runs, and that no upstream is
// used in a domain by one entry while another does not know it.
func TestModel(t *testing.T) {
	for _, tt := range []struct {
		name    string
		shrinks bool
	}{{name: "limits rise"}, {name: "limits rise and fall", shrinks: true}} {
		t.Run(tt.name, rapid.MakeCheck(func(t *rapid.T) {
			w := newWorld(rapidDraw(t), tt.shrinks, false, false)
			for range modelSteps {
				w.step()
				if faults := w.faults(); len(faults) > 0 {
					t.Fatalf("at version %d: %v", w.head.Version(), faults)
				}
			}
		}))
	}
}

// TestModelWithoutRules runs the same model on fixed seeds with a rule switched
// off, and expects that exactly the properties that rest on it are broken.
func TestModelWithoutRules(t *testing.T) {
	tests := []struct {
		name                    string
		skipConfirm, skipSettle bool
		broken                  []property
	}{
		{name: "all rules"},
		{
			name: "changes in force without confirmations", skipConfirm: true,
			broken: []property{allotmentsWithinLimit, workWithinLimit, upstreamsKnown},
		},
		{name: "cuts released before the owner settled", skipSettle: true, broken: []property{workWithinLimit}},
	}
	const seeds = 200
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			found := map[property]int{}
			starts, accepted := 0, int64(0)
			for seed := range uint64(seeds) {
				w := newWorld(rand.New(rand.NewPCG(seed, 0)).IntN, false, tt.skipConfirm, tt.skipSettle)
				for property := range brokenIn(w) {
					found[property]++
				}
				starts += w.starts
				accepted += w.head.Counts().Accepted
			}
			t.Logf("%d seeds, %d starts, %d records accepted; seeds at fault: %v", seeds, starts, accepted, found)
			is.Equal(len(found), len(tt.broken))
			for _, property := range tt.broken {
				is.True(found[property] > 0)
			}
		})
	}
}

// brokenIn runs a world and returns the properties that were broken in it.
func brokenIn(w *world) map[property]bool {
	broken := map[property]bool{}
	for range modelSteps {
		w.step()
		for _, fault := range w.faults() {
			broken[fault.property] = true
		}
	}
	return broken
}

// TestSnapshotContinuesTheFold checks that a fold restored from a snapshot at
// any offset and continued is equal to one that folded all, and that the sums
// of allotments stay within the limit.
func TestSnapshotContinuesTheFold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapidDraw(t), true, false, false)
		for range modelSteps {
			w.step()
			for team, l := range w.head.ledgers.rows {
				limit := w.head.contracts.rows[team].Limit
				target := l.committed().Sub(l.held())
				if !target.Fits(limit) {
					t.Fatalf("allotments in force are %s of %s", target, limit)
				}
			}
		}
		at := rapid.IntRange(0, len(w.log)-1).Draw(t, "snapshot at")
		fold := NewFold()
		for offset, record := range w.log {
			fold.Apply(int64(offset), throughCodec(t, record))
			if offset == at {
				fold = throughSnapshot(t, fold)
			}
		}
		if !bytes.Equal(encoded(t, fold), encoded(t, w.head)) {
			t.Fatalf("the restored fold differs")
		}
	})
}

func throughCodec(t *rapid.T, record Record) Record {
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

func encoded(t *rapid.T, f *Fold) []byte {
	data, err := f.View().EncodeSnapshot()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func throughSnapshot(t *rapid.T, f *Fold) *Fold {
	var parts Assembler
	for _, part := range SplitSnapshot("set", f.Version(), encoded(t, f)) {
		data, _, whole := parts.Add(part)
		if !whole {
			continue
		}
		restored, err := Restore(data)
		if err != nil {
			t.Fatal(err)
		}
		return restored
	}
	t.Fatal("the snapshot is not whole")
	return nil
}
