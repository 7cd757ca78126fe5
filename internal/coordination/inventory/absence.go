package inventory

import (
	"sync"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

// DefaultListLag is the assumed largest lag of the platform's VM list.
const DefaultListLag = 30 * time.Second

// Absences tells which VMs are gone. A VM that was listed and is listed no more
// is gone. One that this process never saw listed may be newer than the list;
// it is gone once a list was read that is younger than the first sight of its
// absence by more than the list's lag. It is safe for concurrent use.
type Absences struct {
	lag time.Duration
	// read returns when the last successful read of the list began.
	read func() time.Time

	mu     sync.Mutex
	seen   map[state.VMID]bool
	absent map[state.VMID]time.Time
}

// NewAbsences returns an Absences for a list with the given lag.
func NewAbsences(lag time.Duration, read func() time.Time) *Absences {
	return &Absences{lag: lag, read: read, seen: map[state.VMID]bool{}, absent: map[state.VMID]time.Time{}}
}

// Listed notes that a VM is on the list.
func (a *Absences) Listed(vm state.VMID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.seen[vm] = true
	delete(a.absent, vm)
}

// Gone notes that a VM is not on the list at now and reports whether that proves
// that it does not exist.
func (a *Absences) Gone(vm state.VMID, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.seen[vm] {
		return true
	}
	since, known := a.absent[vm]
	if !known {
		a.absent[vm] = now
		return false
	}
	return a.read().Sub(since) > a.lag
}

// Forget drops what is known of a VM that is configured no more.
func (a *Absences) Forget(vm state.VMID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.seen, vm)
	delete(a.absent, vm)
}
