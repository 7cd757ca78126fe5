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
	// The pause after a claim that did not hold grows from firstClaimRetry to
	// lastClaimRetry.
	firstClaimRetry = 200 * time.Millisecond
	lastClaimRetry  = 2 * time.Second
	// claimAttempts bounds how often a claim is tried while others append.
	claimAttempts = 6
	// epochStep leaves room for a random part, so that two claims that follow
	// the same one differ.
	epochStep = 1 << 16
	// claimTimeout bounds a claim until the replica has read it.
	claimTimeout = 3 * time.Second
	// claimPoll is how often an entry looks whether it has read its claim.
	claimPoll = 5 * time.Millisecond
)

// newClaimBackOff spaces the claims of an entry that others overtake, as
// happens when all claim at once and the log is slow.
func newClaimBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstClaimRetry
	b.MaxInterval = lastClaimRetry
	return b
}

// claim appends a claim that follows an ended one and waits until the replica
// has read everything before it. From the claim on the log refuses what former
// owners append. Of claims that cross, the first holds, as each requires that
// nothing was appended since its entry read the log; that of a named successor
// needs no such condition.
func (m *Manager) claim(ctx context.Context, old ledger.Claim) (ledger.Claim, bool) {
	claim := ledger.Claim{
		Epoch: (old.Epoch/epochStep+1)*epochStep + rand.Int64N(epochStep-1) + 1,
		Entry: m.cfg.Name, Incarnation: m.cfg.Incarnation, Address: m.cfg.Address, Domain: m.cfg.Domain,
	}
	record, err := ledger.ClaimRecord(&claim)
	if err != nil {
		m.cfg.Logger.Error("claim not encoded", "error", err)
		return claim, false
	}
	callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	entry := port.Append{Topic: port.TopicJobs, Records: []ledger.Record{record}, At: port.AnyOffset, Fence: &port.Fence{Epoch: claim.Epoch}}
	if m.succeeds(old) {
		_, err = m.cfg.Log.Append(callCtx, entry)
	} else {
		err = m.appendFirst(callCtx, entry, old)
	}
	m.cfg.Logger.Info("claim", "epoch", claim.Epoch, "previous", old.Entry, "previous_epoch", old.Epoch, "error", err)
	var conflict *port.ConflictError
	if errors.Is(err, port.ErrNotDone) || errors.Is(err, port.ErrFenced) || errors.Is(err, errOvertaken) || errors.As(err, &conflict) {
		return claim, false
	}
	return claim, m.claimRead(callCtx, claim)
}

// errOvertaken: another entry has claimed.
var errOvertaken = errors.New("dispatch: another entry has claimed the ownership; follow it")

// appendFirst appends a claim if the log holds no newer one than old.
func (m *Manager) appendFirst(ctx context.Context, entry port.Append, old ledger.Claim) (err error) {
	for range claimAttempts {
		var batch port.Batch
		from := int64(0)
		m.cfg.Replica.View(func(_ *ledger.Table, next int64) { from = next })
		if batch, err = m.cfg.Log.Read(ctx, port.TopicJobs, from, 0); err != nil {
			return fmt.Errorf("%w: the log was not read: %w", port.ErrNotDone, err)
		}
		if m.cfg.Replica.Claim().Epoch > old.Epoch || overtaken(batch.Records, old) {
			return errOvertaken
		}
		entry.At = batch.Next
		_, err = m.cfg.Log.Append(ctx, entry)
		var conflict *port.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
	}
	return err
}

// overtaken reports whether records hold a sign of an owner after a claim.
func overtaken(records []ledger.Record, old ledger.Claim) bool {
	for _, r := range records {
		if claim, ok := ledger.ClaimOf(r); ok && (claim.Epoch > old.Epoch || (claim.Epoch == old.Epoch && !claim.Released)) {
			return true
		}
	}
	return false
}

// claimRead waits until the replica has read the claim, which may also have
// been appended without an answer. It reports whether the claim still holds.
func (m *Manager) claimRead(ctx context.Context, claim ledger.Claim) bool {
	m.cfg.Replica.SetPace(replica.Claiming)
	defer m.cfg.Replica.SetPace(replica.Following)
	for ctx.Err() == nil {
		switch newest := m.cfg.Replica.Claim().Epoch; {
		case newest == claim.Epoch:
			return true
		case newest > claim.Epoch:
			return false
		}
		select {
		case <-ctx.Done():
		case <-time.After(claimPoll):
		}
	}
	return false
}
