package shard

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/evacuation"
	"github.com/citronbay/citronbay/internal/decide/job"
)

// maxStartHop is how long a start order may be under way once its call has been given up: a hop
// between regions, and the worker's start.
const maxStartHop = 100 * time.Millisecond

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

// reasonEvacuated is why a start is given back in a failure domain that is evacuated, or may be.
const reasonEvacuated = "the worker's failure domain is evacuated, or the operators' requests are not known"

// Evacuations are the operators' requests to evacuate failure domains, as read from the store.
type Evacuations struct {
	evacuation.Requests
	// AsOf is a time at which no request was acknowledged yet, nor taken back, that these lack.
	AsOf store.Instant
}

// SetEvacuations puts the requests in force unless the present ones are newer, and notes until when
// they are known to have been complete.
func (s *Shard) SetEvacuations(e Evacuations) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.options.EvacuationInForce == 0 || !e.IsKnown() {
		return
	}
	// Of two reads, the one of the later revision holds all that either may not lack.
	if e.AsOf.Sub(s.evacuations.AsOf) > 0 {
		s.evacuations.AsOf = e.AsOf
	}
	if !e.Includes(s.evacuations.Requests) {
		return
	}
	made, takenBack := e.Since(s.evacuations.Requests)
	s.evacuations.Requests = e.Requests
	for _, r := range made {
		s.log.Warn("evacuationRequested", "domain", r.Domain, "key", r.Key, "revision", r.Revision, "workers", s.countWorkersIn(r.Domain))
	}
	for _, r := range takenBack {
		s.log.Warn("evacuationTakenBack", "domain", r.Domain, "key", r.Key, "workers", s.countWorkersIn(r.Domain))
	}
	if len(made)+len(takenBack) > 0 {
		s.requestPass()
	}
}

// countWorkersIn returns the number of workers in the failure domain. The caller holds s.mu.
func (s *Shard) countWorkersIn(domain string) int {
	n := 0
	for _, l := range s.links {
		if l.registration.Zone == domain {
			n++
		}
	}
	return n
}

// maxEvacuationAge returns the age of the requests up to which tasks may start; zero if there are no
// evacuations.
func (s *Shard) maxEvacuationAge() time.Duration {
	return evacuation.MaxAge(s.options.EvacuationInForce, orderTimeout+maxStartHop)
}

// knowsEvacuations reports whether the requests are recent enough for tasks to start. The caller
// holds s.mu.
func (s *Shard) knowsEvacuations(now store.Instant) bool {
	limit := s.maxEvacuationAge()
	return limit == 0 || now.Sub(s.evacuations.AsOf) <= limit
}

// startVerdict decides whether a start order may be sent to the worker now. The caller holds s.mu.
func (s *Shard) startVerdict(l *link) evacuation.Verdict {
	limit := s.maxEvacuationAge()
	if limit == 0 {
		return evacuation.Permitted
	}
	return s.evacuations.Start(l.registration.Zone, s.evacuations.AsOf.Age(), limit)
}

// awaitsRequests reports whether a start order for the worker has to wait until the requests have
// been read again.
func (s *Shard) awaitsRequests(l *link) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startVerdict(l) == evacuation.Undecided
}

// giveBackEvacuated abandons the placements in evacuated failure domains, whose start orders must
// not have been sent, so that their tasks start elsewhere. That stops the other members of gangs
// before any of their orders is sent. The caller holds s.mu.
func (s *Shard) giveBackEvacuated(placements []*job.Placement) {
	for _, p := range placements {
		l := s.links[p.Worker.ID]
		if l != nil && l.key() == p.Worker && s.startVerdict(l) == evacuation.Evacuated {
			s.abandonStart(p, reasonEvacuated)
		}
	}
}

// reviewEvacuations updates the gauges of the evacuated failure domains and of their workers, and logs
// each request once for a failure domain in which there is no worker. The caller holds s.mu.
func (s *Shard) reviewEvacuations(workers []*job.Worker) {
	if s.options.EvacuationInForce == 0 {
		return
	}
	domains := map[string]bool{}
	shutOff := 0
	for _, w := range workers {
		domains[w.Zone] = true
		if w.ShutOff {
			shutOff++
		}
	}
	metrics.GetOrCreateGauge("citronbay_evacuations", nil).Set(float64(len(s.evacuations.List())))
	metrics.GetOrCreateGauge("citronbay_workers_shut_off", nil).Set(float64(shutOff))
	if len(workers) == 0 {
		return // the directory has not been read yet
	}
	logged := map[string]int64{}
	for _, r := range s.evacuations.Unknown(domains) {
		if s.unknownDomains[r.Domain] != r.Revision {
			s.log.Warn("evacuationOfUnknownDomain", "domain", r.Domain, "key", r.Key, "revision", r.Revision)
		}
		logged[r.Domain] = r.Revision
	}
	s.unknownDomains = logged
}
