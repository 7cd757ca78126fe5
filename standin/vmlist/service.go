// Package vmlist is a stand-in for the platform's list of live and leaving VMs.
package vmlist

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/samphirerail/samphirerail/standin/devplatform"
	"github.com/samphirerail/samphirerail/standin/faults"
	"github.com/samphirerail/samphirerail/standin/internal/wire"
)

// MaxLag is the largest lag that can be set.
const MaxLag = time.Minute

// Faults holds the fault switches of the list.
type Faults struct {
	faults.Switches
	// LagMilliseconds is the age of the state that List returns, at most MaxLag.
	LagMilliseconds int64 `json:"lag_milliseconds,omitempty"`
}

// maxRemoved is the number of removed rows that are kept for callers that ask for
// changes. A caller with an older version gets the whole list.
const maxRemoved = 10_000

// row is a VM with the version of the list that last changed it.
type row struct {
	vm      devplatform.VM
	version int64
}

// removedRow is the ID of a removed row with the version that removed it.
type removedRow struct {
	id      string
	version int64
}

// snapshot is the state of the list from the time validFrom until the next snapshot.
type snapshot struct {
	validFrom time.Time
	version   int64
	rows      []row
}

// Service is the VM list. All methods are safe for concurrent use.
type Service struct {
	gate *faults.Gate
	mux  *http.ServeMux

	mu  sync.Mutex
	lag time.Duration
	// history is never empty; the last element is the current state.
	history []snapshot
	// removed holds the newest removed rows: all removals after version oldestSince.
	removed     []removedRow
	oldestSince int64
}

// New returns an empty list.
func New() *Service {
	s := &Service{
		gate:    faults.NewGate(""),
		mux:     http.NewServeMux(),
		history: []snapshot{{}},
	}
	s.mux.Handle("GET "+devplatform.PathVMs, s.gate.Wrap(http.HandlerFunc(s.serveList)))
	s.mux.HandleFunc("PUT "+devplatform.PathVMs, s.servePut)
	s.mux.HandleFunc("POST "+devplatform.PathVMs, s.servePutAll)
	s.mux.HandleFunc("DELETE "+devplatform.PathVMs+"/{id...}", s.serveRemove)
	faults.Register(s.mux, s.Faults, s.SetFaults)
	return s
}

// ServeHTTP serves the platform protocol, changes of the list and the fault switches.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Gate returns the gate that applies the fault switches.
func (s *Service) Gate() *faults.Gate { return s.gate }

// Faults returns the current fault switches.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Faults{Switches: s.gate.Switches(), LagMilliseconds: s.lag.Milliseconds()}
}

// SetFaults replaces the fault switches. It fails with devplatform.ErrInvalid.
func (s *Service) SetFaults(f Faults) error {
	lag := time.Duration(f.LagMilliseconds) * time.Millisecond
	if lag < 0 || lag > MaxLag {
		return fmt.Errorf("%w: lag_milliseconds must lie in 0 to %d", devplatform.ErrInvalid, MaxLag.Milliseconds())
	}
	s.gate.Set(f.Switches)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = lag
	return nil
}

// List returns the list as it was before the configured lag, or the changes since
// req.SinceVersion. It returns the whole list if the changes since then are not known.
func (s *Service) List(_ context.Context, req devplatform.ListRequest) (devplatform.VMListReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.asOf(time.Now().Add(-s.lag))
	reply := devplatform.VMListReply{Version: current.version, SinceVersion: req.SinceVersion}
	if req.SinceVersion < s.oldestSince || req.SinceVersion > current.version {
		reply.SinceVersion = 0
	}
	for _, r := range current.rows {
		if r.version > reply.SinceVersion && matchesDomain(r.vm, req.Domain) {
			reply.VMs = append(reply.VMs, r.vm)
		}
	}
	if reply.SinceVersion == 0 {
		return reply, nil
	}
	for _, d := range s.removed {
		if d.version > reply.SinceVersion && d.version <= current.version {
			reply.Removed = append(reply.Removed, d.id)
		}
	}
	return reply, nil
}

// asOf returns the snapshot that was valid at a time, or the oldest one kept.
func (s *Service) asOf(at time.Time) snapshot {
	for i := len(s.history) - 1; i > 0; i-- {
		if !s.history[i].validFrom.After(at) {
			return s.history[i]
		}
	}
	return s.history[0]
}

