package httpapi

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/samphirerail/samphirerail/internal/state"
)

// submitLimiter holds each team to its submit rate. It is safe for concurrent
// use.
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

// take returns 0 when the team may submit now, otherwise how long it must
// wait. A refused submission takes nothing.
func (l *submitLimiter) take(team state.TeamID, quota Quota, now time.Time) time.Duration {
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

// team returns the limiter of a team, at the rate of its present quota.
func (l *submitLimiter) team(team state.TeamID, quota Quota, now time.Time) *rate.Limiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.teams[team]
	if !ok {
		known = &teamLimiter{quota: quota, rate: rate.NewLimiter(rate.Limit(quota.SubmitRate), quota.Burst)}
		l.teams[team] = known
	}
	if known.quota != quota {
		known.rate.SetLimitAt(now, rate.Limit(quota.SubmitRate))
		known.rate.SetBurstAt(now, quota.Burst)
		known.quota = quota
	}
	return known.rate
}

// forget drops the limiter of a team that has no contract any more.
func (l *submitLimiter) forget(team state.TeamID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.teams, team)
}
