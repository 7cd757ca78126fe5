package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
)

func TestDeadlineFollowsTheUpstreamsClock(t *testing.T) {
	is := is.New(t)
	l := newLink()
	now := time.Unix(1000, 0)
	is.Equal(l.deadline(now, time.Second), int64(unknownClock)) // no clock yet
	l.sample(5000, now)
	is.Equal(l.deadline(now.Add(200*time.Millisecond), time.Second), int64(6200))
	is.True(l.lapseAt.After(now.Add(1200 * time.Millisecond))) // the clock may be slow
	is.True(l.lapseAt.Before(now.Add(1300 * time.Millisecond)))
}

func TestClockThatGoesBackIsANewLife(t *testing.T) {
	is := is.New(t)
	l := newLink()
	now := time.Unix(1000, 0)
	is.True(!l.sample(60_000, now))
	is.True(!l.sample(59_500, now)) // answers overtake each other
	is.True(l.sample(800, now))
}

func TestEndsAreReportedOnce(t *testing.T) {
	is := is.New(t)
	l := newLink()
	ends, life := l.fresh([]port.Ended{{Number: 1}, {Number: 2}})
	is.Equal(len(ends), 2)
	ends, _ = l.fresh([]port.Ended{{Number: 1}, {Number: 2}, {Number: 3}})
	is.Equal(len(ends), 1)
	l.acknowledge(life, 2)
	is.Equal(l.recorded, int64(2))
	l.forgetLife()
	ends, next := l.fresh([]port.Ended{{Number: 1}})
	is.Equal(len(ends), 1) // numbers start anew
	l.acknowledge(life, 3)
	is.Equal(l.recorded, int64(0)) // a former life's ends are recorded late
	l.acknowledge(next, 1)
	is.Equal(l.recorded, int64(1))
}
