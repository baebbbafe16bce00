package shard

// burstSeconds is how many seconds' worth of jobs at its rate a team may submit at once
// before its jobs count as over rate; traffic varies by a seventh over a few seconds.
const burstSeconds = 4

// tokenBucket checks a team's submissions against its rate in the agreement.
type tokenBucket struct {
	tokens        float64
	updatedMillis int64
}

// burstSize returns how many jobs a team may submit at once at the rate, in jobs per second.
func burstSize(rate float64) float64 {
	return max(1, rate*burstSeconds)
}

// filled returns the bucket with the tokens of the time since it was updated at the rate, in jobs per
// second. The parameter now is the owner's clock in milliseconds.
func (b tokenBucket) filled(rate float64, now int64) tokenBucket {
	return tokenBucket{
		tokens:        min(burstSize(rate), max(0, b.tokens)+rate*float64(now-b.updatedMillis)/1000),
		updatedMillis: now,
	}
}

// isOverRate reports whether one more job of the team is over the team's rate. A team without a
// rate is never over it. A job that can no longer be in time leaves half of the bucket to those
// that can. The parameter now is the owner's clock in milliseconds. The caller holds s.mu.
func (s *Shard) isOverRate(team string, late bool, now int64) bool {
	b, limited := s.bucket(team, now)
	if !limited {
		return false
	}
	needed := 1.0
	if late {
		needed = max(1, s.agreement.Rules.Teams[team].JobsPerSecond*burstSeconds/2)
	}
	return b.tokens < needed
}

// takeRate counts a job of the team against its rate: one that is refused uses up nothing. The
// caller holds s.mu.
func (s *Shard) takeRate(team string, now int64) {
	if b, limited := s.bucket(team, now); limited {
		b.tokens--
		s.buckets[team] = b
	}
}

// bucket returns the team's token bucket as it is now, or false if the team has no rate. A new owner
// deducts what its predecessor has accepted lately.
func (s *Shard) bucket(team string, now int64) (tokenBucket, bool) {
	t, ok := s.agreement.Rules.Teams[team]
	if !ok || t.JobsPerSecond <= 0 {
		return tokenBucket{}, false
	}
	b, known := s.buckets[team]
	if !known {
		b = tokenBucket{
			tokens:        burstSize(t.JobsPerSecond) - float64(s.state.WithinRateSince(team, now-1000*burstSeconds)),
			updatedMillis: now,
		}
		s.buckets[team] = b
	}
	return b.filled(t.JobsPerSecond, now), true
}
