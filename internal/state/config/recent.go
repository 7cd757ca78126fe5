package config

// recentLimit is the number of most recent writes, and of most recently
// unregistered entries, that are kept.
const recentLimit = 4096

// item is one row of a recent list.
type item[V any] struct {
	ID    string `json:"id"`
	Value V      `json:"value"`
}

// recent holds the last recentLimit rows, indexed by ID. Rows in the list are
// never overwritten, so that a view may keep an older slice of it.
type recent[V any] struct {
	list  []item[V]
	index map[string]V
}

func newRecent[V any](list []item[V]) recent[V] {
	r := recent[V]{index: make(map[string]V, len(list))}
	for _, row := range list {
		r.add(row.ID, row.Value)
	}
	return r
}

func (r *recent[V]) get(id string) (V, bool) {
	value, ok := r.index[id]
	return value, ok
}

// add appends a row; its ID must not be in the list.
func (r *recent[V]) add(id string, value V) {
	r.list = append(r.list, item[V]{ID: id, Value: value})
	r.index[id] = value
	if len(r.list) <= recentLimit {
		return
	}
	delete(r.index, r.list[len(r.list)-recentLimit-1].ID)
	if len(r.list) >= 2*recentLimit {
		r.list = append(make([]item[V], 0, 2*recentLimit), r.rows()...)
	}
}

// rows returns the rows, oldest first.
func (r *recent[V]) rows() []item[V] {
	return r.list[max(0, len(r.list)-recentLimit):len(r.list):len(r.list)]
}
