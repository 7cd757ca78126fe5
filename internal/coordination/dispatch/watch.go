package dispatch

import (
	"context"
	"time"

	"github.com/samphirerail/samphirerail/internal/state/ledger"
)

const (
	// watchTime is how long a call that watches the owner is held open.
	watchTime = 10 * time.Second
	// watchPause is the pause between two such calls.
	watchPause = 100 * time.Millisecond
)

// watchOwner holds a call open at the owner, which fails at once when the owner's process
// ends; its records in the log show that only after ownerProbeDelay and the pause between
// two reads. Only the largest entries watch, since they claim first.
func (m *Manager) watchOwner(ctx context.Context) {
	for ctx.Err() == nil {
		if claim := m.newestClaim(); m.isStandby(claim) {
			callCtx, cancel := context.WithTimeout(ctx, watchTime)
			err := m.cfg.Peers.Watch(callCtx, claim.Address)
			expired := callCtx.Err() != nil
			cancel()
			if err != nil && !expired {
				m.suspect(claim, err)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchPause):
		}
	}
}

// isStandby reports whether this entry would be among the first to follow the owner.
func (m *Manager) isStandby(claim ledger.Claim) bool {
	return claim.Address != "" && !claim.Released && claim.Entry != m.cfg.Name && !m.largerEntryExists()
}

// suspect records that the connection to the owner of a claim has ended.
func (m *Manager) suspect(claim ledger.Claim, cause error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.suspected != claim.Epoch {
		m.cfg.Logger.Warn("owner suspected: the call that watches it has ended", "owner", claim.Entry, "epoch", claim.Epoch, "error", cause)
		m.suspected, m.suspectedAt = claim.Epoch, time.Now()
	}
}

// suspectedFor returns for how long the owner of a claim has been suspected, and whether
// it is.
func (m *Manager) suspectedFor(claim ledger.Claim) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if claim.Epoch == 0 || m.suspected != claim.Epoch {
		return 0, false
	}
	return time.Since(m.suspectedAt), true
}
