package shard

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/decide/job"
)

// answerPolicy lets the policy service answer about all steps that wait for it, and allow every second
// worker.
func answerPolicy(s *Shard) {
	now := s.now()
	workers := s.plannerWorkers()
	for _, w := range workers {
		w.Usable = true
	}
	for range 200 {
		queries := job.NewPlanner(s.state, s.agreement.Rules, workers, now).PolicyQueries(now, job.QueryLimits{
			Calls:      64,
			SlowCalls:  64,
			SlowMillis: slowCallMillis,
		})
		for _, q := range queries {
			allowed := map[*job.Worker]job.Ticket{}
			for n, w := range q.Workers {
				if n%2 == 0 {
					allowed[w] = job.Ticket{
						Value:         "ticket",
						ExpiresMillis: now + 2000,
					}
				}
			}
			q.HandleAnswer(allowed, true)
		}
	}
}

// BenchmarkPreview measures a preview, during nearly all of which the owner holds its lock.
func BenchmarkPreview(b *testing.B) {
	for _, fleet := range loadedFleets() {
		b.Run(fleet.String(), func(b *testing.B) {
			s := fleet.newShard(b)
			answerPolicy(s)
			s.previews = make(chan struct{}, 1)
			request := PreviewRequest{
				Host:       "jobs.example",
				Path:       "/queue/",
				Team:       teamName(1),
				Submission: fleet.submission(1),
			}
			b.ResetTimer()
			for range b.N {
				assert.Equal(b, s.Preview(b.Context(), request).Reason, "")
				b.StopTimer()
				s.previews <- struct{}{} // the pause is over
				<-s.previews
				b.StartTimer()
			}
		})
	}
}
