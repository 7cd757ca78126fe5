package config

import (
	"cmp"
	"maps"
	"slices"
)

// table is a copy-on-write map: it is copied before the first change after it
// was shared with a view.
type table[K cmp.Ordered, V any] struct {
	rows   map[K]V
	shared bool
}

func newTable[K cmp.Ordered, V any]() table[K, V] {
	return table[K, V]{rows: map[K]V{}}
}

func (t *table[K, V]) copyIfShared() {
	if t.shared {
		t.rows = maps.Clone(t.rows)
		t.shared = false
	}
}

func (t *table[K, V]) put(key K, row V) {
	t.copyIfShared()
	t.rows[key] = row
}

func (t *table[K, V]) remove(key K) {
	t.copyIfShared()
	delete(t.rows, key)
}

// share returns the rows. The table does not modify the returned map afterwards.
func (t *table[K, V]) share() map[K]V {
	t.shared = true
	return t.rows
}

// sortedKeys returns the keys of rows in ascending order.
func sortedKeys[K cmp.Ordered, V any](rows map[K]V) []K {
	return slices.Sorted(maps.Keys(rows))
}
