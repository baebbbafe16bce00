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

// Age returns the time since the instant, including time during which the VM was suspended:
// the store's leases expire, and its items change, in that time too.
func (i Instant) Age() time.Duration {
	return max(time.Since(i.steady), timeSinceBoot()-i.sinceBoot)
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
