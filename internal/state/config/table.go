package config

import (
	"cmp"
	"maps"
	"slices"
)

// table is a map that is copied before the first change after it was shared
// with a view.
type table[K cmp.Ordered, V any] struct {
	rows   map[K]V
	shared bool
}

func newTable[K cmp.Ordered, V any]() table[K, V] {
	return table[K, V]{rows: map[K]V{}}
}

func (t *table[K, V]) own() {
	if t.shared {
		t.rows = maps.Clone(t.rows)
		t.shared = false
	}
}

func (t *table[K, V]) put(key K, row V) {
	t.own()
	t.rows[key] = row
}

func (t *table[K, V]) remove(key K) {
	t.own()
	delete(t.rows, key)
}

// share returns the rows, which the table changes no more.
func (t *table[K, V]) share() map[K]V {
	t.shared = true
	return t.rows
}

// sortedKeys returns the keys of rows in their order.
func sortedKeys[K cmp.Ordered, V any](rows map[K]V) []K {
	return slices.Sorted(maps.Keys(rows))
}
