package inventory

import (
	"sync"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

// DefaultListLag is the assumed maximum lag of the platform's VM list behind the
// actual VMs.
const DefaultListLag = 30 * time.Second

// AbsenceTracker determines which VMs no longer exist. A VM that was listed and is no
// longer listed does not exist. A VM that this process has never seen listed may be
// newer than the list; its absence is confirmed once a list has been read whose
// read began more than the list's lag after the absence was first noticed.
// AbsenceTracker is safe for concurrent use.
type AbsenceTracker struct {
	listLag time.Duration
	// lastRead returns the time at which the last successful read of the list
	// began.
	lastRead func() time.Time

	mu sync.Mutex
	// listed is the set of VMs that this process has seen listed.
	listed map[state.VMID]bool
	// absentSince is when the absence of a VM that was never listed was first
	// noticed.
	absentSince map[state.VMID]time.Time
}

// NewAbsenceTracker returns an AbsenceTracker for a VM list with the given maximum
// lag. The function lastRead returns the time at which the last successful read of
// the list began.
func NewAbsenceTracker(lag time.Duration, lastRead func() time.Time) *AbsenceTracker {
	return &AbsenceTracker{listLag: lag, lastRead: lastRead, listed: map[state.VMID]bool{}, absentSince: map[state.VMID]time.Time{}}
}

// MarkListed records that a VM is on the list.
func (a *AbsenceTracker) MarkListed(vm state.VMID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.listed[vm] = true
	delete(a.absentSince, vm)
}

// ConfirmAbsent records that a VM is not on the list at now, and reports whether
// this proves that the VM does not exist.
func (a *AbsenceTracker) ConfirmAbsent(vm state.VMID, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.listed[vm] {
		return true
	}
	since, known := a.absentSince[vm]
	if !known {
		a.absentSince[vm] = now
		return false
	}
	return a.lastRead().Sub(since) > a.listLag
}

// Drop removes the records of a VM that is no longer configured.
func (a *AbsenceTracker) Drop(vm state.VMID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.listed, vm)
	delete(a.absentSince, vm)
}
