package intake

import (
	"sync"
	"time"

	"github.com/samphirerail/samphirerail/internal/state/workload"
)

const (
	// unconfirmedFor is how long a submission with an unknown outcome is remembered.
	// Callers give up well before.
	unconfirmedFor = time.Minute
	// maxUnconfirmed bounds the memory for them, at several hundred a second.
	maxUnconfirmed = 16384
)

// unconfirmedJobs remembers the submissions whose outcome is unknown. The log may still
// write their records, so a later refusal of the same job would not be true. The zero value
// is ready to use.
type unconfirmedJobs struct {
	mu sync.Mutex
	at map[workload.JobID]time.Time
}

func (u *unconfirmedJobs) add(id workload.JobID, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.at == nil {
		u.at = map[workload.JobID]time.Time{}
	}
	if len(u.at) >= maxUnconfirmed {
		for other, at := range u.at {
			if now.Sub(at) > unconfirmedFor {
				delete(u.at, other)
			}
		}
	}
	if len(u.at) < maxUnconfirmed {
		u.at[id] = now
	}
}

// has reports whether the record of a job may still be written.
func (u *unconfirmedJobs) has(id workload.JobID, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	at, ok := u.at[id]
	return ok && now.Sub(at) <= unconfirmedFor
}
