package shard

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/decide/job"
)

// TestOverrunsAreExpected submits a job while ten tasks run that were estimated at a minute. Its expected run
// time must grow with theirs, before any of them is done.
func TestOverrunsAreExpected(t *testing.T) {
	const estimate, submitted = 60_000, 1000
	for name, c := range map[string]struct {
		held    int64 // time since the start orders
		endless bool
		unknown bool // an earlier owner has sent the orders
		want    float64
	}{
		"as estimated":       {held: estimate, want: 1},
		"twice as long":      {held: 2 * estimate, want: 31.0 / 11},
		"hang":               {held: 600 * estimate, want: 41.0 / 11},
		"endless":            {held: 2 * estimate, endless: true, want: 1},
		"ordered by another": {held: 2 * estimate, unknown: true, want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := newLoadedShard(t)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.openGate()
			now := s.now()
			s.apply(nil, job.Record{
				Kind:  job.RecordAccept,
				Job:   "running",
				Team:  "b",
				Queue: "queue",
				Submission: &job.Submission{Steps: []job.StepSpec{{
					Count:          10,
					Needs:          job.Resources{MilliCores: 1000},
					EstimateMillis: estimate,
					Endless:        c.endless,
				}}},
			})
			w := s.links["w"].key()
			for n := range 10 {
				s.apply(nil, job.Record{
					Kind:        job.RecordPlace,
					Job:         "running",
					Index:       n,
					Attempt:     1,
					Worker:      w.ID,
					Incarnation: w.Incarnation,
				})
				if !c.unknown {
					s.state.Job("running").Steps[0].Tasks[n].Placement.OrderedMillis = now - c.held
				}
			}
			_, sub := s.admissionOf("a", "queue", oneSecondJob(), now, now)
			assert.Equal(t, sub.PathMillis, c.want*submitted)
		})
	}
}
