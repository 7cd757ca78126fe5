package replica

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/state/ledger"
)

// LeaseEnds returns the lease ends that the owner before the one of an epoch recorded, and when they
// were received, on the clock of package bootclock; nothing unless that epoch is the newest. They
// count from that time at the latest, since a record is received after its append has begun.
func (r *Replica) LeaseEnds(epoch int64) ([]ledger.LeaseEnd, time.Duration) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if claim, _ := r.table.Claim(); claim.Epoch != epoch {
		return nil, 0
	}
	return r.table.LeaseEnds(), r.leaseEndsAt
}
