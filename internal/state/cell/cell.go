// Package cell tracks the capacity of a shard's upstreams and what is committed on
// them, and finds upstreams with enough free capacity for tasks.
package cell

import (
	"errors"
	"fmt"

	"github.com/samphirerail/samphirerail/internal/state"
)

// ErrUnknownUpstream is returned for a VM that is not part of the cell.
var ErrUnknownUpstream = errors.New("cell: upstream is not part of the cell; add it with Put before use")

// OvercommitError is returned when an upstream has less free than a commitment needs.
type OvercommitError struct {
	VM           state.VMID
	Demand, Free state.Vector
}

func (e *OvercommitError) Error() string {
	return fmt.Sprintf("cell: upstream %s has %s free, but %s is needed; choose another upstream", e.VM, e.Free, e.Demand)
}

// Readiness is whether an upstream gets new tasks and, if not, why.
type Readiness int

// The readiness states of an upstream. Only a Ready one gets new tasks.
const (
	// Unfenced: the upstream is known, but not yet which tasks it runs.
	Unfenced Readiness = iota
	Ready
	// Unavailable: the upstream is not responding, or excluded for now for another
	// reason.
	Unavailable
	// Leaving: the upstream is about to leave the shard.
	Leaving
	// Ejected: too many of the tasks that were started on the upstream failed.
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
	// policy selects among the upstreams with enough free capacity; NewFirstFit
	// replaces it.
	policy policy
}

// record is an upstream with its position in the index of its service's pool.
type record struct {
	Upstream
	leaf int
}

// New returns an empty cell that selects by best fit.
func New() *Cell {
	return &Cell{
		upstreams: map[state.VMID]*record{},
		services:  map[state.Service]*pool{},
		policy:    bestFit,
	}
}

// NewFirstFit returns an empty cell that selects the first upstream with enough free
// capacity. It is the baseline that placement is compared with.
func NewFirstFit() *Cell {
	c := New()
	c.policy = firstFit
	return c
}

// Put adds an upstream, or replaces the record of the same VM.
func (c *Cell) Put(u Upstream) {
	c.Remove(u.VM)
	r := &record{Upstream: u}
	c.upstreams[u.VM] = r
	c.pool(u.Service).add(r)
}

// Remove removes an upstream. A VM that is not part of the cell is ignored.
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

// Get returns a copy of the record of an upstream, and false when there is none.
func (c *Cell) Get(vm state.VMID) (Upstream, bool) {
	r, ok := c.upstreams[vm]
	if !ok {
		return Upstream{}, false
	}
	return r.Upstream, true
}

// Len returns the number of upstreams.
func (c *Cell) Len() int { return len(c.upstreams) }

// SetReadiness sets whether an upstream gets new tasks. A VM that is not part of the
// cell is ignored.
func (c *Cell) SetReadiness(vm state.VMID, readiness Readiness) {
	r, ok := c.upstreams[vm]
	if !ok || r.Readiness == readiness {
		return
	}
	r.Readiness = readiness
	c.pool(r.Service).update(r)
}

// Commit takes an amount from what is free on an upstream. It fails with an
// *OvercommitError or ErrUnknownUpstream, and then changes nothing.
func (c *Cell) Commit(vm state.VMID, amount state.Vector) error {
	r, ok := c.upstreams[vm]
	if !ok {
		return ErrUnknownUpstream
	}
	if !amount.Fits(r.Free) {
		return &OvercommitError{VM: vm, Demand: amount, Free: r.Free}
	}
	c.addFree(r, state.Vector{}.Sub(amount))
	return nil
}

// Release returns a committed amount. A VM that is not part of the cell is ignored.
func (c *Cell) Release(vm state.VMID, amount state.Vector) {
	if r, ok := c.upstreams[vm]; ok {
		c.addFree(r, amount)
	}
}

func (c *Cell) addFree(r *record, amount state.Vector) {
	r.Free = r.Free.Add(amount)
	p := c.pool(r.Service)
	p.free = p.free.Add(amount)
	p.update(r)
}

// Largest returns the largest capacity of each kind of resource among the upstreams of
// a service, whatever their readiness, and whether a single one of them could hold the
// amount when empty.
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

// Total returns the capacity and the free amount summed over all upstreams of a
// service.
func (c *Cell) Total(service state.Service) (capacity, free state.Vector) {
	if p, ok := c.services[service]; ok {
		return p.capacity, p.free
	}
	return state.Vector{}, state.Vector{}
}
