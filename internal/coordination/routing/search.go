package routing

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/coordination/retry"
)

const (
	searchBackoffInitial = 10 * time.Millisecond
	searchBackoffMax     = 250 * time.Millisecond
)

// errNoOwner is returned if no live entry has claimed the shard in time.
var errNoOwner = errors.New("routing: no live entry claims the shard; wait for the takeover")

// location is the location of a shard's owner: this process, or an address.
type location struct {
	local   bool
	address string
}

// ownerSearch bounds the time spent on finding an owner that accepts a call. Attempts
// that no owner accepted count against this time only, not against the retry budget.
type ownerSearch struct {
	router   *Router
	shard    coordination.ShardID
	deadline time.Time
	delay    *backoff.ExponentialBackOff
}

func (r *Router) newSearch(shard coordination.ShardID) *ownerSearch {
	return &ownerSearch{
		router:   r,
		shard:    shard,
		deadline: time.Now().Add(r.cfg.OwnerWait),
		delay: &backoff.ExponentialBackOff{
			InitialInterval:     searchBackoffInitial,
			RandomizationFactor: 1,
			Multiplier:          2,
			MaxInterval:         searchBackoffMax / 2,
		},
	}
}

// restart resets the deadline and the backoff of the search.
func (s *ownerSearch) restart() {
	s.deadline = time.Now().Add(s.router.cfg.OwnerWait)
	s.delay.Reset()
}

// locate waits for the shard to have an owner. It returns errNoOwner if there is none
// by the deadline of the search or the end of ctx.
func (s *ownerSearch) locate(ctx context.Context) (location, error) {
	if loc, ok := s.router.resolve(s.shard); ok {
		return loc, nil
	}
	ctx, cancel := context.WithDeadline(ctx, s.deadline)
	defer cancel()
	ticker := time.NewTicker(s.router.cfg.OwnerPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return location{}, errNoOwner
		case <-ticker.C:
		}
		if loc, ok := s.router.resolve(s.shard); ok {
			return loc, nil
		}
	}
}

// backOff waits before the next attempt after one that no owner accepted. It returns
// errNoOwner if the deadline of the search would pass first, retry.ErrDeadline if that
// of ctx would, or the error of ctx.
func (s *ownerSearch) backOff(ctx context.Context) error {
	delay := s.delay.NextBackOff()
	if time.Until(s.deadline) <= delay {
		return errNoOwner
	}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= delay {
		return retry.ErrDeadline
	}
	return retry.Sleep(ctx, delay)
}

func (r *Router) resolve(shard coordination.ShardID) (location, bool) {
	if r.local.Owns(shard) {
		return location{local: true}, true
	}
	owner, ok := r.members().Owner(shard)
	if !ok || !owner.Ready || owner.Entry == r.self {
		return location{}, false
	}
	return location{address: owner.Address}, true
}
