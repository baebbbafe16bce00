package store

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of this process's clocks. The zero value is long ago.
type Instant struct {
	steady    time.Time
	sinceBoot time.Duration
}

// Now returns the present instant.
func Now() Instant {
	return Instant{
		steady:    time.Now(),
		sinceBoot: timeSinceBoot(),
	}
}

// Sub returns the time from the earlier instant to i, including time during which the VM was
// suspended: the store's leases expire, and its items change, in that time too.
func (i Instant) Sub(earlier Instant) time.Duration {
	return max(i.steady.Sub(earlier.steady), i.sinceBoot-earlier.sinceBoot)
}

// Age returns the time since the instant. Like Now, it takes a system call.
func (i Instant) Age() time.Duration {
	return Now().Sub(i)
}

// timeSinceBoot returns the time since boot, including time during which the VM was
// suspended.
func timeSinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("store: read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}
