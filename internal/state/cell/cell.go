// Package cell keeps what a shard's upstreams hold and what is committed on
// them, and finds room for tasks.
package cell

import (
	"errors"
	"fmt"

	"github.com/samphirerail/samphirerail/internal/state"
)

// ErrUnknownUpstream says that the VM is not part of the cell.
var ErrUnknownUpstream = errors.New("cell: unknown upstream; add it before use")

// OvercommitError says that a commitment was refused because the upstream has
// less free.
type OvercommitError struct {
	VM         state.VMID
	Need, Free state.Vector
}

func (e *OvercommitError) Error() string {
	return fmt.Sprintf("cell: %s has %s free, not %s; choose another upstream", e.VM, e.Free, e.Need)
}

// Readiness tells whether an upstream takes new work.
type Readiness int

// The states of an upstream. Only a Ready one takes new work.
const (
	// Unfenced: known, but what runs there is not.
	Unfenced Readiness = iota
	Ready
	// Silent: it does not answer.
	Silent
	// Leaving: it is about to go.
	Leaving
	// Ejected: it failed too much of what it started.
	Ejected
)

// Upstream is the cell's record of one VM.
type Upstream struct {
	VM          state.VMID
	Incarnation string
	Rack        string
	Service     state.Service
	Capacity    state.Vector
	Free        state.Vector
	Readiness   Readiness
}

// Cell is the set of upstreams of a shard. It is not safe for concurrent use.
type Cell struct {
	upstreams map[state.VMID]*record
	services  map[state.Service]*pool
	// policy picks among candidates; tests and reports swap it.
	policy policy
}

// record is an upstream with its place in its service's pool.
type record struct {
	Upstream
	leaf int
}

// New returns an empty cell.
func New() *Cell {
	return &Cell{
		upstreams: map[state.VMID]*record{},
		services:  map[state.Service]*pool{},
		policy:    bestFit,
	}
}

// NewFirstFit returns an empty cell that takes the first upstream with room. It
// is the baseline that placement is compared with.
func NewFirstFit() *Cell {
	c := New()
	c.policy = firstFit
	return c
}

// Put adds an upstream or replaces the record of one.
func (c *Cell) Put(u Upstream) {
	c.Remove(u.VM)
	r := &record{Upstream: u}
	c.upstreams[u.VM] = r
	c.pool(u.Service).add(r)
}

// Remove forgets an upstream.
func (c *Cell) Remove(vm state.VMID) {
	r, ok := c.upstreams[vm]
	if !ok {
		return
	}
	delete(c.upstreams, vm)
	c.pool(r.Service).remove(r)
}

func (c *Cell) pool(service state.Service) *pool {
	p, ok := c.services[service]
	if !ok {
		p = &pool{}
		c.services[service] = p
	}
	return p
}

// Get returns a copy of the record of an upstream.
func (c *Cell) Get(vm state.VMID) (Upstream, bool) {
	r, ok := c.upstreams[vm]
	if !ok {
		return Upstream{}, false
	}
	return r.Upstream, true
}

// Len returns the number of upstreams.
func (c *Cell) Len() int { return len(c.upstreams) }

// SetReadiness changes whether an upstream takes new work.
func (c *Cell) SetReadiness(vm state.VMID, readiness Readiness) {
	r, ok := c.upstreams[vm]
	if !ok || r.Readiness == readiness {
		return
	}
	r.Readiness = readiness
	c.pool(r.Service).update(r)
}

// Commit takes an amount of an upstream. It fails with an *OvercommitError or
// ErrUnknownUpstream and then changes nothing.
func (c *Cell) Commit(vm state.VMID, amount state.Vector) error {
	r, ok := c.upstreams[vm]
	if !ok {
		return ErrUnknownUpstream
	}
	if !amount.Fits(r.Free) {
		return &OvercommitError{VM: vm, Need: amount, Free: r.Free}
	}
	c.change(r, state.Vector{}.Sub(amount))
	return nil
}

// Release gives an amount back.
func (c *Cell) Release(vm state.VMID, amount state.Vector) {
	if r, ok := c.upstreams[vm]; ok {
		c.change(r, amount)
	}
}

func (c *Cell) change(r *record, amount state.Vector) {
	r.Free = r.Free.Add(amount)
	p := c.pool(r.Service)
	p.free = p.free.Add(amount)
	p.update(r)
}

// Largest returns the largest capacity of each kind among the upstreams of a
// service, whatever their readiness, and whether one of them alone can hold
// the amount when empty.
func (c *Cell) Largest(service state.Service, each state.Vector) (largest state.Vector, fits bool) {
	p, ok := c.services[service]
	if !ok {
		return state.Vector{}, false
	}
	for _, s := range p.shapes {
		largest = largest.Max(s.capacity)
		fits = fits || each.Fits(s.capacity)
	}
	return largest, fits
}

// Total returns the capacity and the free amount of all upstreams of a service.
func (c *Cell) Total(service state.Service) (capacity, free state.Vector) {
	if p, ok := c.services[service]; ok {
		return p.capacity, p.free
	}
	return state.Vector{}, state.Vector{}
}
