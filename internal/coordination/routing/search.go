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
	searchPauseInitial = 10 * time.Millisecond
	searchPauseMax     = 250 * time.Millisecond
)

// errNoOwner says that no live entry claims the shard.
var errNoOwner = errors.New("routing: no live entry claims the shard; wait for the takeover")

// place is where a shard's owner is: in this process, or at an address.
type place struct {
	local   bool
	address string
}

// search bounds the time spent on finding an owner that takes a call. Attempts
// that no owner has seen cost time only, no retries.
type search struct {
	router *Router
	shard  coordination.ShardID
	until  time.Time
	delay  *backoff.ExponentialBackOff
}

func (r *Router) newSearch(shard coordination.ShardID) *search {
	return &search{
		router: r,
		shard:  shard,
		until:  time.Now().Add(r.cfg.OwnerWait),
		delay: &backoff.ExponentialBackOff{
			InitialInterval:     searchPauseInitial,
			RandomizationFactor: 1,
			Multiplier:          2,
			MaxInterval:         searchPauseMax / 2,
		},
	}
}

// restart gives the search its full time again.
func (s *search) restart() {
	s.until = time.Now().Add(s.router.cfg.OwnerWait)
	s.delay.Reset()
}

// locate waits for the shard to have an owner. It fails with errNoOwner.
func (s *search) locate(ctx context.Context) (place, error) {
	if p, ok := s.router.resolve(s.shard); ok {
		return p, nil
	}
	ctx, cancel := context.WithDeadline(ctx, s.until)
	defer cancel()
	ticker := time.NewTicker(s.router.cfg.OwnerPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return place{}, errNoOwner
		case <-ticker.C:
		}
		if p, ok := s.router.resolve(s.shard); ok {
			return p, nil
		}
	}
}

// pause waits before the next attempt after one that no owner took. It fails
// with errNoOwner when the time is over.
func (s *search) pause(ctx context.Context) error {
	delay := s.delay.NextBackOff()
	if time.Until(s.until) <= delay {
		return errNoOwner
	}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= delay {
		return retry.ErrDeadline
	}
	return retry.Sleep(ctx, delay)
}

func (r *Router) resolve(shard coordination.ShardID) (place, bool) {
	if r.local.Owns(shard) {
		return place{local: true}, true
	}
	owner, ok := r.members().Owner(shard)
	if !ok || !owner.Ready || owner.Entry == r.self {
		return place{}, false
	}
	return place{address: owner.Address}, true
}
