package upstream

import (
	"math"
	"time"
)

// remoteClock bounds an upstream's monotonic clock, in milliseconds. Each
// answer of the upstream carries a reading that was taken between the sending
// of the call and the arrival of the answer. Both clocks are assumed to run at
// the same rate, so the reading minus the time since origin is a constant; it
// lies between minOffset and maxOffset.
type remoteClock struct {
	origin    time.Time
	minOffset int64
	maxOffset int64
}

// newRemoteClock returns a clock of which nothing is known yet.
func newRemoteClock() remoteClock {
	return remoteClock{
		origin: time.Now(),
		// Half of the range, so that the sum with a time does not overflow.
		minOffset: math.MinInt64 / 2,
		maxOffset: math.MaxInt64 / 2,
	}
}

// observe narrows the bounds by the clock reading of an answer, in
// milliseconds. One millisecond on either side allows for rounding.
func (c *remoteClock) observe(sent, arrived time.Time, clock int64) {
	c.minOffset = max(c.minOffset, clock-c.sinceOrigin(arrived)-1)
	c.maxOffset = min(c.maxOffset, clock-c.sinceOrigin(sent)+1)
}

func (c *remoteClock) sinceOrigin(t time.Time) int64 {
	return t.Sub(c.origin).Milliseconds()
}

// lowerBound returns a reading that the upstream's clock has reached at the
// given time.
func (c *remoteClock) lowerBound(now time.Time) int64 {
	return c.sinceOrigin(now) + c.minOffset
}

// upperBound returns a reading that the upstream's clock has not passed at the
// given time.
func (c *remoteClock) upperBound(now time.Time) int64 {
	return c.sinceOrigin(now) + c.maxOffset
}
