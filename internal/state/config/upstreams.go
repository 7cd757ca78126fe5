package config

import (
	"cmp"
	"slices"
	"unique"

	"github.com/samphirerail/samphirerail/internal/state"
)

// join is a set of upstreams that not every entry of the domain has folded.
type join struct {
	Offset    int64      `json:"offset"`
	Upstreams []Upstream `json:"upstreams"`
}

// shard is the upstreams of one domain. A shard is not changed once it is part
// of a view: each change makes a new one.
type shard struct {
	// InForce are the upstreams in use, by ID.
	InForce *upstreamList
	// Joins are not yet in use, in the order of their offsets.
	Joins []join
}

// shardImage is the encoded form of a shard.
type shardImage struct {
	InForce []Upstream `json:"in_force"`
	Joins   []join     `json:"joins,omitempty"`
}

func (s *shard) image() *shardImage {
	return &shardImage{InForce: s.InForce.unpack(), Joins: s.Joins}
}

func (i *shardImage) shard() *shard {
	s := &shard{InForce: packUpstreams(i.InForce), Joins: slices.Clone(i.Joins)}
	for _, j := range s.Joins {
		internStrings(j.Upstreams)
	}
	return s
}

func compareUpstream(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) }

func compareUpstreamID(u Upstream, id state.VMID) int { return cmp.Compare(u.ID, id) }

// has reports whether the upstream is known, in force or not.
func (s *shard) has(id state.VMID) bool {
	if s == nil {
		return false
	}
	if s.InForce.has(id) {
		return true
	}
	for _, j := range s.Joins {
		if _, ok := slices.BinarySearchFunc(j.Upstreams, id, compareUpstreamID); ok {
			return true
		}
	}
	return false
}

func (s *shard) empty() bool {
	return s == nil || s.InForce.len() == 0 && len(s.Joins) == 0
}

// edit returns a shard in which every known upstream is replaced by what change
// returns, or left out when that is false.
func (s *shard) edit(change func(Upstream) (Upstream, bool)) *shard {
	out := &shard{InForce: packUpstreams(editAll(s.InForce.unpack(), change))}
	for _, j := range s.Joins {
		if left := editAll(j.Upstreams, change); len(left) > 0 {
			out.Joins = append(out.Joins, join{Offset: j.Offset, Upstreams: left})
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

// add returns a shard with more upstreams. Known ones are corrected, new ones
// wait as a join.
func (s *shard) add(offset int64, list []Upstream) *shard {
	if s == nil {
		s = &shard{}
	}
	corrected := map[state.VMID]Upstream{}
	var fresh []Upstream
	for _, u := range list {
		u.Rack = unique.Make(u.Rack).Value()
		u.Service = unique.Make(u.Service).Value()
		if s.has(u.ID) {
			corrected[u.ID] = u
		} else {
			fresh = append(fresh, u)
		}
	}
	out := &shard{InForce: s.InForce, Joins: slices.Clone(s.Joins)}
	if len(corrected) > 0 {
		out = s.edit(func(old Upstream) (Upstream, bool) {
			if u, ok := corrected[old.ID]; ok {
				u.Draining = old.Draining
				return u, true
			}
			return old, true
		})
	}
	if len(fresh) > 0 {
		slices.SortFunc(fresh, compareUpstream)
		out.Joins = append(out.Joins, join{Offset: offset, Upstreams: fresh})
	}
	return out
}

// admit returns a shard in which the joins up to an offset are in force.
func (s *shard) admit(upTo int64) *shard {
	merged := s.InForce.unpack()
	out := &shard{}
	for _, j := range s.Joins {
		if j.Offset > upTo {
			out.Joins = append(out.Joins, j)
			continue
		}
		merged = append(merged, j.Upstreams...)
	}
	slices.SortFunc(merged, compareUpstream)
	out.InForce = packUpstreams(merged)
	return out
}

// internStrings lets upstreams share the strings that many of them have.
func internStrings(list []Upstream) {
	for i := range list {
		list[i].Rack = unique.Make(list[i].Rack).Value()
		list[i].Service = unique.Make(list[i].Service).Value()
	}
}
