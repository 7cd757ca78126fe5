package dispatch

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/state/workload"
)

const (
	// expiredGrace is how long after the log's return an upstream stays in use whose
	// registration expired during the outage. Upstreams that are alive register again within
	// that time.
	expiredGrace = 2 * time.Second
	// outageTime is the time without a successful read of the registrations from which the
	// log counts as having been down; reads wait up to registrationWait for records.
	outageTime = 2 * registrationWait
)

// noteLogReturn notes that registrations were read, after the given time without.
func (o *owner) noteLogReturn(without time.Duration) {
	if without >= outageTime {
		o.logReturnedAt = time.Now()
	}
}

// deferRemoval reports whether an upstream that the platform's list no longer holds stays
// in use for now: its registration expired while the log was down, and it answers polls. It
// is removed later unless it registers again.
func (o *owner) deferRemoval(id workload.UpstreamID, l *link) bool {
	left := expiredGrace - time.Since(o.logReturnedAt)
	l.mu.Lock()
	answered := l.answered
	l.mu.Unlock()
	if o.logReturnedAt.IsZero() || left <= 0 || !answered {
		delete(o.expired, id)
		return false
	}
	if _, deferred := o.expired[id]; !deferred {
		o.expired[id] = struct{}{}
		o.logger.Info("expired upstream kept: it answers polls", "upstream", id, "for_ms", left.Milliseconds())
		time.AfterFunc(left, func() { o.post(func() { o.removeExpired(id) }) })
	}
	return true
}

// removeExpired removes an upstream that has not registered again.
func (o *owner) removeExpired(id workload.UpstreamID) {
	if _, deferred := o.expired[id]; deferred {
		delete(o.expired, id)
		o.removeUpstream(id)
	}
}
