// Package cell keeps what a shard's upstreams hold and what is committed on
// them, and finds room for tasks.
package cell

import (
	"errors"
	"fmt"
	"slices"

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

// Request asks for room for one or more equal tasks.
type Request struct {
	Service state.Service
	Each    state.Vector
	// Spread prefers racks that hold few of the tasks already placed for the
	// same request.
	Spread bool
	// Avoid lists upstreams not to use.
	Avoid []state.VMID
}

// Cell is the set of upstreams of a shard. It is not safe for concurrent use.
type Cell struct {
	upstreams map[state.VMID]*Upstream
	order     []state.VMID
}

// New returns an empty cell.
func New() *Cell {
	return &Cell{upstreams: map[state.VMID]*Upstream{}}
}

// Put adds an upstream or replaces the record of one.
func (c *Cell) Put(u Upstream) {
	if _, ok := c.upstreams[u.VM]; !ok {
		i, _ := slices.BinarySearch(c.order, u.VM)
		c.order = slices.Insert(c.order, i, u.VM)
	}
	c.upstreams[u.VM] = &u
}

// Remove forgets an upstream.
func (c *Cell) Remove(vm state.VMID) {
	if _, ok := c.upstreams[vm]; !ok {
		return
	}
	delete(c.upstreams, vm)
	i, _ := slices.BinarySearch(c.order, vm)
	c.order = slices.Delete(c.order, i, i+1)
}

// Get returns a copy of the record of an upstream.
func (c *Cell) Get(vm state.VMID) (Upstream, bool) {
	u, ok := c.upstreams[vm]
	if !ok {
		return Upstream{}, false
	}
	return *u, true
}

// Len returns the number of upstreams.
func (c *Cell) Len() int { return len(c.upstreams) }

// SetReadiness changes whether an upstream takes new work.
func (c *Cell) SetReadiness(vm state.VMID, r Readiness) {
	if u, ok := c.upstreams[vm]; ok {
		u.Readiness = r
	}
}

// Commit takes an amount of an upstream. It fails with an *OvercommitError or
// ErrUnknownUpstream and then changes nothing.
func (c *Cell) Commit(vm state.VMID, amount state.Vector) error {
	u, ok := c.upstreams[vm]
	if !ok {
		return ErrUnknownUpstream
	}
	if !amount.Fits(u.Free) {
		return &OvercommitError{VM: vm, Need: amount, Free: u.Free}
	}
	u.Free = u.Free.Sub(amount)
	return nil
}

// Release gives an amount back.
func (c *Cell) Release(vm state.VMID, amount state.Vector) {
	if u, ok := c.upstreams[vm]; ok {
		u.Free = u.Free.Add(amount)
	}
}

// Pick finds an upstream for one task.
func (c *Cell) Pick(req Request) (state.VMID, bool) {
	for _, vm := range c.order {
		u := c.upstreams[vm]
		if u.Readiness == Ready && u.Service == req.Service && req.Each.Fits(u.Free) && !slices.Contains(req.Avoid, vm) {
			return vm, true
		}
	}
	return "", false
}

// PickMany finds upstreams for n tasks at once, or none. The result may name an
// upstream more than once. Nothing is committed.
func (c *Cell) PickMany(req Request, n int) ([]state.VMID, bool) {
	picked := make([]state.VMID, 0, n)
	defer func() {
		for _, vm := range picked {
			c.Release(vm, req.Each)
		}
	}()
	for range n {
		vm, ok := c.Pick(req)
		if !ok || c.Commit(vm, req.Each) != nil {
			return nil, false
		}
		picked = append(picked, vm)
	}
	return slices.Clone(picked), true
}

// Largest returns the largest capacity of each kind among the upstreams of a
// service, whatever their readiness, and whether one of them alone can hold
// the amount when empty.
func (c *Cell) Largest(service state.Service, each state.Vector) (largest state.Vector, fits bool) {
	for _, u := range c.upstreams {
		if u.Service != service {
			continue
		}
		largest = largest.Max(u.Capacity)
		fits = fits || each.Fits(u.Capacity)
	}
	return largest, fits
}

// Total returns the capacity and the free amount of all upstreams of a service.
func (c *Cell) Total(service state.Service) (capacity, free state.Vector) {
	for _, u := range c.upstreams {
		if u.Service == service {
			capacity = capacity.Add(u.Capacity)
			free = free.Add(u.Free)
		}
	}
	return capacity, free
}
