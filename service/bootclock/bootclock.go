// Package bootclock reads a monotonic clock that includes the time during which the
// host is suspended. Go's monotonic clock stops during suspension, so the ages of
// data that expires must be measured with this clock instead.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host was booted.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // CLOCK_BOOTTIME is available since Linux 2.6.39.
	}
	return time.Duration(t.Nano())
}
