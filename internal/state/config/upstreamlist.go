package config

import (
	"sort"
	"strings"

	"github.com/samphirerail/samphirerail/internal/state"
)

// upstreamKind is what many upstreams have in common.
type upstreamKind struct {
	rack     string
	service  state.Service
	capacity state.Vector
	draining bool
}

// upstreamList holds upstreams by ID in little memory: an entry keeps those of
// every domain, and looks at its own domain's alone. It does not change once it
// is made.
type upstreamList struct {
	// ids are the IDs without separators; ends are where each ends.
	ids  string
	ends []uint32
	// kinds are the places of the upstreams' kinds in table.
	kinds []uint32
	table []upstreamKind
	// kept is the list as callers want it; nil unless it is asked for often.
	kept []Upstream
}

// packUpstreams returns the list of upstreams that are sorted by ID.
func packUpstreams(list []Upstream) *upstreamList {
	l := &upstreamList{ends: make([]uint32, 0, len(list)), kinds: make([]uint32, 0, len(list))}
	places := map[upstreamKind]uint32{}
	var ids strings.Builder
	for _, u := range list {
		kind := upstreamKind{rack: u.Rack, service: u.Service, capacity: u.Capacity, draining: u.Draining}
		place, known := places[kind]
		if !known {
			place = uint32(len(l.table))
			places[kind] = place
			kind.rack = strings.Clone(kind.rack)
			kind.service = state.Service(strings.Clone(string(kind.service)))
			l.table = append(l.table, kind)
		}
		ids.WriteString(string(u.ID))
		l.ends = append(l.ends, uint32(ids.Len()))
		l.kinds = append(l.kinds, place)
	}
	l.ids = strings.Clone(ids.String())
	return l
}

func (l *upstreamList) len() int {
	if l == nil {
		return 0
	}
	return len(l.ends)
}

func (l *upstreamList) id(i int) state.VMID {
	begin := uint32(0)
	if i > 0 {
		begin = l.ends[i-1]
	}
	return state.VMID(l.ids[begin:l.ends[i]])
}

func (l *upstreamList) at(i int) Upstream {
	kind := l.table[l.kinds[i]]
	return Upstream{ID: l.id(i), Rack: kind.rack, Service: kind.service, Capacity: kind.capacity, Draining: kind.draining}
}

// has reports whether an upstream is on the list.
func (l *upstreamList) has(id state.VMID) bool {
	n := l.len()
	i := sort.Search(n, func(i int) bool { return l.id(i) >= id })
	return i < n && l.id(i) == id
}

// unpack returns the upstreams by ID, in memory of their own.
func (l *upstreamList) unpack() []Upstream {
	list := make([]Upstream, l.len())
	for i := range list {
		list[i] = l.at(i)
	}
	return list
}

// all returns the upstreams by ID; the slice must not be modified.
func (l *upstreamList) all() []Upstream {
	if l.len() == 0 {
		return nil
	}
	if l.kept != nil {
		return l.kept
	}
	return l.unpack()
}

// keep returns a list that has the upstreams at hand unpacked.
func (l *upstreamList) keep() *upstreamList {
	kept := *l
	kept.kept = l.unpack()
	return &kept
}
