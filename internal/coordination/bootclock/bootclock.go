// Package bootclock reads a clock that counts the time in which the process or its VM was
// suspended. The monotonic clock of package time stands still while a VM is suspended, so an
// age that is measured with it can be too small.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since an arbitrary fixed point. It never goes back.
type Clock func() time.Duration

// Now is a Clock that reads CLOCK_BOOTTIME.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Only a kernel before Linux 2.6.39 lacks the clock.
		panic("bootclock: the system has no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}
