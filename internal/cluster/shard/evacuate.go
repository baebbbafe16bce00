package shard

import (
	"time"

	"github.com/citronbay/citronbay/internal/cluster/worker"
)

// evacuationLead is how long before a worker leaves its unfinished attempts are stopped. The
// worker takes up to 900 ms to stop an attempt, and must still report the end.
const evacuationLead = 1500 * time.Millisecond

// departure returns when a draining worker leaves at the earliest, or the zero time if the
// worker does not drain.
func departure(r worker.Registration) time.Time {
	if !r.Draining {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(r.RemainingMillis) * time.Millisecond)
}

// evacuateLeavingWorkers stops the attempts that will not complete before their worker
// leaves, late enough to use most of the remaining time. Their tasks then start elsewhere,
// from their checkpoints, once the worker has reported their ends. After the worker has
// left, nobody could confirm that they no longer run, and they would count as running until
// the worker lease has expired. The caller holds s.mu.
func (s *Shard) evacuateLeavingWorkers() {
	now, nowMillis := time.Now(), s.now()
	for _, l := range s.links {
		if l.leavesAt.IsZero() || now.Before(l.leavesAt.Add(-evacuationLead)) {
			continue
		}
		timeLeft := l.leavesAt.Sub(now).Milliseconds()
		for key, p := range s.state.Placements(l.key()) {
			if p.Stopping || !p.Confirmed {
				continue
			}
			remaining := s.state.Job(key.Job).Steps[key.Step].RemainingMillis(p, nowMillis)
			if remaining <= timeLeft {
				continue
			}
			countLostAttempt("evacuated")
			s.log.Info("attemptEvacuated", "job", key.Job, "step", key.Step, "index", key.Index,
				"attempt", p.Attempt, "worker", l.registration.ID, "percent", p.Percent,
				"remainingMillis", remaining, "timeLeftMillis", timeLeft)
			s.requestStop(p)
		}
	}
}
