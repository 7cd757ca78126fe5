package scheduler

import "github.com/samphirerail/samphirerail/internal/state"

// announcements says whether the announcement that an upstream leaves may have been missed.
type announcements struct {
	// missed is set from a gap in the registrations that were read until one of the upstream is
	// read: one that is not leaving then has announced nothing before. until is the time up to
	// which they were read before the gap.
	missed bool
	until  state.Time
}

// RegistrationsRead records that the registrations were read up to those of a time.
func (s *Scheduler) RegistrationsRead(at state.Time) {
	s.registrationsRead = max(s.registrationsRead, at)
}

// RegistrationsReloaded records that the registrations are read anew instead of from where the last
// read ended, so that those that were replaced in between are not seen. It must be called before the
// ones that were read are applied.
func (s *Scheduler) RegistrationsReloaded() {
	for _, u := range s.upstreams {
		if !u.announced.missed {
			u.announced = announcements{missed: true, until: s.registrationsRead}
		}
	}
}

// announcedUntil returns the time up to which an announcement that the upstream leaves would have
// been read.
func (s *Scheduler) announcedUntil(u *upstream) state.Time {
	if u.announced.missed {
		return u.announced.until
	}
	return s.registrationsRead
}