// matchesDomain reports whether a VM belongs in the list of a domain. Entries belong in
// every list; an empty domain matches all VMs.
func matchesDomain(vm devplatform.VM, domain string) bool {
	return domain == "" || vm.Role == devplatform.RoleEntry || vm.Domain == domain
}

// Put adds a VM, or replaces the row with the same ID. It fails with
// devplatform.ErrInvalid.
func (s *Service) Put(vm devplatform.VM) error { return s.PutAll([]devplatform.VM{vm}) }

// PutAll adds or replaces rows in one change. If one of them is invalid, it changes
// nothing and fails with devplatform.ErrInvalid.
func (s *Service) PutAll(vms []devplatform.VM) error {
	for _, vm := range vms {
		if err := validate(vm); err != nil {
			return err
		}
	}
	s.change(func(rows []row, version int64) []row {
		for _, vm := range vms {
			i, found := slices.BinarySearchFunc(rows, vm.ID, compareID)
			if found {
				rows[i] = row{vm: vm, version: version}
				continue
			}
			rows = slices.Insert(rows, i, row{vm: vm, version: version})
		}
		return rows
	})
	return nil
}

// validate checks a row. It fails with devplatform.ErrInvalid.
func validate(vm devplatform.VM) error {
	if vm.ID == "" || vm.Incarnation == "" || vm.Address == "" {
		return fmt.Errorf("%w: id, incarnation and address must be set", devplatform.ErrInvalid)
	}
	if vm.State != devplatform.VMLive && vm.State != devplatform.VMLeaving {
		return fmt.Errorf("%w: state must be live or leaving", devplatform.ErrInvalid)
	}
	if vm.Role != devplatform.RoleEntry && vm.Role != devplatform.RoleUpstream {
		return fmt.Errorf("%w: role must be entry or upstream", devplatform.ErrInvalid)
	}
	return nil
}

// Remove removes the row of a VM. Removing a VM that is not listed is not an error.
func (s *Service) Remove(id string) {
	s.change(func(rows []row, version int64) []row {
		s.removed = append(s.removed, removedRow{id: id, version: version})
		if len(s.removed) > maxRemoved {
			s.oldestSince = s.removed[0].version
			s.removed = slices.Delete(s.removed, 0, 1)
		}
		return slices.DeleteFunc(rows, func(r row) bool { return r.vm.ID == id })
	})
}

func compareID(r row, id string) int { return cmp.Compare(r.vm.ID, id) }

// change adds a snapshot with the edited rows and drops the snapshots that are older than
// any lag. edit gets a copy of the rows.
func (s *Service) change(edit func(rows []row, version int64) []row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.history[len(s.history)-1]
	version := last.version + 1
	now := time.Now()
	s.history = append(s.history, snapshot{validFrom: now, version: version, rows: edit(slices.Clone(last.rows), version)})
	for len(s.history) > 1 && now.Sub(s.history[1].validFrom) > MaxLag {
		s.history = slices.Delete(s.history, 0, 1)
	}
}

func (s *Service) serveList(w http.ResponseWriter, r *http.Request) {
	req, err := listRequest(r)
	if err != nil {
		wire.WriteError(w, err)
		return
	}
	list, err := s.List(r.Context(), req)
	if err != nil {
		wire.WriteError(w, err)
		return
	}
	wire.WriteJSON(w, http.StatusOK, list)
}

// listRequest parses the query of a request. It fails with devplatform.ErrInvalid.
func listRequest(r *http.Request) (devplatform.ListRequest, error) {
	query := r.URL.Query()
	req := devplatform.ListRequest{Domain: query.Get(devplatform.QueryDomain)}
	since := query.Get(devplatform.QuerySince)
	if since == "" {
		return req, nil
	}
	n, err := strconv.ParseInt(since, 10, 64)
	if err != nil || n < 0 {
		return req, fmt.Errorf("%w: since must be a version", devplatform.ErrInvalid)
	}
	req.SinceVersion = n
	return req, nil
}

func (s *Service) servePut(w http.ResponseWriter, r *http.Request) {
	var vm devplatform.VM
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

func (s *Service) servePutAll(w http.ResponseWriter, r *http.Request) {
	var vms []devplatform.VM
	err := wire.Decode(r, &vms)
	if err == nil {
		err = s.PutAll(vms)
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
