package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
)

func TestDeadlineUsesUpstreamClock(t *testing.T) {
	is := is.New(t)
	l := newLink()
	now := time.Unix(1000, 0)
	is.Equal(l.deadline(now, time.Second), int64(noDeadline)) // clock still unknown
	l.updateClock(5000, now)
	is.Equal(l.deadline(now.Add(200*time.Millisecond), time.Second), int64(6200))
	is.True(l.leasesEndAt.After(now.Add(1200 * time.Millisecond))) // the upstream's clock may run slow
	is.True(l.leasesEndAt.Before(now.Add(1300 * time.Millisecond)))
}

func TestUpdateClockDetectsRestart(t *testing.T) {
	is := is.New(t)
	l := newLink()
	now := time.Unix(1000, 0)
	is.True(!l.updateClock(60_000, now))
	is.True(!l.updateClock(59_500, now)) // responses arrive out of order
	is.True(l.updateClock(800, now))
}

func TestEndsAreReportedOnce(t *testing.T) {
	is := is.New(t)
	l := newLink()
	incarnation := l.incarnation
	ends, ok := l.newEnds([]port.RunEnd{{Number: 1}, {Number: 2}}, incarnation)
	is.True(ok)
	is.Equal(len(ends), 2)
	ends, _ = l.newEnds([]port.RunEnd{{Number: 1}, {Number: 2}, {Number: 3}}, incarnation)
	is.Equal(len(ends), 1)
	l.acknowledge(incarnation, 2)
	is.Equal(l.recorded, int64(2))
	next := l.beginIncarnation()
	_, ok = l.newEnds([]port.RunEnd{{Number: 45}}, incarnation)
	is.True(!ok) // a report of the former incarnation arrives late
	is.Equal(l.reported, int64(0))
	ends, _ = l.newEnds([]port.RunEnd{{Number: 1}}, next)
	is.Equal(len(ends), 1) // a new incarnation numbers its ends from 1
	l.acknowledge(incarnation, 3)
	is.Equal(l.recorded, int64(0)) // an end of a former incarnation is recorded late
	l.acknowledge(next, 1)
	is.Equal(l.recorded, int64(1))
}
