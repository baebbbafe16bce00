package store

import (
	"time"

	"golang.org/x/sys/unix"
)

// TimeSinceBoot returns the time since boot, including time during which the VM was
// suspended: the store's leases expire, and its items change, in that time too.
func TimeSinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("store: read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}
