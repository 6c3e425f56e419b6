package router

import (
	"time"

	"golang.org/x/sys/unix"
)

// clock is the time since the process started. It counts suspension of the VM,
// which Go's monotonic clock does not: leases run on meanwhile.
type clock struct{ start time.Duration }

func newClock() clock { return clock{start: bootTime()} }

func (c clock) now() time.Duration { return bootTime() - c.start }

func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano()) // no such clock on this kernel
	}
	return time.Duration(ts.Nano())
}
