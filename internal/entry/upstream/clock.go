package upstream

import (
	"math"
	"time"
)

// remoteClock bounds an upstream's monotonic clock by the answers seen: each
// one was read between the call's sending and its arrival. Both clocks are
// trusted to run at the same rate.
type remoteClock struct {
	origin    time.Time
	minOffset int64
	maxOffset int64
}

func newRemoteClock() remoteClock {
	return remoteClock{
		origin:    time.Now(),
		minOffset: math.MinInt64 / 2,
		maxOffset: math.MaxInt64 / 2,
	}
}

// observe takes an answer that told the clock, in milliseconds.
func (c *remoteClock) observe(sent, arrived time.Time, clock int64) {
	c.minOffset = max(c.minOffset, clock-c.sinceOrigin(arrived)-1)
	c.maxOffset = min(c.maxOffset, clock-c.sinceOrigin(sent)+1)
}

func (c *remoteClock) sinceOrigin(t time.Time) int64 {
	return t.Sub(c.origin).Milliseconds()
}

// atLeast returns a time that the upstream's clock has reached by now.
func (c *remoteClock) lowerBound(now time.Time) int64 {
	return c.sinceOrigin(now) + c.minOffset
}

// atMost returns a time that the upstream's clock has not passed by now.
func (c *remoteClock) upperBound(now time.Time) int64 {
	return c.sinceOrigin(now) + c.maxOffset
}
