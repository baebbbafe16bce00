package store

import (
	"time"

	"golang.org/x/sys/unix"
)

// timeSinceBoot returns the time since boot, which goes on while the VM is suspended, as
// leases at the store do.
func timeSinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("store: no boot time clock: " + err.Error())
	}
	return time.Duration(t.Nano())
}
