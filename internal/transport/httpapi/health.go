package httpapi

import (
	"context"
	"errors"
	"sync"
)

// ErrDraining reports that the entry is shutting down.
var ErrDraining = errors.New("httpapi: the entry is stopping; use another entry")

// Health reports whether an entry accepts work. It is safe for concurrent use.
type Health struct {
	check     func() error
	draining  context.Context
	drain     context.CancelFunc
	drainOnce sync.Once
}

// NewHealth returns a Health that is ready while check returns nil and Drain
// has not been called. check must not block.
func NewHealth(check func() error) *Health {
	draining, drain := context.WithCancel(context.Background())
	return &Health{check: check, draining: draining, drain: drain}
}

// Ready returns nil if the entry accepts work. Otherwise it returns the cause:
// ErrDraining or the error of the check.
func (h *Health) Ready() error {
	if h.IsDraining() {
		return ErrDraining
	}
	return h.check()
}

// Drain marks the entry as not ready. It can't be undone; further calls have no
// effect.
func (h *Health) Drain() { h.drainOnce.Do(h.drain) }

// IsDraining reports whether Drain has been called.
func (h *Health) IsDraining() bool { return h.draining.Err() != nil }

// Draining returns a channel that is closed when Drain is called.
func (h *Health) Draining() <-chan struct{} { return h.draining.Done() }
