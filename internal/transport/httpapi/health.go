package httpapi

import (
	"context"
	"errors"
	"sync"
)

// ErrDraining says that the entry is stopping.
var ErrDraining = errors.New("httpapi: the entry is stopping; use another entry")

// Health tells whether an entry takes work. It is safe for concurrent use.
type Health struct {
	check    func() error
	draining context.Context
	drain    context.CancelFunc
	once     sync.Once
}

// NewHealth returns the health of an entry that is ready while check returns
// nil. check must not block.
func NewHealth(check func() error) *Health {
	draining, drain := context.WithCancel(context.Background())
	return &Health{check: check, draining: draining, drain: drain}
}

// Ready returns nil when the entry takes work, otherwise why it does not:
// ErrDraining or the error of the check.
func (h *Health) Ready() error {
	if h.IsDraining() {
		return ErrDraining
	}
	return h.check()
}

// Drain makes the entry unready for good.
func (h *Health) Drain() { h.once.Do(h.drain) }

// IsDraining reports whether Drain was called.
func (h *Health) IsDraining() bool { return h.draining.Err() != nil }

// Draining is done once Drain was called.
func (h *Health) Draining() <-chan struct{} { return h.draining.Done() }
