package scheduler

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// coldCost is added to the cost of a cold upstream. It exceeds all other costs together
// (slowness is at most 20), so that cold upstreams are used after warm ones.
const coldCost = 100.0

// coldState describes an upstream that is slow for some time after its start.
type coldState struct {
	// until is when the upstream is warm.
	until state.Time
	// nextStart is the earliest time of the next start on the cold upstream, if its service
	// limits their rate. paused is set from a start until a plan after that time.
	nextStart state.Time
	paused    bool
}

// setRegistration replaces an upstream's registration. The time that it stays cold counts from
// the first registration that states it; the same one may be read again later.
func (u *upstream) setRegistration(now state.Time, reg workload.Upstream) {
	if u.StartedUnixMS != reg.StartedUnixMS || u.ColdLeftMS != reg.ColdLeftMS {
		u.cold = coldState{until: now + time.Duration(max(0, reg.ColdLeftMS))*time.Millisecond}
	}
	u.Upstream, u.listed = reg, true
}

// coldInterval returns the time between two starts on a cold upstream of a service; 0 if it is
// not limited.
func (s *Scheduler) coldInterval(service workload.ServiceName) time.Duration {
	if sv := s.config.Service(service); sv != nil && sv.ColdPerSecond > 0 {
		return time.Duration(float64(time.Second) / sv.ColdPerSecond)
	}
	return 0
}

// coldPaused reports whether a cold upstream gets no start now. Once the pause has ended, the
// upstream counts as one that has gained capacity, because the steps that wait were not
// placed on it.
func (u *upstream) coldPaused(now state.Time) bool {
	switch {
	case !u.cold.paused:
		return false
	case now < u.cold.nextStart && now < u.cold.until:
		return true
	}
	u.cold.paused, u.member = false, nil
	return false
}

// coldCostAt returns the part of an upstream's cost for being cold.
func (u *upstream) coldCostAt(now state.Time) float64 {
	if now < u.cold.until {
		return coldCost
	}
	return 0
}

// noteColdStart begins the pause after a start on a cold upstream.
func (s *Scheduler) noteColdStart(now state.Time, u *upstream) {
	if now >= u.cold.until {
		return
	}
	if interval := s.coldInterval(u.Service); interval > 0 {
		u.cold.paused, u.cold.nextStart = true, now+interval
	}
}

// coldLimited reports whether a cold upstream gets no further start in this plan, after
// tentative ones.
func (s *Scheduler) coldLimited(now state.Time, u *upstream, tentative int) bool {
	if now >= u.cold.until {
		return false
	}
	return u.cold.paused || (tentative > 0 && s.coldInterval(u.Service) > 0)
}
