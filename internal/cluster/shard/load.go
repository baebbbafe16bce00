package shard

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/citronbay/citronbay/internal/api/traffic"
	"github.com/citronbay/citronbay/internal/decide/job"
)

// loadInterval is the time between two log lines about the owner's load.
const loadInterval = 2 * time.Second

// passLoad sums up planning passes. Few passes that take little time in total mean that the
// owner's processor is busy with something else.
type passLoad struct {
	since   time.Time
	passes  int
	total   time.Duration
	longest time.Duration
	bytes   traffic.Totals // at since
}

// add counts a pass. It reports whether the load is due to be logged.
func (l *passLoad) add(start time.Time, took time.Duration) bool {
	metrics.GetOrCreateHistogram("citronbay_planning_pass_seconds").Update(took.Seconds())
	if l.since.IsZero() {
		l.since = start
	}
	l.passes++
	l.total += took
	l.longest = max(l.longest, took)
	return time.Since(l.since) >= loadInterval
}

// logLoad logs the passes since the last call, with the jobs, the causes for which the
// steps wait, the calls to the policy service and the processors of the fleet at present.
func (s *Shard) logLoad() {
	s.mu.Lock()
	defer s.mu.Unlock()
	workers := s.plannerWorkers()
	used, capacity, _ := s.fleetUsage(workers)
	now := s.now()
	planner := job.NewPlanner(s.state, s.agreement.Rules, workers, now)
	withinRate, overRate := planner.WaitCauses(now)
	setWaitingSteps(withinRate)
	s.log.Info("planningLoad", "interval", time.Since(s.passLoad.since), "passes", s.passLoad.passes,
		"total", s.passLoad.total, "longest", s.passLoad.longest, "openJobs", len(s.state.OpenJobs()),
		"waitingJobs", len(s.state.UnplacedJobs()), "cores", capacity.MilliCores/1000, "coresUsed", used.MilliCores/1000,
		"policyCalls", s.policyCallsInFlight(), "slowPolicyCalls", s.slowCalls, waitCauses(withinRate, overRate), isolation(planner),
		traffic.Since(s.passLoad.bytes))
	s.passLoad = passLoad{
		since: time.Now(),
		bytes: traffic.Read(),
	}
}

// isolation returns the numbers of jobs with suspects, of workers that are isolated for them
// and of those on which suspects are placed, for the log.
func isolation(planner *job.Planner) slog.Attr {
	jobs, isolated, placed := planner.Isolation()
	return slog.Group("suspects", "jobs", jobs, "isolatedWorkers", isolated, "placedWorkers", placed)
}

// waitCauses returns the numbers of waiting steps for the log: by cause for jobs within
// their team's rate, and one number for jobs over it.
func waitCauses(withinRate map[job.WaitCause]int, overRate int) slog.Attr {
	counts := []any{slog.Int("overRate", overRate)}
	for _, cause := range slices.Sorted(maps.Keys(withinRate)) {
		counts = append(counts, slog.Int(string(cause), withinRate[cause]))
	}
	return slog.Group("waiting", counts...)
}

// policyCallsInFlight returns the number of nodes that make a call to the policy service
// now. The caller holds s.mu.
func (s *Shard) policyCallsInFlight() int {
	calls := 0
	for _, busy := range s.busyAdvisors {
		if busy {
			calls++
		}
	}
	return calls
}
