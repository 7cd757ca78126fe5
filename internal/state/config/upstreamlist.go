package config

import (
	"sort"
	"strings"

	"github.com/samphirerail/samphirerail/internal/state"
)

// upstreamAttributes are the attributes that many upstreams have in common.
type upstreamAttributes struct {
	rack     string
	service  state.Service
	capacity state.Vector
	draining bool
}

// upstreamList is an immutable list of upstreams, sorted by ID, in a compact
// encoding: an entry stores the upstreams of every domain but reads only those
// of its own.
type upstreamList struct {
	// ids holds the concatenated IDs; ends holds the end of each ID in ids.
	ids  string
	ends []uint32
	// attributes holds, for each upstream, the index of its attributes in
	// attributesTable.
	attributes      []uint32
	attributesTable []upstreamAttributes
	// unpacked caches the result of unpack; nil unless set by withUnpacked.
	unpacked []Upstream
}

// packUpstreams returns the compact form of list, which must be sorted by ID.
func packUpstreams(list []Upstream) *upstreamList {
	l := &upstreamList{ends: make([]uint32, 0, len(list)), attributes: make([]uint32, 0, len(list))}
	indexes := map[upstreamAttributes]uint32{}
	var ids strings.Builder
	for _, u := range list {
		attributes := upstreamAttributes{rack: u.Rack, service: u.Service, capacity: u.Capacity, draining: u.Draining}
		index, found := indexes[attributes]
		if !found {
			index = uint32(len(l.attributesTable))
			indexes[attributes] = index
			attributes.rack = strings.Clone(attributes.rack)
			attributes.service = state.Service(strings.Clone(string(attributes.service)))
			l.attributesTable = append(l.attributesTable, attributes)
		}
		ids.WriteString(string(u.ID))
		l.ends = append(l.ends, uint32(ids.Len()))
		l.attributes = append(l.attributes, index)
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
	attributes := l.attributesTable[l.attributes[i]]
	return Upstream{ID: l.id(i), Rack: attributes.rack, Service: attributes.service, Capacity: attributes.capacity, Draining: attributes.draining}
}

// has reports whether the list contains an upstream.
func (l *upstreamList) has(id state.VMID) bool {
	n := l.len()
	i := sort.Search(n, func(i int) bool { return l.id(i) >= id })
	return i < n && l.id(i) == id
}

// unpack returns the upstreams, sorted by ID, in a new slice.
func (l *upstreamList) unpack() []Upstream {
	list := make([]Upstream, l.len())
	for i := range list {
		list[i] = l.at(i)
	}
	return list
}

// all returns the upstreams, sorted by ID. The slice must not be modified.
func (l *upstreamList) all() []Upstream {
	if l.len() == 0 {
		return nil
	}
	if l.unpacked != nil {
		return l.unpacked
	}
	return l.unpack()
}

// withUnpacked returns a copy of the list that caches the unpacked upstreams.
func (l *upstreamList) withUnpacked() *upstreamList {
	out := *l
	out.unpacked = l.unpack()
	return &out
}
