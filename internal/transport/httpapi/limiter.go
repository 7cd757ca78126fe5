package httpapi

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/samphirerail/samphirerail/internal/state"
)

// submitLimiter limits each team to its submit rate with a token bucket. It is
// safe for concurrent use.
type submitLimiter struct {
	mu    sync.Mutex
	teams map[state.TeamID]*teamLimiter
}

type teamLimiter struct {
	quota Quota
	rate  *rate.Limiter
}

func newSubmitLimiter() *submitLimiter {
	return &submitLimiter{teams: map[state.TeamID]*teamLimiter{}}
}

// reserve takes one token and returns 0 if the team may submit now. Otherwise it
// takes no token and returns the time until the team may submit.
func (l *submitLimiter) reserve(team state.TeamID, quota Quota, now time.Time) time.Duration {
	limiter := l.team(team, quota, now)
	reservation := limiter.ReserveN(now, 1)
	if !reservation.OK() {
		return time.Second
	}
	delay := reservation.DelayFrom(now)
	if delay > 0 {
		reservation.CancelAt(now)
	}
	return delay
}

// team returns the limiter of a team after applying the given quota to it.
func (l *submitLimiter) team(team state.TeamID, quota Quota, now time.Time) *rate.Limiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	current, ok := l.teams[team]
	if !ok {
		current = &teamLimiter{quota: quota, rate: rate.NewLimiter(rate.Limit(quota.SubmitRate), quota.Burst)}
		l.teams[team] = current
	}
	if current.quota != quota {
		current.rate.SetLimitAt(now, rate.Limit(quota.SubmitRate))
		current.rate.SetBurstAt(now, quota.Burst)
		current.quota = quota
	}
	return current.rate
}

// remove removes the limiter of a team that no longer has a contract.
func (l *submitLimiter) remove(team state.TeamID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.teams, team)
}
