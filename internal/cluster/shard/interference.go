package shard

import (
	"fmt"
	"log/slog"
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/interference"
	"github.com/citronbay/citronbay/internal/decide/job"
)

// interferenceLogMillis is the time between two log lines about interference, of which each names
// at most maxLoggedPairs pairs.
const (
	interferenceLogMillis = 2000
	maxLoggedPairs        = 8
)

// interferenceState is what the shard has learned about tasks that slow each other down, for the
// present term only.
type interferenceState struct {
	model      *interference.Model
	preference *interference.Preference // of the present pass; nil if no pair is known
	// Since the last log line, the placements that the preference concerned.
	apart, together int
	loggedMillis    int64
}

func newInterferenceState(enabled bool) *interferenceState {
	if !enabled {
		return nil
	}
	return &interferenceState{model: interference.New()}
}

// observeInterference lets the model learn from a worker's report, whose attempts have been
// reconciled with the placements. The caller holds s.mu.
func (s *Shard) observeInterference(l *link, report worker.Report) {
	if s.interference == nil {
		return
	}
	attempts := make([]interference.Attempt, 0, len(report.Running))
	for _, r := range report.Running {
		p := s.state.Placement(r.Task)
		if p == nil || p.Worker != l.key() || p.Attempt != r.Attempt {
			continue
		}
		step := s.state.Job(r.Task.Job).Steps[r.Task.Step]
		a := interference.Attempt{
			Task:           r.Task,
			Number:         r.Attempt,
			Kind:           interference.KindOf(step),
			Cores:          p.Needs.MilliCores,
			StartedMillis:  p.StartedMillis,
			EstimateMillis: step.Spec.EstimateMillis,
			Percent:        r.Percent,
		}
		if step.Spec.TailMillis > 0 {
			a.TailMillis, a.TailTargetMillis = r.Load, float64(step.Spec.TailMillis)
		} else {
			a.Cores = max(a.Cores, int64(r.Load))
		}
		attempts = append(attempts, a)
	}
	s.interference.model.Observe(l.key(), l.registration.Capacity.MilliCores, attempts, report.ClockMillis, s.now())
}

// preferApart returns the planner with a preference to keep tasks apart that slow each other down.
// The caller holds s.mu.
func (s *Shard) preferApart(planner *job.Planner, now int64) *job.Planner {
	if s.interference == nil {
		return planner
	}
	s.interference.model.Fit(now)
	s.logInterference(now)
	s.interference.preference = s.interference.model.Preference(s.state)
	if s.interference.preference == nil {
		return planner
	}
	return planner.WithPreference(s.interference.preference.Cost)
}

// countApart counts the placements of a pass that the preference concerned. The caller holds s.mu.
func (s *Shard) countApart(records []job.Record) {
	if s.interference == nil || s.interference.preference == nil {
		return
	}
	apart, together := s.interference.preference.Separated(records)
	s.interference.apart += apart
	s.interference.together += together
	countInterferencePlacements("apart", apart)
	countInterferencePlacements("together", together)
}

func countInterferencePlacements(outcome string, count int) {
	metrics.GetOrCreateCounter(fmt.Sprintf("citronbay_interference_placements_total{outcome=%q}", outcome)).Add(count)
}

// logInterference logs the known pairs with the placements that they have concerned, and updates the
// gauges.
func (s *Shard) logInterference(now int64) {
	i := s.interference
	if now-i.loggedMillis < interferenceLogMillis {
		return
	}
	i.loggedMillis = now
	pairs := i.model.Pairs()
	kinds, attempts := i.model.Size()
	ruledOut, undecided := i.model.Undecided()
	most := 0.0
	if len(pairs) > 0 {
		most = pairs[0].Slowdown
	}
	metrics.GetOrCreateGauge("citronbay_interference_pairs", nil).Set(float64(len(pairs)))
	metrics.GetOrCreateGauge("citronbay_interference_slowdown", nil).Set(most)
	attributes := []any{
		slog.Int("kinds", kinds), slog.Int("attempts", attempts), slog.Int("pairs", len(pairs)),
		slog.Int("ruledOut", ruledOut), slog.Int("undecided", undecided), slog.Int("apart", i.apart), slog.Int("together", i.together),
	}
	for n, p := range pairs[:min(len(pairs), maxLoggedPairs)] {
		attributes = append(attributes, slog.Group(fmt.Sprintf("pair%d", n),
			"slowed", p.Slowed, "beside", p.Beside, "slowdown", decimals(p.Slowdown), "sureness", decimals(p.Sureness)))
	}
	for n, speed := range i.model.Speeds() {
		if n < maxLoggedPairs {
			attributes = append(attributes, slog.Group(fmt.Sprintf("kind%d", n),
				"name", speed.Kind, "speedAlone", decimals(speed.Speed), "noise", decimals(speed.Noise)))
		}
	}
	s.log.Info("interference", attributes...)
	i.apart, i.together = 0, 0
}

func decimals(x float64) string {
	return strconv.FormatFloat(x, 'f', 3, 64)
}
