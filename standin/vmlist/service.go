// Package vmlist is a stand-in for the platform's list of live and leaving VMs.
package vmlist

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/samphirerail/samphirerail/platform"
	"github.com/samphirerail/samphirerail/standin/faults"
	"github.com/samphirerail/samphirerail/standin/internal/wire"
)

// MaxLag is the largest lag of the list.
const MaxLag = time.Minute

// Faults are the switches of the list.
type Faults struct {
	faults.Switches
	// LagMilliseconds is how old the list is that List returns, MaxLag at
	// most.
	LagMilliseconds int64 `json:"lag_milliseconds,omitempty"`
}

// snapshot is the list as it was from a time on.
type snapshot struct {
	from time.Time
	list platform.VMListReply
}

// Service is the VM list. All methods are safe for concurrent use.
type Service struct {
	gate *faults.Gate
	mux  *http.ServeMux

	mu  sync.Mutex
	lag time.Duration
	// history is never empty; the last element is the truth.
	history []snapshot
}

// New returns an empty list.
func New() *Service {
	s := &Service{
		gate:    faults.NewGate(""),
		mux:     http.NewServeMux(),
		history: []snapshot{{}},
	}
	s.mux.Handle("GET "+platform.PathVMs, s.gate.Wrap(http.HandlerFunc(s.serveList)))
	s.mux.HandleFunc("PUT "+platform.PathVMs, s.servePut)
	s.mux.HandleFunc("DELETE "+platform.PathVMs+"/{id...}", s.serveRemove)
	faults.Register(s.mux, s.Faults, s.SetFaults)
	return s
}

// ServeHTTP serves the port, the changes to the list and the switches.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Gate returns the gate of the list.
func (s *Service) Gate() *faults.Gate { return s.gate }

// Faults returns the switches as they are now.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Faults{Switches: s.gate.Switches(), LagMilliseconds: s.lag.Milliseconds()}
}

// SetFaults replaces the switches. It fails with platform.ErrInvalid.
func (s *Service) SetFaults(f Faults) error {
	lag := time.Duration(f.LagMilliseconds) * time.Millisecond
	if lag < 0 || lag > MaxLag {
		return fmt.Errorf("%w: lag_milliseconds must lie in 0 to %d", platform.ErrInvalid, MaxLag.Milliseconds())
	}
	s.gate.Set(f.Switches)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = lag
	return nil
}

// List returns the list as it was before the lag.
func (s *Service) List(context.Context) (platform.VMListReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	asOf := time.Now().Add(-s.lag)
	for i := len(s.history) - 1; i > 0; i-- {
		if !s.history[i].from.After(asOf) {
			return s.history[i].list, nil
		}
	}
	return s.history[0].list, nil
}

// Put adds a VM or replaces the row with its ID. It fails with
// platform.ErrInvalid.
func (s *Service) Put(vm platform.VM) error {
	if vm.ID == "" || vm.Incarnation == "" || vm.Address == "" {
		return fmt.Errorf("%w: id, incarnation and address must be set", platform.ErrInvalid)
	}
	if vm.State != platform.VMLive && vm.State != platform.VMLeaving {
		return fmt.Errorf("%w: state must be live or leaving", platform.ErrInvalid)
	}
	if vm.Role != platform.RoleEntry && vm.Role != platform.RoleUpstream {
		return fmt.Errorf("%w: role must be entry or upstream", platform.ErrInvalid)
	}
	s.change(func(vms []platform.VM) []platform.VM {
		i, found := slices.BinarySearchFunc(vms, vm.ID, compareID)
		if found {
			vms[i] = vm
			return vms
		}
		return slices.Insert(vms, i, vm)
	})
	return nil
}

// Remove drops the row of a VM; one that is not listed is no error.
func (s *Service) Remove(id string) {
	s.change(func(vms []platform.VM) []platform.VM {
		return slices.DeleteFunc(vms, func(vm platform.VM) bool { return vm.ID == id })
	})
}

func compareID(vm platform.VM, id string) int { return cmp.Compare(vm.ID, id) }

// change adds a snapshot and drops those that no lag can reach.
func (s *Service) change(edit func([]platform.VM) []platform.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.history[len(s.history)-1].list
	next := platform.VMListReply{Version: last.Version + 1, VMs: edit(slices.Clone(last.VMs))}
	now := time.Now()
	s.history = append(s.history, snapshot{from: now, list: next})
	for len(s.history) > 1 && now.Sub(s.history[1].from) > MaxLag {
		s.history = slices.Delete(s.history, 0, 1)
	}
}

func (s *Service) serveList(w http.ResponseWriter, r *http.Request) {
	list, err := s.List(r.Context())
	if err != nil {
		wire.WriteError(w, err)
		return
	}
	wire.WriteJSON(w, http.StatusOK, list)
}

func (s *Service) servePut(w http.ResponseWriter, r *http.Request) {
	var vm platform.VM
	err := wire.Decode(r, &vm)
	if err == nil {
		err = s.Put(vm)
	}
	if err != nil {
		wire.WriteError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) serveRemove(w http.ResponseWriter, r *http.Request) {
	s.Remove(r.PathValue("id"))
	w.WriteHeader(http.StatusNoContent)
}
