package shard

import "time"

// clockReading is a reading of a worker's clock, in milliseconds, that was taken between the sending
// of a poll and the arrival of the report.
type clockReading struct {
	millis        int64
	sent, arrived time.Time
}

// lowerBound returns a time that the worker's clock has reached at the given time of the owner's clock, in
// milliseconds. The worker may have read its clock at any moment until the report arrived: a poll waits
// for up to maxPollWait before the worker answers.
func (c clockReading) lowerBound(now time.Time) int64 {
	return c.millis + int64(float64(now.Sub(c.arrived).Milliseconds())/clockDriftFactor)
}

// logLeaseExpired logs, if the worker has placements, by which reading of the worker's clock the
// end of its lease was set. The caller holds the shard's mu.
func (l *link) logLeaseExpired(now time.Time) {
	placements := len(l.shard.state.Placements(l.key()))
	if placements == 0 || l.leaseEndMillis == 0 {
		return
	}
	c := l.leaseEndClock
	l.shard.log.Info("workerLeaseExpired", "worker", l.registration.ID, "placements", placements,
		"sinceAnswer", now.Sub(l.lastAnswer), "sinceExtension", now.Sub(l.lastExtension),
		"leaseEndMillis", l.leaseEndMillis, "clockMillis", c.millis, "clockAge", now.Sub(c.arrived), "pollTook", c.arrived.Sub(c.sent))
	l.leaseEndMillis = 0
}
