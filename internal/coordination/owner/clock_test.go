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
		name    string
		elapsed time.Duration
		expired bool
	}{
		{name: "just renewed", elapsed: 0, expired: false},
		{name: "at the nominal end, as the worker's clock may be slow", elapsed: lease, expired: false},
		{name: "past the nominal end and the clock drift", elapsed: lease + lease/100, expired: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var c leaseClock
			c.reset(devplatform.WorkerClock(time.Hour), 0, start)
			until := c.extend(lease, start)
			is.Equal(until, devplatform.WorkerClock(time.Hour+lease))
			is.Equal(c.expired(start.Add(tt.elapsed)), tt.expired)
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
