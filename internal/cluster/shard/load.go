package shard

import (
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// loadInterval is the time between two log lines about the owner's load.
const loadInterval = 2 * time.Second

// passLoad sums up planning passes. A low share of time in passes together with few of
// them means that the owner's processor is busy with something else.
type passLoad struct {
	since   time.Time
	passes  int
	total   time.Duration
	longest time.Duration
}

// add counts a pass and logs the load once per loadInterval.
func (l *passLoad) add(start time.Time, took time.Duration, log *slog.Logger) {
	metrics.GetOrCreateHistogram("citronbay_planning_pass_seconds").Update(took.Seconds())
	if l.since.IsZero() {
		l.since = start
	}
	l.passes++
	l.total += took
	l.longest = max(l.longest, took)
	if elapsed := time.Since(l.since); elapsed >= loadInterval {
		log.Info("planningLoad", "interval", elapsed, "passes", l.passes, "total", l.total, "longest", l.longest)
		*l = passLoad{since: time.Now()}
	}
}
