package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/standin/devplatform"
)

func TestLeaseClock(t *testing.T) {
	start := time.Now()
	const lease = 10 * time.Second
	tests := []struct {
		name   string
		after  time.Duration
		lapsed bool
	}{
		{name: "just renewed", after: 0, lapsed: false},
		{name: "at the nominal end, the clock may run slow", after: lease, lapsed: false},
		{name: "past the end and the drift", after: lease + lease/100, lapsed: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var c leaseClock
			c.reset(devplatform.WorkerClock(time.Hour), 0, start)
			until := c.extend(lease, start)
			is.Equal(until, devplatform.WorkerClock(time.Hour+lease))
			is.Equal(c.lapsed(start.Add(tt.after)), tt.lapsed)
		})
	}
}

func TestLeaseClockIgnoresAnOldReading(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	var c leaseClock
	c.reset(devplatform.WorkerClock(time.Minute), 0, start)
	before := c.extend(time.Second, start.Add(time.Second))
	c.observe(devplatform.WorkerClock(time.Minute), start.Add(time.Second))
	is.Equal(c.extend(time.Second, start.Add(time.Second)), before)
}
