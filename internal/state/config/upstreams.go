package config

import (
	"cmp"
	"slices"
	"unique"

	"github.com/samphirerail/samphirerail/internal/state"
)

// pendingJoin is a set of new upstreams that not every entry registered in the
// domain has confirmed.
type pendingJoin struct {
	Offset    int64      `json:"offset"`
	Upstreams []Upstream `json:"upstreams"`
}

// domainUpstreams are the upstreams of one domain. A value that is part of a
// view is immutable; every change returns a new one.
type domainUpstreams struct {
	// InForce are the upstreams in use, sorted by ID.
	InForce *upstreamList
	// Pending are the upstreams not yet in use, in the order of their offsets.
	Pending []pendingJoin
}

// encodedUpstreams is the JSON form of domainUpstreams in a snapshot.
type encodedUpstreams struct {
	InForce []Upstream    `json:"in_force"`
	Pending []pendingJoin `json:"joins,omitempty"`
}

func (d *domainUpstreams) encoded() *encodedUpstreams {
	return &encodedUpstreams{InForce: d.InForce.unpack(), Pending: d.Pending}
}

func (i *encodedUpstreams) decoded() *domainUpstreams {
	d := &domainUpstreams{InForce: packUpstreams(i.InForce), Pending: slices.Clone(i.Pending)}
	for _, j := range d.Pending {
		internStrings(j.Upstreams)
	}
	return d
}

func compareUpstream(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) }

func compareUpstreamID(u Upstream, id state.VMID) int { return cmp.Compare(u.ID, id) }

// has reports whether the upstream is known, in force or pending.
func (d *domainUpstreams) has(id state.VMID) bool {
	if d == nil {
		return false
	}
	if d.InForce.has(id) {
		return true
	}
	for _, j := range d.Pending {
		if _, ok := slices.BinarySearchFunc(j.Upstreams, id, compareUpstreamID); ok {
			return true
		}
	}
	return false
}

func (d *domainUpstreams) empty() bool {
	return d == nil || d.InForce.len() == 0 && len(d.Pending) == 0
}

// edit returns a copy in which every known upstream, in force or pending, is
// replaced by the result of change, or removed if change returns false.
func (d *domainUpstreams) edit(change func(Upstream) (Upstream, bool)) *domainUpstreams {
	out := &domainUpstreams{InForce: packUpstreams(editAll(d.InForce.unpack(), change))}
	for _, j := range d.Pending {
		if remaining := editAll(j.Upstreams, change); len(remaining) > 0 {
			out.Pending = append(out.Pending, pendingJoin{Offset: j.Offset, Upstreams: remaining})
		}
	}
	return out
}

func editAll(list []Upstream, change func(Upstream) (Upstream, bool)) []Upstream {
	out := make([]Upstream, 0, len(list))
	for _, u := range list {
		if changed, keep := change(u); keep {
			out = append(out, changed)
		}
	}
	return out
}

// add returns a copy with the upstreams of list. The attributes of known ones are
// updated at once, except Draining; new ones become a pending join.
func (d *domainUpstreams) add(offset int64, list []Upstream) *domainUpstreams {
	if d == nil {
		d = &domainUpstreams{}
	}
	corrected := map[state.VMID]Upstream{}
	var joining []Upstream
	for _, u := range list {
		u.Rack = unique.Make(u.Rack).Value()
		u.Service = unique.Make(u.Service).Value()
		if d.has(u.ID) {
			corrected[u.ID] = u
		} else {
			joining = append(joining, u)
		}
	}
	out := &domainUpstreams{InForce: d.InForce, Pending: slices.Clone(d.Pending)}
	if len(corrected) > 0 {
		out = d.edit(func(old Upstream) (Upstream, bool) {
			if u, ok := corrected[old.ID]; ok {
				u.Draining = old.Draining
				return u, true
			}
			return old, true
		})
	}
	if len(joining) > 0 {
		slices.SortFunc(joining, compareUpstream)
		out.Pending = append(out.Pending, pendingJoin{Offset: offset, Upstreams: joining})
	}
	return out
}

// activate returns a copy in which the pending joins up to an offset are in force.
func (d *domainUpstreams) activate(upTo int64) *domainUpstreams {
	merged := d.InForce.unpack()
	out := &domainUpstreams{}
	for _, j := range d.Pending {
		if j.Offset > upTo {
			out.Pending = append(out.Pending, j)
			continue
		}
		merged = append(merged, j.Upstreams...)
	}
	slices.SortFunc(merged, compareUpstream)
	out.InForce = packUpstreams(merged)
	return out
}

// internStrings interns the strings that many upstreams have in common, to save
// memory.
func internStrings(list []Upstream) {
	for i := range list {
		list[i].Rack = unique.Make(list[i].Rack).Value()
		list[i].Service = unique.Make(list[i].Service).Value()
	}
}
