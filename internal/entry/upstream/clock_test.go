package upstream

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestRemoteClockIsBounded checks that the bounds enclose the remote clock,
// for any delay of the calls in either direction.
func TestRemoteClockIsBounded(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		clock := newRemoteClock()
		offset := rapid.Int64Range(-1_000_000, 1_000_000).Draw(r, "offset")
		remote := func(at time.Time) int64 { return at.Sub(clock.origin).Milliseconds() + offset }
		now := clock.origin
		for range rapid.IntRange(1, 10).Draw(r, "calls") {
			sent := now
			read := sent.Add(time.Duration(rapid.Int64Range(0, 3000).Draw(r, "there")) * time.Millisecond)
			now = read.Add(time.Duration(rapid.Int64Range(0, 3000).Draw(r, "back")) * time.Millisecond)
			clock.observe(sent, now, remote(read))
		}
		later := now.Add(time.Duration(rapid.Int64Range(0, 60_000).Draw(r, "later")) * time.Millisecond)
		assert.Assert(r, clock.lowerBound(later) <= remote(later))
		assert.Assert(r, clock.upperBound(later) >= remote(later))
	})
}

func TestUnknownClockProvesNeitherValidityNorExpiry(t *testing.T) {
	l := &link{clock: newRemoteClock()}
	now := time.Now()
	assert.Assert(t, !l.leaseValid(now))
	assert.Assert(t, !l.taskLeaseExpired(now))
	l.epoch = 1
	l.leaseUntil = 1000
	assert.Assert(t, !l.leaseValid(now), "the clock has not been read")
}
