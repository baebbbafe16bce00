package shard

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/decide/admission"
	"github.com/citronbay/citronbay/internal/decide/job"
)

// TestOverRateRoom submits a job of a team that has used up its rate to workers on which jobs of another
// team run. It must be accepted while its tasks could start at once, as far as its team's cap permits.
func TestOverRateRoom(t *testing.T) {
	one := job.Resources{MilliCores: 1000}
	for name, c := range map[string]struct {
		used, waiting int // tasks of the other team, of one processor each
		own           int // waiting tasks of the team
		count         int
		gang          bool
		limit         job.Resources
		want          admission.Reason
	}{
		"idle workers":                {count: 8},
		"more tasks than workers":     {count: 12, want: admission.OverRate},
		"more tasks than the cap":     {count: 12, limit: one.Times(2)},
		"cap beside own tasks":        {own: 1, count: 12, limit: one.Times(6)},
		"gang beyond the cap's room":  {used: 5, count: 8, gang: true, limit: one.Times(2), want: admission.OverRate},
		"busy workers in calm":        {used: 9, count: 1},
		"all workers busy":            {used: 10, count: 1, want: admission.OverRate},
		"busy workers, others wait":   {used: 9, waiting: 1, count: 1, want: admission.OverRate},
		"little room, a wide job":     {used: 9, count: 2, want: admission.OverRate},
		"little room, as much by cap": {used: 9, count: 2, limit: one},
	} {
		t.Run(name, func(t *testing.T) {
			s := newLoadedShard(t)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.openGate()
			s.agreement.Rules.Teams["a"] = job.Team{Name: "a", JobsPerSecond: 30, Cap: c.limit}
			now := s.now()
			s.buckets["a"] = tokenBucket{updatedMillis: now}
			accept := func(id, team string, count int) {
				s.apply(nil, job.Record{
					Kind:       job.RecordAccept,
					Job:        id,
					Team:       team,
					Queue:      "queue",
					TimeMillis: now,
					Submission: &job.Submission{Steps: []job.StepSpec{{
						Count:          count,
						Needs:          one,
						EstimateMillis: 1000,
					}}},
				})
			}
			if c.used > 0 {
				accept("used", "b", c.used)
			}
			w := s.links["w"].key()
			for n := range c.used {
				s.apply(nil, job.Record{
					Kind:        job.RecordPlace,
					Job:         "used",
					Index:       n,
					Attempt:     1,
					Worker:      w.ID,
					Incarnation: w.Incarnation,
				})
			}
			if c.waiting > 0 {
				accept("waiting", "b", c.waiting)
			}
			if c.own > 0 {
				accept("own", "a", c.own)
			}
			d, overRate := s.admit(fmt.Sprintf("%016x", 1), "a", "queue", &job.Submission{Steps: []job.StepSpec{{
				Count:          c.count,
				Gang:           c.gang,
				Needs:          one,
				EstimateMillis: 1000,
			}}}, now)
			assert.Assert(t, overRate)
			assert.Equal(t, d.Reason, c.want)
		})
	}
}
