package router

import (
	"time"

	"golang.org/x/sys/unix"
)

// clock measures the time since the process started. Unlike Go's monotonic clock it
// includes the time the VM was suspended, because leases expire meanwhile.
type clock struct{ start time.Duration }

func newClock() clock { return clock{start: bootTime()} }

func (c clock) now() time.Duration { return bootTime() - c.start }

func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano()) // CLOCK_BOOTTIME is not supported by this kernel
	}
	return time.Duration(ts.Nano())
}
