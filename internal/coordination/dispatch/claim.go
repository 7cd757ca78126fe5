package dispatch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/coordination/replica"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
)

const (
	// The pause after an unsuccessful claim grows from minClaimRetry to maxClaimRetry.
	minClaimRetry = 200 * time.Millisecond
	maxClaimRetry = 2 * time.Second
	// claimAttempts bounds how often a claim is tried while other entries append.
	claimAttempts = 6
	// epochStep separates successive epochs. A claim adds a random number below half of it, so
	// that two claims that follow the same one have different epochs. The rest is left for the
	// fencing tokens of the owner; see lateCalls.
	epochStep = 1 << 16
	// claimTimeout bounds a claim, including the wait until the replica has read it.
	claimTimeout = 3 * time.Second
	// claimPollInterval is how often an entry checks whether it has read its claim.
	claimPollInterval = 5 * time.Millisecond
)

// newClaimBackOff returns the backoff between claims of an entry that others
// supersede, as happens when all entries claim at once and the log is slow.
func newClaimBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minClaimRetry
	b.MaxInterval = maxClaimRetry
	return b
}

// claim appends a claim that follows an ended one and waits until the replica has read
// everything before it. From the claim on, the log rejects appends of former owners.
// Of concurrent claims the first one wins, because each requires that nothing was
// appended since its entry read the log. The claim of a nominated successor needs no
// such condition. It reports whether the claim succeeded.
func (m *Manager) claim(ctx context.Context, old ledger.Claim) (ledger.Claim, bool) {
	claim := ledger.Claim{
		Epoch: (old.Epoch/epochStep+1)*epochStep + rand.Int64N(epochStep/2-1) + 1,
		Entry: m.cfg.Name, Incarnation: m.cfg.Incarnation, Address: m.cfg.Address, Domain: m.cfg.Domain, StartList: old.StartList,
	}
	m.claimBegan = m.cfg.Clock()
	callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	var err error
	if m.isSuccessor(old) && !m.cfg.StartsWithoutRecord {
		err = m.appendClaim(callCtx, claim, port.AnyOffset)
	} else {
		err = m.appendIfNewest(callCtx, claim, old)
	}
	m.cfg.Logger.Info("claim", "epoch", claim.Epoch, "previous", old.Entry, "previous_epoch", old.Epoch, "error", err)
	var conflict *port.ConflictError
	var rejected *port.RejectedError
	if errors.As(err, &rejected) || errors.Is(err, port.ErrNotDone) || errors.Is(err, port.ErrFenced) || errors.Is(err, errSuperseded) || errors.As(err, &conflict) {
		return claim, false
	}
	if !m.awaitClaim(callCtx, claim) {
		return claim, false
	}
	read := m.cfg.Replica.Claim() // with the list of the attempt that succeeded
	return read, read.Epoch == claim.Epoch
}

// errSuperseded means that another entry has claimed ownership.
var errSuperseded = errors.New("dispatch: another entry has claimed ownership; follow that entry")

// appendIfNewest appends a claim if the log holds no newer one than old. The claim gets the
// newest start list of old's owner. It retries while other entries append.
func (m *Manager) appendIfNewest(ctx context.Context, claim, old ledger.Claim) (err error) {
	for range claimAttempts {
		var batch port.Batch
		var read ledger.Claim
		from := int64(0)
		m.cfg.Replica.View(func(t *ledger.Table, next int64) {
			from = next
			read, _ = t.Claim()
		})
		if batch, err = m.cfg.Log.Read(ctx, port.TopicJobs, from, 0); err != nil {
			return fmt.Errorf("%w: reading the log before the claim failed: %w", port.ErrNotDone, err)
		}
		if read.Epoch > old.Epoch {
			return errSuperseded
		}
		newest := old
		if read.Epoch == old.Epoch {
			newest = read
		}
		list, ok := m.newestList(batch.Records, newest, old)
		if !ok {
			return errSuperseded
		}
		claim.StartList = list
		err = m.appendClaim(ctx, claim, batch.Next)
		var conflict *port.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
	}
	return err
}

// appendClaim appends a claim if the log ends at an offset, or anywhere with port.AnyOffset.
func (m *Manager) appendClaim(ctx context.Context, claim ledger.Claim, at int64) error {
	record, err := ledger.ClaimRecord(&claim)
	if err != nil {
		return fmt.Errorf("%w: %w", port.ErrNotDone, err)
	}
	_, err = m.cfg.Log.Append(ctx, port.Append{Topic: port.TopicJobs, Records: []ledger.Record{record}, At: at, Fence: &port.Fence{Epoch: claim.Epoch}})
	return err
}

// newestList returns the start list that follows from the newest claim that was read and
// the records after it. It returns false if the records show activity of an owner after the
// claim old. A nominated successor may read records that precede its nomination.
func (m *Manager) newestList(records []ledger.Record, newest, old ledger.Claim) (list []byte, ok bool) {
	list, ok = newest.StartList, true
	for _, r := range records {
		claim, isClaim := ledger.ClaimOf(r)
		switch {
		case !isClaim:
		case claim.Epoch > old.Epoch:
			return nil, false
		case claim.Epoch == old.Epoch:
			list, ok = claim.StartList, claim.Released && (ok || m.isSuccessor(old))
		}
	}
	return list, ok
}

// awaitClaim waits until the replica has read the claim, which may also have been
// appended without a response. It reports whether the claim is still the newest.
func (m *Manager) awaitClaim(ctx context.Context, claim ledger.Claim) bool {
	m.cfg.Replica.SetReadMode(replica.Claiming)
	defer m.cfg.Replica.SetReadMode(replica.Following)
	for ctx.Err() == nil {
		switch newest := m.cfg.Replica.Claim().Epoch; {
		case newest == claim.Epoch:
			return true
		case newest > claim.Epoch:
			return false
		}
		select {
		case <-ctx.Done():
		case <-time.After(claimPollInterval):
		}
	}
	return false
}
