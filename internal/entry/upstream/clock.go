package upstream

import (
	"math"
	"time"
)

// remoteClock bounds an upstream's monotonic clock by the answers seen: each
// one was read between the call's sending and its arrival. Both clocks are
// trusted to run at the same rate.
type remoteClock struct {
	origin time.Time
	least  int64
	most   int64
}

func newRemoteClock() remoteClock {
	return remoteClock{
		origin: time.Now(),
		least:  math.MinInt64 / 2,
		most:   math.MaxInt64 / 2,
	}
}

// observe takes an answer that told the clock, in milliseconds.
func (c *remoteClock) observe(sent, arrived time.Time, clock int64) {
	c.least = max(c.least, clock-c.local(arrived)-1)
	c.most = min(c.most, clock-c.local(sent)+1)
}

func (c *remoteClock) local(t time.Time) int64 {
	return t.Sub(c.origin).Milliseconds()
}

// atLeast returns a time that the upstream's clock has reached by now.
func (c *remoteClock) atLeast(now time.Time) int64 {
	return c.local(now) + c.least
}

// atMost returns a time that the upstream's clock has not passed by now.
func (c *remoteClock) atMost(now time.Time) int64 {
	return c.local(now) + c.most
}
